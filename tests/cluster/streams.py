"""A caller that opens a stream and reads its frames."""

from __future__ import annotations

import http.client
import json
import socket
import threading

from cluster import processes


class StreamReader:
    """Opens a streamed generation and stores its frames."""

    def __init__(
        self, cluster: processes.Cluster, *, daemon: str, tokens: int
    ) -> None:
        self.cluster = cluster
        self.raw = b""
        self.broken = ""
        self.has_frames = threading.Event()
        self._open(daemon)
        body = {
            "model": "rulebook",
            "stream": True,
            "max_tokens": tokens,
            "messages": [{"role": "user", "content": "Does it qualify?"}],
        }
        self.connection.request(
            "POST", "/v1/chat/completions", json.dumps(body), self._auth()
        )
        self._read_head()

    def resume(self, daemon: str) -> None:
        """Resumes the stream through another daemon with its resume token."""
        self.connection.close()
        self._open(daemon)
        headers = {
            **self._auth(),
            "x-resume-token": self.token,
            "last-event-id": str(self.last_id()),
        }
        self.connection.request("GET", "/v1/resume", headers=headers)
        self._read_head()

    def read_to_end(self) -> None:
        """Reads until the stream ends or its connection breaks."""
        try:
            while data := self.response.read1(4096):
                self.raw += data
                if self.raw.count(b"\n\n") >= 5:
                    self.has_frames.set()
        except (OSError, http.client.HTTPException) as error:
            self.broken = repr(error)
        # Bytes after the last complete event were cut off.
        self.raw = self.raw[: self.raw.rfind(b"\n\n") + 2]

    def in_background(self) -> threading.Thread:
        """Starts reading in a thread; returns after the first frames."""
        thread = threading.Thread(target=self.read_to_end, daemon=True)
        thread.start()
        assert self.has_frames.wait(processes.WAIT_S)
        return thread

    def last_id(self) -> int:
        """Returns the number of the last frame read."""
        ids = [
            int(line[4:])
            for line in self.raw.splitlines()
            if line.startswith(b"id: ")
        ]
        return ids[-1] if ids else 0

    def words(self) -> list[str]:
        """Returns the words of the answer received so far."""
        words = []
        for line in self.raw.splitlines():
            if line.startswith(b"data: {"):
                payload = json.loads(line[6:])
                if "choices" in payload:
                    content = payload["choices"][0]["delta"]["content"]
                    words.append(content.strip())
        return words

    def error(self) -> dict | None:
        """Returns the error that ended the stream."""
        _, _, rest = self.raw.partition(b"event: error\ndata: ")
        return json.loads(rest) if rest else None

    def _open(self, daemon: str) -> None:
        self.connection = http.client.HTTPConnection(
            "127.0.0.1", self.cluster.ports[daemon], timeout=processes.WAIT_S
        )
        self.connection.connect()
        self.connection.sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, 65536
        )

    def _read_head(self) -> None:
        self.response = self.connection.getresponse()
        self.status = self.response.status
        self.token = self.response.headers.get("x-resume-token", "")

    def _auth(self) -> dict[str, str]:
        token = self.cluster.token("desk")
        return {"authorization": f"Bearer {token}"}

"""Steady load: callers that look up a daemon, then stream and submit."""

from __future__ import annotations

import http.client
import json
import threading
import time

from cluster import processes

TOKENS = 40


class Load:
    """Steady load from caller threads; failures are recorded with details."""

    def __init__(self, cluster: processes.Cluster, *, callers: int) -> None:
        self.cluster = cluster
        self.failures: list[str] = []
        self.finished = 0
        self.keys: list[str] = []
        self._stop = threading.Event()
        self._lock = threading.Lock()
        self._threads = [
            threading.Thread(target=self._caller, args=(n,), daemon=True)
            for n in range(callers)
        ]
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stops the callers after their current requests."""
        self._stop.set()
        for thread in self._threads:
            thread.join(processes.WAIT_S)

    def wait_more(self, count: int) -> None:
        """Waits until `count` more requests have finished, or one failed."""
        goal = self.finished + count
        processes.wait_until(
            f"{goal} requests are finished",
            lambda: self.finished >= goal or self.failures,
        )

    def _caller(self, number: int) -> None:
        address, keep_until_s = "", 0.0
        count = 0
        while not self._stop.is_set():
            if time.monotonic() >= keep_until_s:
                address, keep_until_s = self._look_up_daemon(address)
                continue
            count += 1
            try:
                if count % 2:
                    self._stream(address)
                else:
                    self._submit(address, f"load-{number}-{count}")
            except (OSError, http.client.HTTPException) as error:
                self.failures.append(f"caller {number}, {address}: {error!r}")
                return
            with self._lock:
                self.finished += 1

    def _look_up_daemon(self, last: str) -> tuple[str, float]:
        requested_at_s = time.monotonic()
        addresses = [last] if last else []
        addresses += [
            f"127.0.0.1:{self.cluster.ports[name]}"
            for name in self.cluster.peer_ports
        ]
        for address in addresses:
            try:
                status, body = self._request(
                    address, "GET", "/v1/where?model=rulebook", None
                )
            except (OSError, http.client.HTTPException):
                continue
            if status == 200:
                directory = json.loads(body)
                keep_s = directory["keep_ms"] / 1000
                return directory["addresses"][0], requested_at_s + keep_s
        return last, 0.0

    def _stream(self, address: str) -> None:
        body = {
            "model": "rulebook",
            "stream": True,
            "max_tokens": TOKENS,
            "messages": [{"role": "user", "content": "Does it qualify?"}],
        }
        status, raw = self._request(
            address, "POST", "/v1/chat/completions", body
        )
        is_complete = b"data: [DONE]" in raw and raw.count(b"data: {") == TOKENS
        if status != 200 or not is_complete:
            self.failures.append(f"{address}: {status} {raw[-300:]!r}")

    def _submit(self, address: str, key: str) -> None:
        self.keys.append(key)
        status, raw = self._request(
            address, "POST", "/svc/portal/claims", {"case": key}, key=key
        )
        if status != 200:
            self.failures.append(f"{address}: {status} {raw!r}")

    def _request(self, address, method, path, body, *, key=""):
        host, _, port = address.partition(":")
        connection = http.client.HTTPConnection(
            host, int(port), timeout=processes.WAIT_S
        )
        token = self.cluster.token("desk")
        headers = {"authorization": f"Bearer {token}"}
        if key:
            headers["idempotency-key"] = key
        try:
            data = None if body is None else json.dumps(body)
            connection.request(method, path, data, headers)
            response = connection.getresponse()
            return response.status, response.read()
        finally:
            connection.close()

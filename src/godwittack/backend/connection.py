"""HTTP/1.1 client connection to a backend server that matches answers by id.

aiohttp's client assigns the next answer on a connection to the next request,
whichever request it belongs to. Servers may send a second answer late, or
bytes after a complete one, and a caller would get another caller's answer.
Here the reader checks which request each answer is for, skips all others, and
reuses a connection only if no unrequested bytes can be left on it. All attempts
of a request have its id, so that a connection carries at most one of them. The
parser is `httptools`, which wraps the same C parser as aiohttp's own.
"""

from __future__ import annotations

import asyncio
import collections
import dataclasses
import socket
from typing import TYPE_CHECKING

import httptools

from godwittack import liveness
from godwittack.backend import headers as backend_headers
from godwittack.backend import reply_limits
from godwittack.backend.reply_limits import EndlessReplyError, ReplyError
from godwittack.core import work

if TYPE_CHECKING:
    from collections.abc import Callable

# Unread body bytes above which reading from the socket is paused.
HIGH_WATER_BYTES = 1 << 14
# Buffer of the operating system for each connection: otherwise it accepts up to
# 6 MB that nobody has asked for. A sender waits between its packets where less
# is received than a few of them, and those of loopback have 64 KB.
RECEIVE_BUFFER_BYTES = 64 << 10
# The same for a long answer once there is memory for it. 128 KB carry 45 MB/s
# with a round trip of 2.8 ms.
LONG_ANSWER_BUFFER_BYTES = 128 << 10
# Bytes read at a time.
MAX_READ_BYTES = 64 << 10
# Bytes of a request that are written at a time. The library would copy what the
# socket doesn't take.
WRITTEN_BYTES = 64 << 10
# Bytes given to the parser before the limits are checked.
PARSED_BYTES = 16 << 10
# Time for which a connection with bytes that belong to no answer is read on, to
# find out whether they end.
DRAIN_MS = 200
MIN_STATUS = 100
MIN_FINAL_STATUS = 200
# Requests that a connection carries before it is replaced, which bounds the
# ids that it remembers.
MAX_REQUESTS = 256


@dataclasses.dataclass(slots=True)
class _Counts:
    """Counts what one exchange has brought besides the expected body.

    The parser holds an unfinished line without a callback, so that bytes are
    counted as they are given to it.

    Attributes:
        is_in_head: Whether the head of a message is being received.
        has_other: Whether an answer to another request is being received.
        others: Answers to other requests.
        heads: Heads received.
        read_bytes: All bytes.
        head_bytes: Bytes of the unfinished head.
        interim_responses: Responses with status 1xx.
        other_bytes: Bytes of answers to other requests.
        chunks: Chunks of the expected body.
        body_bytes: Bytes of the expected body.
        framing_bytes: Other bytes since its head, or its last event.
        extra_framing_bytes: Those beyond the allowance for its chunks.
    """

    is_in_head: bool = True
    has_other: bool = False
    others: int = 0
    heads: int = 0
    read_bytes: int = 0
    head_bytes: int = 0
    interim_responses: int = 0
    other_bytes: int = 0
    chunks: int = 0
    body_bytes: int = 0
    framing_bytes: int = 0
    extra_framing_bytes: int = 0

    def end_head(self) -> None:
        """Counts a complete head."""
        self.heads += 1
        self.head_bytes = 0

    def begin_other(self) -> None:
        """Counts an answer to another request."""
        self.others += 1
        self.has_other = True

    def add(
        self, before: _Counts, size: int, limits: reply_limits.ReplyLimits
    ) -> None:
        """Counts the bytes of one part.

        A part may contain the end of one thing and the beginning of the next.
        It then counts as neither head nor framing, so that valid answers never
        exceed a limit.

        Args:
            before: The counts before the part was parsed.
            size: Bytes of the part.
            limits: Allowances.
        """
        self.read_bytes += size
        if before.has_other or self.others > before.others:
            self.other_bytes += size
        if self.heads > before.heads:
            return
        if before.is_in_head:
            self.head_bytes += size
        elif not before.has_other:
            framing = size - (self.body_bytes - before.body_bytes)
            allowed = limits.chunk_allowance_bytes * (
                self.chunks - before.chunks
            )
            self.framing_bytes += framing
            self.extra_framing_bytes = max(
                0, self.extra_framing_bytes + framing - allowed
            )

    def exceeded(
        self, limits: reply_limits.ReplyLimits
    ) -> EndlessReplyError | None:
        """Returns the error for a limit that is exceeded."""
        if self.head_bytes > limits.head_bytes:
            return EndlessReplyError("head", self.head_bytes)
        if self.interim_responses > limits.interim_responses:
            return EndlessReplyError("interim responses", self.read_bytes)
        if self.other_bytes > limits.other_bytes:
            return EndlessReplyError(
                "answers to other requests", self.other_bytes
            )
        if (
            self.extra_framing_bytes > limits.extra_framing_bytes
            or self.framing_bytes > limits.framing_bytes
        ):
            return EndlessReplyError("framing", self.framing_bytes)
        return None


@dataclasses.dataclass(slots=True)
class Reply:
    """One answer while it is being received.

    Attributes:
        status: HTTP status; 0 until the head was received.
        headers: In the order and case received.
        is_complete: Whether the end of the body was received.
        is_close_delimited: Whether the body ends only where the server closes
            the connection.
        is_persistent: Whether the server keeps the connection open.
        chunks: Pieces of the body that have not been read yet.
    """

    status: int = 0
    headers: list[work.Header] = dataclasses.field(default_factory=list)
    is_complete: bool = False
    is_close_delimited: bool = False
    is_persistent: bool = False
    chunks: collections.deque[bytes] = dataclasses.field(
        default_factory=collections.deque
    )

    def header(self, name: str) -> str:
        """Returns the first header of that name, or an empty string."""
        return next(iter(self.header_values(name)), "")

    def header_values(self, name: str) -> list[str]:
        """Returns all headers of that name."""
        lower = name.lower()
        return [h.value for h in self.headers if h.name.lower() == lower]


class Connection(asyncio.Protocol):
    """Sends one request at a time and reads the answer.

    Attributes:
        was_used: Whether a request was sent on it before.
        idle_since_ms: When its last answer ended.
        keep_alive_ms: How long the server keeps it open while idle; 0 if
            not stated.
        on_endless: Called if bytes that belong to no answer have no end; other
            faults are raised where an answer is read.
        on_lost: Called when the connection is closed.
    """

    def __init__(
        self, limits: reply_limits.ReplyLimits = reply_limits.DEFAULT
    ) -> None:
        """Creates an unconnected instance; `asyncio` connects it."""
        self.was_used = False
        self.idle_since_ms = 0
        self.keep_alive_ms = 0
        self.on_endless: Callable[[EndlessReplyError], None]
        self.on_endless = lambda error: None
        self.on_lost: Callable[[], None] = lambda: None
        self._limits = limits
        # Hashes of the ids: callers may send long ones, and a collision only
        # costs a new connection.
        self._carried: set[int] = set()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._matches: Callable[[Reply], bool] | None = None
        # The message being parsed, and the answer to the open request.
        self._current: Reply | None = None
        self._expected: Reply | None = None
        self._counts = _Counts()
        self._unread_bytes = 0
        self._is_awaiting_reply = False
        self._is_head_request = False
        self._has_surplus = False
        self._drained_bytes = -1
        self._progress = asyncio.Event()
        self._failure: ReplyError | None = None
        self._is_reading_paused = False
        self._is_writing_paused = False
        self._unwritten: collections.deque[bytes | memoryview] = (
            collections.deque()
        )
        self._is_unusable = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Enables TCP keep-alive, so that a dead network path is detected."""
        assert isinstance(transport, asyncio.Transport)
        # Read by the event loop before each read.
        transport.max_size = MAX_READ_BYTES  # type: ignore[attr-defined]
        self._transport = transport
        sock = transport.get_extra_info("socket")
        if sock is not None:
            liveness.enable_keepalive(sock)
            self._set_receive_buffer(RECEIVE_BUFFER_BYTES)

    def widen_buffer(self) -> None:
        """Lets the system receive more of a long answer at a time."""
        self._set_receive_buffer(LONG_ANSWER_BUFFER_BYTES)

    def _set_receive_buffer(self, size_bytes: int) -> None:
        if self._transport is None:
            return
        sock = self._transport.get_extra_info("socket")
        if sock is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size_bytes)

    def data_received(self, data: bytes) -> None:
        """Parses received bytes; fails the connection if none are expected."""
        if self._is_unusable:
            return
        if not self._is_awaiting_reply and not self._is_draining:
            # No request is open, so these bytes belong to no caller.
            self._give_up("bytes without a request")
        for start in range(0, len(data), PARSED_BYTES):
            if self._is_unusable:
                return
            part = data[start : start + PARSED_BYTES]
            if self._is_draining:
                self._drain(len(part))
            else:
                self._parse(part)
        self._progress.set()

    def eof_received(self) -> bool:
        """Completes an answer that is delimited by the connection's end."""
        reply = self._expected
        if reply is not None and reply.is_close_delimited:
            reply.is_complete = True
        self._fail("the server closed the connection")
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fails the answer that was being read."""
        self._unwritten.clear()
        self.on_lost()
        self._fail(f"connection lost: {exc}" if exc else "connection closed")

    def on_message_begin(self) -> None:
        """Parser callback: the first byte of an answer."""
        self._current = Reply()
        if self._expected is not None:
            self._has_surplus = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Parser callback: one header."""
        if self._current is not None and not self._has_surplus:
            text = value.decode("latin-1")
            self._current.headers.append(
                work.Header(name.decode("latin-1"), text)
            )

    def on_headers_complete(self) -> None:
        """Parser callback: the head is complete."""
        reply = self._current
        if reply is None or self._has_surplus:
            return
        reply.status = self._parser.get_status_code()
        self._counts.end_head()
        if MIN_STATUS <= reply.status < MIN_FINAL_STATUS:
            self._counts.interim_responses += 1
            return
        self._counts.is_in_head = False
        reply.is_persistent = self._parser.should_keep_alive()
        if reply.status < MIN_FINAL_STATUS:
            # The parser accepts any three digits.
            self._give_up(f"not HTTP: status {reply.status}")
            return
        codings = {
            value.strip().lower()
            for value in reply.header_values("transfer-encoding")
        }
        if codings - {"chunked"}:
            # Its body would be forwarded with the coding, but without the
            # header that names it.
            self._give_up(f"unsupported transfer coding {sorted(codings)}")
            return
        has_length = bool(reply.header("content-length"))
        no_body = self._is_head_request or reply.status in (204, 304)
        reply.is_close_delimited = not (codings or has_length or no_body)
        try:
            is_match = self._matches is not None and self._matches(reply)
        except ReplyError as error:
            self._give_up(str(error))
            return
        if not is_match:
            self._counts.begin_other()
            if reply.is_close_delimited:
                self._give_up("an answer to another request, without end")
            return
        self._expected = reply
        if self._is_head_request:
            # The parser waits for the body that the headers describe.
            reply.is_complete = True

    def on_chunk_header(self) -> None:
        """Parser callback: the size of a chunk."""
        self._counts.chunks += 1

    def on_body(self, body: bytes) -> None:
        """Parser callback: a piece of a body."""
        reply = self._current
        if reply is None or reply is not self._expected:
            return
        self._counts.body_bytes += len(body)
        if reply.is_complete:
            return
        reply.chunks.append(body)
        self._unread_bytes += len(body)
        if (
            self._unread_bytes > HIGH_WATER_BYTES
            and not self._is_reading_paused
        ):
            self._is_reading_paused = True
            if self._transport is not None:
                self._transport.pause_reading()

    def on_message_complete(self) -> None:
        """Parser callback: the end of an answer."""
        reply = self._current
        self._counts.is_in_head = True
        if reply is not None and reply.status >= MIN_FINAL_STATUS:
            reply.is_complete = True
            self._counts.has_other = False

    @property
    def is_open(self) -> bool:
        """Whether a request can be sent."""
        closing = self._transport is None or self._transport.is_closing()
        return not (self._is_unusable or self._failure or closing)

    def has_carried(self, request_id: str) -> bool:
        """Returns whether a request with this id was sent on it before.

        A late copy of the answer to the earlier attempt could not be told from
        the answer to the next one.
        """
        return hash(request_id) in self._carried

    def send(
        self,
        head: bytes,
        body: bytes,
        *,
        matches: Callable[[Reply], bool],
        request_id: str = "",
    ) -> None:
        """Writes a request, in pieces as the socket takes them.

        A server may answer before it has read the whole body. The rest of the
        body is still sent, so that the server never reads the next request as
        part of it.

        Args:
            head: Request line and headers, with the blank line.
            body: The body.
            matches: Returns whether the head of an answer belongs to the
                request; others are discarded as they arrive. Raises ReplyError
                if the head can't belong to any one request.
            request_id: Id by which answers are matched; empty if they have
                none.
        """
        assert self._transport is not None
        if request_id:
            self._carried.add(hash(request_id))
        self._matches = matches
        self.was_used = True
        self._is_awaiting_reply = True
        self._is_head_request = head.startswith(b"HEAD ")
        if len(head) + len(body) <= WRITTEN_BYTES:
            self._unwritten.append(head + body)
        else:
            self._unwritten += (head, memoryview(body))
        self._write_more()

    def pause_writing(self) -> None:
        """Keeps further pieces until the socket takes them."""
        self._is_writing_paused = True

    def resume_writing(self) -> None:
        """Writes further pieces."""
        self._is_writing_paused = False
        self._write_more()

    async def read_head(self) -> Reply:
        """Returns the answer to the request, its body unread.

        Raises:
            ReplyError: The connection failed before such an answer arrived.
        """
        while self._expected is None:
            self._raise_if_failed()
            await self._wait_for_progress()
        return self._expected

    async def read_chunk(self, reply: Reply) -> bytes:
        """Returns the next bytes of a body, or empty bytes at its end.

        Raises:
            ReplyError: The connection ended before the body did.
        """
        while not reply.chunks:
            if reply.is_complete:
                return b""
            self._raise_if_failed()
            await self._wait_for_progress()
        data = b"".join(reply.chunks)
        reply.chunks.clear()
        self._unread_bytes -= len(data)
        if self._is_reading_paused and self._transport is not None:
            self._is_reading_paused = False
            self._transport.resume_reading()
        return data

    def record_event(self) -> None:
        """Notes that an event of a stream arrived, which may have any length.

        The limits on the framing of a body then begin anew.
        """
        self._counts.framing_bytes = self._counts.extra_framing_bytes = 0

    def finish(self, reply: Reply, *, now_ms: int) -> bool:
        """Ends an exchange; returns whether the connection is reusable."""
        self.idle_since_ms = now_ms
        keep_alive_ms = _keep_alive_ms(reply)
        is_clean = (
            reply.is_complete
            and not self._is_head_request
            and not reply.is_close_delimited
            and not self._has_surplus
            and self._expected is reply
            and reply.is_persistent
            and keep_alive_ms != 0
            and len(self._carried) < MAX_REQUESTS
        )
        self.keep_alive_ms = keep_alive_ms or 0
        self._current = self._expected = self._matches = None
        self._counts = _Counts()
        self._is_awaiting_reply = False
        return is_clean and self.is_open

    def close(self) -> None:
        """Closes at once; the server then sees that its caller is gone."""
        self._is_unusable = True
        self._unwritten.clear()
        if self._transport is not None:
            self._transport.abort()

    def retire(self) -> None:
        """Closes, but later if it is being read only to see if bytes end."""
        if not self._is_draining:
            self.close()

    def _write_more(self) -> None:
        while self._unwritten and not self._is_writing_paused:
            piece = self._unwritten.popleft()
            if len(piece) > WRITTEN_BYTES:
                self._unwritten.appendleft(piece[WRITTEN_BYTES:])
                piece = piece[:WRITTEN_BYTES]
            assert self._transport is not None
            self._transport.write(piece)

    async def _wait_for_progress(self) -> None:
        self._progress.clear()
        await self._progress.wait()

    def _raise_if_failed(self) -> None:
        if self._failure is not None:
            raise self._failure

    def _parse(self, part: bytes) -> None:
        counts = self._counts
        before = dataclasses.replace(counts)
        try:
            self._parser.feed_data(part)
        except (
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
        ) as error:
            self._give_up(f"not HTTP: {error}")
        if self._expected is not None and self._expected.is_complete:
            if self._has_surplus and not self._is_draining:
                self._give_up("bytes after an answer")
            return
        counts.add(before, len(part), self._limits)
        exceeded = counts.exceeded(self._limits)
        if exceeded is not None and not self._is_draining:
            self._fail_with(exceeded)
            self.close()

    @property
    def _is_draining(self) -> bool:
        return self._drained_bytes >= 0

    def _give_up(self, detail: str) -> None:
        """Fails the exchange; reads on to find out whether the bytes end."""
        self._fail(detail)
        if self._is_draining or self._transport is None:
            return
        self._drained_bytes = 0
        self._transport.resume_reading()
        asyncio.get_running_loop().call_later(DRAIN_MS / 1000, self.close)

    def _drain(self, size: int) -> None:
        self._drained_bytes += size
        if self._drained_bytes > self._limits.other_bytes:
            self.close()
            self.on_endless(
                EndlessReplyError("surplus bytes", self._drained_bytes)
            )

    def _fail(self, detail: str) -> None:
        self._fail_with(ReplyError(detail))

    def _fail_with(self, error: ReplyError) -> None:
        if self._failure is None:
            self._failure = error
        self._progress.set()


def _keep_alive_ms(reply: Reply) -> int | None:
    """Returns the server's idle limit, None where its headers have none."""
    for part in reply.header("keep-alive").split(","):
        name, _, value = part.strip().partition("=")
        if name.lower() == "timeout":
            timeout_s = backend_headers.parse_number(value)
            return None if timeout_s is None else timeout_s * 1000
    return None


__all__ = [
    "MAX_REQUESTS",
    "Connection",
    "EndlessReplyError",
    "Reply",
    "ReplyError",
]

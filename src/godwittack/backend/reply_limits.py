"""Limits on what a backend server may send that is no part of an answer."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ReplyLimits:
    """Amounts beyond which an answer is taken to have no end.

    Attributes:
        head_bytes: Bytes of one head.
        interim_responses: Responses with status 1xx in one exchange.
        other_bytes: Bytes of answers to other requests in one exchange, and
            bytes after a complete answer or that are not HTTP.
        event_bytes: Bytes of one event without its end.
        comment_bytes: Bytes of comments and blank lines without an event.
        extra_framing_bytes: Bytes of chunk extensions and trailers beyond
            `chunk_allowance_bytes` for each chunk, until an event arrives.
        chunk_allowance_bytes: Bytes of framing that any chunk may have: its
            size, and a short extension such as a signature.
        framing_bytes: Bytes of framing in all, until an event arrives. Chunks
            of one byte would otherwise multiply what is read for a body.
        answer_bytes: Bytes of the body of a plain answer.
        control_bytes: Bytes of a report, of cache events, or of the answer to
            an order. Added to a plain answer they stay below what may be read
            from one faulty server.
        small_body_bytes: Bytes of a body without a stated length that any
            number of answers of one server may have at the same time.
        shared_body_bytes: Bytes that all such bodies of one server may have
            together, besides the one that was begun first.
    """

    head_bytes: int = 64 << 10
    interim_responses: int = 100
    other_bytes: int = 1 << 20
    event_bytes: int = 1 << 20
    comment_bytes: int = 1 << 20
    extra_framing_bytes: int = 64 << 10
    chunk_allowance_bytes: int = 256
    framing_bytes: int = 4 << 20
    answer_bytes: int = 32 << 20
    control_bytes: int = 4 << 20
    small_body_bytes: int = 64 << 10
    shared_body_bytes: int = 1 << 20


DEFAULT = ReplyLimits()


class ReplyError(Exception):
    """The connection brought no complete, valid answer to the request."""


class EndlessReplyError(ReplyError):
    """A server sent more than a limit allows of something without its end.

    Attributes:
        what: What it sent.
        size_bytes: Bytes of it that were read.
    """

    def __init__(self, what: str, size_bytes: int) -> None:
        """Describes what was read."""
        super().__init__(f"endless {what}: {size_bytes} bytes")
        self.what = what
        self.size_bytes = size_bytes


__all__ = ["DEFAULT", "EndlessReplyError", "ReplyError", "ReplyLimits"]

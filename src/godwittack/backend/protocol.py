"""What the daemon asks of backend servers, and how they answer."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from result import Result

    from godwittack.core import effects, inputs, work


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BackendError:
    """A call of a backend server that brought no answer.

    Attributes:
        step: What was being done.
        peer: Address of the backend server.
        detail: One line for people.
        status: HTTP status of the answer; 0 where none came.
        may_have_run: Whether a byte of the call may have reached the server.
        connection_refused: Whether nothing listens at its address.
    """

    step: str
    peer: str
    detail: str
    status: int = 0
    may_have_run: bool = True
    connection_refused: bool = False

    def __str__(self) -> str:
        """Returns the error as one line."""
        return f"{self.step} at {self.peer}: {self.detail}"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Call:
    """A caller's request as it is sent on.

    Attributes:
        path: Path and query at the backend server.
        headers: End-to-end headers.
        body: Body bytes.
        request_id: The caller's id, which an answer must echo; empty where
            the interface has none.
    """

    method: str
    path: str
    headers: tuple[work.Header, ...]
    body: bytes
    request_id: str = ""


class AttemptSink(Protocol):
    """Receives what happens on one attempt."""

    def opened(
        self,
        echoed_request: str,
        stamp: work.Stamp,
        head: work.Head | None = None,
    ) -> None:
        """The head of a stream came."""

    def usage(self, *, prompt: int, cached: int, generated: int) -> None:
        """The engine told what it took from its cache."""

    async def frames(self, frames: tuple[work.Frame, ...]) -> None:
        """Frames came; returns once there is room for more."""

    def answer(
        self,
        echoed_request: str,
        answer: work.Answer,
        stamp: work.Stamp | None,
    ) -> None:
        """A whole answer came."""

    def failed(
        self,
        phase: inputs.FailurePhase,
        cause: inputs.FailureCause,
        detail: str,
    ) -> None:
        """The attempt ended without an answer."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EngineLoad:
    """An engine's or service's account of its load.

    Attributes:
        accepted_orders: Orders accepted so far; -1 where it does not count them.
        is_executing_order: Whether it is carrying out an order.
    """

    incarnation: str
    weights_version: str
    running: int
    waiting: int
    waiting_tokens: int = 0
    prefill_us_per_token: int = 0
    slots: int = 0
    leaving: bool = False
    accepted_orders: int = -1
    is_executing_order: bool = False


class CacheEventKind(enum.StrEnum):
    """What happened to a cached level."""

    STORED = "stored"
    REMOVED = "removed"
    CLEARED = "cleared"


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """One entry of an engine's event stream; `sequence` counts up by one.

    Attributes:
        tokens: Tokens of the level that are stored now; 0 for all.
    """

    sequence: int
    kind: CacheEventKind
    level_key: int
    tokens: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CacheEvents:
    """A piece of an engine's event stream.

    Attributes:
        oldest: Sequence of the oldest event that the engine still has.
        epoch: Changes with each restart of the numbering; empty where the
            incarnation does.
        next_after: What to ask for events after; -1 for the last one's sequence.
    """

    incarnation: str
    weights_version: str
    oldest: int
    events: tuple[CacheEvent, ...]
    epoch: str = ""
    next_after: int = -1


class OrderKind(enum.StrEnum):
    """What an engine can be ordered to do."""

    LOAD_WEIGHTS = "load_weights"
    LOAD_ADAPTER = "load_adapter"
    CHANGE_ROLE = "change_role"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Order:
    """An order to an engine.

    Attributes:
        fencing: Number of the lease under which it is given; engines that
            check it refuse a lower one than they have seen.
        value: Weights version, adapter or role.
        target: Model or service of the server.
        server_id: Server that must get it, for servers that check.
        holder: Daemon that gives it.
        expected_accepted_orders: Orders that the server must have accepted before, so
            that one on its way for seconds does not follow a newer one; -1
            for any number.
    """

    kind: OrderKind
    fencing: int
    value: str
    target: str = ""
    server_id: str = ""
    holder: str = ""
    expected_accepted_orders: int = -1


class BackendClient(Protocol):
    """All calls to backend servers."""

    async def send(
        self, dispatch: effects.Dispatch, call: Call, sink: AttemptSink
    ) -> None:
        """Runs one attempt to its end; every result goes to `sink`."""

    async def cancel(self, address: str, stream_id: str) -> None:
        """Ends a stream on an engine; failures are ignored."""

    async def load(
        self, address: str, *, server_id: str = ""
    ) -> Result[EngineLoad, BackendError]:
        """Returns the server's load, on a fresh connection."""

    async def poll_load(
        self, address: str, *, server_id: str = ""
    ) -> Result[EngineLoad, BackendError]:
        """Returns the server's load, on a connection kept between polls.

        One that went silent costs one poll: it is closed then.
        """

    async def cache_events(
        self, address: str, *, after: int, server_id: str = ""
    ) -> Result[CacheEvents, BackendError]:
        """Waits for cache events after a sequence number."""

    async def order(
        self, address: str, order: Order
    ) -> Result[None, BackendError]:
        """Gives an order."""

    async def export_kv(
        self, address: str, level_key: int
    ) -> Result[bytes, BackendError]:
        """Returns a level's cached state with its stamp."""

    async def import_kv(
        self, address: str, data: bytes
    ) -> Result[None, BackendError]:
        """Hands cached state to an engine, which checks the stamp."""


__all__ = [
    "AttemptSink",
    "BackendClient",
    "BackendError",
    "CacheEvent",
    "CacheEventKind",
    "CacheEvents",
    "Call",
    "EngineLoad",
    "Order",
    "OrderKind",
]

"""Interface of clients of backend servers, with its requests and results."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING, Protocol

from result import Err

if TYPE_CHECKING:
    from result import Result

    from godwittack.backend import signals
    from godwittack.core import effects, inputs, work


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class BackendError:
    """A call to a backend server that failed.

    Attributes:
        step: Operation that failed.
        peer: Address of the backend server.
        detail: Human-readable cause in one line.
        status: HTTP status of the answer; 0 where none was received.
        may_have_run: Whether a byte of the call may have reached the server.
        connection_refused: Whether its address refused the connection.
        connection_broken: Whether an open connection ended before the answer
            did.
    """

    step: str
    peer: str
    detail: str
    status: int = 0
    may_have_run: bool = True
    connection_refused: bool = False
    connection_broken: bool = False

    def __str__(self) -> str:
        """Returns the error as one line."""
        return f"{self.step} at {self.peer}: {self.detail}"


def failed_call(
    step: str,
    peer: str,
    detail: str,
    *,
    status: int = 0,
    may_have_run: bool = True,
    connection_refused: bool = False,
    connection_broken: bool = False,
) -> Err[BackendError]:
    """Returns the error of a call; see `BackendError`."""
    return Err(
        BackendError(
            step=step,
            peer=peer,
            detail=detail,
            status=status,
            may_have_run=may_have_run,
            connection_refused=connection_refused,
            connection_broken=connection_broken,
        )
    )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Call:
    """A caller's request in the form in which it is forwarded.

    Attributes:
        path: Path and query at the backend server.
        headers: End-to-end headers.
        body: Body bytes.
        request_id: The caller's id, which an answer must echo; empty if the
            interface has none.
    """

    method: str
    path: str
    headers: tuple[work.Header, ...]
    body: bytes
    request_id: str = ""


class AttemptSink(Protocol):
    """Receives the events of one attempt."""

    def opened(
        self,
        echoed_request: str,
        stamp: work.Stamp | None,
        head: work.Head | None = None,
    ) -> None:
        """Handles the head of a stream."""

    def usage(self, *, prompt: int, cached: int, generated: int) -> None:
        """Handles the token usage that the engine reported."""

    async def frames(self, frames: tuple[work.Frame, ...]) -> None:
        """Handles frames; returns once there is room for more."""

    async def make_room(self, size_bytes: int) -> None:
        """Returns once there is memory for more of a plain answer."""

    def answer(
        self,
        echoed_request: str,
        answer: work.Answer,
        stamp: work.Stamp | None,
    ) -> None:
        """Handles a complete answer."""

    def signals(
        self, reported: signals.ServerSignals, *, may_lift_limit: bool
    ) -> None:
        """Handles what the server reported about itself with its answer.

        Args:
            reported: The signals, which this daemon's core has received.
            may_lift_limit: Whether an answer without a limit lifts the known
                one.
        """

    def failed(
        self,
        phase: inputs.FailurePhase,
        cause: inputs.FailureCause,
        detail: str,
    ) -> None:
        """Handles the end of an attempt without an answer."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EngineLoad:
    """Load report of an engine or service.

    Attributes:
        accepted_orders: Orders accepted so far; -1 if it doesn't count them.
        is_executing_order: Whether it is executing an order.
        kv_used_tokens: Memory that can't be evicted; 0 if not reported.
        kv_total_tokens: All of its memory; 0 if not reported.
        kv_reserved_tokens: Memory that is held or pinned.
        next_tokens: Prompt tokens of the first waiting request.
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
    kv_used_tokens: int = 0
    kv_total_tokens: int = 0
    kv_reserved_tokens: int = 0
    next_tokens: int = 0


class CacheEventKind(enum.StrEnum):
    """Kind of a change to the engine's cached levels."""

    STORED = "stored"
    REMOVED = "removed"
    CLEARED = "cleared"


@dataclasses.dataclass(frozen=True, slots=True)
class CacheEvent:
    """One entry of an engine's event stream.

    Attributes:
        sequence: Number of the event, one higher than the last one's.
        tokens: Tokens of the level that are stored now; 0 for all.
    """

    sequence: int
    kind: CacheEventKind
    level_key: int
    tokens: int = 0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CacheEvents:
    """A section of an engine's event stream.

    Attributes:
        oldest: Sequence of the oldest event that the engine still has.
        epoch: Changes whenever the numbering restarts; empty where it restarts
            only with a new incarnation.
        next_after: Sequence after which to request the next events; -1 for
            that of the last event.
    """

    incarnation: str
    weights_version: str
    oldest: int
    events: tuple[CacheEvent, ...]
    epoch: str = ""
    next_after: int = -1


class OrderKind(enum.StrEnum):
    """Kind of an order to an engine."""

    LOAD_WEIGHTS = "load_weights"
    LOAD_ADAPTER = "load_adapter"
    CHANGE_ROLE = "change_role"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Order:
    """An order to an engine.

    Attributes:
        fencing: Number of the lease under which it is given; engines that
            check it reject a lower one than they have seen.
        value: Weights version, adapter or role.
        target: Model or service of the server.
        server_id: Intended server, for servers that check it.
        holder: Daemon that gives the order.
        expected_accepted_orders: Number of orders that the server must have
            accepted so far, so that an order delayed by seconds is not
            executed after a newer one; -1 for any number.
    """

    kind: OrderKind
    fencing: int
    value: str
    target: str = ""
    server_id: str = ""
    holder: str = ""
    expected_accepted_orders: int = -1


class BackendClient(Protocol):
    """Client for all calls to backend servers."""

    async def send(
        self, dispatch: effects.Dispatch, call: Call, sink: AttemptSink
    ) -> None:
        """Runs one attempt to its end and passes all results to `sink`."""

    async def cancel(self, address: str, stream_id: str) -> None:
        """Ends a stream on an engine; failures are ignored."""

    async def load(
        self,
        address: str,
        *,
        server_id: str = "",
        fresh_connection: bool = False,
    ) -> Result[EngineLoad, BackendError]:
        """Returns the server's load.

        Args:
            address: Address of the server.
            server_id: The server, for servers that check it.
            fresh_connection: Whether a pooled connection must not be used.
        """

    def drop_connections(self, server_id: str) -> None:
        """Closes the pooled connections to a server."""

    async def poll_load(
        self, address: str, *, server_id: str = ""
    ) -> Result[EngineLoad, BackendError]:
        """Returns the server's load, on a connection kept between polls.

        A connection that stops responding costs one poll and is then closed.
        """

    async def cache_events(
        self, address: str, *, after: int, server_id: str = ""
    ) -> Result[CacheEvents, BackendError]:
        """Returns the cache events after a sequence number; waits for them."""

    async def order(
        self, address: str, order: Order
    ) -> Result[None, BackendError]:
        """Sends an order."""

    async def export_kv(
        self, address: str, level_key: int
    ) -> Result[bytes, BackendError]:
        """Returns a level's cached state with its stamp."""

    async def import_kv(
        self, address: str, data: bytes
    ) -> Result[None, BackendError]:
        """Sends cached state to an engine, which checks its stamp."""


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
    "failed_call",
]

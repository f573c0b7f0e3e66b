"""What a server says of itself with an answer, whatever it answers to."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from godwittack.backend import (
    advertised_limits,
    headers,
    retry_after,
    unreadable,
)
from godwittack.core import server_inputs

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from godwittack.backend import connection
    from godwittack.clock import Clock
    from godwittack.core import work

STATUS_TOO_MANY = 429
STATUS_UNAVAILABLE = 503

# Rest of a server that asks for one of a length that can't be read.
DEFAULT_REST_MS = 1_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EchoedLoad:
    """Load that a server tells with an answer."""

    running: int
    waiting: int
    slots: int


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServerSignals:
    """All that an answer says of its server.

    Attributes:
        load: Its load; None where the answer tells none.
        rate_limit: Requests a second that it takes from all daemons together,
            None for no limit; the text where that can't be read.
        is_leaving: Whether it is about to stop.
        rest: Milliseconds for which it wants nothing from this daemon, None
            where it asks for no rest; the text where that can't be read.
    """

    load: EchoedLoad | None = None
    rate_limit: Result[float | None, str] = dataclasses.field(
        default_factory=lambda: Ok(None)
    )
    is_leaving: bool = False
    rest: Result[int | None, str] = dataclasses.field(
        default_factory=lambda: Ok(None)
    )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SignalHeaders:
    """Names of the headers by which servers tell of themselves.

    Attributes:
        load: Running, waiting and slots, separated by commas.
        rate_limit: Requests a second from all daemons, in all spellings.
        leaving: Present in answers of a server about to stop, as well.
        not_run: Present where a request was declined.
    """

    load: str
    rate_limit: tuple[str, ...]
    leaving: tuple[str, ...]
    not_run: str


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SignalOrigin:
    """Who said it, and in answer to what.

    Attributes:
        incarnation: The start that the call was meant for; empty where it is
            not known.
        request_id: Request that was answered; empty for other calls.
    """

    server_id: str
    incarnation: str = ""
    request_id: str = ""


class SignalReporter:
    """Hands what servers say of themselves to the core.

    Attributes:
        submit: Takes the inputs.
        limits: What servers say of the rate that they take.
    """

    def __init__(self, *, clock: Clock) -> None:
        """Dates what is told by `clock`."""
        self._clock = clock
        self.submit: Callable[[server_inputs.ServerSignal], None]
        self.submit = lambda told: None
        self.limits = advertised_limits.AdvertisedLimits(clock=clock)
        self._unreadable = unreadable.UnreadableLog(
            "server_rest_unreadable", assumed_ms=DEFAULT_REST_MS
        )

    def report(
        self,
        sender: SignalOrigin,
        signals: ServerSignals,
        *,
        may_lift_limit: bool,
    ) -> None:
        """Takes in what came with an answer.

        Args:
            sender: The server that answered.
            signals: What it said.
            may_lift_limit: Whether an answer without a limit says that none
                holds, as one to a request that was run does.
        """
        now_ms = self._clock.now_ms()
        if signals.is_leaving:
            self.submit(
                server_inputs.ServerLeaving(
                    now_ms,
                    sender.server_id,
                    incarnation=sender.incarnation,
                    source=server_inputs.Source.ANSWER,
                    request_id=sender.request_id,
                )
            )
        rest_ms = self._rest_ms(sender.server_id, signals.rest)
        if rest_ms:
            self.submit(
                server_inputs.RestAsked(
                    at_ms=now_ms,
                    server_id=sender.server_id,
                    incarnation=sender.incarnation,
                    rest_ms=rest_ms,
                    request_id=sender.request_id,
                )
            )
        if signals.load is not None:
            self.submit(
                server_inputs.LoadEchoed(
                    at_ms=now_ms,
                    server_id=sender.server_id,
                    running=signals.load.running,
                    waiting=signals.load.waiting,
                    slots=signals.load.slots,
                )
            )
        self.limits.report(
            sender.server_id, signals.rate_limit, may_lift=may_lift_limit
        )

    def _rest_ms(self, server_id: str, rest: Result[int | None, str]) -> int:
        if isinstance(rest, Err):
            self._unreadable.log(server_id, rest.err_value)
            return DEFAULT_REST_MS
        return rest.ok_value or 0


def read(reply: connection.Reply, names: SignalHeaders) -> ServerSignals:
    """Returns all that an answer says of its server."""
    return ServerSignals(
        load=_parse_load(reply.header(names.load)),
        rate_limit=headers.parse_decimal(reply.headers, names.rate_limit),
        is_leaving=any(_is_set(reply.header(name)) for name in names.leaving),
        rest=read_rest(
            reply.status,
            reply.headers,
            is_declined=bool(reply.header(names.not_run)),
        ),
    )


def read_rest(
    status: int, found: Iterable[work.Header], *, is_declined: bool
) -> Result[int | None, str]:
    """Returns the rest that a server asks for where it turns a call away.

    Too many calls of one kind are no wish for rest unless it is requests that
    are declined by that: of event streams a server takes few at a time.
    """
    asks = status == STATUS_UNAVAILABLE or (
        status == STATUS_TOO_MANY and is_declined
    )
    return retry_after.read(found) if asks else Ok(None)


def _parse_load(text: str) -> EchoedLoad | None:
    parts = [headers.parse_number(part) for part in text.split(",")]
    if len(parts) != 3 or None in parts:
        return None
    running, waiting, slots = (part or 0 for part in parts)
    return EchoedLoad(running=running, waiting=waiting, slots=slots)


def _is_set(text: str) -> bool:
    return text.strip() not in ("", "0")


__all__ = [
    "EchoedLoad",
    "SignalReporter",
    "ServerSignals",
    "SignalOrigin",
    "SignalHeaders",
    "read",
    "read_rest",
]

"""Reads what servers report about themselves in headers of any answer."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from result import Err, Ok, Result

from godwittack.backend import (
    advertised_limits,
    brittleness,
    headers,
    json_fields,
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

# Higher paces are taken as unreadable.
MAX_PACE_PERCENT = 100_000

# Rest of a server that requests one of an unreadable length.
DEFAULT_REST_MS = 1_000


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class EchoedLoad:
    """Load that a server reports with an answer.

    Attributes:
        running: Requests running.
        waiting: Requests waiting.
        slots: Maximum number of requests that it runs at a time.
        pace_percent: Time that work takes at this moment, in percent of the
            usual time; None if it is missing or can't be read.
        unreadable_pace: What can't be read as that; empty for nothing.
    """

    running: int
    waiting: int
    slots: int
    pace_percent: int | None = None
    unreadable_pace: str = ""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServerSignals:
    """All that an answer reports about its server.

    Attributes:
        load: The server's load; None where the answer has none.
        rate_limit: Requests a second that it accepts from all daemons
            together, None for no limit; the header's text where it can't be
            read.
        is_leaving: Whether it is about to stop.
        brittle: Requests that it may reject in a second for want of room, None
            if it is not brittle; the header's text where it can't be read.
        rest: Milliseconds during which this daemon must send it nothing, None
            where it requests no rest; the header's text where it can't be
            read.
    """

    load: EchoedLoad | None = None
    rate_limit: Result[float | None, str] = dataclasses.field(
        default_factory=lambda: Ok(None)
    )
    is_leaving: bool = False
    brittle: Result[float | None, str] = dataclasses.field(
        default_factory=lambda: Ok(None)
    )
    rest: Result[int | None, str] = dataclasses.field(
        default_factory=lambda: Ok(None)
    )


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SignalHeaders:
    """Names of the headers by which servers report about themselves.

    Attributes:
        load: Header with running, waiting, slots and, from some servers, the
            pace, separated by commas.
        rate_limit: Headers with the requests a second from all daemons, in all
            spellings.
        leaving: Headers that mark a server about to stop, in all spellings.
        not_run: Header that marks a declined request.
        brittle: Headers with the requests that a brittle server may reject in
            a second, in all spellings.
    """

    load: str
    rate_limit: tuple[str, ...]
    leaving: tuple[str, ...]
    not_run: str
    brittle: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class SignalOrigin:
    """Server and request that an answer with signals belongs to.

    Attributes:
        incarnation: Incarnation that the call was meant for; empty where it
            is not known.
        request_id: Request that was answered; empty for other calls.
        is_relayed: Whether the answer came through another daemon.
    """

    server_id: str
    incarnation: str = ""
    request_id: str = ""
    is_relayed: bool = False


class SignalReporter:
    """Passes the signals of servers to the core.

    Attributes:
        submit: Called with each input.
        limits: Reports the servers' rate limits.
        brittle: Reports servers that bear few rejections.
    """

    def __init__(self, *, clock: Clock) -> None:
        """Uses `clock` for the time of each input."""
        self._clock = clock
        self.submit: Callable[[server_inputs.ServerSignal], None]
        self.submit = lambda signal: None
        self.limits = advertised_limits.AdvertisedLimits(clock=clock)
        self.brittle = brittleness.Brittleness(clock=clock)
        self._unreadable = unreadable.UnreadableLog(
            "server_rest_unreadable", assumed_ms=DEFAULT_REST_MS
        )
        self._unreadable_pace = unreadable.UnreadableLog(
            "server_pace_unreadable"
        )

    def report(
        self,
        origin: SignalOrigin,
        signals: ServerSignals,
        *,
        may_lift_limit: bool,
    ) -> None:
        """Submits the signals of an answer to the core.

        Args:
            origin: Server and request of the answer.
            signals: Signals of the answer.
            may_lift_limit: Whether an answer without a limit lifts the known
                one; true for answers to requests that were run.
        """
        now_ms = self._clock.now_ms()
        if signals.is_leaving:
            self.submit(
                server_inputs.ServerLeaving(
                    now_ms,
                    origin.server_id,
                    incarnation=origin.incarnation,
                    source=server_inputs.Source.ANSWER,
                    request_id=origin.request_id,
                )
            )
        rest_ms = self._rest_ms(origin.server_id, signals.rest)
        if rest_ms:
            self.submit(
                server_inputs.RestAsked(
                    at_ms=now_ms,
                    server_id=origin.server_id,
                    incarnation=origin.incarnation,
                    rest_ms=rest_ms,
                    request_id=origin.request_id,
                )
            )
        if signals.load is not None:
            if signals.load.unreadable_pace:
                self._unreadable_pace.log(
                    origin.server_id, signals.load.unreadable_pace
                )
            self.submit(
                server_inputs.LoadEchoed(
                    at_ms=now_ms,
                    server_id=origin.server_id,
                    running=signals.load.running,
                    waiting=signals.load.waiting,
                    slots=signals.load.slots,
                    is_relayed=origin.is_relayed,
                    pace_percent=signals.load.pace_percent or 0,
                )
            )
        self.brittle.report(
            origin.server_id, signals.brittle, may_lift=may_lift_limit
        )
        self.limits.report(
            origin.server_id, signals.rate_limit, may_lift=may_lift_limit
        )

    def _rest_ms(self, server_id: str, rest: Result[int | None, str]) -> int:
        if isinstance(rest, Err):
            self._unreadable.log(server_id, rest.err_value)
            return DEFAULT_REST_MS
        return rest.ok_value or 0


def read(reply: connection.Reply, names: SignalHeaders) -> ServerSignals:
    """Returns all that an answer reports about its server."""
    return ServerSignals(
        load=_parse_load(reply.header(names.load)),
        rate_limit=headers.parse_decimal(reply.headers, names.rate_limit),
        brittle=headers.parse_decimal(reply.headers, names.brittle),
        is_leaving=any(_is_set(reply.header(name)) for name in names.leaving),
        rest=read_rest(
            reply.status,
            reply.headers,
            is_declined=bool(reply.header(names.not_run)),
        ),
    )


def read_rest(
    status: int, answer_headers: Iterable[work.Header], *, is_declined: bool
) -> Result[int | None, str]:
    """Returns the rest that a server requests where it rejects a call.

    Status 429 requests a rest only where it declines a caller's request: a
    server accepts few event streams at a time and rejects others with 429.
    """
    requests_rest = status == STATUS_UNAVAILABLE or (
        status == STATUS_TOO_MANY and is_declined
    )
    return retry_after.read(answer_headers) if requests_rest else Ok(None)


def _parse_load(text: str) -> EchoedLoad | None:
    parts = text.split(",", 3)
    counts = [headers.parse_number(part) for part in parts[:3]]
    if len(counts) != 3 or None in counts:
        return None
    running, waiting, slots = (count or 0 for count in counts)
    if max(running, waiting, slots) > json_fields.MAX_REQUESTS:
        # Taken as true, it would make each request wait longer than it may.
        return None
    pace_text = parts[3].strip() if len(parts) > 3 else ""
    pace_percent = _parse_pace(pace_text)
    return EchoedLoad(
        running=running,
        waiting=waiting,
        slots=slots,
        pace_percent=pace_percent,
        unreadable_pace="" if pace_percent else pace_text,
    )


def _parse_pace(text: str) -> int | None:
    """Returns a pace in percent, None if it is none or not plausible."""
    percent = headers.parse_number(text)
    is_plausible = percent is not None and 0 < percent <= MAX_PACE_PERCENT
    return percent if is_plausible else None


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

"""The core's tables: one row type an entity, one mapping a table."""

from __future__ import annotations

import collections
import dataclasses
import enum

from godwittack.core import dispatch_pacing, effects, pace, quarantine, weights
from godwittack.core import policy as policies
from godwittack.core import work as works
from godwittack.limit import advertised, budget, fair, shares
from godwittack.placement import residency
from godwittack.table import model


class Phase(enum.StrEnum):
    """Where a request stands."""

    CLAIMING = "claiming"
    QUEUED = "queued"
    RUNNING = "running"
    STORING = "storing"


@dataclasses.dataclass(slots=True, kw_only=True)
class RequestRow:
    """One caller's request from arrival to its final effect.

    Attributes:
        deadline_at_ms: When the answer should have begun.
        leaves_at_ms: When the caller leaves unless an answer has begun; 0 for
            at the deadline.
        known_tokens: Prompt tokens of levels that earlier requests brought.
        attempt_id: Current attempt; frames of any other are dropped.
        attempts: Dispatches so far.
        avoid: Servers that failed this request.
        next_frame: Number of the next frame the caller needs.
        begun: Whether a byte of the answer went out.
        begun_elsewhere: Whether another daemon sent the first frames, so
            that a failure may not start the answer anew.
        late: Whether the deadline had passed when the answer began.
        sent: Whether a byte of any attempt may have reached a server.
        resumes: Resumptions since the last new frame.
        claim_key: Key under which the call is claimed; None where it may be
            repeated.
        claim_tries: Claim writes that got no reply.
        caller_gone: Whether nobody waits any more.
        answer: Whole answer waiting for its record.
        answered_at_ms: When that answer came.
        give_up_at_ms: When a final answer is due in any case; 0 for never.
        runs: Dispatches that may have run.
        head: Status and headers of the stream's first server.
        queue_rank: Rank of the queue in which it is held back.
        awaits_rest: Whether it is held until a server has rested.
        cells: Cells with a limit in which it counts while it is in flight.
    """

    request_id: str
    work: works.Work
    workspace: str
    arrived_at_ms: int
    deadline_at_ms: int
    leaves_at_ms: int = 0
    known_tokens: int = 0
    phase: Phase = Phase.CLAIMING
    attempt_id: str = ""
    attempts: int = 0
    avoid: set[str] = dataclasses.field(default_factory=set)
    next_frame: int = 1
    begun: bool = False
    begun_elsewhere: bool = False
    late: bool = False
    sent: bool = False
    resumes: int = 0
    claim_key: works.ClaimKey | None = None
    claim_tries: int = 0
    nonce: str = ""
    caller_gone: bool = False
    answer: works.Answer | None = None
    answered_at_ms: int = 0
    give_up_at_ms: int = 0
    runs: int = 0
    head: works.Head | None = None
    queue_rank: int = 0
    awaits_rest: bool = False
    cells: tuple[str, ...] = ()

    @property
    def begin_by_ms(self) -> int:
        """Until when the answer is of use, as long as it has not begun."""
        if self.begun or self.begun_elsewhere or not self.leaves_at_ms:
            return self.deadline_at_ms
        return min(self.deadline_at_ms, self.leaves_at_ms)

    @property
    def content(self) -> str:
        """Names what is asked and by whom; empty where that is not known."""
        fingerprint = self.work.fingerprint
        return f"{self.workspace}/{fingerprint}" if fingerprint else ""

    @property
    def at_most_once(self) -> bool:
        """Whether running the request twice would do harm."""
        route = self.work.route
        if route is None:
            return self.claim_key is not None
        return not (route.repeatable or route.resumable)


@dataclasses.dataclass(slots=True, kw_only=True)
class AttemptRow:
    """One dispatch of a request to one backend server.

    Attributes:
        stream_id: The engine's name of the stream; the first attempt's id.
        expected_tokens: Prompt tokens this daemon expects not to be cached.
        heard_at_ms: When the server last showed progress on this attempt.
        server_start: Names the start of the server that it was sent to.
    """

    attempt_id: str
    request_id: str
    server_id: str
    stamp: works.Stamp | None
    stream_id: str
    sent_at_ms: int
    heard_at_ms: int
    expected_tokens: int = 0
    opened: bool = False
    server_start: str = ""


@dataclasses.dataclass(slots=True, kw_only=True)
class ServerRow:
    """One backend server as this daemon knows it.

    Attributes:
        incarnation: Last one seen; empty until the server was heard.
        draining_until_ms: No new work before this time, so that weights can
            be loaded without cutting a stream.
        reported_at_ms: When the state in the last report was true.
        sent: Own dispatches not finished: attempt id to its send time and
            expected tokens.
        failures: Failures in a row.
        ejected_at_ms: When the last such pause began.
        ejected_until_ms: No new work before this time.
        full_until_ms: Used only where no other server is, before this time.
        rest_until_ms: It wants nothing from this daemon before this time.
        backlog: Until when it computes prompts, by their priority.
        begun_sent_ms: When the last request was sent that it has begun to
            answer, by priority.
        heard_at_ms: When it last said anything to this daemon.
        asked_at_ms: When it was last asked for a sign of life.
        limit: The rate that it takes from all daemons together; None for any.
        limit_heard_ms: When it last said so, or that there is none.
        limit_shared_ms: When a daemon last told the others of it.
        ended_start: The start of it that is known to have ended last.
        ended_at_ms: When that was known.
        broken: Requests whose connection to it closed lately, as crashes that
            are none unless its process ends.
    """

    server_id: str
    address: str
    target: str
    failure_domain: str = ""
    incarnation: str = ""
    weights_version: str = ""
    leaving: bool = False
    draining_until_ms: int = 0
    reported_at_ms: int = -1
    running: int = 0
    waiting: int = 0
    waiting_tokens: int = 0
    prefill_us_per_token: int = 0
    slots: int = 0
    sent: dict[str, AttemptRow] = dataclasses.field(default_factory=dict)
    backlog: dict[int, float] = dataclasses.field(default_factory=dict)
    begun_sent_ms: dict[int, int] = dataclasses.field(default_factory=dict)
    heard_at_ms: int = -1_000_000
    asked_at_ms: int = -1_000_000
    failures: int = 0
    ejected_at_ms: int = 0
    ejected_until_ms: int = 0
    full_until_ms: int = 0
    rest_until_ms: int = 0
    trial_attempt: str = ""
    limit: advertised.AdvertisedLimit | None = None
    limit_heard_ms: int = -1_000_000
    limit_shared_ms: int = -1_000_000
    ended_start: str = ""
    ended_at_ms: int = -1
    broken: list[quarantine.Crash] = dataclasses.field(default_factory=list)
    cache: residency.Residency = dataclasses.field(
        default_factory=residency.Residency
    )


@dataclasses.dataclass(slots=True, kw_only=True)
class NoticeRow:
    """What one start of a server has said, kept beyond its entry in the list.

    Attributes:
        start: The start that said it; empty where that is not known.
        is_leaving: Whether it is about to stop.
        rest_until_ms: Until when it wants nothing from this daemon; 0 where it
            asked for no rest.
    """

    start: str
    is_leaving: bool = False
    rest_until_ms: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class OutcomeRow:
    """A claim's outcome that the table service has not yet confirmed.

    Attributes:
        next_try_at_ms: When to send it again; 0 while a write is on its way.
    """

    request_id: str
    key: works.ClaimKey
    claim: works.Claim
    since_ms: int
    next_try_at_ms: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class World:
    """All tables of one daemon's core.

    Attributes:
        daemon: This daemon's incarnation, as written into claims.
        out: Effects of the input being worked on.
        right_until_ms: Until when the table here may be called current.
        live_daemons: Incarnations of daemons believed alive.
        carriers: Those of them that requests are sent by.
        weights_named: Versions of weights in the order in which they were
            wanted, by target.
        started_at_ms: When the first input came; -1 before it.
        known_daemons: Daemons that there should be, by the last account.
        most_daemons: Most that there ever should have been.
        has_met_others: Whether another daemon was ever believed alive.
        members_changed_ms: When they last changed.
        target_budgets: Retry budgets by target, where the limit on retries
            holds for each target by itself.
        queues: Requests held back, by target and rank.
        freed_targets: Targets whose queues may move after this input.
        service_ms: Smoothed time from dispatch to end, by target.
        turns: How fast held-back requests go out, by target and rank.
        paces: What first tokens have shown of engines, by target.
        quarantine: Requests under which servers ended.
        notices: What servers have said of their availability, by server.
        resting: Servers that have asked for a rest that is not over yet.
    """

    daemon: str
    policy: policies.Policy
    now_ms: int = 0
    started_at_ms: int = -1
    out: list[effects.Effect] = dataclasses.field(default_factory=list)
    table: model.Table = dataclasses.field(default_factory=model.Table)
    requests: dict[str, RequestRow] = dataclasses.field(default_factory=dict)
    attempts: dict[str, AttemptRow] = dataclasses.field(default_factory=dict)
    servers: dict[str, ServerRow] = dataclasses.field(default_factory=dict)
    servers_by_target: dict[str, dict[str, ServerRow]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(dict)
    )
    outcomes: dict[str, OutcomeRow] = dataclasses.field(default_factory=dict)
    queues: dict[str, dict[int, fair.FairQueue]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(dict)
    )
    shares: shares.Shares = dataclasses.field(default_factory=shares.Shares)
    retry_budget: budget.Budget = dataclasses.field(
        default_factory=budget.Budget
    )
    target_budgets: dict[str, budget.SharedBudget] = dataclasses.field(
        default_factory=dict
    )
    spill_budget: budget.Budget = dataclasses.field(
        default_factory=budget.Budget
    )
    heat: residency.Heat = dataclasses.field(default_factory=residency.Heat)
    freed_targets: set[str] = dataclasses.field(default_factory=set)
    service_ms: dict[str, float] = dataclasses.field(default_factory=dict)
    live_daemons: frozenset[str] = frozenset()
    carriers: frozenset[str] = frozenset()
    right_until_ms: int = 0
    stopping: bool = False
    stopped: bool = False
    weights_named: dict[str, list[weights.Naming]] = dataclasses.field(
        default_factory=dict
    )
    most_daemons: int = 1
    known_daemons: int = 1
    has_met_others: bool = False
    members_changed_ms: int = 0
    attempt_counter: int = 0
    quarantine: quarantine.Quarantine = dataclasses.field(
        default_factory=quarantine.Quarantine
    )
    turns: dict[tuple[str, int], dispatch_pacing.DispatchInterval] = (
        dataclasses.field(default_factory=dict)
    )
    notices: dict[str, NoticeRow] = dataclasses.field(default_factory=dict)
    resting: set[str] = dataclasses.field(default_factory=set)
    paces: dict[str, pace.Pace] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(pace.Pace)
    )

    def emit(self, effect: effects.Effect) -> None:
        """Adds an effect to the current input's result."""
        self.out.append(effect)

    def event(
        self, name: str, request_id: str = "", **fields: str | int | float
    ) -> None:
        """Emits a log line with its pairs in the order given."""
        pairs = tuple(effects.Field(k, v) for k, v in fields.items())
        self.out.append(effects.Event(name, request_id, pairs))

    def next_attempt_id(self) -> str:
        """Returns an id that no other daemon or incarnation uses."""
        self.attempt_counter += 1
        return f"{self.daemon}.{self.attempt_counter}"

    @property
    def right_to_serve(self) -> bool:
        """Whether new work may start, as of the current input's time."""
        return self.now_ms < self.right_until_ms

    def queued(self) -> int:
        """Returns how many requests are held back."""
        return sum(
            len(queue)
            for by_rank in self.queues.values()
            for queue in by_rank.values()
        )


__all__ = [
    "AttemptRow",
    "NoticeRow",
    "OutcomeRow",
    "Phase",
    "RequestRow",
    "ServerRow",
    "World",
]

"""The core's in-memory tables and the types of their rows."""

from __future__ import annotations

import collections
import dataclasses
import enum

from godwittack.core import (
    confirming,
    dispatch_pacing,
    effects,
    memory_records,
    prefill_cost,
    prompt_mix,
    quarantine,
    queue_keys,
    server_inputs,
    server_pace,
    stream_records,
    suspects,
    urgency,
    weights,
)
from godwittack.core import policy as policies
from godwittack.core import work as works
from godwittack.limit import (
    advertised,
    buckets,
    budget,
    reservations,
    shares,
    urgency_queue,
)
from godwittack.member import freshness
from godwittack.placement import residency
from godwittack.table import model


class Phase(enum.StrEnum):
    """Phase of a request's life cycle."""

    CLAIMING = "claiming"
    ASKING = "asking"
    QUEUED = "queued"
    RUNNING = "running"
    STORING = "storing"


class Silence(enum.StrEnum):
    """What an attempt that makes no progress is believed to wait for.

    SERVER: nothing at all is heard of the server. RELAY: the daemon that passes
    the attempt on does not reach it. ANSWER: the server responds, but not to
    this attempt.
    """

    NONE = "none"
    SERVER = "server"
    RELAY = "relay"
    ANSWER = "answer"


@dataclasses.dataclass(slots=True, kw_only=True)
class StreamInquiry:
    """A question to other daemons which software version began a stream.

    Attributes:
        waiting_for: Daemons that have not answered.
        versions: Recent versions that any daemon has seen.
        is_complete: Whether one has seen them for as long as a stream may live.
        has_answer: Whether another daemon answered, if there is one.
        missing_answers: Daemons that gave no answer in time.
    """

    waiting_for: set[str]
    asked_at_ms: int
    versions: set[str]
    is_complete: bool
    has_answer: bool
    missing_answers: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class RequestRow:
    """One caller's request from arrival to its final effect.

    Attributes:
        deadline_at_ms: Time by which the answer should begin.
        caller_timeout_at_ms: When the caller disconnects unless the answer has
            begun; 0 if that is at the deadline.
        seen_tokens: Prompt tokens of levels seen in earlier requests.
        open_attempts: Attempts that may still bring the answer, oldest first;
            frames of any other are dropped.
        attempts: Dispatches so far.
        excluded_servers: Ids of servers on which this request failed; they
            are not tried again.
        next_frame: Number of the next frame the caller needs.
        answer_started: Whether a byte of the answer was sent to the caller.
        started_elsewhere: Whether another daemon sent the first frames, so
            that the answer must not be restarted after a failure.
        late: Whether the deadline had passed when the answer began.
        may_have_run: Whether a byte of any attempt may have reached a server.
        resumes: Resumptions since the last new frame.
        claim_key: Key under which the call is claimed; None if the call is
            repeatable.
        claim_tries: Claim writes that got no reply.
        nonce: Identifies this request's claim writes.
        caller_gone: Whether the caller has disconnected.
        answer: Whole answer: held until its claim is updated, or an error
            answer to return unless a retry succeeds.
        answered_at_ms: When the held answer was received.
        timeout_at_ms: When the request is ended in any case; 0 for never.
        possible_runs: Dispatches that may have been run by a server.
        head: Status and headers that the caller got with the first event.
        queue_key: Key of the queue that holds the request.
        awaits_rest_end: Whether it is queued until a server's requested rest
            ends.
        cells: Limited cells that count the request while it is in flight.
        quota_units: Units that one run of it takes from its workspace's quota.
        quota_runs: Runs for which they were taken.
        relay: Daemon that passed its last attempt on; empty for none.
        stream_version: Software version that began its stream, at which it must
            go on; empty if none has, or if it is not known.
        inquiry: The question which version that was.
        last_attempt: Its newest attempt, also once that is closed.
        hedge_check_at_ms: When to check next whether another server may be
            asked while its attempts are silent.
        logged_limit: Limit that was last logged to prevent a retry.
    """

    request_id: str
    work: works.Work
    workspace: str
    arrived_at_ms: int
    deadline_at_ms: int
    caller_timeout_at_ms: int = 0
    seen_tokens: int = 0
    phase: Phase = Phase.CLAIMING
    open_attempts: dict[str, AttemptRow] = dataclasses.field(
        default_factory=dict
    )
    attempts: int = 0
    excluded_servers: set[str] = dataclasses.field(default_factory=set)
    next_frame: int = 1
    answer_started: bool = False
    started_elsewhere: bool = False
    late: bool = False
    may_have_run: bool = False
    resumes: int = 0
    claim_key: works.ClaimKey | None = None
    claim_tries: int = 0
    nonce: str = ""
    caller_gone: bool = False
    answer: works.Answer | None = None
    answered_at_ms: int = 0
    timeout_at_ms: int = 0
    possible_runs: int = 0
    head: works.Head | None = None
    queue_key: queue_keys.QueueKey = queue_keys.DEFAULT
    awaits_rest_end: bool = False
    cells: tuple[str, ...] = ()
    quota_units: int = 0
    quota_runs: int = 0
    relay: str = ""
    stream_version: str = ""
    inquiry: StreamInquiry | None = None
    last_attempt: AttemptRow | None = None
    hedge_check_at_ms: int = 0
    logged_limit: str = ""

    @property
    def answer_start_deadline_ms(self) -> int:
        """Latest time at which the answer may begin."""
        if (
            self.answer_started
            or self.started_elsewhere
            or not self.caller_timeout_at_ms
        ):
            return self.deadline_at_ms
        return min(self.deadline_at_ms, self.caller_timeout_at_ms)

    def has_attempt_at(self, server_id: str) -> bool:
        """Returns whether an open attempt runs at a server."""
        return any(
            attempt.server_id == server_id
            for attempt in self.open_attempts.values()
        )

    @property
    def content(self) -> str:
        """Key of workspace and request content; empty if not known."""
        return suspects.content_key(self.workspace, self.work.fingerprint)

    @property
    def part_keys(self) -> tuple[str, ...]:
        """Keys of the parts of its prompt that other requests may share."""
        target = self.work.target
        return tuple(suspects.part_key(target, p) for p in self.work.parts)

    @property
    def suspect_keys(self) -> tuple[str, ...]:
        """Keys of all that may crash a server."""
        return (*filter(None, (self.content,)), *self.part_keys)

    @property
    def at_most_once(self) -> bool:
        """Whether the request must not run more than once."""
        route = self.work.route
        if route is None:
            return self.claim_key is not None
        return not (route.repeatable or route.resumable)

    @property
    def needs_fresh_connection(self) -> bool:
        """Returns whether it must not be sent on a pooled connection.

        A pooled connection may be dead without either end noticing; a call
        that may not be repeated could then be lost with its outcome unknown.
        A new one fails before anything is sent.
        """
        return self.at_most_once and self.work.kind is works.WorkKind.PLAIN


@dataclasses.dataclass(slots=True, kw_only=True)
class AttemptRow:
    """One dispatch of a request to one backend server.

    Attributes:
        stream_id: Id of the stream on the engine: the first attempt's id.
        last_progress_ms: When the server last made progress on this attempt.
        expected_tokens: Prompt tokens that are expected not to be cached.
        expected_cached_tokens: The prompt's other tokens.
        expected_wait_ms: Expected wait at the server.
        expected_idle_ms: Expected time to the first token in addition to it.
        first_token_due_ms: When the first token is expected; 0 if it has
            arrived, or if the target is not uneven.
        incarnation: Incarnation of the server at dispatch; empty if not known.
        incarnation_id: Unique id of that incarnation.
        software_version: Version of the server's software at dispatch; empty if
            not known.
        is_delimited: Whether the server marks the end of its answer.
        relay: Daemon that sends it to the server; empty for this one.
        head: Status and headers of the answer; None until they arrive.
        silence: What it waits for in vain.
        silent_since_ms: When that was found.
        silence_detail: How it was found, for the log.
        has_own_place: Whether it takes a place of this daemon at a brittle
            server.
        memory: Memory that it occupies at the server; None if not estimated.
    """

    attempt_id: str
    request_id: str
    server_id: str
    stamp: works.Stamp | None
    stream_id: str
    sent_at_ms: int
    last_progress_ms: int
    expected_tokens: int = 0
    expected_cached_tokens: int = 0
    expected_wait_ms: float = 0.0
    expected_idle_ms: float = 0.0
    first_token_due_ms: float = 0.0
    opened: bool = False
    is_delimited: bool = True
    incarnation: str = ""
    incarnation_id: str = ""
    software_version: str = ""
    relay: str = ""
    head: works.Head | None = None
    silence: Silence = Silence.NONE
    silent_since_ms: int = 0
    silence_detail: str = ""
    has_own_place: bool = True
    memory: memory_records.Occupant | None = None


@dataclasses.dataclass(slots=True)
class PeerPath:
    """What this daemon knows of another daemon's path to a server."""

    reaches: bool
    until_ms: int


@dataclasses.dataclass(slots=True, kw_only=True)
class Inquiry:
    """A question to other daemons whether they reach a server.

    Attributes:
        waiting_for: Daemons that have not answered.
        asked: All daemons asked.
        answers: Answers received, other than that the server is alive.
    """

    waiting_for: set[str]
    asked: set[str]
    answers: list[server_inputs.PathAnswered] = dataclasses.field(
        default_factory=list
    )


@dataclasses.dataclass(slots=True, kw_only=True)
class ServerRow:
    """One backend server as this daemon knows it.

    Attributes:
        incarnation: Last incarnation seen; empty until the first contact.
        software_version: Version of its software; empty if not listed.
        older_weights_since_ms: Since when all of its reports have older
            weights than are known here; -1 if the last one has not.
        draining_until_ms: No new work before this time, so that weights can
            be loaded without interrupting a stream.
        reported_at_ms: Time to which the last load report applies.
        in_flight: This daemon's unfinished dispatches, by attempt id.
        backlog_until_ms: Estimated time at which its queued prompts are
            computed, by their priority.
        pace: What is known of its pace, for uneven targets.
        last_answered_sent_ms: Latest send time of a request that it has begun
            to answer, by priority.
        last_contact_ms: When this daemon last received anything from it.
        last_probe_ms: When it was last probed.
        consecutive_failures: Failures since its last success.
        ejected_at_ms: When its last ejection began.
        ejected_until_ms: Ejected, so no new work, before this time.
        full_until_ms: Used only as a last resort before this time.
        rest_until_ms: No requests from this daemon before this time, at the
            server's request.
        trial_attempt_id: Id of the attempt that tests it after an ejection.
        rate_limit: Rate limit that it advertises for all daemons together;
            None if it has none.
        rate_limit_received_ms: When it last advertised that limit or its
            absence.
        rate_limit_announced_ms: When a daemon last announced the limit to its
            peers.
        ended_incarnation_id: Unique id of its last incarnation known to have
            ended.
        ended_at_ms: When this daemon learnt that it had ended.
        possible_crashes: Recent runs that were cut short; they count as
            crashes only if the server's process has ended.
        path_lost_at_ms: When this daemon found that it can't reach the server;
            0 while it can.
        path_is_refused: Whether connections were refused when it was lost.
        path_probe_at_ms: When to probe the lost path next.
        heard_alive_ms: When this daemon last learnt through another one that
            the server is alive.
        peer_paths: Other daemons' paths to it, by daemon, while the own path
            is lost.
        inquiry: The question to other daemons that is not yet answered.
        asked_at_ms: When other daemons were last asked.
        doubted_by: When other daemons told that it did not respond to them.
        max_rejected_per_s: Requests that it may reject in a second before it
            falls over; None if it has not said so.
        brittle_heard_ms: When it last said whether it is brittle.
        brittle_told_ms: When a daemon last announced that to its peers.
        rejected_at_ms: When it last rejected a request of this daemon.
        passed_on: Requests of other daemons that take places of this one.
        idle_connections: Idle connections that this daemon has to it.
        idle_until_ms: When it closes the most recently used of them.
        found_dead_until_ms: Until when to believe other daemons that don't
            reach it either.
        memory: Memory that requests occupy there, if it is an engine.
    """

    server_id: str
    address: str
    target: str
    failure_domain: str = ""
    incarnation: str = ""
    software_version: str = ""
    weights_version: str = ""
    older_weights_since_ms: int = -1
    leaving: bool = False
    draining_until_ms: int = 0
    reported_at_ms: int = -1
    running: int = 0
    waiting: int = 0
    waiting_tokens: int = 0
    prefill_us_per_token: int = 0
    slots: int = 0
    in_flight: dict[str, AttemptRow] = dataclasses.field(default_factory=dict)
    backlog_until_ms: dict[int, float] = dataclasses.field(default_factory=dict)
    pace: server_pace.ServerPace = dataclasses.field(
        default_factory=server_pace.ServerPace
    )
    last_answered_sent_ms: dict[int, int] = dataclasses.field(
        default_factory=dict
    )
    last_contact_ms: int = -1_000_000
    last_probe_ms: int = -1_000_000
    consecutive_failures: int = 0
    ejected_at_ms: int = 0
    ejected_until_ms: int = 0
    full_until_ms: int = 0
    rest_until_ms: int = 0
    trial_attempt_id: str = ""
    rate_limit: advertised.AdvertisedLimit | None = None
    rate_limit_received_ms: int = -1_000_000
    rate_limit_announced_ms: int = -1_000_000
    ended_incarnation_id: str = ""
    ended_at_ms: int = -1
    possible_crashes: list[quarantine.BrokenRun] = dataclasses.field(
        default_factory=list
    )
    path_lost_at_ms: int = 0
    path_is_refused: bool = False
    path_probe_at_ms: int = 0
    heard_alive_ms: int = -1_000_000
    peer_paths: dict[str, PeerPath] = dataclasses.field(default_factory=dict)
    inquiry: Inquiry | None = None
    asked_at_ms: int = -1_000_000
    doubted_by: dict[str, int] = dataclasses.field(default_factory=dict)
    found_dead_until_ms: int = 0
    max_rejected_per_s: float | None = None
    brittle_heard_ms: int = -1_000_000
    brittle_told_ms: int = -1_000_000
    rejected_at_ms: int = -1_000_000
    passed_on: int = 0
    idle_connections: int = 0
    idle_until_ms: int = 0
    memory: memory_records.ServerMemory = dataclasses.field(
        default_factory=memory_records.ServerMemory
    )
    cache: residency.Residency = dataclasses.field(
        default_factory=residency.Residency
    )


@dataclasses.dataclass(slots=True, kw_only=True)
class AvailabilityNotice:
    """Availability announced by one incarnation of a server.

    It outlives the server's entry in the instance list.

    Attributes:
        incarnation: Incarnation that announced it; empty if not known.
        is_leaving: Whether it is about to stop.
        rest_until_ms: No requests from this daemon before this time; 0 if the
            server requested no rest.
    """

    incarnation: str
    is_leaving: bool = False
    rest_until_ms: int = 0


@dataclasses.dataclass(slots=True, kw_only=True)
class OutcomeRow:
    """A claim's outcome that the table service has not yet confirmed.

    Attributes:
        first_write_ms: When the outcome was first written.
        next_retry_at_ms: When to write it again; 0 while a write is pending.
    """

    request_id: str
    key: works.ClaimKey
    claim: works.Claim
    first_write_ms: int
    next_retry_at_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ToldPaths:
    """Servers that another daemon can't reach, as it told last."""

    lost: frozenset[str]
    at_ms: int


@dataclasses.dataclass(slots=True)
class Borrowing:
    """Use of other daemons' places at the brittle servers of a target.

    Attributes:
        declined: Requests declined in a row.
        paused_until_ms: Until when no other daemon is tried.
        tried_from_ms: Start of the window in which tries are counted.
        tried: Requests sent through other daemons in that window.
    """

    declined: int = 0
    paused_until_ms: int = 0
    tried_from_ms: int = -1_000_000
    tried: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class PastView:
    """The serving daemons of a view of the fleet that has ended."""

    until_ms: int
    daemons: frozenset[str]


@dataclasses.dataclass(slots=True, kw_only=True)
class World:
    """All state of one daemon's core.

    Attributes:
        daemon: This daemon's incarnation, as written into claims.
        failure_domain: Failure domain of this daemon; empty if unknown.
        started_at_ms: Time of the first input; -1 before it.
        pending_effects: Effects of the input being processed.
        queues: Queued requests, by target, and by engine group and priority.
        fleet_demand: Demand of all daemons by workspace, as last computed.
        first_token_ms: Smoothed time from sending a prompt to its first token,
            by target and priority.
        reservations: Capacity that callers will use that were told to return,
            by target and workspace.
        target_budgets: Retry budgets by target, if retries are limited for
            each target separately.
        targets_to_dispatch: Targets whose queues are to be dispatched after
            this input.
        quotas: Buckets of the workspaces that have a quota.
        service_time_ms: Smoothed time from dispatch to completion, by target.
        response_time_ms: Smoothed time from dispatch to a whole answer or to a
            stream's first event, by target.
        live_daemons: Incarnations of daemons believed alive.
        serving_daemons: Those of them that send requests to servers.
        near_daemons: Those of them in this daemon's failure domain.
        told_paths: Servers that other daemons can't reach, by daemon.
        first_view_ms: When this daemon first saw others; -1 before that.
        past_views: The daemons that served, of views that are no longer held.
        borrowing: Use of other daemons' places, by target.
        brittle_targets: Lowest tolerance of rejections of a target's servers.
        lost_relays: Until when not to send requests through a daemon.
        paths_told_ms: When this daemon last told others its lost paths.
        serving_lease_until_ms: Until when the table may be treated as current.
        weights_history: Requested versions of weights, oldest first, by target.
        max_expected_daemons: Maximum of `expected_daemons` since the start.
        expected_daemons: Expected number of daemons, from the last membership
            change.
        has_seen_peers: Whether another daemon was ever believed alive.
        members_changed_ms: When the membership last changed.
        quarantine: What requests held during which servers crashed.
        dispatch_pacing: Dispatch interval of queued requests, by target and
            priority.
        availability_notices: Availability announced by servers, by server id.
        resting_servers: Ids of servers whose requested rest has not ended.
        prefill_costs: Prefill cost learnt from first tokens, by target.
        uneven_targets: Targets of which a server has reported its pace.
        prompt_mixes: Numbers of short and long prompts, by target.
        preferred_engines: Engines to which this daemon prefers to keep
            connections, by target; removed when servers or daemons change.
        residences: How long requests occupy memory, by target.
        memory_holds: Requests that fit into no engine's memory, by target and
            request id.
        streams: Which software version began a stream.
        served_versions: Software versions of the servers, by target.
        routes_moved_ms: When the targets of a route last changed, by host and
            path prefix.
        paused_until_ms: When this process last went on after a pause.
        copies: When each copy of shared state was last confirmed.
        waiting_arrivals: Requests that wait for the table's confirmation, by
            id.
        awaiting_reads: Requests that wait for copies to be read, to take a
            stream up.
    """

    daemon: str
    policy: policies.Policy
    failure_domain: str = ""
    now_ms: int = 0
    started_at_ms: int = -1
    pending_effects: list[effects.Effect] = dataclasses.field(
        default_factory=list
    )
    table: model.Table = dataclasses.field(default_factory=model.Table)
    requests: dict[str, RequestRow] = dataclasses.field(default_factory=dict)
    attempts: dict[str, AttemptRow] = dataclasses.field(default_factory=dict)
    servers: dict[str, ServerRow] = dataclasses.field(default_factory=dict)
    servers_by_target: dict[str, dict[str, ServerRow]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(dict)
    )
    outcomes: dict[str, OutcomeRow] = dataclasses.field(default_factory=dict)
    queues: dict[str, dict[queue_keys.QueueKey, urgency_queue.RequestQueue]] = (
        dataclasses.field(default_factory=lambda: collections.defaultdict(dict))
    )
    fleet_demand: urgency.FleetDemand = dataclasses.field(
        default_factory=urgency.FleetDemand
    )
    first_token_ms: dict[tuple[str, int], float] = dataclasses.field(
        default_factory=dict
    )
    reservations: dict[tuple[str, str], reservations.Reservations] = (
        dataclasses.field(default_factory=dict)
    )
    shares: shares.Shares = dataclasses.field(default_factory=shares.Shares)
    quotas: buckets.Buckets = dataclasses.field(default_factory=buckets.Buckets)
    retry_budget: budget.Budget = dataclasses.field(
        default_factory=budget.Budget
    )
    target_budgets: dict[str, budget.SharedBudget] = dataclasses.field(
        default_factory=dict
    )
    spill_budget: budget.Budget = dataclasses.field(
        default_factory=budget.Budget
    )
    level_demand: residency.LevelDemand = dataclasses.field(
        default_factory=residency.LevelDemand
    )
    targets_to_dispatch: set[str] = dataclasses.field(default_factory=set)
    service_time_ms: dict[str, float] = dataclasses.field(default_factory=dict)
    response_time_ms: dict[str, float] = dataclasses.field(default_factory=dict)
    live_daemons: frozenset[str] = frozenset()
    serving_daemons: frozenset[str] = frozenset()
    near_daemons: frozenset[str] = frozenset()
    told_paths: dict[str, ToldPaths] = dataclasses.field(default_factory=dict)
    lost_relays: dict[str, int] = dataclasses.field(default_factory=dict)
    first_view_ms: int = -1
    past_views: list[PastView] = dataclasses.field(default_factory=list)
    borrowing: dict[str, Borrowing] = dataclasses.field(default_factory=dict)
    brittle_targets: dict[str, float] = dataclasses.field(default_factory=dict)
    paths_told_ms: int = 0
    serving_lease_until_ms: int = 0
    stopping: bool = False
    stopped: bool = False
    weights_history: dict[str, list[weights.DesiredVersion]] = (
        dataclasses.field(default_factory=dict)
    )
    max_expected_daemons: int = 1
    expected_daemons: int = 1
    has_seen_peers: bool = False
    members_changed_ms: int = 0
    attempt_counter: int = 0
    quarantine: quarantine.Quarantine = dataclasses.field(
        default_factory=quarantine.Quarantine
    )
    dispatch_pacing: dict[
        tuple[str, queue_keys.QueueKey], dispatch_pacing.DispatchInterval
    ] = dataclasses.field(default_factory=dict)
    availability_notices: dict[str, AvailabilityNotice] = dataclasses.field(
        default_factory=dict
    )
    resting_servers: set[str] = dataclasses.field(default_factory=set)
    prefill_costs: dict[str, prefill_cost.PrefillCost] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(
            prefill_cost.PrefillCost
        )
    )

    uneven_targets: set[str] = dataclasses.field(default_factory=set)
    prompt_mixes: dict[str, prompt_mix.PromptMix] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(prompt_mix.PromptMix)
    )
    preferred_engines: dict[str, frozenset[str]] = dataclasses.field(
        default_factory=dict
    )
    residences: dict[str, memory_records.Residence] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(
            memory_records.Residence
        )
    )
    memory_holds: dict[str, dict[str, memory_records.Hold]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(dict)
    )
    streams: stream_records.StreamRecords = dataclasses.field(
        default_factory=stream_records.StreamRecords
    )
    routes_moved_ms: dict[tuple[str, str], int] = dataclasses.field(
        default_factory=dict
    )
    served_versions: dict[str, stream_records.ServedVersions] = (
        dataclasses.field(default_factory=dict)
    )
    paused_until_ms: int = -1_000_000
    copies: dict[freshness.Topic, confirming.StateCopy] = dataclasses.field(
        default_factory=lambda: {
            topic: confirming.StateCopy() for topic in freshness.Topic
        }
    )
    waiting_arrivals: dict[str, confirming.WaitingArrival] = dataclasses.field(
        default_factory=dict
    )

    awaiting_reads: set[str] = dataclasses.field(default_factory=set)

    def emit(self, effect: effects.Effect) -> None:
        """Adds an effect to the current input's result."""
        self.pending_effects.append(effect)

    def event(
        self, name: str, request_id: str = "", **fields: str | int | float
    ) -> None:
        """Emits a log event with its fields in the order given."""
        pairs = tuple(effects.Field(k, v) for k, v in fields.items())
        self.pending_effects.append(effects.Event(name, request_id, pairs))

    def next_attempt_id(self) -> str:
        """Returns an attempt id that is unique across daemons and restarts."""
        self.attempt_counter += 1
        return f"{self.daemon}.{self.attempt_counter}"

    @property
    def has_serving_lease(self) -> bool:
        """Whether new work may start at the current input's time."""
        return self.now_ms < self.serving_lease_until_ms

    def queued_count(self) -> int:
        """Returns the number of queued requests."""
        return sum(
            len(queue)
            for by_key in self.queues.values()
            for queue in by_key.values()
        ) + sum(map(len, self.memory_holds.values()))


__all__ = [
    "AttemptRow",
    "AvailabilityNotice",
    "Borrowing",
    "Inquiry",
    "OutcomeRow",
    "PastView",
    "PeerPath",
    "Phase",
    "RequestRow",
    "ServerRow",
    "Silence",
    "StreamInquiry",
    "ToldPaths",
    "World",
]

"""Placement policies: baselines, the router, and a clairvoyant router."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING, Protocol

from godwittack.backend import protocol as backend
from godwittack.core import effects, inputs, router, server_inputs, work
from godwittack.core import policy as core_policy
from godwittack.daemon import digest
from godwittack.placement import rendezvous
from godwittack.table import model

if TYPE_CHECKING:
    from collections.abc import Callable

    from bench import engines, workload
    from bench.experiment import Experiment

REPORT_INTERVAL_MS = 500
REPORT_LAG_MS = 1_000
EVENT_LAG_MS = 500
EVENT_LOSS_RATE = 0.05
DIGEST_INTERVAL_MS = 500
TICK_INTERVAL_MS = 100
GOSSIP_INTERVAL_MS = 500
PROBE_HOP_MS = 1.0
LOAD_BOUND_FACTOR = 1.25
FOREVER_MS = 1 << 50
TARGET = "rulebook"


class Policy(Protocol):
    """Places the requests of all daemons."""

    def handle_arrival(self, request: workload.Request) -> None:
        """Places a request by `Experiment.send`, or records a refusal."""


@dataclasses.dataclass
class Baseline:
    """Sends each request to an engine at once; no queue, no refusals."""

    experiment: Experiment

    def handle_arrival(self, request: workload.Request) -> None:
        """Sends the request to the selected engine."""
        live_engines = [e for e in self.experiment.engines if e.is_up]
        engine = self.select_engine(request, live_engines)
        self.experiment.send(request, engine)

    def select_engine(
        self, request: workload.Request, live_engines: list[engines.Engine]
    ) -> engines.Engine:
        """Returns the engine for a request."""
        raise NotImplementedError


class RoundRobin(Baseline):
    """Each daemon selects the engines in rotation."""

    def __init__(self, experiment: Experiment) -> None:
        """Starts each daemon at a different engine."""
        super().__init__(experiment)
        self._next = collections.Counter(
            {n: n for n in range(experiment.deployment.daemons)}
        )

    def select_engine(
        self, request: workload.Request, live_engines: list[engines.Engine]
    ) -> engines.Engine:
        """Returns the next engine."""
        self._next[request.daemon] += 1
        return live_engines[self._next[request.daemon] % len(live_engines)]


class LeastLoaded(Baseline):
    """Selects by the last load report plus what the daemon sent since."""

    def select_engine(
        self, request: workload.Request, live_engines: list[engines.Engine]
    ) -> engines.Engine:
        """Returns the least loaded engine."""
        reported = self.experiment.reported_loads
        sent = self.experiment.sent_since_report
        return min(
            live_engines,
            key=lambda e: (
                reported[e.name] + sent[request.daemon, e.name],
                e.name,
            ),
        )


class ConsistentHash(Baseline):
    """Selects by the rulebook's hash alone."""

    def select_engine(
        self, request: workload.Request, live_engines: list[engines.Engine]
    ) -> engines.Engine:
        """Returns the first engine in the rulebook's hash order."""
        engines_by_name = {engine.name: engine for engine in live_engines}
        order = rendezvous.rank(
            request.levels[0].key, tuple(sorted(engines_by_name))
        )
        return engines_by_name[order[0]]


class BoundedLoad(Baseline):
    """Consistent hashing with bounded loads (Mirrokni et al. 2018)."""

    def select_engine(
        self, request: workload.Request, live_engines: list[engines.Engine]
    ) -> engines.Engine:
        """Returns the first engine in hash order under the bound."""
        reported, sent = (
            self.experiment.reported_loads,
            self.experiment.sent_since_report,
        )
        load = {
            e.name: reported[e.name] + sent[request.daemon, e.name]
            for e in live_engines
        }
        bound = LOAD_BOUND_FACTOR * (sum(load.values()) + 1) / len(live_engines)
        engines_by_name = {engine.name: engine for engine in live_engines}
        order = rendezvous.rank(
            request.levels[0].key, tuple(sorted(engines_by_name))
        )
        for name in order:
            if load[name] < bound:
                return engines_by_name[name]
        return engines_by_name[order[0]]


class RouterPolicy:
    """The router's core, one per daemon, with delayed and lossy updates."""

    report_interval_ms = REPORT_INTERVAL_MS
    report_lag_ms = REPORT_LAG_MS
    event_lag_ms = EVENT_LAG_MS
    event_loss_rate = EVENT_LOSS_RATE
    digest_interval_ms = DIGEST_INTERVAL_MS
    one_core = False
    # Head of a streamed answer, where routes decide the target.
    response_head: work.Head | None = None

    def __init__(self, experiment: Experiment) -> None:
        """Builds the cores and schedules their updates."""
        self.experiment = experiment
        deployment = experiment.deployment
        self._requests: dict[str, workload.Request] = {}
        self._attempts: dict[str, tuple[int, str]] = {}
        self._digesters = {
            engine.name: digest.Digester(engine.name)
            for engine in experiment.engines
        }
        self._load_history: dict[str, list[server_inputs.LoadReported]] = (
            collections.defaultdict(list)
        )
        self._table = self._create_table()
        self._incarnations = collections.Counter()
        count = 1 if self.one_core else deployment.daemons
        self.cores = [self._create_core(n) for n in range(count)]
        timeline = experiment.timeline
        timeline.call_later(0, self._send_load_reports)
        timeline.call_later(self.digest_interval_ms, self._send_digests)
        timeline.call_later(TICK_INTERVAL_MS, self._tick)
        timeline.call_later(GOSSIP_INTERVAL_MS, self._exchange_demand)

    def restart(self, daemon: int) -> None:
        """Replaces a daemon's core by an empty one."""
        self.cores[daemon] = self._create_core(daemon)

    def replay_cache_events(self) -> None:
        """Makes new watchers read all cache events that the engines keep."""
        for engine in self.experiment.engines:
            self._digesters[engine.name] = digest.Digester(engine.name)
            engine.pending_events = list(engine.stored_events)

    def handle_arrival(self, request: workload.Request) -> None:
        """Submits a request to its daemon's core."""
        request_id = str(request.number)
        self._requests[request_id] = request
        message = inputs.RequestArrived(
            self._now(), request_id, self._work(request)
        )
        self._step(request.daemon % len(self.cores), message)

    def _work(self, request: workload.Request) -> work.Work:
        return work.Work(
            kind=work.WorkKind.GENERATION,
            token_sha256=request.workspace,
            target=TARGET,
            streaming=True,
            levels=request.levels,
            max_tokens=request.output_tokens,
            deadline_ms=self.experiment.deployment.deadline_ms,
        )

    def _create_table(self) -> model.Table:
        experiment = self.experiment
        return model.Table.from_rows(
            version=1, rows=_rows(experiment.deployment, experiment.workload)
        )

    def _core_policy(self) -> core_policy.Policy:
        return core_policy.Policy(
            prefill_us_per_token=(
                self.experiment.engine_spec.prefill_us_per_token
            ),
            # Only the first and last frames are simulated; the time between
            # them must not time out.
            frame_gap_ms=FOREVER_MS,
            **self.experiment.policy_overrides,
        )

    def _failure_domain(self, daemon: int) -> str:
        del daemon
        return ""

    def _list_entry(self, engine: engines.Engine) -> server_inputs.ServerListed:
        return server_inputs.ServerListed(
            at_ms=self._now(),
            server_id=engine.name,
            address=engine.name,
            target=TARGET,
        )

    def _create_core(self, daemon: int) -> router.Router:
        self._incarnations[daemon] += 1
        core = router.Router.from_config(
            daemon=f"d{daemon}@{self._incarnations[daemon]}",
            failure_domain=self._failure_domain(daemon),
            table=self._table,
            policy=self._core_policy(),
        )
        now_ms = self._now()
        core.step(inputs.RightToServe(now_ms, FOREVER_MS))
        for engine in self.experiment.engines:
            core.step(self._list_entry(engine))
            for load in self._load_history[engine.name][-1:]:
                core.step(load)
        return core

    def _step(self, daemon: int, message: inputs.Input) -> None:
        for effect in self.cores[daemon].step(message):
            match effect:
                case effects.Dispatch():
                    self._dispatch(daemon, effect)
                case effects.Probe():
                    self._answer_probe(daemon, effect.server_id)
                case effects.Refuse():
                    request = self._requests.pop(effect.request_id)
                    self.experiment.record_refusal(request, effect.reason.value)
                case _:
                    self._handle_other(daemon, effect)

    def _handle_other(self, daemon: int, effect: effects.Effect) -> None:
        """Handles an effect that only a subclass simulates."""

    def _receive_head(self, daemon: int, engine: engines.Engine) -> None:
        """Handles what a response's head states, in a subclass."""

    def _record_sent(
        self, daemon: int, effect: effects.Dispatch, job: engines.Job
    ) -> None:
        """Records an attempt, in a subclass that can cancel it."""

    def _dispatch(self, daemon: int, effect: effects.Dispatch) -> None:
        request = self._requests[effect.request_id]
        engine = self.experiment.engines_by_name[effect.server_id]
        core = self.cores[daemon]

        def submit(make_message: Callable[[int], inputs.Input]) -> None:
            if self.cores[daemon] is core:
                self._step(daemon, make_message(self._now()))

        def handle_first_token() -> None:
            self._receive_head(daemon, engine)
            submit(
                lambda at_ms: inputs.AttemptOpened(
                    at_ms,
                    effect.attempt_id,
                    effect.attempt_id,
                    effect.stamp,
                    self.response_head,
                )
            )
            frame = (work.Frame(1, b""),)
            submit(
                lambda at_ms: inputs.FramesArrived(
                    at_ms, effect.attempt_id, frame
                )
            )

        def handle_last_token() -> None:
            frame = (work.Frame(2, b"", True),)
            submit(
                lambda at_ms: inputs.FramesArrived(
                    at_ms, effect.attempt_id, frame
                )
            )

        def handle_failure(phase: inputs.FailurePhase) -> None:
            submit(
                lambda at_ms: inputs.AttemptFailed(
                    at_ms,
                    effect.attempt_id,
                    phase,
                    inputs.FailureCause.BROKEN,
                    "lost",
                )
            )

        job = self.experiment.send(
            request,
            engine,
            on_first_token=handle_first_token,
            on_last_token=handle_last_token,
            on_failure=handle_failure,
            priority=effect.priority,
        )
        self._record_sent(daemon, effect, job)

    def _answer_probe(self, daemon: int, name: str) -> None:
        """Answers a probe after a round trip."""

        def answer() -> None:
            is_alive = self.experiment.engines_by_name[name].is_up
            message = server_inputs.ProbeAnswered(self._now(), name, is_alive)
            self._step(daemon, message)

        self.experiment.timeline.call_later(2 * PROBE_HOP_MS, answer)

    def _send_load_reports(self) -> None:
        """Sends every daemon load reports that are `report_lag_ms` old."""
        timeline = self.experiment.timeline
        for engine in self.experiment.engines:
            if not engine.is_up:
                continue
            history = self._load_history[engine.name]
            history.append(_load(engine, self._now()))
            if self.experiment.freeze_load_reports:
                continue
            delayed = [
                load
                for load in history
                if load.at_ms <= self._now() - self.report_lag_ms
                and load.incarnation == str(engine.incarnation)
            ]
            load = delayed[-1] if delayed else history[-1]
            age_ms = self._now() - load.at_ms
            report = dataclasses.replace(load, at_ms=self._now(), age_ms=age_ms)
            for daemon in range(len(self.cores)):
                self._step(daemon, report)
            del history[:-8]
        timeline.call_later(self.report_interval_ms, self._send_load_reports)

    def _send_digests(self) -> None:
        """Sends every daemon digests of cache events, delayed and lossy."""
        rng = self.experiment.rng
        for engine in self.experiment.engines:
            due = [
                event
                for event in engine.pending_events
                if event.at_ms
                <= self.experiment.timeline.now_ms - self.event_lag_ms
            ]
            engine.pending_events = engine.pending_events[len(due) :]
            if self.experiment.drop_cache_events or not due:
                continue
            received = [e for e in due if rng.random() >= self.event_loss_rate]
            digester = self._digesters[engine.name]
            digest_message = digester.digest(
                _cache_events(engine, received), now_ms=self._now()
            )
            if digest_message is None:
                continue
            for daemon in range(len(self.cores)):
                self._step(daemon, digest_message)
        self.experiment.timeline.call_later(
            self.digest_interval_ms, self._send_digests
        )

    def _tick(self) -> None:
        for daemon in range(len(self.cores)):
            self._step(daemon, inputs.Tick(self._now()))
        self.experiment.timeline.call_later(TICK_INTERVAL_MS, self._tick)

    def _exchange_demand(self) -> None:
        """Sends every daemon the demand of the others."""
        live = tuple(sorted(core.world.daemon for core in self.cores))
        for sender, core in enumerate(self.cores):
            demands = tuple(
                inputs.CellDemand(cell, usage.demand, usage.rate_per_s)
                for cell, usage in core.world.shares.cells.items()
            )
            for receiver in range(len(self.cores)):
                if receiver != sender:
                    message = inputs.PeerDemand(
                        self._now(), core.world.daemon, True, demands
                    )
                    self._step(receiver, message)
        self._tell_members(live)
        self.experiment.timeline.call_later(
            GOSSIP_INTERVAL_MS, self._exchange_demand
        )

    def _tell_members(self, live: tuple[str, ...]) -> None:
        for daemon in range(len(self.cores)):
            self._step(daemon, inputs.MembersChanged(self._now(), live))

    def _now(self) -> int:
        return int(self.experiment.timeline.now_ms)


class Clairvoyant(RouterPolicy):
    """The router as one daemon that knows the state of all caches and queues.

    A rule that minimizes each request's own cost with perfect knowledge is no
    upper bound: at 90% utilisation it computes prefixes on all engines and
    collapses.
    """

    report_interval_ms = 10
    report_lag_ms = 0
    event_lag_ms = 0
    event_loss_rate = 0.0
    digest_interval_ms = 10
    one_core = True


def _load(engine: engines.Engine, now_ms: int) -> server_inputs.LoadReported:
    return server_inputs.LoadReported(
        at_ms=now_ms,
        server_id=engine.name,
        incarnation=str(engine.incarnation),
        weights_version="1",
        running=engine.decoding,
        waiting=len(engine.waiting) + len(engine.prefilled),
        waiting_tokens=engine.waiting_tokens(),
        prefill_us_per_token=engine.spec.prefill_us_per_token,
        slots=engine.spec.slots,
    )


def _cache_events(
    engine: engines.Engine, events: list[engines.CacheEvent]
) -> backend.CacheEvents:
    kinds = {
        True: backend.CacheEventKind.STORED,
        False: backend.CacheEventKind.REMOVED,
    }
    return backend.CacheEvents(
        incarnation=str(engine.incarnation),
        weights_version="1",
        oldest=0,
        events=tuple(
            backend.CacheEvent(event.sequence, kinds[event.stored], event.key)
            for event in events
        ),
    )


def _rows(
    deployment: workload.Deployment, requests: workload.Workload
) -> list[model.Row]:
    rows: list[model.Row] = [
        model.ModelRow(name=TARGET, reuse_weight=deployment.reuse_weight)
    ]
    rows.extend(
        model.WorkspaceRow(
            name=name,
            token_sha256=name,
            max_in_flight=1_000_000,
            max_requests_per_s=1_000_000,
        )
        for name in requests.workspace_names()
    )
    return rows


POLICIES: dict[str, type] = {
    "round_robin": RoundRobin,
    "least_loaded": LeastLoaded,
    "consistent_hash": ConsistentHash,
    "bounded_load": BoundedLoad,
    "ours": RouterPolicy,
    "clairvoyant": Clairvoyant,
}

__all__ = [
    "FOREVER_MS",
    "GOSSIP_INTERVAL_MS",
    "POLICIES",
    "TARGET",
    "Policy",
    "RouterPolicy",
]

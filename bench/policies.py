"""Baselines, the clairvoyant, and ours, behind one interface."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING, Protocol

from godwittack.backend import protocol as backend
from godwittack.core import effects, inputs, router, server_inputs, work
from godwittack.core import policy as policies
from godwittack.daemon import digest
from godwittack.placement import rendezvous
from godwittack.table import model

if TYPE_CHECKING:
    from collections.abc import Callable

    from bench import engines, workload
    from bench.experiment import Experiment

REPORT_MS = 500
LAG_MS = 1_000
EVENT_LAG_MS = 500
EVENT_LOSS = 0.05
DIGEST_MS = 500
TICK_MS = 100
GOSSIP_MS = 500
PROBE_HOP_MS = 1.0
BOUND = 1.25
FOREVER_MS = 1 << 50


class Policy(Protocol):
    """Places requests of all daemons."""

    def arrived(self, ask: workload.Ask) -> None:
        """Takes a request; ends in `Experiment.send` or `refused`."""


@dataclasses.dataclass
class Baseline:
    """One choice a request, no holding back and no refusing."""

    experiment: Experiment

    def arrived(self, ask: workload.Ask) -> None:
        """Sends the request to the engine chosen."""
        up = [e for e in self.experiment.engines if e.up]
        engine = self.choose(ask, up)
        self.experiment.send(ask, engine)

    def choose(
        self, ask: workload.Ask, up: list[engines.Engine]
    ) -> engines.Engine:
        """Returns the engine."""
        raise NotImplementedError


class RoundRobin(Baseline):
    """Each daemon takes the engines in turn."""

    def __init__(self, experiment: Experiment) -> None:
        """Starts each daemon at another engine."""
        super().__init__(experiment)
        self._next = collections.Counter(
            {n: n for n in range(experiment.deployment.daemons)}
        )

    def choose(
        self, ask: workload.Ask, up: list[engines.Engine]
    ) -> engines.Engine:
        """Returns the next engine."""
        self._next[ask.daemon] += 1
        return up[self._next[ask.daemon] % len(up)]


class LeastLoaded(Baseline):
    """The least load by the last report and what the daemon sent since."""

    def choose(
        self, ask: workload.Ask, up: list[engines.Engine]
    ) -> engines.Engine:
        """Returns the least loaded engine."""
        seen = self.experiment.reports
        sent = self.experiment.sent_since
        return min(
            up, key=lambda e: (seen[e.name] + sent[ask.daemon, e.name], e.name)
        )


class ConsistentHash(Baseline):
    """The rulebook's hash alone."""

    def choose(
        self, ask: workload.Ask, up: list[engines.Engine]
    ) -> engines.Engine:
        """Returns the rulebook's home."""
        by_name = {engine.name: engine for engine in up}
        order = rendezvous.rank(ask.levels[0].key, tuple(sorted(by_name)))
        return by_name[order[0]]


class BoundedLoad(Baseline):
    """Consistent hashing with bounded loads (Mirrokni et al. 2018)."""

    def choose(
        self, ask: workload.Ask, up: list[engines.Engine]
    ) -> engines.Engine:
        """Returns the first engine in hash order under the bound."""
        seen, sent = self.experiment.reports, self.experiment.sent_since
        load = {e.name: seen[e.name] + sent[ask.daemon, e.name] for e in up}
        bound = BOUND * (sum(load.values()) + 1) / len(up)
        by_name = {engine.name: engine for engine in up}
        order = rendezvous.rank(ask.levels[0].key, tuple(sorted(by_name)))
        for name in order:
            if load[name] < bound:
                return by_name[name]
        return by_name[order[0]]


class Ours:
    """The real core, one a daemon, fed with late and lossy news."""

    report_ms = REPORT_MS
    lag_ms = LAG_MS
    event_lag_ms = EVENT_LAG_MS
    event_loss = EVENT_LOSS
    digest_ms = DIGEST_MS
    one_core = False

    def __init__(self, experiment: Experiment) -> None:
        """Builds the cores and starts the news."""
        self.experiment = experiment
        deployment = experiment.deployment
        self._asks: dict[str, workload.Ask] = {}
        self._attempts: dict[str, tuple[int, str]] = {}
        self._digesters = {
            engine.name: digest.Digester(engine.name)
            for engine in experiment.engines
        }
        self._history: dict[str, list[server_inputs.LoadReported]] = (
            collections.defaultdict(list)
        )
        self._table = model.Table.from_rows(
            version=1, rows=_rows(deployment, experiment.workload)
        )
        self._incarnation = collections.Counter()
        count = 1 if self.one_core else deployment.daemons
        self.cores = [self._core(n) for n in range(count)]
        timeline = experiment.timeline
        timeline.after(0, self._report)
        timeline.after(self.digest_ms, self._digest)
        timeline.after(TICK_MS, self._tick)
        timeline.after(GOSSIP_MS, self._gossip)

    def restart(self, daemon: int) -> None:
        """Replaces a daemon's core by an empty one."""
        self.cores[daemon] = self._core(daemon)

    def reread_events(self) -> None:
        """Has new watchers read each engine's events from the oldest kept."""
        for engine in self.experiment.engines:
            self._digesters[engine.name] = digest.Digester(engine.name)
            engine.events = list(engine.backlog)

    def arrived(self, ask: workload.Ask) -> None:
        """Hands a request to its daemon's core."""
        request_id = str(ask.number)
        self._asks[request_id] = ask
        asked = work.Work(
            kind=work.WorkKind.GENERATION,
            token_sha256=ask.workspace,
            target="rulebook",
            streaming=True,
            levels=ask.levels,
            max_tokens=ask.output_tokens,
            deadline_ms=self.experiment.deployment.deadline_ms,
        )
        told = inputs.RequestArrived(self._now(), request_id, asked)
        self._step(ask.daemon % len(self.cores), told)

    def _core(self, daemon: int) -> router.Router:
        self._incarnation[daemon] += 1
        core = router.Router.from_config(
            daemon=f"d{daemon}@{self._incarnation[daemon]}",
            table=self._table,
            policy=policies.Policy(
                prefill_us_per_token=self.experiment.size.prefill_us,
                # Only first and last frames are sent here: the time between
                # them is no silence.
                frame_gap_ms=FOREVER_MS,
                **self.experiment.numbers,
            ),
        )
        now_ms = self._now()
        core.step(inputs.RightToServe(now_ms, FOREVER_MS))
        for engine in self.experiment.engines:
            core.step(
                server_inputs.ServerListed(
                    at_ms=now_ms,
                    server_id=engine.name,
                    address=engine.name,
                    target="rulebook",
                )
            )
            for load in self._history[engine.name][-1:]:
                core.step(load)
        return core

    def _step(self, daemon: int, told: inputs.Input) -> None:
        for effect in self.cores[daemon].step(told):
            match effect:
                case effects.Dispatch():
                    self._dispatch(daemon, effect)
                case effects.Probe():
                    self._probe(daemon, effect.server_id)
                case effects.Refuse():
                    ask = self._asks.pop(effect.request_id)
                    self.experiment.refused(ask, effect.reason.value)

    def _dispatch(self, daemon: int, effect: effects.Dispatch) -> None:
        ask = self._asks[effect.request_id]
        engine = self.experiment.by_name[effect.server_id]
        core = self.cores[daemon]

        def tell(make: Callable[[int], inputs.Input]) -> None:
            if self.cores[daemon] is core:
                self._step(daemon, make(self._now()))

        def first() -> None:
            tell(
                lambda at: inputs.AttemptOpened(
                    at, effect.attempt_id, effect.attempt_id, effect.stamp
                )
            )
            frame = (work.Frame(1, b""),)
            tell(lambda at: inputs.FramesArrived(at, effect.attempt_id, frame))

        def last() -> None:
            frame = (work.Frame(2, b"", True),)
            tell(lambda at: inputs.FramesArrived(at, effect.attempt_id, frame))

        def lost(phase: inputs.FailurePhase) -> None:
            tell(
                lambda at: inputs.AttemptFailed(
                    at,
                    effect.attempt_id,
                    phase,
                    inputs.FailureCause.BROKEN,
                    "lost",
                )
            )

        self.experiment.send(ask, engine, first=first, last=last, lost=lost)

    def _probe(self, daemon: int, name: str) -> None:
        """Answers a probe a hop later."""

        def answer() -> None:
            alive = self.experiment.by_name[name].up
            told = server_inputs.ProbeAnswered(self._now(), name, alive)
            self._step(daemon, told)

        self.experiment.timeline.after(2 * PROBE_HOP_MS, answer)

    def _report(self) -> None:
        """Tells every daemon a load that is `LAG_MS` old."""
        timeline = self.experiment.timeline
        for engine in self.experiment.engines:
            if not engine.up:
                continue
            history = self._history[engine.name]
            history.append(_load(engine, self._now()))
            if self.experiment.frozen_reports:
                continue
            old = [
                load
                for load in history
                if load.at_ms <= self._now() - self.lag_ms
                and load.incarnation == str(engine.incarnation)
            ]
            chosen = old[-1] if old else history[-1]
            age_ms = self._now() - chosen.at_ms
            told = dataclasses.replace(chosen, at_ms=self._now(), age_ms=age_ms)
            for daemon in range(len(self.cores)):
                self._step(daemon, told)
            del history[:-8]
        timeline.after(self.report_ms, self._report)

    def _digest(self) -> None:
        """Tells every daemon what an engine's events say, late and lossy."""
        rng = self.experiment.rng
        for engine in self.experiment.engines:
            due = [
                event
                for event in engine.events
                if event.at_ms
                <= self.experiment.timeline.now_ms - self.event_lag_ms
            ]
            engine.events = engine.events[len(due) :]
            if self.experiment.silent_events or not due:
                continue
            kept = [e for e in due if rng.random() >= self.event_loss]
            digester = self._digesters[engine.name]
            told = digester.digest(_told(engine, kept), now_ms=self._now())
            if told is None:
                continue
            for daemon in range(len(self.cores)):
                self._step(daemon, told)
        self.experiment.timeline.after(self.digest_ms, self._digest)

    def _tick(self) -> None:
        for daemon in range(len(self.cores)):
            self._step(daemon, inputs.Tick(self._now()))
        self.experiment.timeline.after(TICK_MS, self._tick)

    def _gossip(self) -> None:
        """Tells every daemon the others' demand."""
        live = tuple(sorted(core.world.daemon for core in self.cores))
        for teller, core in enumerate(self.cores):
            told = tuple(
                inputs.CellDemand(c, u.demand, u.rate_per_s)
                for c, u in core.world.shares.cells.items()
            )
            for hearer in range(len(self.cores)):
                if hearer != teller:
                    demand = inputs.PeerDemand(
                        self._now(), core.world.daemon, True, told
                    )
                    self._step(hearer, demand)
        for daemon in range(len(self.cores)):
            self._step(daemon, inputs.MembersChanged(self._now(), live))
        self.experiment.timeline.after(GOSSIP_MS, self._gossip)

    def _now(self) -> int:
        return int(self.experiment.timeline.now_ms)


class Clairvoyant(Ours):
    """Ours as one daemon that knows every cache and queue as they are.

    A rule that minimizes each request's own cost with perfect knowledge does
    not bound anything: at 90% it computes prefixes everywhere and collapses.
    """

    report_ms = 10
    lag_ms = 0
    event_lag_ms = 0
    event_loss = 0.0
    digest_ms = 10
    one_core = True


def _load(engine: engines.Engine, now_ms: int) -> server_inputs.LoadReported:
    return server_inputs.LoadReported(
        at_ms=now_ms,
        server_id=engine.name,
        incarnation=str(engine.incarnation),
        weights_version="1",
        running=engine.decoding,
        waiting=len(engine.waiting) + len(engine.ready),
        waiting_tokens=engine.waiting_tokens(),
        prefill_us_per_token=engine.size.prefill_us,
        slots=engine.size.slots,
    )


def _told(
    engine: engines.Engine, events: list[engines.Event]
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
    deployment: workload.Deployment, asks: workload.Workload
) -> list[model.Row]:
    rows: list[model.Row] = [
        model.ModelRow(name="rulebook", reuse_weight=deployment.reuse_weight)
    ]
    rows.extend(
        model.WorkspaceRow(
            name=name,
            token_sha256=name,
            max_in_flight=1_000_000,
            max_requests_per_s=1_000_000,
        )
        for name in asks.workspace_names()
    )
    return rows


POLICIES: dict[str, type] = {
    "round_robin": RoundRobin,
    "least_loaded": LeastLoaded,
    "consistent_hash": ConsistentHash,
    "bounded_load": BoundedLoad,
    "ours": Ours,
    "clairvoyant": Clairvoyant,
}

__all__ = ["POLICIES", "Ours", "Policy"]

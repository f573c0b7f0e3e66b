"""Daemons with routes in several failure domains, before uneven engines."""

from __future__ import annotations

import collections
import dataclasses
from typing import TYPE_CHECKING

from bench import policies, uneven_mixes
from godwittack.core import effects, inputs, server_inputs, work
from godwittack.table import forwarding, model

if TYPE_CHECKING:
    from collections.abc import Callable

    from bench import chunked_engines, engines, uneven_experiment
    from godwittack.core import policy as core_policy

HOST = "bench"
USUAL_PACE_PERCENT = 100


class UnevenRouter(policies.RouterPolicy):
    """The router's core, one per daemon, with loads in responses."""

    # Reports were 300 to 900 ms old in docs/design/uneven-load.md.
    report_interval_ms = 300
    report_lag_ms = 600
    response_head = work.Head(200, ())

    def __init__(self, experiment: uneven_experiment.UnevenExperiment) -> None:
        """Builds the cores and schedules their updates."""
        self._jobs: dict[tuple[int, str], tuple[str, engines.Job]] = {}
        self._loads_to_tell: dict[int, dict[str, effects.TellLoad]] = (
            collections.defaultdict(dict)
        )
        super().__init__(experiment)
        self._tell_members(tuple(sorted(c.world.daemon for c in self.cores)))
        experiment.timeline.call_later(
            policies.GOSSIP_INTERVAL_MS, self._send_loads
        )

    def _create_table(self) -> model.Table:
        mix = self.experiment.mix
        table = super()._create_table()
        routes = tuple(
            forwarding.Route(
                name=name,
                host=HOST,
                prefix=f"/{name}/",
                targets=(forwarding.WeightedTarget(target=policies.TARGET),),
                timeout_ms=kind.deadline_ms,
                aim_ms=kind.aim_ms,
                priority=kind.priority,
                streaming=True,
            )
            for name, kind in mix.kinds.items()
        )
        limits = forwarding.EngineLimits(
            model=policies.TARGET,
            slots=self.experiment.engine_spec.slots,
            kv_capacity_tokens=mix.cache_tokens,
        )
        return dataclasses.replace(
            table,
            forwarding=forwarding.Forwarding(
                routes=routes, engines={policies.TARGET: limits}
            ),
        )

    def _core_policy(self) -> core_policy.Policy:
        return self.experiment.core_policy

    def _failure_domain(self, daemon: int) -> str:
        return failure_domain(daemon)

    def _list_entry(
        self, engine: chunked_engines.ChunkedEngine
    ) -> server_inputs.ServerListed:
        return dataclasses.replace(
            super()._list_entry(engine),
            failure_domain=engine.failure_domain,
            incarnation=str(engine.incarnation),
            weights_version="1",
            slots=engine.spec.slots,
        )

    def _work(self, request: uneven_mixes.MixRequest) -> work.Work:
        return work.Work(
            kind=work.WorkKind.PLAIN,
            token_sha256=request.workspace,
            target="",
            host=HOST,
            path=f"/{request.kind}/x",
            levels=request.levels,
            max_tokens=request.output_tokens,
            deadline_ms=self.experiment.mix.kinds[request.kind].deadline_ms,
        )

    def _handle_other(self, daemon: int, effect: effects.Effect) -> None:
        match effect:
            case effects.CancelAttempt():
                sent = self._jobs.pop((daemon, effect.attempt_id), None)
                if sent is not None:
                    self._cancel(*sent)
            case effects.Announce():
                self._announce(daemon, effect)
            case effects.TellLoad():
                self._loads_to_tell[daemon][effect.server_id] = effect
            case effects.Forget():
                self._requests.pop(effect.request_id, None)

    def _record_sent(
        self, daemon: int, effect: effects.Dispatch, job: engines.Job
    ) -> None:
        self._jobs[daemon, effect.attempt_id] = (effect.server_id, job)

    def _cancel(self, server_id: str, job: engines.Job) -> None:
        engine = self.experiment.engines_by_name[server_id]
        job.is_cancelled = True
        self.experiment.timeline.call_later(
            uneven_mixes.LOCAL_HOP_MS, lambda: engine.cancel(job)
        )

    def _receive_head(
        self, daemon: int, engine: chunked_engines.ChunkedEngine
    ) -> None:
        states_pace = self.experiment.mix.states_pace
        pace_percent = round(USUAL_PACE_PERCENT * engine.slowdown)
        echoed = server_inputs.LoadEchoed(
            at_ms=self._now(),
            server_id=engine.name,
            running=len(engine.running),
            waiting=len(engine.waiting),
            slots=engine.spec.slots,
            pace_percent=pace_percent if states_pace else 0,
        )
        self._step(daemon, echoed)

    def _announce(self, sender: int, announced: effects.Announce) -> None:
        """Tells the other daemons of a long prompt."""
        known, sent_at_ms = announced.load, self._now()

        def message() -> server_inputs.PeerDispatched:
            load = None
            if known is not None:
                load = server_inputs.LoadTold(
                    at_ms=self._now(),
                    server_id=announced.server_id,
                    running=known.running,
                    waiting=known.waiting,
                    pace_percent=known.pace_percent,
                    age_ms=sent_at_ms - known.at_ms,
                    delay_ms=announced.delay_ms,
                )
            return server_inputs.PeerDispatched(
                at_ms=self._now(),
                server_id=announced.server_id,
                tokens=announced.tokens,
                priority=announced.priority,
                levels=announced.levels,
                load=load,
                memory_tokens=announced.memory_tokens,
                shared_tokens=announced.shared_tokens,
            )

        self._broadcast(sender, lambda: [message()])

    def _send_loads(self) -> None:
        """Sends the loads in responses to the other daemons."""
        for sender, loads in list(self._loads_to_tell.items()):
            told = list(loads.values())
            self._broadcast(
                sender,
                lambda told=told, sender=sender: [
                    self._load_told(sender, load) for load in told
                ],
            )
        self._loads_to_tell.clear()
        self.experiment.timeline.call_later(
            policies.GOSSIP_INTERVAL_MS, self._send_loads
        )

    def _load_told(
        self, sender: int, load: effects.TellLoad
    ) -> server_inputs.LoadTold:
        return server_inputs.LoadTold(
            at_ms=self._now(),
            server_id=load.server_id,
            running=load.running,
            waiting=load.waiting,
            slots=load.slots,
            pace_percent=load.pace_percent,
            age_ms=self._now() - load.at_ms,
            incarnation=load.incarnation,
            daemon=self.cores[sender].world.daemon,
            reference_prompt_us=load.reference_prompt_us,
            samples=load.samples,
            delay_ms=load.delay_ms,
        )

    def _broadcast(
        self, sender: int, messages: Callable[[], list[inputs.Input]]
    ) -> None:
        """Sends messages, built on delivery, to all other daemons."""
        for domain in uneven_mixes.DOMAINS:
            receivers = [
                receiver
                for receiver in range(len(self.cores))
                if receiver != sender and failure_domain(receiver) == domain
            ]

            def deliver(receivers: list[int] = receivers) -> None:
                for receiver in receivers:
                    for message in messages():
                        self._step(receiver, message)

            delay_ms = self.experiment.link_ms(failure_domain(sender), domain)
            self.experiment.timeline.call_later(delay_ms, deliver)

    def _tell_members(self, live: tuple[str, ...]) -> None:
        """Tells the members once: the daemons stay the same."""
        for daemon, core in enumerate(self.cores):
            if core.world.live_daemons == frozenset(live):
                continue
            near = tuple(
                other.world.daemon
                for number, other in enumerate(self.cores)
                if failure_domain(number) == failure_domain(daemon)
            )
            message = inputs.MembersChanged(
                self._now(), live, known=len(live), near=tuple(sorted(near))
            )
            self._step(daemon, message)


def failure_domain(daemon: int) -> str:
    """Returns the failure domain of a daemon."""
    return uneven_mixes.DOMAINS[daemon % len(uneven_mixes.DOMAINS)]


__all__ = ["UnevenRouter", "failure_domain"]

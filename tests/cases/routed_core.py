"""A router core with a table of routes, driven by a test."""

from __future__ import annotations

import hashlib

from godwittack.core import effects, inputs, policy, router, server_inputs, work
from godwittack.member import freshness
from godwittack.session import record
from godwittack.table import forwarding, model

KEY = "key-of-desk"
ENGINES = "assistant"
SERVICE = "booking"
# Higher than any count, rate or time in milliseconds of these tests.
NO_LIMIT = 1_000_000
# What the platform's bounds make of these fields; 0 turns the first one off.
PLATFORM_POLICY = {"final_refusal_age_ms": 800, "max_unseen_ms": 2_000}
CONFIRM_INTERVAL_MS = 400
# A call of the store without an answer ends after this time.
READ_TIMEOUT_MS = 600


def digest(key: str) -> str:
    """Returns the digest under which the table stores a key."""
    return hashlib.sha256(key.encode()).hexdigest()


def route(name: str, target: str, **fields) -> forwarding.Route:
    """Returns a route `/name/` to a target."""
    fields = {"timeout_ms": 3_000, **fields}
    return forwarding.Route(
        name=name,
        host="h",
        prefix=f"/{name}/",
        targets=(forwarding.WeightedTarget(target=target),),
        **fields,
    )


ROUTES = (
    route(
        "long",
        ENGINES,
        streaming=True,
        resumable=True,
        max_attempts=2,
        timeout_ms=6_000,
    ),
    route("short", ENGINES, streaming=True),
    route("confirm", SERVICE),
    route("release", SERVICE, repeatable=True, max_attempts=2),
    route("open", SERVICE, repeatable=True, anonymous=True),
)


def table(
    version: int = 1,
    *,
    keys: tuple[str, ...] = (KEY,),
    weights: str = "1",
    routes: tuple[forwarding.Route, ...] = ROUTES,
    kv_stores: tuple[forwarding.KvStore, ...] = (),
    isolated: frozenset[str] = frozenset(),
) -> model.Table:
    """Returns a table with one model and one service."""
    result = model.Table(
        version=version,
        forwarding=forwarding.Forwarding(
            routes=routes,
            engines={ENGINES: forwarding.EngineLimits(model="m")},
            kv_stores=kv_stores,
            isolated=isolated,
        ),
    )
    result.models[ENGINES] = model.ModelRow(
        name=ENGINES, weights_version=weights
    )
    result.services[SERVICE] = model.ServiceRow(
        name=SERVICE, max_in_flight=NO_LIMIT
    )
    result.workspaces["desk"] = model.WorkspaceRow(
        name="desk", max_in_flight=NO_LIMIT, max_requests_per_s=NO_LIMIT
    )
    for key in keys:
        result.workspace_by_token[digest(key)] = "desk"
    return result


class Core:
    """A router with a manual clock and the effects of its last step."""

    def __init__(
        self,
        *,
        servers: int = 2,
        record_to=None,
        started_at_ms: int | None = None,
        failure_domain: str = "",
        **policy_fields,
    ) -> None:
        policy_fields = {
            "budget_by_target": 1,
            "retry_burst": 50.0,
            "old_weights_limit_ms": 8_000,
            **policy_fields,
        }
        self.router = router.Router.from_config(
            daemon="d",
            failure_domain=failure_domain,
            policy=policy.Policy(**policy_fields),
        )
        self.recorder = None
        if record_to is not None:
            self.recorder = record.Recorder(self.router, record_to)
        self.now_ms = 1_000 if started_at_ms is None else started_at_ms
        self.last_effects: list[effects.Effect] = []
        if started_at_ms is None:
            # A daemon that has just started has no share of the retry budget.
            self.tell(inputs.Tick)
            self.now_ms += self.world.policy.retry_window_ms
        self.tell(inputs.TableChanged, table())
        self.renew_serving_lease()
        for target, kind in ((ENGINES, "e"), (SERVICE, "s")):
            for number in range(1, servers + 1):
                self.list_server(f"{kind}{number}", target)

    @property
    def world(self):
        """The state of the core."""
        return self.router.world

    def tell(self, kind, *args, **fields) -> list[effects.Effect]:
        """Processes an input at the current time; returns its effects."""
        return self._step(kind(self.now_ms, *args, **fields))

    def tell_named(self, kind, **fields) -> list[effects.Effect]:
        """Like `submit`, for an input whose fields are given by name."""
        return self._step(kind(at_ms=self.now_ms, **fields))

    def _step(self, input_) -> list[effects.Effect]:
        self.last_effects = self.router.step(input_)
        if self.recorder is not None:
            self.recorder.record_step(input_, self.last_effects)
        return self.last_effects

    def renew_serving_lease(self, *, for_ms: int = NO_LIMIT) -> None:
        """Extends the serving lease, without which keys are refused."""
        self.tell(inputs.RightToServe, self.now_ms + for_ms)

    def list_server(self, name: str, target: str, **fields) -> None:
        """Lists a server, an engine with weights 1 and software v1."""
        weights = "1" if target == ENGINES else ""
        software = "v1" if target == ENGINES else ""
        self.tell_named(
            server_inputs.ServerListed,
            server_id=name,
            target=target,
            **{
                "address": f"10.0.0.1:{len(self.world.servers) + 1}",
                "incarnation": name,
                "weights_version": weights,
                "software_version": software,
                "slots": 16,
                **fields,
            },
        )

    def arrive(self, name: str, request: str = "r", **fields):
        """Submits a request for `/name/`."""
        fields = {"token_sha256": digest(KEY), "deadline_ms": 6_000, **fields}
        work_item = work.Work(
            kind=work.WorkKind.PLAIN,
            target="",
            host="h",
            path=f"/{name}/x",
            **fields,
        )
        return self.tell(inputs.RequestArrived, request, work_item)

    def wait(self, ms: int) -> list[effects.Effect]:
        """Advances the clock with ticks; returns all of their effects."""
        collected: list[effects.Effect] = []
        for _ in range(max(1, ms // 50)):
            self.now_ms += 50
            collected.extend(self.tell(inputs.Tick))
        self.last_effects = collected
        return collected

    def confirm(self, *, by: str = "store") -> None:
        """Confirms both copies as of now."""
        for topic in freshness.Topic:
            self.tell(inputs.StateConfirmed, topic, self.now_ms, by)

    def follow(self, *, for_ms: int) -> None:
        """Advances the clock while both copies are confirmed in turn."""
        end_ms = self.now_ms + for_ms
        while self.now_ms < end_ms:
            self.now_ms = min(end_ms, self.now_ms + CONFIRM_INTERVAL_MS)
            self.confirm()

    def end_reads(self, *, has_read: bool) -> None:
        """Ends the reads of the last effects, which keep their others."""
        reads = self.find(effects.ConfirmState)
        collected = list(self.last_effects)
        self.now_ms += (1 if has_read else READ_TIMEOUT_MS) if reads else 0
        for read in reads:
            collected += self.tell(
                inputs.ConfirmationEnded, read.topic, has_read=has_read
            )
        self.last_effects = collected

    def find(self, kind):
        """Returns the last effects that are of a type."""
        return [
            effect for effect in self.last_effects if isinstance(effect, kind)
        ]

    def dispatch(self) -> effects.Dispatch:
        """Returns the only dispatch among the last effects."""
        found = self.find(effects.Dispatch)
        assert len(found) == 1, self.last_effects
        return found[0]

    def refusal(self) -> effects.Refuse:
        """Returns the only refusal among the last effects."""
        found = self.find(effects.Refuse)
        assert len(found) == 1, self.last_effects
        return found[0]

    def fail(self, sent: effects.Dispatch, phase, cause=None):
        """Reports that an attempt failed."""
        cause = cause or inputs.FailureCause.BROKEN
        return self.tell(
            inputs.AttemptFailed, sent.attempt_id, phase, cause, "test"
        )

    def restore_servers(self) -> None:
        """Ends all ejections, as after probes on new connections."""
        for name in self.world.servers:
            self.tell(
                server_inputs.ProbeAnswered,
                name,
                alive=True,
                fresh_connection=True,
            )
            self.world.servers[name].ejected_until_ms = 0

    def answer(self, sent: effects.Dispatch, status: int = 200):
        """Delivers the whole answer of an attempt."""
        return self.tell(
            inputs.AnswerArrived,
            sent.attempt_id,
            sent.attempt_id,
            work.Answer(status, (), b"x"),
            sent.stamp,
        )

    def open(self, sent: effects.Dispatch):
        """Delivers the head of a stream."""
        head = work.Head(200, (work.Header("sig", sent.server_id),))
        return self.tell(
            inputs.AttemptOpened,
            sent.attempt_id,
            sent.attempt_id,
            sent.stamp,
            head,
        )

    def frames(self, sent: effects.Dispatch, *numbers: int, end: bool = False):
        """Delivers events of a stream."""
        delivered = [work.Frame(n, b"%d;" % n) for n in numbers]
        if end:
            delivered.append(work.Frame((numbers or (0,))[-1] + 1, b"", True))
        return self.tell(
            inputs.FramesArrived, sent.attempt_id, tuple(delivered)
        )


__all__ = [
    "ENGINES",
    "KEY",
    "PLATFORM_POLICY",
    "SERVICE",
    "Core",
    "digest",
    "route",
    "table",
]

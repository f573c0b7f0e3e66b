"""A core with a table of routes, fed by hand."""

from __future__ import annotations

import hashlib

from godwittack.core import effects, inputs, policy, router, server_inputs, work
from godwittack.session import record
from godwittack.table import forwarding, model

KEY = "key-of-desk"
ENGINES = "assistant"
SERVICE = "booking"
ALLOWED_MS = 1_000_000


def digest(key: str) -> str:
    """Returns a key's digest, as the table holds it."""
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
    made = model.Table(
        version=version,
        forwarding=forwarding.Forwarding(
            routes=routes,
            engines={ENGINES: forwarding.EngineLimits(model="m")},
            kv_stores=kv_stores,
            isolated=isolated,
        ),
    )
    made.models[ENGINES] = model.ModelRow(name=ENGINES, weights_version=weights)
    made.services[SERVICE] = model.ServiceRow(
        name=SERVICE, max_in_flight=ALLOWED_MS
    )
    made.workspaces["desk"] = model.WorkspaceRow(
        name="desk", max_in_flight=ALLOWED_MS, max_requests_per_s=ALLOWED_MS
    )
    for key in keys:
        made.workspace_by_token[digest(key)] = "desk"
    return made


class Core:
    """A router with its time, and what it asked for last."""

    def __init__(
        self,
        *,
        servers: int = 2,
        record_to=None,
        started_at_ms: int | None = None,
        **numbers,
    ) -> None:
        numbers = {
            "budget_by_target": 1,
            "retry_burst": 50.0,
            "old_weights_limit_ms": 8_000,
            **numbers,
        }
        self.router = router.Router.from_config(
            daemon="d", policy=policy.Policy(**numbers)
        )
        self.recorder = None
        if record_to is not None:
            self.recorder = record.Recorder(self.router, record_to)
        self.now_ms = 1_000 if started_at_ms is None else started_at_ms
        self.made: list[effects.Effect] = []
        if started_at_ms is None:
            # What has just started owns no part of the retry budget yet.
            self.tell(inputs.Tick)
            self.now_ms += self.world.policy.retry_window_ms
        self.tell(inputs.TableChanged, table())
        self.confirm()
        for target, kind in ((ENGINES, "e"), (SERVICE, "s")):
            for number in range(1, servers + 1):
                self.list_server(f"{kind}{number}", target)

    @property
    def world(self):
        """The core's tables."""
        return self.router.world

    def tell(self, kind, *args, **fields) -> list[effects.Effect]:
        """Hands an input over at the present time."""
        return self._step(kind(self.now_ms, *args, **fields))

    def tell_named(self, kind, **fields) -> list[effects.Effect]:
        """Hands over an input whose fields are all named."""
        return self._step(kind(at_ms=self.now_ms, **fields))

    def _step(self, told) -> list[effects.Effect]:
        self.made = self.router.step(told)
        if self.recorder is not None:
            self.recorder.record_step(told, self.made)
        return self.made

    def confirm(self, *, for_ms: int = ALLOWED_MS) -> None:
        """Lets keys be served for a time."""
        self.tell(inputs.RightToServe, self.now_ms + for_ms)

    def list_server(self, name: str, target: str, **fields) -> None:
        """Lists a server; engines with weights 1."""
        weights = "1" if target == ENGINES else ""
        self.tell_named(
            server_inputs.ServerListed,
            server_id=name,
            target=target,
            **{
                "address": f"10.0.0.1:{len(self.world.servers) + 1}",
                "incarnation": name,
                "weights_version": weights,
                "slots": 16,
                **fields,
            },
        )

    def arrive(self, name: str, request: str = "r", **fields):
        """Lets a request for `/name/` arrive."""
        fields = {"token_sha256": digest(KEY), "deadline_ms": 6_000, **fields}
        asked = work.Work(
            kind=work.WorkKind.PLAIN,
            target="",
            host="h",
            path=f"/{name}/x",
            **fields,
        )
        return self.tell(inputs.RequestArrived, request, asked)

    def wait(self, ms: int) -> list[effects.Effect]:
        """Lets time pass and runs upkeep; returns all that it made."""
        made: list[effects.Effect] = []
        for _ in range(max(1, ms // 50)):
            self.now_ms += 50
            made.extend(self.tell(inputs.Tick))
        self.made = made
        return made

    def find(self, kind):
        """Returns the effects of a kind made last."""
        return [effect for effect in self.made if isinstance(effect, kind)]

    def dispatch(self) -> effects.Dispatch:
        """Returns the one dispatch made last."""
        found = self.find(effects.Dispatch)
        assert len(found) == 1, self.made
        return found[0]

    def refusal(self) -> effects.Refuse:
        """Returns the one refusal made last."""
        found = self.find(effects.Refuse)
        assert len(found) == 1, self.made
        return found[0]

    def fail(self, sent: effects.Dispatch, phase, cause=None):
        """Lets an attempt fail."""
        cause = cause or inputs.FailureCause.BROKEN
        return self.tell(
            inputs.AttemptFailed, sent.attempt_id, phase, cause, "test"
        )

    def answer(self, sent: effects.Dispatch, status: int = 200):
        """Lets an attempt bring a whole answer."""
        return self.tell(
            inputs.AnswerArrived,
            sent.attempt_id,
            sent.attempt_id,
            work.Answer(status, (), b"x"),
            sent.stamp,
        )

    def open(self, sent: effects.Dispatch):
        """Lets the head of a stream come."""
        head = work.Head(200, (work.Header("sig", sent.server_id),))
        return self.tell(
            inputs.AttemptOpened,
            sent.attempt_id,
            sent.attempt_id,
            sent.stamp,
            head,
        )

    def frames(self, sent: effects.Dispatch, *numbers: int, end: bool = False):
        """Lets events of a stream come."""
        made = [work.Frame(n, b"%d;" % n) for n in numbers]
        if end:
            made.append(work.Frame((numbers or (0,))[-1] + 1, b"", True))
        return self.tell(inputs.FramesArrived, sent.attempt_id, tuple(made))


__all__ = ["ENGINES", "KEY", "SERVICE", "Core", "digest", "route", "table"]

"""Writes the golden sessions: python -m sim.recordings [NAME ...]."""

from __future__ import annotations

import difflib
import io
import pathlib
import sys

from cases import routed_core
from godwittack.core import effects, inputs, policy, router, server_inputs, work
from godwittack.session import record
from godwittack.table import model

GOLDEN = pathlib.Path(__file__).resolve().parent.parent / "golden"
TOKEN = "0" * 64
FOREVER_MS = 1 << 50


class Script:
    """Steps and records one core; the script sets the time."""

    def __init__(self, description: str, **numbers: int) -> None:
        self.text = io.StringIO()
        for line in description.strip().splitlines():
            self.text.write(f"# {line.strip()}\n")
        core = router.Router.from_config(
            daemon="d1@1", policy=policy.Policy(**numbers)
        )
        self.core = core
        self.recorder = record.Recorder(core, self.text)
        self.now_ms = 0
        self.effects: list[effects.Effect] = []
        table = model.Table.from_rows(
            version=1,
            rows=[
                model.WorkspaceRow(name="desk", token_sha256=TOKEN),
                model.ModelRow(name="rulebook"),
                model.ServiceRow(name="portal"),
            ],
        )
        self.step(inputs.TableChanged(0, table))
        self.step(inputs.RightToServe(0, FOREVER_MS))

    def step(self, input_: inputs.Input) -> list[effects.Effect]:
        """Steps the core with one input and records it."""
        caused = self.core.step(input_)
        self.recorder.record_step(input_, caused)
        self.effects.extend(caused)
        return caused

    def tick(self, *, after_ms: int) -> list[effects.Effect]:
        """Advances time and submits a tick."""
        self.now_ms += after_ms
        return self.step(inputs.Tick(self.now_ms))

    def list_server(self, name: str, target: str, **load: int) -> None:
        """Lists a backend server and reports its load."""
        self.step(
            server_inputs.ServerListed(
                at_ms=self.now_ms, server_id=name, address=name, target=target
            )
        )
        self.report(name, **load)

    def remove_server(self, name: str, target: str) -> None:
        """Removes a backend server from the list."""
        self.step(
            server_inputs.ServerListed(
                at_ms=self.now_ms,
                server_id=name,
                address=name,
                target=target,
                gone=True,
            )
        )

    def report(self, name: str, *, incarnation: str = "i1", **load: int):
        """Submits a load report of a server."""
        numbers = {
            "running": 0,
            "waiting": 0,
            "waiting_tokens": 0,
            "prefill_us_per_token": 100,
            "slots": 16,
            **load,
        }
        self.step(
            server_inputs.LoadReported(
                at_ms=self.now_ms,
                server_id=name,
                incarnation=incarnation,
                weights_version="1",
                **numbers,
            )
        )

    def submit_generation(self, request_id: str, **more) -> None:
        """Submits a generation request."""
        self.step(
            inputs.RequestArrived(
                self.now_ms,
                request_id,
                work.Work(
                    kind=work.WorkKind.GENERATION,
                    token_sha256=TOKEN,
                    target="rulebook",
                    streaming=True,
                    levels=(work.Level(11, 1000), work.Level(12, 200)),
                    max_tokens=50,
                    **more,
                ),
            )
        )

    def submit_call(self, request_id: str, key: str) -> None:
        """Submits a call that must run at most once."""
        self.step(
            inputs.RequestArrived(
                self.now_ms,
                request_id,
                work.Work(
                    kind=work.WorkKind.PLAIN,
                    token_sha256=TOKEN,
                    target="portal",
                    idempotency_key=key,
                    fingerprint="f",
                ),
            )
        )

    def dispatches(self) -> list[effects.Dispatch]:
        """Returns all dispatches so far."""
        return [e for e in self.effects if isinstance(e, effects.Dispatch)]

    def open(self, dispatch: effects.Dispatch) -> None:
        """Opens an attempt's answer, with the expected stamp."""
        self.step(
            inputs.AttemptOpened(
                self.now_ms,
                dispatch.attempt_id,
                dispatch.resume_stream or dispatch.attempt_id,
                dispatch.stamp,
            )
        )

    def frames(self, dispatch, first: int, last: int, *, end=False, label=""):
        """Submits frames of an attempt."""
        self.step(
            inputs.FramesArrived(
                self.now_ms,
                dispatch.attempt_id,
                tuple(
                    work.Frame(
                        n, f"{label or 'f'}{n}".encode(), end and n == last
                    )
                    for n in range(first, last + 1)
                ),
            )
        )


def late_first_engine() -> Script:
    """An engine answers after its request was sent to another one."""
    script = Script(
        """An engine is silent before its first frame; the request goes to
        another engine as well, once that one has answered a probe. It brings
        the first frame; then the first engine's frames arrive and are dropped.
        """,
        first_frame_ms=1000,
    )
    script.list_server("engine-1", "rulebook")
    script.list_server("engine-2", "rulebook")
    script.submit_generation("r1")
    first = script.dispatches()[0]
    script.tick(after_ms=1000)
    script.step(server_inputs.ProbeAnswered(script.now_ms, "engine-1", True))
    second = script.dispatches()[1]
    script.open(second)
    script.frames(second, 1, 2, label="second")
    script.now_ms += 5
    script.open(first)
    script.frames(first, 1, 4, label="first")
    script.frames(second, 3, 5, end=True, label="second")
    script.frames(first, 5, 9, end=True, label="first")
    return script


def cancel_races_answer() -> Script:
    """The caller disconnects while its last frames arrive."""
    script = Script(
        """The caller goes away; frames already read from the engine's
        connection arrive after that, then the attempt's failure.
        """
    )
    script.list_server("engine-1", "rulebook")
    script.submit_generation("r1")
    attempt = script.dispatches()[0]
    script.open(attempt)
    script.frames(attempt, 1, 3)
    script.now_ms += 5
    script.step(inputs.CallerGone(script.now_ms, "r1"))
    script.frames(attempt, 4, 6, end=True)
    script.step(
        inputs.AttemptFailed(
            script.now_ms,
            attempt.attempt_id,
            inputs.FailurePhase.SENT,
            inputs.FailureCause.BROKEN,
            "cancelled",
        )
    )
    script.submit_generation("r2")
    return script


def crossed_frames() -> Script:
    """Frames are duplicated and missing; a resumption brings the rest."""
    script = Script(
        """Frames come doubled and one is missing: the stream is resumed on a
        fresh connection behind the last frame in order.
        """
    )
    script.list_server("engine-1", "rulebook")
    script.submit_generation("r1")
    attempt = script.dispatches()[0]
    script.open(attempt)
    script.frames(attempt, 1, 3)
    script.frames(attempt, 2, 4)
    script.frames(attempt, 6, 7)
    resumed = script.dispatches()[1]
    script.open(resumed)
    script.frames(resumed, 5, 8, end=True)
    return script


def silent_for_good() -> Script:
    """Each resumption of a stream stalls, until its engine is gone."""
    script = Script(
        """A stream's connections go silent one after another. No silence ends
        it; once its engine is no longer listed, it ends with an explicit error.
        """,
        frame_gap_ms=500,
    )
    script.list_server("engine-1", "rulebook")
    script.submit_generation("r1")
    attempt = script.dispatches()[0]
    script.open(attempt)
    script.frames(attempt, 1, 3)
    for _ in range(5):
        script.tick(after_ms=500)
    script.remove_server("engine-1", "rulebook")
    script.tick(after_ms=500)
    return script


def claim_outage() -> Script:
    """Submissions while the table service does not answer."""
    script = Script(
        """A submission's claim gets no reply twice: refused as not run, its
        release is tried until it holds. A second one is held by a nonce.
        """
    )
    script.list_server("portal-1", "portal")
    script.submit_call("r1", "key-1")
    silent = inputs.ClaimVerdict.UNANSWERED
    script.step(inputs.ClaimAnswered(10, "r1", silent))
    script.step(inputs.ClaimAnswered(20, "r1", silent))
    script.step(inputs.OutcomeStored(30, "r1", False))
    script.now_ms = 30
    script.tick(after_ms=400)
    script.step(inputs.OutcomeStored(440, "r1", True))
    script.now_ms = 440
    script.submit_call("r2", "key-2")
    script.step(inputs.ClaimAnswered(450, "r2", inputs.ClaimVerdict.HELD))
    sent = script.dispatches()[0]
    done = work.Answer(200, (work.Header("x-a", "b"),), b"filed")
    script.step(inputs.AnswerArrived(470, sent.attempt_id, "", done))
    script.step(inputs.OutcomeStored(480, "r2", True))
    return script


def overload() -> Script:
    """More requests than two small engines can serve at once."""
    script = Script(
        """Two engines with two slots each report a backlog; requests are held
        back in fair order, and refused at once where they would be late.
        """,
        hold_ms=100,
    )
    for name in ("engine-1", "engine-2"):
        script.list_server(name, "rulebook", slots=2)
    for number in range(4):
        script.submit_generation(f"warm{number}")
    for dispatch in script.dispatches():
        script.open(dispatch)
    script.now_ms += 2000
    for dispatch in script.dispatches():
        script.frames(dispatch, 1, 2, end=True)
    for name in ("engine-1", "engine-2"):
        script.report(name, running=2, waiting=3, waiting_tokens=4000, slots=2)
    for number in range(3):
        script.submit_generation(f"held{number}", deadline_ms=30_000)
    script.submit_generation("hurried", deadline_ms=300)
    script.now_ms += 500
    for name in ("engine-1", "engine-2"):
        script.report(name, running=0, slots=2)
    script.tick(after_ms=100)
    return script


class RoutedScript:
    """Steps and records a core whose table has routes."""

    def __init__(self, description: str, **numbers) -> None:
        self.text = io.StringIO()
        for line in description.strip().splitlines():
            self.text.write(f"# {line.strip()}\n")
        self.core = routed_core.Core(record_to=self.text, **numbers)


def routed_server_goes_dark() -> RoutedScript:
    """A server stops responding with a stream and an at-most-once call."""
    script = RoutedScript(
        """
        A server goes dark with a stream and a call that may run once. The
        stream goes on at the other server after its last event; the call is
        answered 504 at its route's time, since it may have run.
        """,
        servers=2,
    )
    core = script.core
    core.arrive("long", "stream", levels=(work.Level(11, 13_000),))
    stream = core.dispatch()
    core.open(stream)
    core.frames(stream, 1, 2)
    core.arrive("confirm", "call")
    core.wait(400)
    core.tell(server_inputs.ProbeAnswered, stream.server_id, False)
    moved = core.dispatch()
    core.open(moved)
    core.frames(moved, 3, end=True)
    core.wait(3_000)
    return script


def routed_change_of_keys_and_weights() -> RoutedScript:
    """Weights change, a key is removed, and the store stops responding."""
    script = RoutedScript(
        """
        A server declines a call, which goes to the other one. New weights are
        named and one engine loads them; a key is taken away; then nothing
        confirms the table any more, and only routes without keys are served.
        """,
        servers=2,
    )
    core = script.core
    core.arrive("confirm", "r1")
    core.fail(
        core.dispatch(),
        inputs.FailurePhase.DECLINED,
        inputs.FailureCause.REFUSED,
    )
    core.answer(core.dispatch())
    core.tell(inputs.TableChanged, routed_core.table(2, weights="2"))
    core.list_server("e1", routed_core.ENGINES, weights_version="2")
    core.wait(2_000)
    core.arrive("long", "r2", levels=(work.Level(11, 13_000),))
    core.tell(inputs.TableChanged, routed_core.table(3, keys=()))
    core.arrive("release", "r3")
    core.renew_serving_lease(for_ms=0)
    core.arrive("release", "r4")
    core.arrive("open", "r5", token_sha256="")
    return script


SESSIONS = (
    cancel_races_answer,
    claim_outage,
    crossed_frames,
    late_first_engine,
    overload,
    routed_change_of_keys_and_weights,
    routed_server_goes_dark,
    silent_for_good,
)


def main() -> int:
    """Writes the named sessions, or all, and prints the differences."""
    names = set(sys.argv[1:])
    for make in SESSIONS:
        if names and make.__name__ not in names:
            continue
        path = GOLDEN / f"{make.__name__}.session"
        before = path.read_text() if path.exists() else ""
        after = make().text.getvalue()
        print(
            "".join(
                difflib.unified_diff(
                    before.splitlines(keepends=True),
                    after.splitlines(keepends=True),
                    f"{path.name} (before)",
                    f"{path.name} (now)",
                )
            ),
            end="",
        )
        path.write_text(after)
    return 0


if __name__ == "__main__":
    sys.exit(main())

"""Requests that are queued while servers are overloaded."""

from __future__ import annotations

import dataclasses
import heapq

from cases import routed_core
from godwittack.core import effects, inputs, server_inputs

ENGINES = 2
WORK_MS = 200
STEP_MS = 10
CALLER_TIMEOUT_MS = 2_000


class Overload:
    """One daemon of nine that share two overloaded engines.

    Each engine completes a request of this daemon every 200 ms, although its
    slots would admit 16 at a time.
    """

    def __init__(
        self,
        *,
        gap_ms: int,
        deadline_ms: int,
        slots: int = 16,
        **policy_fields,
    ) -> None:
        route = dataclasses.replace(
            routed_core.ROUTES[0], aim_ms=300, gap_aim_ms=250
        )
        self.core = routed_core.Core(servers=ENGINES, **policy_fields)
        self.core.tell(
            inputs.TableChanged, routed_core.table(2, routes=(route,))
        )
        self.gap_ms = gap_ms
        self._deadline_ms = deadline_ms
        self._slots = slots
        self._ends: list[tuple[int, str, effects.Dispatch]] = []
        self._busy_until_ms = {f"e{n}": 0 for n in range(1, ENGINES + 1)}
        self.arrived_ms: dict[str, int] = {}
        self.waited_ms: dict[str, int] = {}
        self.started = 0

    def play(self, *, seconds: int) -> None:
        """Submits requests for some seconds, and plays the engines."""
        end_ms = self.core.now_ms + seconds * 1_000
        while self.core.now_ms < end_ms:
            self.core.now_ms += STEP_MS
            if self.core.now_ms % self.gap_ms < STEP_MS:
                self._arrive()
            while self._ends and self._ends[0][0] <= self.core.now_ms:
                self._end(heapq.heappop(self._ends)[2])
            if self.core.now_ms % 100 < STEP_MS:
                self._report()
            if self.core.now_ms % 50 < STEP_MS:
                self._handle(self.core.tell(inputs.Tick))

    def _arrive(self) -> None:
        name = f"r{self.core.now_ms}"
        self.arrived_ms[name] = self.core.now_ms
        self._handle(
            self.core.arrive("long", name, deadline_ms=self._deadline_ms)
        )

    def _report(self) -> None:
        for server, busy_until_ms in self._busy_until_ms.items():
            left_ms = max(0, busy_until_ms - self.core.now_ms)
            self._handle(
                self.core.tell_named(
                    server_inputs.LoadReported,
                    server_id=server,
                    incarnation=server,
                    weights_version="1",
                    running=1,
                    waiting=left_ms // WORK_MS,
                    waiting_tokens=left_ms * 10,
                    prefill_us_per_token=100,
                    slots=self._slots,
                )
            )

    def _end(self, sent: effects.Dispatch) -> None:
        self._handle(self.core.open(sent))
        self.started += 1
        self._handle(self.core.frames(sent, 1, end=True))

    def _handle(self, new_effects: list[effects.Effect]) -> None:
        for effect in new_effects:
            if isinstance(effect, effects.Dispatch):
                starts_ms = max(
                    self._busy_until_ms[effect.server_id], self.core.now_ms
                )
                self._busy_until_ms[effect.server_id] = starts_ms + WORK_MS
                ends_ms = starts_ms + WORK_MS
                heapq.heappush(self._ends, (ends_ms, effect.request_id, effect))
            if isinstance(effect, effects.Refuse):
                arrived_ms = self.arrived_ms[effect.request_id]
                waited_ms = self.core.now_ms - arrived_ms
                self.waited_ms[effect.request_id] = waited_ms
                assert effect.outcome is effects.Outcome.NOT_RUN
                assert effect.retry_after_ms > 0


def requests_beyond_capacity_are_refused_at_once() -> None:
    """Guards against a queue in which all requests miss their deadline."""
    load = Overload(gap_ms=50, deadline_ms=6_000)
    load.play(seconds=30)
    assert load.waited_ms, "nothing was refused"
    late = [ms for ms in load.waited_ms.values() if ms > 500]
    # Some are queued in vain until the first dispatch intervals are known.
    assert len(late) <= 0.1 * len(load.arrived_ms), (
        len(late),
        len(load.arrived_ms),
    )
    assert load.started >= 0.9 * 30 * ENGINES * 1_000 / WORK_MS, load.started


def a_stream_is_refused_if_its_caller_would_leave_before_it_starts() -> None:
    """Guards against work for callers that leave long before the deadline."""
    load = Overload(gap_ms=50, deadline_ms=6_000)
    load.play(seconds=30)
    assert max(load.waited_ms.values()) <= CALLER_TIMEOUT_MS, load.waited_ms


def a_queue_that_was_empty_for_long_is_no_sign_of_slow_servers() -> None:
    """Guards against a pause in the load that counts as a slow dispatch."""
    load = Overload(gap_ms=50, deadline_ms=6_000)
    load.play(seconds=5)
    load.gap_ms = 250
    load.core.now_ms += 60_000
    load.play(seconds=5)
    load.waited_ms.clear()
    load.core.renew_serving_lease()
    load.play(seconds=10)
    assert not load.waited_ms, load.waited_ms

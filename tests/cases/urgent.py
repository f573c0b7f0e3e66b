"""Order of queued requests, who is refused, and when callers return."""

from __future__ import annotations

import collections
import dataclasses
import heapq

from cases import routed_core, waiting
from godwittack.core import effects, inputs, urgency, work
from godwittack.daemon import demand
from godwittack.limit import buckets, fair, quota, urgency_queue
from godwittack.table import model

LIGHT_KEY = "key-of-lab"
QUOTA = quota.Quota(per_s=10_000.0, burst=10_000.0)


def _table(version: int = 3, **route_fields) -> model.Table:
    """Returns a table with a second workspace, lab."""
    fields = {"aim_ms": 1_000, "gap_aim_ms": 250, **route_fields}
    route = dataclasses.replace(routed_core.ROUTES[0], **fields)
    table = routed_core.table(version, routes=(route,))
    table.workspaces["lab"] = dataclasses.replace(
        table.workspaces["desk"], name="lab"
    )
    table.workspace_by_token[routed_core.digest(LIGHT_KEY)] = "lab"
    return table


def _times(target: int, late: int, deadline: int) -> urgency_queue.Times:
    return urgency_queue.Times(
        target_at_ms=target, late_from_ms=late, deadline_at_ms=deadline
    )


def _push(queue, name: str, times, *, workspace="desk", cost=10.0) -> None:
    queue.push(
        request_id=name,
        workspace=workspace,
        weight=1.0,
        cost=cost,
        times=times,
    )


def _drain(queue, now_ms: int) -> list[str]:
    names = []
    while len(queue):
        names.append(queue.heads(now_ms)[0].request_id)
        queue.dequeue(names[-1])
    return names


class Burst(waiting.Overload):
    """One workspace sends nine requests in ten of twice the capacity."""

    def __init__(self, **policy_fields) -> None:
        super().__init__(gap_ms=50, deadline_ms=6_000, slots=2, **policy_fields)
        self.core.tell(inputs.TableChanged, _table())
        self.arrivals: collections.Counter[str] = collections.Counter()
        self.refused: collections.Counter[str] = collections.Counter()
        self.in_time: collections.Counter[str] = collections.Counter()

    def _arrive(self) -> None:
        name = f"r{self.core.now_ms}"
        count = sum(self.arrivals.values())
        key = LIGHT_KEY if count % 10 == 9 else routed_core.KEY
        self.arrivals[key] += 1
        self.arrived_ms[name] = self.core.now_ms
        self._keys = getattr(self, "_keys", {}) | {name: key}
        self._handle(
            self.core.arrive(
                "long",
                name,
                deadline_ms=self._deadline_ms,
                token_sha256=routed_core.digest(key),
            )
        )

    def _handle(self, new_effects: list[effects.Effect]) -> None:
        super()._handle(new_effects)
        for effect in new_effects:
            if isinstance(effect, effects.Refuse):
                self.refused[self._keys[effect.request_id]] += 1

    def _end(self, sent: effects.Dispatch) -> None:
        super()._end(sent)
        took_ms = self.core.now_ms - self.arrived_ms[sent.request_id]
        self.in_time[self._keys[sent.request_id]] += took_ms <= 1_000


def requests_that_can_be_in_time_come_first() -> None:
    """Guards against late requests that make those behind them late."""
    queue = urgency_queue.UrgencyQueue()
    _push(queue, "late", _times(900, 800, 5_000))
    _push(queue, "late first", _times(900, 800, 4_000))
    _push(queue, "in time", _times(2_000, 1_900, 6_000))
    _push(queue, "first", _times(1_500, 1_400, 6_000))
    order = ["first", "in time", "late first", "late"]
    assert _drain(queue, 1_000) == order


def a_late_request_is_not_passed_over_for_long() -> None:
    """Guards against late requests that starve behind new ones."""
    late = _times(900, 800, 4_800)
    new = _times(9_000, 8_900, 12_000)
    for now_ms, first in ((2_700, "new"), (2_800, "late")):
        queue = urgency_queue.UrgencyQueue()
        _push(queue, "new", new)
        _push(queue, "late", late)
        assert _drain(queue, now_ms)[0] == first, now_ms


def shares_take_precedence_over_urgency() -> None:
    """Guards against a workspace that gains by short target latencies."""
    queue = urgency_queue.UrgencyQueue()
    for number in range(8):
        urgent = _times(1_100 + number, 1_050, 2_000)
        _push(queue, f"heavy{number}", urgent)
    for number in range(3):
        calm = _times(3_000 + number, 2_900, 6_000)
        _push(queue, f"light{number}", calm, workspace="lab")
    order = _drain(queue, 1_000)
    assert order.index("light2") <= 7, order
    assert order[0] == "heavy0", order


def a_workspace_counts_with_the_demand_of_the_fleet() -> None:
    """Guards against a workspace that looks small at each daemon."""
    core = routed_core.Core(late_answer_value=0.5)
    shares = core.world.shares
    for workspace, rate_per_s in (("desk", 30.0), ("lab", 2.0), ("hut", 4.0)):
        cell = urgency.DEMAND_CELL_PREFIX + workspace
        for daemon in ("d", "e", "f"):
            shares.record_peer_demand(
                daemon=daemon, cell=cell, demand=0.0, rate_per_s=rate_per_s
            )
    core.now_ms += 1_000
    core.tell(inputs.Tick)
    weights = {
        name: urgency.fleet_weight(core.world, name)
        for name in ("desk", "lab", "hut", "unknown")
    }
    assert weights["lab"] == weights["hut"] == weights["unknown"] == 1.0
    assert abs(weights["desk"] - 12 / 30) < 0.01, weights
    cell = urgency.DEMAND_CELL_PREFIX + "desk"
    assert demand.rounded_rate(cell, 30.0) == demand.rounded_rate(cell, 31.0)


def the_workspace_beyond_its_share_is_refused() -> None:
    """Guards against a burst whose refusals fall on the other workspaces."""
    load = Burst(late_answer_value=0.5)
    load.play(seconds=30)
    light = load.arrivals[LIGHT_KEY]
    assert load.refused[LIGHT_KEY] <= 0.02 * light, (load.refused, light)
    assert load.in_time[LIGHT_KEY] >= 0.9 * light, (load.in_time, light)
    assert load.started >= 0.9 * 30 * waiting.ENGINES * 1_000 / waiting.WORK_MS
    # Half of the time from its target latency to its caller's timeout.
    assert max(load.waited_ms.values()) <= 1_000 + (4_000 - 1_000) / 2


def _hold_all(**policy_fields) -> routed_core.Core:
    """Returns a core whose engines have no room for seconds."""
    core = routed_core.Core(**policy_fields)
    core.tell(inputs.TableChanged, _table())
    for server in core.world.servers.values():
        server.waiting = server.running = server.slots
        server.reported_at_ms = core.now_ms
    core.world.service_time_ms[routed_core.ENGINES] = 2_000.0
    return core


def a_full_queue_takes_requests_within_their_share() -> None:
    """Guards against a burst that fills the queue and shuts out the others."""
    core = _hold_all(late_answer_value=0.5, queue_total=4)
    for number in range(4):
        core.arrive("long", f"r{number}")
    core.arrive("long", "r4")
    assert core.refusal().request_id == "r4"
    light = routed_core.digest(LIGHT_KEY)
    core.arrive("long", "light", token_sha256=light)
    refused = core.refusal()
    assert refused.request_id != "light"
    assert refused.reason is effects.Reason.QUEUE_FULL
    assert "light" in core.world.requests


def hopeless_requests_are_refused_before_their_deadline() -> None:
    """Guards against callers that wait in vain until their deadline."""
    core = _hold_all(late_answer_value=0.5)
    levels = (work.Level(key=7, tokens=10_000),)
    core.arrive("long", "r", levels=levels)
    (request,) = core.world.requests.values()
    least_ms = urgency.least_ms(core.world, request)
    assert least_ms == 1_000
    left_ms = request.answer_start_deadline_ms - core.now_ms
    for server in core.world.servers.values():
        server.reported_at_ms = core.now_ms + left_ms
    core.wait(left_ms - 1_200)
    assert not core.find(effects.Refuse)
    core.wait(300)
    assert core.refusal().outcome is effects.Outcome.NOT_RUN


def the_order_is_kept_by_default() -> None:
    """Guards against an order that changes without its setting."""
    core = _hold_all()
    core.arrive("long", "r")
    (queue,) = core.world.queues[routed_core.ENGINES].values()
    assert isinstance(queue, fair.FairQueue)
    assert not any(
        cell.startswith(urgency.DEMAND_CELL_PREFIX)
        for cell in core.world.shares.cells
    )


def _refused_again(spare_ratio: float) -> tuple[int, int]:
    """Plays callers that return as told, after a prompt of some seconds.

    Returns:
        Refusals, and callers.
    """
    tolerance = quota.Tolerance(slack=6_000.0, spare_ratio=spare_ratio)
    quotas = buckets.Buckets(tolerance=tolerance)
    quotas.start_listening(0)
    now_ms, refused, callers = 20_000, 0, 60
    due = [(now_ms, number) for number in range(callers)]
    quotas.admit("desk", QUOTA, units=30_000, now_ms=now_ms)
    while due:
        at_ms, number = heapq.heappop(due)
        for tick_ms in range(now_ms, at_ms, 50):
            quotas.due_reports(tick_ms)
        now_ms = at_ms
        quotas.set_reach(1.0, daemons=1, own_part=1.0, now_ms=now_ms)
        verdict = quotas.admit(
            "desk", QUOTA, units=400, now_ms=now_ms, honoured_ms=8_000
        )
        if not verdict.is_admitted:
            refused += 1
            heapq.heappush(due, (now_ms + verdict.retry_after_ms, number))
    return refused, callers


def callers_return_one_after_the_other() -> None:
    """Guards against callers that are refused again and again together."""
    refused, callers = _refused_again(0.5)
    assert refused <= 1.2 * callers, refused
    assert _refused_again(0.0)[0] > refused


def nobody_is_told_later_than_callers_honour() -> None:
    """Guards against times that callers cut to a third of what is left."""
    core = routed_core.Core(quota_spare_ratio=0.5)
    table = routed_core.table(2)
    table.workspaces["desk"] = dataclasses.replace(
        table.workspaces["desk"], quota_per_s=100, quota_burst=100
    )
    core.tell(inputs.TableChanged, table)
    told = []
    for number in range(40):
        core.arrive("release", f"r{number}", used_tokens=90, deadline_ms=3_000)
        told += [r.retry_after_ms for r in core.find(effects.Refuse)]
    assert told, "nothing was refused"
    assert max(told) <= 1_000, told
    assert told == sorted(told), told


def refused_for_capacity_return_one_after_the_other() -> None:
    """Guards against callers that return to busy servers together."""
    load = Burst(late_answer_value=0.5)
    told: list[int] = []
    handle = load._handle

    def record(new_effects: list[effects.Effect]) -> None:
        told.extend(
            load.core.now_ms + effect.retry_after_ms
            for effect in new_effects
            if isinstance(effect, effects.Refuse)
        )
        handle(new_effects)

    load._handle = record  # type: ignore[method-assign]
    load.play(seconds=10)
    assert told, "nothing was refused"
    assert max(collections.Counter(told).values()) <= 2, told

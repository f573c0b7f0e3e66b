"""Roll-outs over many servers: concurrency, order and log lines."""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import logging

from absl import logging as absl_logging

from cases import one_lead
from godwittack.lead import pacing, rollout


class _LineCollector(logging.Handler):
    """Collects the messages of log records."""

    def __init__(self) -> None:
        super().__init__()
        self.lines: list[str] = []

    def emit(self, record: logging.LogRecord) -> None:
        """Records a message."""
        self.lines.append(record.getMessage())


@contextlib.contextmanager
def _logged(event: str):
    """Collects the lines of one event."""
    handler = _LineCollector()
    logger = absl_logging.get_absl_logger()
    level = logger.level
    logger.addHandler(handler)
    logger.setLevel(logging.INFO)
    lines: list[str] = []
    try:
        yield lines
    finally:
        logger.removeHandler(handler)
        logger.setLevel(level)
        lines.extend(
            line for line in handler.lines if line.startswith(f"event={event} ")
        )


def a_roll_out_under_load_logs_its_progress() -> None:
    """The log lines of a roll-out show why no further server is ordered.

    Guards against a log that names only orders while servers stay on old
    weights: requests wait at all of 56 engines when new weights are published.
    """

    async def case() -> None:
        daemon = one_lead.LeadDaemon(servers=56, load_s=0.45)
        load = asyncio.create_task(daemon.apply_load())
        with _logged("rollout") as lines:
            await daemon.run(for_s=2.0)
        assert load.cancel(), load
        assert 4 <= len(lines) <= 12, lines
        for field in ("behind", "loading", "held", "room", "oldest_ms"):
            assert all(f" {field}=" in line for line in lines), lines
        assert "behind=56" in lines[0] and "pressed=1" in lines[0], lines[0]

    one_lead.play(case())


def a_lead_without_the_store_logs_it_once() -> None:
    """A daemon that may not order logs the reason when it changes.

    Guards against a log that names only orders and changes of the holder: the
    store does not answer for 3 s, no orders are given, and no daemon logs why.
    """

    async def case() -> None:
        daemon = one_lead.LeadDaemon()
        daemon.table.faults.down = True
        with _logged("rollout_waits") as lines:
            await daemon.run(for_s=3.0)
            daemon.table.faults.down = False
            await daemon.run(for_s=1.0)
        reasons = [line.split("why=")[1].split()[0] for line in lines]
        assert reasons == ["store_lost", "none"], lines

    one_lead.play(case())


def a_large_fleet_under_load_has_new_weights_in_time() -> None:
    """Weights reach every server before the replaced ones are too old.

    On a fleet of 56 engines under load, requests ran on replaced weights for
    longer than allowed. While requests waited at the engines, one engine loaded
    at a time, whatever the fleet and the time left. Six had new weights after 4
    s; 56 would have needed 40 s. The lead itself worked, and so did 42 engines
    that had to wait; its log line 2.1 s after the publication, with one order
    given until then:

        event=rollout version=2 behind=42 unreachable=5 too_old=0
        oldest_ms=2109 draining=0 loading=1 held=0 room=1 pressed=1 wait_ms=400
    """

    async def case() -> None:
        daemon = one_lead.LeadDaemon(servers=56, load_s=0.45)
        limit_ms = daemon.runtime.core.world.policy.old_weights_limit_ms
        load = asyncio.create_task(daemon.apply_load())
        await daemon.run(for_s=limit_ms / 1000)
        assert load.cancel(), load
        assert daemon.count_with_weights("2") == 56, daemon.count_with_weights(
            "2"
        )

    one_lead.play(case())


def a_small_fleet_under_load_loads_one_at_a_time_while_there_is_time() -> None:
    """The time left sets how many load; half of the usable ones keep serving.

    Guards against a concurrency derived from the fleet size alone: callers of
    five engines waited while two of them loaded, though there was time to load
    one after the other. Requests wait at all engines; time passes; engines are
    lost.
    """

    def room(*, oldest_ms: int, usable: int = 5) -> int:
        return pacing.max_loading_under_load(
            pacing.RemainingWork(
                replicas=5,
                usable=usable,
                behind=usable,
                oldest_ms=oldest_ms,
                load_ms=1_000,
                use_limit_ms=9_500,
            )
        )

    assert room(oldest_ms=0) == 1
    assert room(oldest_ms=4_000) == 2
    assert room(oldest_ms=4_000, usable=3) == 1
    assert room(oldest_ms=60_000, usable=1) == 1


def _replica(name: str, **fields) -> rollout.Replica:
    return rollout.Replica(
        **{
            "server_id": name,
            "weights_version": "1",
            "unfinished_requests": 1,
            **fields,
        }
    )


def servers_that_get_no_work_load_at_once() -> None:
    """A server with weights too old for use loads at once, also under load.

    Guards against a roll-out that does not recover once weights are too old: a
    third of the servers get no work because of it, requests wait at the others,
    and the load on those kept the servers without work from loading.
    """
    rollout_state = rollout.Rollout(rollout.RolloutPolicy(order_after_ms=100))
    replicas = [
        _replica(f"r{n}", outdated_for_ms=8_000, accepts_work=n >= 4)
        for n in range(12)
    ]
    drained = rollout_state.decide(
        desired_version="2", replicas=replicas, now_ms=0, is_under_load=True
    ).draining
    assert drained == ("r0", "r1", "r2", "r3"), drained


def servers_held_by_others_without_work_take_no_load_slot() -> None:
    """Servers without work ordered by another lead do not use up load slots.

    A lead took over while ten servers whose weights were too old for use were
    held for the previous lead. They counted against the load slots of serving
    servers, so that none of these was ordered until the hold ended, though the
    time for their weights ran out as well.
    """
    rollout_state = rollout.Rollout(rollout.RolloutPolicy(order_after_ms=100))
    replicas = [
        _replica(f"r{n:02}", outdated_for_ms=8_000, accepts_work=n >= 10)
        for n in range(56)
    ]
    drained = rollout_state.decide(
        desired_version="2",
        replicas=replicas,
        now_ms=0,
        is_under_load=True,
        held_by_others={f"r{n:02}" for n in range(10)},
    ).draining
    assert len(drained) == 56 // 6, drained


def the_oldest_weights_are_replaced_first() -> None:
    """With publications in quick succession, no server is passed over.

    Guards against servers that become too old for use while others load twice:
    version 3 is published while half of the servers have version 2, and the
    least busy server goes first whatever weights it has.
    """
    rollout_state = rollout.Rollout(rollout.RolloutPolicy(order_after_ms=100))
    replicas = [
        _replica(
            "a", weights_version="2", unfinished_requests=0, outdated_for_ms=200
        ),
        _replica(
            "b", weights_version="2", unfinished_requests=0, outdated_for_ms=200
        ),
        _replica("c", outdated_for_ms=3_000),
        _replica("d", outdated_for_ms=3_000),
    ]
    drained = rollout_state.decide(
        desired_version="3", replicas=replicas, now_ms=0
    ).draining
    assert drained == ("c", "d"), drained


def newer_weights_end_a_drain_whoever_ordered_them() -> None:
    """A load that another lead ordered ends a drain as well.

    Guards against a server with the newest weights that gets no work for 20 s:
    it accepts an order for version 2; another daemon takes over and has it load
    version 3; only the version that the first lead had ordered ended its drain.
    """
    rollout_state = rollout.Rollout(rollout.RolloutPolicy(order_after_ms=100))
    rollout_state.decide(
        desired_version="2", replicas=[_replica("a")], now_ms=0
    )
    rollout_state.record_order("a", now_ms=100)
    rollout_state.record_acceptance("a")
    loaded = _replica("a", weights_version="3")
    after = rollout_state.decide(
        desired_version="3", replicas=[loaded], now_ms=900
    )
    assert not after.draining, after


def a_late_report_of_older_weights_does_not_end_a_load() -> None:
    """Guards against more concurrent loads than the weight store supports."""
    rollout_state = rollout.Rollout(rollout.RolloutPolicy(order_after_ms=100))
    names = [f"s{number}" for number in range(40)]
    # Too old for use, by the reports that this lead has.
    stale = [_replica(name, accepts_work=False) for name in names]
    rollout_state.decide(desired_version="5", replicas=stale, now_ms=0)
    first = rollout_state.decide(
        desired_version="5", replicas=stale, now_ms=100
    ).servers_to_load
    for name in first:
        rollout_state.record_order(name, now_ms=100)
        rollout_state.record_acceptance(name)
    late = [_replica(name, weights_version="4") for name in names]
    after = rollout_state.decide(desired_version="5", replicas=late, now_ms=200)
    assert after.overview.loading == len(first) > 0, after.overview
    max_loads = pacing.max_store_loads(len(names))
    assert len(after.draining) <= max_loads, (len(after.draining), max_loads)
    loaded = [
        _replica(name, weights_version="5" if name in first else "4")
        for name in names
    ]
    assert not rollout_state.decide(
        desired_version="5", replicas=loaded, now_ms=900
    ).overview.loading


def slow_loads_are_started_earlier() -> None:
    """Loads that take longer than earlier ones raise the concurrency.

    Guards against a load time that is known only once the next load has ended:
    loads took 0.6 s with little load; now long requests end before each load,
    which takes seconds. A roll-out planned for 5 s took 12.
    """
    rollout_state = rollout.Rollout(
        rollout.RolloutPolicy(order_after_ms=100, use_limit_ms=12_000)
    )
    for _ in range(20):
        rollout_state.record_load(took_ms=600)
    replicas = [_replica(f"r{n:02}") for n in range(56)]

    def room(now_ms: int) -> int:
        aged = [
            dataclasses.replace(replica, outdated_for_ms=now_ms)
            for replica in replicas
        ]
        decided = rollout_state.decide(
            desired_version="2",
            replicas=aged,
            now_ms=now_ms,
            is_under_load=True,
        )
        for name in decided.servers_to_load:
            rollout_state.record_order(name, now_ms=now_ms)
        return decided.overview.room

    assert room(0) == room(100) == 56 // 6
    assert room(2_600) == 20, room(2_600)


def a_short_load_lowers_the_estimate_slowly() -> None:
    """The load time of one idle server says little about busy ones.

    Guards against an estimate in which the last load counts for half: loads
    take 2.4 s under load, one idle server takes 0.4 s, and each roll-out after
    a quiet moment is too slow.
    """
    load_time = pacing.LoadTime()
    for took_ms in (2_400, 400):
        load_time.record(took_ms)
    assert load_time.estimate_ms >= 2_000, load_time
    load_time.record(3_000)
    assert load_time.estimate_ms == 3_000, load_time


def a_suspended_lead_does_not_count_as_a_slow_load() -> None:
    """Time in which the lead was suspended is not a load time.

    A lead that was suspended for ten seconds recorded that as the time of a
    load. The estimate fell by a fifth with each load after it: eleven loads
    later it still had half of the fleet out of service under load, with time
    for a sixth.
    """
    rollout_state = rollout.Rollout(
        rollout.RolloutPolicy(load_limit_ms=4_000, use_limit_ms=12_000)
    )
    rollout_state.record_load(took_ms=12_000)
    for _ in range(6):
        rollout_state.record_load(took_ms=1_000)
    decided = rollout_state.decide(
        desired_version="2",
        replicas=[_replica(f"r{n:02}") for n in range(56)],
        now_ms=0,
        is_under_load=True,
    )
    assert decided.overview.load_ms < 2_000, decided.overview
    assert decided.overview.room < 20, decided.overview


def a_server_that_refuses_each_order_serves_in_between() -> None:
    """A server that refuses an order gets work until the next attempt.

    A server refused each order, as one whose weights can't be loaded does. It
    was drained again with the next step: out of service in each of 200 steps of
    a tenth of a second, with 100 orders and a store write for each.
    """
    rollout_state = rollout.Rollout(rollout.RolloutPolicy(order_after_ms=100))
    replicas = [_replica("a")]
    orders = drained = 0
    for now_ms in range(0, 20_000, 100):
        decided = rollout_state.decide(
            desired_version="2", replicas=replicas, now_ms=now_ms
        )
        drained += len(decided.draining)
        for name in decided.servers_to_load:
            orders += 1
            rollout_state.record_order(name, now_ms=now_ms)
            rollout_state.record_refusal(name, now_ms=now_ms)
    assert 5 <= orders <= 20, orders
    assert drained <= 40, drained


def a_refused_order_counts_for_its_version_only() -> None:
    """A server that refused one order is not ranked last forever.

    Guards against refusals that count for as long as the lead leads: a server
    refuses an order for version 2, for instance while it starts; versions 3 and
    4 are published; the others load before it each time, and it becomes too old
    for use.
    """
    rollout_state = rollout.Rollout(rollout.RolloutPolicy(order_after_ms=100))
    replicas = [_replica(name) for name in ("a", "b", "c", "d")]
    rollout_state.decide(desired_version="2", replicas=replicas, now_ms=0)
    for name in rollout_state.decide(
        desired_version="2", replicas=replicas, now_ms=100
    ).servers_to_load:
        rollout_state.record_order(name, now_ms=100)
        rollout_state.record_refusal(name, now_ms=100)
    after = rollout_state.decide(
        desired_version="2", replicas=replicas, now_ms=200
    )
    assert after.draining == ("c", "d"), after.draining
    newer = [
        dataclasses.replace(replica, weights_version="2")
        for replica in replicas[2:]
    ]
    aged = [
        dataclasses.replace(replica, outdated_for_ms=3_000)
        for replica in replicas[:2]
    ]
    after = rollout_state.decide(
        desired_version="3", replicas=aged + newer, now_ms=300
    )
    assert after.draining == ("a", "b"), after.draining

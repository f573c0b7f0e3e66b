"""Quotas of workspaces that hold over all daemons."""

from __future__ import annotations

import asyncio
import dataclasses
import time

from result import Ok

from cases import routed_core
from cluster import platform
from godwittack.backend import headers
from godwittack.core import effects, inputs
from godwittack.limit import buckets, quota
from godwittack.peer import codec
from godwittack.placement import levels
from godwittack.platform import table as platform_table
from godwittack.store import protocol
from godwittack.table import model, schema
from sim import quota_fleets

FLEETS = (6, 12, 63)
LARGE = quota.Quota(per_s=47_000.0, burst=47_000.0)
LARGE_TOLERANCE = quota.Tolerance(slack=190_000.0)
SPARE_RATIO = 0.5
WINDOW_LARGE_TOLERANCE = quota.Tolerance(slack=190_000.0, window_part=1.0)
# Fleets by daemons and seed in which daemons that are cut off one by one passed
# the bound, by up to 1.067, while each of them could overdraw its bucket.
CUT_OFF_SEEDS = {
    63: (1, 2, 20, 28, 33, 34, 52, 70, 82, 89),
    340: (1, 3, 4),
}
QUOTA = quota.Quota(per_s=10_000.0, burst=10_000.0)
# All sessions of the cases above, and large requests beyond the quota.
SESSIONS = (
    {},
    {"load_factor": 20.0},
    {"hop_ms": 4_000},
    {"load_factor": 0.8},
    {"load_factor": 0.8, "hop_ms": 2_000},
    {"load_factor": 0.55, "size_factor": 70, "limit": LARGE},
    {"load_factor": 4.0, "size_factor": 70, "limit": LARGE},
    {"fault": "killed"},
    {"fault": "rolling"},
    {"fault": "cut", "fault_part": 0.34},
    {"fault": "parted", "fault_part": 0.3},
    {"fault": "parted", "fault_part": 0.5},
    {"fault": "frozen", "fault_part": 0.34},
    {"lost": 0.2},
    {"fault": "lowered"},
)


def _play(
    daemons: int, *, seed: int | None = None, **fields
) -> quota_fleets.Fleet:
    plan = quota_fleets.Plan(daemons=daemons, **fields)
    return quota_fleets.Fleet(
        plan, seed=daemons if seed is None else seed
    ).play()


def _play_with_spare(daemons: int, **fields) -> float:
    """Returns the worst window of a session with the spare part in use."""
    slack = 190_000.0 if "limit" in fields else 6_000.0
    tolerance = quota.Tolerance(slack=slack, spare_ratio=SPARE_RATIO)
    played = _play(daemons, tolerance=tolerance, **fields)
    if fields.get("fault") == "lowered":
        since_ms = quota_fleets.FAULT_MS + 3_000
        return played.worst_window_from(since_ms, played.limit)
    return played.worst_window()


def _in_debt(part: float, *, spare_ratio: float = SPARE_RATIO):
    """Returns buckets of which one owes a part of the tolerated excess."""
    tolerance = quota.Tolerance(slack=6_000.0, spare_ratio=spare_ratio)
    quotas = buckets.Buckets(tolerance=tolerance)
    quotas.start_listening(0)
    for now_ms in range(0, 10_000, 400):
        quotas.due_reports(now_ms)
    quotas.set_reach(1.0, daemons=6, own_part=1 / 6, now_ms=10_000)
    quotas.admit("desk", QUOTA, units=1, now_ms=10_000)
    quotas.buckets["desk"].level = -part * tolerance.excess(QUOTA)
    return quotas


def _admitted(quotas: buckets.Buckets, units: int) -> int:
    """Returns how many of ten requests are admitted without a refill."""
    bucket = quotas.buckets["desk"]
    level = bucket.level
    admitted = 0
    for _ in range(10):
        verdict = quotas.admit("desk", QUOTA, units=units, now_ms=10_000)
        admitted += verdict.is_admitted
        bucket.level = level
    return admitted


def _core(**fields) -> routed_core.Core:
    """Returns a core whose workspace has a quota and a full bucket."""
    core = routed_core.Core()
    _set_quota(core, **{"quota_per_s": 1_000, "quota_burst": 1_000, **fields})
    return core


def _set_quota(core: routed_core.Core, **fields) -> None:
    changed = routed_core.table(core.world.table.version + 1)
    changed.workspaces["desk"] = dataclasses.replace(
        changed.workspaces["desk"], **fields
    )
    core.tell(inputs.TableChanged, changed)


def _bucket(core: routed_core.Core) -> buckets.Bucket:
    return core.world.quotas.buckets["desk"]


def _told(admitted: int, *, opened_ms: int, level: float = 0.0) -> quota.Usage:
    return quota.Usage(
        workspace="desk",
        admitted=admitted,
        opened_at_ms=opened_ms,
        level=level,
        at_ms=opened_ms,
    )


def a_quota_holds_over_all_daemons() -> None:
    """Guards against daemons that each let the whole quota through."""
    for daemons in FLEETS:
        for load_factor in (3.0, 20.0):
            played = _play(daemons, load_factor=load_factor)
            assert played.worst_window() <= 1.0, (daemons, load_factor)
            assert played.use() >= 0.95, (daemons, played.use())


def a_quota_is_used_wherever_requests_come() -> None:
    """Guards against shares that idle daemons leave unused."""
    for daemons in FLEETS:
        played = _play(daemons, hop_ms=4_000)
        assert played.worst_window() <= 1.0, daemons
        assert played.use() >= 0.95, (daemons, played.use())


def nothing_is_refused_below_a_quota() -> None:
    """Guards against refusals after requests move to another daemon."""
    for daemons in FLEETS:
        for hop_ms in (0, 2_000):
            played = _play(daemons, load_factor=0.8, hop_ms=hop_ms)
            assert not played.refused, (daemons, hop_ms, played.refused)


def large_requests_pass_below_a_quota() -> None:
    """Guards against requests larger than a daemon's part of a quota."""
    for daemons in FLEETS:
        played = _play(
            daemons,
            load_factor=0.55,
            size_factor=70,
            limit=LARGE,
            tolerance=LARGE_TOLERANCE,
        )
        assert not played.refused, (daemons, played.refused)


def restarts_give_no_further_burst() -> None:
    """Guards against daemons that forget what was used when they restart."""
    for daemons in FLEETS:
        for fault in ("killed", "rolling"):
            played = _play(daemons, fault=fault)
            assert played.worst_window() <= 1.0, (daemons, fault)
            assert played.use() >= 0.95, (daemons, fault, played.use())


def daemons_out_of_contact_keep_to_a_quota() -> None:
    """Guards against parts of a fleet that each use the whole quota."""
    for daemons in FLEETS:
        for fault, part in (
            ("cut", 0.34),
            ("parted", 0.3),
            ("parted", 0.5),
            ("frozen", 0.34),
        ):
            played = _play(daemons, fault=fault, fault_part=part)
            assert played.worst_window() <= 1.0, (daemons, fault, part)


def late_reports_are_counted_once() -> None:
    """Guards against a report that is overtaken and taken for a new one."""
    for daemons in FLEETS:
        played = _play(daemons, lost=0.2)
        assert played.worst_window() <= 1.0, daemons
        assert played.use() >= 0.95, (daemons, played.use())


def a_lowered_quota_holds_after_a_window() -> None:
    """Guards against tokens kept from before a quota was lowered."""
    for daemons in FLEETS:
        played = _play(daemons, fault="lowered")
        since_ms = quota_fleets.FAULT_MS + 3_000
        worst = played.worst_window_from(since_ms, played.limit)
        assert worst <= 1.0, (daemons, worst)


def a_quota_holds_over_hundreds_of_daemons() -> None:
    """Guards against debts that grow with the number of daemons."""
    for fields in ({}, {"fault": "cut"}, {"fault": "killed"}):
        played = _play(340, **fields)
        assert played.worst_window() <= 1.0, fields


def daemons_cut_off_one_by_one_do_not_overdraw() -> None:
    """Guards against one request beyond the quota from each daemon cut off."""
    for daemons, seeds in CUT_OFF_SEEDS.items():
        for seed in seeds:
            worst = _play(daemons, seed=seed, fault="cut").worst_window()
            assert worst <= 1.0, (daemons, seed, worst)


def a_daemon_cut_off_admits_what_its_refill_has_paid() -> None:
    """Guards against overdrawing, and against retry times that are too early.

    The part of more than half of a fleet overdraws as the whole fleet does.
    """
    for reach, admits in ((1.0, True), (4 / 6, True), (1 / 2, False)):
        quotas = _in_debt(0.0, spare_ratio=0.0)
        quotas.set_reach(reach, daemons=6, own_part=1 / 6, now_ms=10_000)
        verdict = quotas.admit("desk", QUOTA, units=5_000, now_ms=10_000)
        assert verdict.is_admitted == admits, reach
    at_ms = 10_000 + verdict.retry_after_ms
    for now_ms in range(10_000, at_ms, 50):
        quotas.due_reports(now_ms)
        quotas.set_reach(reach, daemons=6, own_part=1 / 6, now_ms=now_ms)
    assert quotas.admit("desk", QUOTA, units=5_000, now_ms=at_ms).is_admitted


def a_quota_holds_while_its_spare_part_is_used() -> None:
    """Guards against a spare part that passes the tolerated excess."""
    for daemons in FLEETS:
        for fields in SESSIONS:
            worst = _play_with_spare(daemons, **fields)
            assert worst <= 1.0, (daemons, fields, worst)
    for fields in ({}, {"fault": "cut"}, {"fault": "killed"}):
        worst = _play_with_spare(340, **fields)
        assert worst <= 1.0, (fields, worst)


def a_quota_holds_while_its_window_is_used() -> None:
    """Guards against use beyond the bound by what the window leaves."""
    tolerance = quota.Tolerance(slack=6_000.0, window_part=1.0)
    for daemons in (16, 63):
        for fields in SESSIONS:
            if "limit" in fields:
                fields = {**fields, "tolerance": WINDOW_LARGE_TOLERANCE}
            played = _play(daemons, **{"tolerance": tolerance, **fields})
            since_ms = quota_fleets.START_MS
            if fields.get("fault") == "lowered":
                since_ms = quota_fleets.FAULT_MS + 8_000
            worst = played.worst_window_from(since_ms, played.limit)
            assert worst <= 1.0, (daemons, fields, worst)
    for fields in ({}, {"fault": "cut"}, {"fault": "killed"}):
        worst = _play(340, tolerance=tolerance, **fields).worst_window()
        assert worst <= 1.0, (fields, worst)


def a_burst_within_the_window_is_admitted() -> None:
    """Guards against refusals of a workspace that its quota still allows."""
    admitted = {}
    for window_part in (0.0, 1.0):
        tolerance = quota.Tolerance(slack=6_000.0, window_part=window_part)
        quotas = buckets.Buckets(tolerance=tolerance)
        quotas.start_listening(0)
        admitted[window_part] = 0
        for now_ms in range(0, 25_000, 10):
            quotas.due_reports(now_ms)
            quotas.set_reach(1.0, daemons=16, own_part=1 / 16, now_ms=now_ms)
            # Five seconds at four times the rate, after a quiet time.
            if now_ms >= 20_000:
                admitted[window_part] += _admitted_at(quotas, 400, now_ms)
    assert admitted[0.0] <= 65_000, admitted
    most = tolerance.allowed(QUOTA) + tolerance.excess(QUOTA)
    assert 80_000 <= admitted[1.0] <= most, admitted


def a_window_is_closed_while_requests_wait() -> None:
    """Guards against a workspace that takes capacity from the others."""
    quotas = buckets.Buckets(tolerance=quota.Tolerance(window_part=1.0))
    quotas.start_listening(0)
    quotas.set_reach(1.0, daemons=16, own_part=1 / 16, now_ms=20_000)
    quotas.due_reports(20_000)
    for _ in range(100):
        verdict = quotas.admit(
            "desk",
            QUOTA,
            units=400,
            now_ms=20_000,
            has_free_capacity=False,
        )
    assert not verdict.is_admitted, verdict


def a_full_window_states_when_it_has_room() -> None:
    """Guards against callers that return every 100 ms and are refused."""
    quotas = buckets.Buckets(tolerance=quota.Tolerance(window_part=1.0))
    quotas.start_listening(0)
    for now_ms in range(0, 21_000, 10):
        quotas.due_reports(now_ms)
        quotas.set_reach(1.0, daemons=16, own_part=1 / 16, now_ms=now_ms)
        if now_ms >= 20_000:
            verdict = quotas.admit("desk", QUOTA, units=2_000, now_ms=now_ms)
    # All was used in the last second: it leaves the window after seven more.
    assert not verdict.is_admitted
    assert 6_500 <= verdict.retry_after_ms <= 8_000, verdict


def _admitted_at(quotas: buckets.Buckets, units: int, now_ms: int) -> int:
    verdict = quotas.admit("desk", QUOTA, units=units, now_ms=now_ms)
    return units if verdict.is_admitted else 0


def the_spare_part_serves_small_requests() -> None:
    """Guards against short prompts that are refused behind a long one."""
    assert _admitted(_in_debt(0.35, spare_ratio=0.0), 300) == 0
    assert _admitted(_in_debt(0.35), 300) >= 4
    assert _admitted(_in_debt(0.35), 1_600) == 0
    assert _admitted(_in_debt(0.55), 300) == 0
    assert _admitted(_in_debt(0.1), 1_600) == 10


def the_spare_part_is_closed_without_contact() -> None:
    """Guards against daemons that use it without the reports of others."""
    quotas = _in_debt(0.35)
    quotas.reach = 0.9
    assert _admitted(quotas, 300) == 0
    quotas.reach = 1.0
    assert _admitted(quotas, 300) >= 4
    quotas.start_listening(9_000)
    assert _admitted(quotas, 300) == 0


def small_requests_do_not_starve_large_ones() -> None:
    """Guards against a bucket that never holds enough for a large request."""
    quotas = buckets.Buckets(tolerance=LARGE_TOLERANCE)
    quotas.start_listening(0)
    admitted = {300: 0, 17_000: 0}
    for now_ms in range(20_000, 60_000, 5):
        # Three times the quota, in turns of one large and 57 small requests.
        size = 17_000 if now_ms // 5 % 58 == 0 else 300
        if now_ms % 50 == 0:
            quotas.due_reports(now_ms)
        verdict = quotas.admit("desk", LARGE, units=size, now_ms=now_ms)
        admitted[size] += verdict.is_admitted
    asked = {17_000: 8_000 / 58, 300: 8_000 * 57 / 58}
    parts = {size: count / asked[size] for size, count in admitted.items()}
    assert parts[17_000] >= 0.5 * parts[300], parts


def a_request_beyond_its_quota_gets_a_true_retry_time() -> None:
    """Guards against refusals that don't say when the quota allows more."""
    core = _core()
    for number in range(12):
        core.arrive("release", f"r{number}", used_tokens=400)
    refused = core.refusal()
    assert refused.status == 429
    assert refused.reason is effects.Reason.QUOTA
    assert refused.outcome is effects.Outcome.NOT_RUN
    core.wait(refused.retry_after_ms + 50)
    core.arrive("release", "again", used_tokens=400)
    assert core.find(effects.Dispatch)


def a_refusal_is_logged_with_its_inputs() -> None:
    """Guards against refusals that can't be explained by id."""
    core = _core()
    for number in range(12):
        core.arrive("release", f"r{number}", used_tokens=400)
    (event,) = core.find(effects.Event)
    fields = {field.key: field.value for field in event.fields}
    assert event.request_id == "r11"
    assert fields["reason"] == "quota"
    assert fields["units"] == 400
    assert fields["level"] < 0
    assert fields["reach"] == 1.0
    assert fields["heard_ms_ago"] == -1


def requests_that_do_not_run_return_their_tokens() -> None:
    """Guards against a quota used up by requests that no server ran."""
    core = _core()
    core.arrive("confirm", "r", used_tokens=400)
    for _ in range(4):
        sent = core.find(effects.Dispatch)
        if not sent:
            break
        core.fail(
            sent[0],
            inputs.FailurePhase.DECLINED,
            inputs.FailureCause.REFUSED,
        )
    assert core.find(effects.Refuse)
    assert _bucket(core).level == 1_000
    core.arrive("confirm", "next", used_tokens=400)
    assert _bucket(core).admitted == 400


def a_second_run_counts_again() -> None:
    """Guards against repeats that pass by the quota."""
    core = _core()
    core.arrive("release", "r", used_tokens=300)
    core.fail(core.dispatch(), inputs.FailurePhase.SENT)
    core.answer(core.dispatch())
    assert _bucket(core).admitted == 600


def a_request_larger_than_the_quota_is_refused_for_good() -> None:
    """Guards against callers that wait for what never comes."""
    core = _core()
    core.arrive("long", "r", used_tokens=10**15)
    refused = core.refusal()
    assert refused.status == 429
    assert refused.retry_after_ms == 0
    assert "more than the quota" in refused.detail
    core.arrive("long", "next", used_tokens=9_000)
    assert core.find(effects.Dispatch)


def requests_without_a_count_use_the_stated_tokens() -> None:
    """Guards against requests that use no quota."""
    core = _core(uncounted_tokens=200)
    core.arrive("release", "r")
    assert _bucket(core).admitted == 200
    _set_quota(
        core,
        quota_per_s=10,
        quota_burst=10,
        quota_unit=model.QuotaUnit.REQUESTS,
    )
    core.arrive("release", "s", used_tokens=5_000)
    assert _bucket(core).admitted == 201


def a_quota_of_zero_is_none() -> None:
    """Guards against workspaces without a quota that are refused."""
    core = _core(quota_per_s=0, quota_burst=0)
    for number in range(50):
        core.arrive("release", f"r{number}", used_tokens=10**9)
        assert core.find(effects.Dispatch)
    assert not core.world.quotas.buckets


def a_quota_that_was_removed_ends() -> None:
    """Guards against refusals by a quota that operators took away."""
    core = _core()
    for number in range(12):
        core.arrive("release", f"r{number}", used_tokens=400)
    assert core.find(effects.Refuse)
    _set_quota(core)
    core.arrive("release", "after", used_tokens=400)
    assert core.find(effects.Dispatch)


def a_restarted_peer_is_counted_anew() -> None:
    """Guards against a counter that begins again at zero."""
    quotas = buckets.Buckets()
    limit = quota.Quota(per_s=0.001, burst=10_000.0)
    quotas.start_listening(0)
    now_ms = 10_000
    level = 0.0
    for peer, admitted, used in (
        ("a@1", 500, 500),
        ("a@1", 700, 200),
        ("a@1", 600, 0),
        ("a@2", 100, 100),
        ("a@1", 710, 10),
    ):
        now_ms += 100
        quotas.due_reports(now_ms)
        level -= used
        told = _told(admitted, opened_ms=9_000, level=level)
        quotas.apply_report(peer, told, limit, now_ms=now_ms)
        left = quotas.buckets["desk"].level
        assert abs(left - level) < 1, (peer, admitted, left)


def a_newcomer_takes_over_the_level_of_others() -> None:
    """Guards against a started daemon that admits more than the others."""
    quotas = buckets.Buckets()
    limit = quota.Quota(per_s=1_000.0, burst=1_000.0)
    quotas.start_listening(60_000)
    for number in range(8):
        told = _told(90_000, opened_ms=1_000, level=-800.0)
        quotas.apply_report(f"d{number}", told, limit, now_ms=60_100 + number)
    assert -820 <= quotas.buckets["desk"].level <= -700


def buckets_that_are_not_in_use_are_forgotten() -> None:
    """Guards against memory that grows with every workspace ever seen."""
    quotas = buckets.Buckets()
    limit = quota.Quota(per_s=1_000.0, burst=1_000.0)
    quotas.start_listening(0)
    for number in range(10_000):
        quotas.admit(f"w{number}", limit, units=10, now_ms=10_000)
    for now_ms in range(10_000, 120_000, 50):
        quotas.due_reports(now_ms)
    assert not quotas.buckets


def little_is_reported_far_below_a_quota() -> None:
    """Guards against reports of each request to each daemon."""
    quotas = buckets.Buckets(tolerance=LARGE_TOLERANCE, daemons=12)
    limit = quota.Quota(per_s=300_000.0, burst=300_000.0)
    quotas.start_listening(0)
    reports = 0
    for now_ms in range(10_000, 20_000, 50):
        quotas.admit("desk", limit, units=400, now_ms=now_ms)
        reports += len(quotas.due_reports(now_ms))
    assert reports <= 5, reports


def reports_survive_the_wire() -> None:
    """Guards against figures that change between daemons."""
    usage = _told(2**40, opened_ms=1_000, level=-1.5)
    message = codec.usage_to_proto(usage, now_ms=5_000)
    read = codec.usage_from_proto(message, now_ms=9_000)
    assert (read.admitted, read.level) == (2**40, -1.5)
    assert read.opened_at_ms == 5_000


def tables_without_quotas_are_stored_as_before() -> None:
    """Guards against tables that earlier releases can't read."""
    rows = [model.WorkspaceRow(name="desk")]
    table = model.Table.from_rows(version=1, rows=list(rows))
    assert "quota" not in schema.table_to_json(table)
    limited = dataclasses.replace(rows[0], quota_per_s=5.0)
    table = model.Table.from_rows(version=1, rows=[limited])
    read = schema.table_from_json(schema.table_to_json(table))
    assert read == Ok(table), read


def quotas_in_a_table_are_checked() -> None:
    """Guards against quotas that no request can be judged by."""
    for cells in (
        {"quota_per_s": -1},
        {"quota_per_s": float("nan")},
        {"quota_burst": float("inf")},
        {"quota_unit": "bytes"},
        {"uncounted_tokens": -5},
    ):
        checked = schema.check_row(
            model.RowKind.WORKSPACE, {"name": "desk", **cells}
        )
        assert checked.is_err(), cells
        assert next(iter(cells)) in checked.err_value, checked


def the_operators_quotas_are_read() -> None:
    """Guards against limits in the operators' configuration without effect."""
    config = (
        b'{"version":3,"tenants":[{"name":"a","api-keys":["k"],"rate-per-s":'
        b'5000,"burst":700,"unit":"token_count","uncached-tokens":200},'
        b'{"name":"b","rate-per-s":null},{"name":"c","rate-per-s":4,'
        b'"burst":2}]}'
    )
    row = protocol.ChangedRow(key="config", value=config, version=1)
    rows = {"config": row}
    read = platform_table.table_from_rows(rows, version=1, weights={})
    found = read.ok_value.workspaces
    assert found["a"] == dataclasses.replace(
        model.WorkspaceRow.unlimited("a"),
        quota_per_s=5_000.0,
        quota_burst=700.0,
        quota_unit=model.QuotaUnit.TOKENS,
        uncounted_tokens=200,
    )
    assert found["b"].quota_per_s == 0
    assert found["c"].quota_unit is model.QuotaUnit.REQUESTS


RATE_PER_S = 4_000
TOKENS = 200
WINDOW_S = 8.0


def _limited_config() -> dict:
    config = platform.config(2)
    config["tenants"][0] |= {
        "rate-per-s": RATE_PER_S,
        "burst": RATE_PER_S,
        "unit": "token_count",
        "uncached-tokens": TOKENS,
    }
    return config


async def _ask_all(
    made: platform.Platform, name: str, *, per_s: float, seconds: float
) -> list[tuple[float, int, str]]:
    """Sends requests to all daemons in turn.

    Returns:
        Time, status and Retry-After of each answer.
    """
    answers: list[tuple[float, int, str]] = []

    async def ask(number: int) -> None:
        at_s = time.monotonic()
        status, headers, _ = await made.call(
            "release", f"{name}{number}", daemon=number % len(made.fields)
        )
        answers.append((at_s, status, headers.get("retry-after", "")))

    tasks = []
    for number in range(round(seconds * per_s)):
        tasks.append(asyncio.create_task(ask(number)))
        await asyncio.sleep(1 / per_s)
    await asyncio.gather(*tasks)
    return answers


async def real_daemons_keep_to_a_quota() -> None:
    """Guards against quotas that the operators' rows don't bring into force."""
    async with platform.Platform(daemons=4, services=4) as made:
        made.store.put("op", "config", _limited_config())
        await asyncio.sleep(3)
        below = await _ask_all(made, "below", per_s=12, seconds=3)
        assert {status for _, status, _ in below} == {200}
        await asyncio.sleep(1)
        over = await _ask_all(made, "over", per_s=60, seconds=11)
    served_s = sorted(at_s for at_s, status, _ in over if status == 200)
    most = max(
        sum(start_s <= at_s < start_s + WINDOW_S for at_s in served_s)
        for start_s in served_s
    )
    assert most * TOKENS <= 1.1 * (RATE_PER_S * WINDOW_S + RATE_PER_S), most
    late = [at_s for at_s in served_s if at_s >= served_s[0] + 5]
    span_s = max(at_s for at_s, _, _ in over) - served_s[0] - 5
    assert len(late) * TOKENS >= 0.9 * RATE_PER_S * span_s, (late, span_s)
    refused = [row for row in over if row[1] != 200]
    assert all(status == 429 for _, status, _ in refused), refused
    assert all(float(retry) > 0 for _, _, retry in refused), refused


def counts_that_cannot_be_read_are_not_free() -> None:
    """Guards against a broken count that makes a large request cheap."""
    parts = levels.parse_parts("ab12:800,cd34:100")
    for text, used in (
        ("900,10", 910),
        ("0,0", 0),
        ("-5,10", 900),
        ("900", 900),
        ("nan,1", 900),
        ("1,2,3", 900),
        ("1" + "0" * 30 + ",1", 900),
        ("", 900),
    ):
        counts = headers.parse_pair(text)
        assert levels.used_tokens(parts, *counts) == used, text
    assert levels.used_tokens((), *headers.parse_pair("x,1")) is None

"""Which daemons of a large fleet serve its callers."""

from __future__ import annotations

import dataclasses
import random

from godwittack.entry import directory
from godwittack.member import overload, serving, view

DAEMONS = 195
DOMAINS = ("a", "b", "c", "d", "e", "f")
POLICY = serving.ServingPolicy(mesh_limit=100, serving=48)


def _member(number: int, **fields) -> view.Member:
    return view.Member(
        **{
            "member_id": f"edge-{number:03}",
            "peer_address": f"127.0.0.1:{number + 1}",
            "http_address": f"127.0.0.2:{number + 1}",
            "failure_domain": DOMAINS[number % len(DOMAINS)],
            "capacity_millicores": (516, 1_075, 2_150)[number % 7 % 3],
            **fields,
        }
    )


def _fleet(count: int = DAEMONS) -> list[view.Member]:
    return [_member(number) for number in range(count)]


def _ids(members) -> set[str]:
    return {member.member_id for member in members}


def callers_of_a_large_fleet_are_sent_to_few_daemons() -> None:
    """Each failure domain has a share of the set, on its largest machines.

    With callers spread over all daemons, half of the requests reached daemons
    that knew nothing of the servers they needed.
    """
    chosen = serving.choose(_fleet(), POLICY)
    assert len(chosen.serving) == POLICY.serving
    for domain in DOMAINS:
        chosen_in_domain = [
            m for m in chosen.serving if m.failure_domain == domain
        ]
        others = [
            m
            for m in _fleet()
            if m.failure_domain == domain and m not in chosen.serving
        ]
        assert len(chosen_in_domain) == POLICY.serving // len(DOMAINS), (
            domain,
            len(chosen_in_domain),
        )
        min_capacity = min(m.capacity_millicores for m in chosen_in_domain)
        assert min_capacity >= max(m.capacity_millicores for m in others)
        addresses = directory.select_addresses(
            chosen.serving, failure_domain=domain
        )
        assert set(addresses) == {m.http_address for m in chosen_in_domain}
    assert not _ids(chosen.serving) & _ids(chosen.standby)


def all_daemons_of_a_small_fleet_serve() -> None:
    """Up to the limit all daemons serve, even on the smallest machine."""
    for count in (1, 7, 63, POLICY.mesh_limit):
        chosen = serving.choose(_fleet(count), POLICY)
        assert _ids(chosen.serving) == _ids(_fleet(count)), count
        assert not chosen.standby, count


def a_lost_daemon_is_replaced_by_one_standby() -> None:
    """A suspected daemon is no longer advertised; one standby replaces it.

    A set that changed entirely with each loss would send all callers to daemons
    without connections, load reports and cache state.
    """
    fleet = _fleet()
    before = serving.choose(fleet, POLICY)
    for lost in before.serving:
        for state in (view.MemberState.SUSPECT, view.MemberState.LEAVING):
            after = serving.choose(
                [
                    dataclasses.replace(m, state=state) if m == lost else m
                    for m in fleet
                ],
                POLICY,
            )
            removed = _ids(before.serving) - _ids(after.serving)
            added = _ids(after.serving) - _ids(before.serving)
            assert removed == {lost.member_id}, removed
            assert len(added) == 1 and added <= _ids(before.standby), added


def a_restarted_fleet_has_the_same_serving_set() -> None:
    """Addresses that callers kept over a power loss still serve.

    Ranked by process id, the set was a different one after each restart.
    """
    before = serving.choose(_fleet(), POLICY)
    restarted = [
        dataclasses.replace(m, member_id=f"{m.member_id}@{number}")
        for number, m in enumerate(_fleet())
    ]
    after = serving.choose(restarted, POLICY)
    assert {m.http_address for m in after.serving} == {
        m.http_address for m in before.serving
    }


def a_lost_failure_domain_leaves_the_others_serving() -> None:
    """Callers of a domain without daemons are sent to those of others."""
    fleet = [m for m in _fleet(300) if m.failure_domain != "a"]
    chosen = serving.choose(fleet, POLICY)
    assert len(chosen.serving) >= POLICY.serving
    addresses = directory.select_addresses(chosen.serving, failure_domain="a")
    assert set(addresses) == {m.http_address for m in chosen.serving}


def an_overloaded_daemon_adds_a_standby_to_the_serving_set() -> None:
    """The set grows by one when one of its daemons is overloaded."""
    fleet = _fleet()
    before = serving.choose(fleet, POLICY)
    busy = before.serving[0]
    after = serving.choose(
        [
            dataclasses.replace(m, is_overloaded=True) if m == busy else m
            for m in fleet
        ],
        POLICY,
    )
    added = _ids(after.serving) - _ids(before.serving)
    assert _ids(before.serving) < _ids(after.serving)
    assert len(added) == 1 and added <= _ids(before.standby), added


def views_that_differ_choose_mostly_the_same_daemons() -> None:
    """Two views that each lack a tenth of the fleet agree on most of a set.

    Chosen by position in a list, the set would change entirely with one member
    more or less.
    """
    rng = random.Random(5)
    fleet = _fleet()
    for _ in range(20):
        sets = [
            _ids(
                serving.choose(
                    [m for m in fleet if rng.random() > 0.1], POLICY
                ).serving
            )
            for _ in range(2)
        ]
        common = len(sets[0] & sets[1])
        assert common >= 0.75 * POLICY.serving, common


def a_fleet_that_grows_past_the_limit_serves_all_the_time() -> None:
    """At each size from 1 to 340 and back, every domain has daemons."""
    for count in (*range(1, 341), *range(340, 0, -1)):
        fleet = _fleet(count)
        chosen = serving.choose(fleet, POLICY)
        domains = {m.failure_domain for m in chosen.serving}
        assert domains == {m.failure_domain for m in fleet}, count


def members_without_a_known_domain_serve() -> None:
    """An empty or unknown failure domain counts as a separate domain."""
    fleet = [*_fleet(), *(_member(n, failure_domain="") for n in (500, 501))]
    chosen = serving.choose(fleet, POLICY)
    assert {"edge-500", "edge-501"} <= _ids(chosen.serving)
    assert directory.select_addresses(chosen.serving, failure_domain="nowhere")


def only_lasting_lag_counts_as_overload() -> None:
    """A suspended machine is not overloaded; one busy for a while is."""
    detector = overload.OverloadDetector()
    assert not detector.observe(8_000, now_ms=0)
    now_ms = 0
    for _ in range(10):
        now_ms += 100
        assert not detector.observe(3, now_ms=now_ms)
    changes = []
    for lag_ms in [150] * 60 + [2] * 80:
        now_ms += 100
        if detector.observe(lag_ms, now_ms=now_ms):
            changes.append((now_ms, detector.is_overloaded))
    assert [overloaded for _, overloaded in changes] == [True, False], changes
    assert changes[1][0] - changes[0][0] >= overload.MIN_CHANGE_INTERVAL_MS, (
        changes
    )


def a_change_of_overload_reaches_other_views() -> None:
    """A daemon's later state replaces its earlier one."""
    own = view.View(
        me=_member(1), policy=view.MemberPolicy(), rng=random.Random(1)
    )
    other = view.View(
        me=_member(2), policy=view.MemberPolicy(), rng=random.Random(1)
    )
    assert other.apply(own.me, now_ms=0)
    for is_overloaded in (True, False):
        own.set_overloaded(is_overloaded)
        assert other.apply(own.me, now_ms=1)
        member = other.rows["edge-001"].member
        assert member.is_overloaded is is_overloaded

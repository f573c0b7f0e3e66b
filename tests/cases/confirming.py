"""Final decisions wait for a recent confirmation of what they rest on."""

from __future__ import annotations

from cases import routed_core
from godwittack.core import confirming, effects, inputs
from godwittack.member import freshness

LIMIT_MS = 800
TABLE = freshness.Topic.TABLE


def _core(**fields) -> routed_core.Core:
    """Returns a core whose table was confirmed before the limit."""
    core = routed_core.Core(final_refusal_age_ms=LIMIT_MS, **fields)
    _confirm(core, TABLE)
    core.now_ms += LIMIT_MS + 1
    return core


def _confirm(core: routed_core.Core, topic: freshness.Topic) -> None:
    core.tell(inputs.StateConfirmed, topic, core.now_ms, "store")


def _requested(core: routed_core.Core) -> list[freshness.Topic]:
    """Returns the copies that the last step reads anew."""
    return [
        effect.topic
        for effect in core.last_effects
        if isinstance(effect, effects.ConfirmState)
    ]


def _refusals(core: routed_core.Core) -> list[effects.Refuse]:
    return [e for e in core.last_effects if isinstance(e, effects.Refuse)]


def _added_route_table():
    added = routed_core.route("added", routed_core.SERVICE, anonymous=True)
    return routed_core.table(2, routes=(*routed_core.ROUTES, added))


def an_unknown_path_is_refused_for_good_once_confirmed() -> None:
    """Guards against a 404 by a table that other daemons have replaced."""
    core = _core()
    core.arrive("nowhere", "a~1")
    assert _requested(core) == [TABLE] and not _refusals(core)
    core.now_ms += 10
    _confirm(core, TABLE)
    (refusal,) = _refusals(core)
    assert refusal.status == 404 and not refusal.retry_after_ms
    core.arrive("nowhere", "b~1")
    assert [r.status for r in _refusals(core)] == [404]


def a_path_that_was_added_meanwhile_is_served() -> None:
    """Guards against a 404 where a read of the store shows the route."""
    core = _core()
    core.arrive("added", "a~1")
    core.now_ms += 10
    core.tell(inputs.TableChanged, _added_route_table())
    assert core.dispatch().request_id == "a~1"
    core.tell(inputs.ConfirmationEnded, TABLE, has_read=False)
    assert not _refusals(core)


def an_unknown_key_waits_for_a_confirmation() -> None:
    """Guards against a 401 for a key that was added a moment ago."""
    core = _core()
    core.arrive(
        "release", "a~1", token_sha256=routed_core.digest("key-of-other")
    )
    assert _requested(core) == [TABLE]
    keys = (routed_core.KEY, "key-of-other")
    core.tell(inputs.TableChanged, routed_core.table(2, keys=keys))
    assert core.dispatch().request_id == "a~1"


def without_a_confirmation_the_caller_may_return() -> None:
    """Guards against a 404 by a daemon that reaches neither store nor peers."""
    core = _core()
    core.arrive("nowhere", "a~1")
    core.now_ms += 300
    core.tell(inputs.ConfirmationEnded, TABLE, has_read=False)
    (refusal,) = _refusals(core)
    assert refusal.status == 503 and refusal.retry_after_ms
    assert refusal.outcome is effects.Outcome.NOT_RUN


def a_wait_ends_without_an_answer_to_the_read() -> None:
    """Guards against a caller that waits for a read that never ends."""
    core = _core()
    core.arrive("nowhere", "a~1")
    core.now_ms += confirming.MAX_WAIT_MS
    core.tell(inputs.Tick)
    assert [r.status for r in _refusals(core)] == [503]


def unknown_paths_share_one_read() -> None:
    """Guards against a call of the store for each unknown path."""
    core = _core()
    core.arrive("nowhere", "a~1")
    core.arrive("nowhere", "b~1")
    assert not _requested(core)
    core.tell(inputs.ConfirmationEnded, TABLE, has_read=False)
    assert [r.request_id for r in _refusals(core)] == ["a~1", "b~1"]
    core.arrive("nowhere", "c~1")
    assert not _requested(core)
    assert [r.status for r in _refusals(core)] == [503]
    core.now_ms += confirming.RETRY_MS
    core.arrive("nowhere", "d~1")
    assert _requested(core) == [TABLE]


def a_wait_does_not_outlast_its_route() -> None:
    """Guards against a caller that waits longer than its route allows."""
    core = _core()
    quick = routed_core.route("quick", routed_core.SERVICE, timeout_ms=300)
    core.tell(inputs.TableChanged, routed_core.table(2, routes=(quick,)))
    core.arrive("quick", "a~1", token_sha256=routed_core.digest("key-of-other"))
    core.now_ms += 300
    core.tell(inputs.Tick)
    assert [r.status for r in _refusals(core)] == [503]


def waiting_requests_are_bounded() -> None:
    """Guards against unknown paths that fill the memory of a daemon."""
    core = _core()
    for number in range(confirming.MAX_WAITING):
        core.arrive("nowhere", f"a{number}~1")
    core.arrive("nowhere", "b~1")
    assert [r.status for r in _refusals(core)] == [503]


def a_waiting_caller_that_leaves_is_forgotten() -> None:
    """Guards against an answer to a caller that has left."""
    core = _core()
    core.arrive("added", "a~1")
    core.tell(inputs.CallerGone, "a~1")
    core.tell(inputs.TableChanged, _added_route_table())
    assert not core.world.requests and not core.world.waiting_arrivals


def a_stop_refuses_waiting_requests() -> None:
    """Guards against a stop that ends while requests still wait."""
    core = _core()
    core.arrive("nowhere", "a~1")
    core.tell(inputs.StopOrdered)
    (refusal,) = _refusals(core)
    assert refusal.reason is effects.Reason.STOPPING
    assert core.world.stopped


def the_time_of_a_wait_counts_for_the_caller() -> None:
    """Guards against a deadline that starts anew once a wait is over."""
    core = _core()
    core.arrive("added", "a~1")
    core.now_ms += 200
    core.tell(inputs.TableChanged, _added_route_table())
    request = core.world.requests["a~1"]
    assert request.arrived_at_ms == core.now_ms - 200


def a_routes_table_may_be_older_than_what_refuses() -> None:
    """Guards against known routes that wait for the store."""
    core = _core()
    core.arrive("release", "a~1")
    assert core.dispatch().request_id == "a~1" and not _requested(core)

"""What servers say of their availability, as the core keeps to it."""

from __future__ import annotations

from cases import routed_core
from cases.routed_core import Core
from godwittack.core import server_inputs
from godwittack.peer import pending, wire

STARTED = "x@5"
STARTED_AGAIN = "x@9"


def _list(core: Core, **fields) -> None:
    entry = {"address": "10.0.0.9:1", "incarnation": STARTED, **fields}
    core.list_server("x", routed_core.SERVICE, **entry)


def _leaves(core: Core) -> bool:
    return core.world.servers["x"].leaving


def an_entry_that_goes_and_comes_back_keeps_a_server_leaving() -> None:
    """Guards against leaving that is forgotten with a row of the list."""
    core = Core()
    _list(core)
    core.tell(server_inputs.ServerLeaving, "x")
    core.tell_named(server_inputs.ServerListed, server_id="x", gone=True)
    _list(core)
    assert _leaves(core)


def another_address_of_the_same_start_keeps_a_server_leaving() -> None:
    """Guards against leaving that is forgotten with an address."""
    core = Core()
    _list(core)
    core.tell(server_inputs.ServerLeaving, "x")
    _list(core, address="10.0.0.9:2")
    assert _leaves(core)


def a_peer_told_of_a_start_before_does_not_take_the_next_one_out() -> None:
    """Guards against late news that keeps a reborn server from service."""
    core = Core()
    _list(core)
    _list(core, incarnation=STARTED_AGAIN)
    core.tell(server_inputs.ServerLeaving, "x", STARTED)
    assert not _leaves(core)


def a_peer_told_before_the_entry_is_listed_is_believed() -> None:
    """Guards against news of a server that is lost before its row is there."""
    core = Core()
    core.tell(server_inputs.ServerLeaving, "x", STARTED)
    _list(core)
    assert _leaves(core)


def news_of_leaving_name_the_start_that_leaves() -> None:
    """Guards against news that take the next start of a server for this one."""
    told = pending.PendingNews(leaving={"x": STARTED})
    later = pending.PendingNews(leaving={"x": STARTED_AGAIN})
    message = wire.NewsWriter().write(told.followed_by(later), now_ms=0)
    (leaving,) = message.leaving
    assert (leaving.server_id, leaving.incarnation) == ("x", STARTED_AGAIN)

"""When the daemon that leads a model drains and orders servers."""

from __future__ import annotations

import asyncio
import dataclasses
import random

from cases import one_lead, routed_core
from godwittack.core import inputs, server_inputs
from godwittack.lead import lease
from sim import fakes, loop


def servers_that_may_not_be_ordered_are_not_drained() -> None:
    """While no order may be sent yet, no server is out of service for it.

    Guards against callers refused during a roll-out because no server takes
    work. Another daemon has ordered all engines a moment ago and is gone; this
    one takes over, and may not order them for 3 s. Later the store does not
    answer. Servers were drained before any order was allowed, or an order that
    was not sent counted as refused, so that further servers were drained until
    all were.
    """

    async def case() -> None:
        daemon = one_lead.LeadDaemon()
        other = lease.Lease(
            service=daemon.table,
            name=one_lead.MODEL,
            holder="gone",
            policy=lease.LeasePolicy(lease_ms=3_000),
            clock=daemon.clock,
        )
        assert await other.record([f"e{n}" for n in range(1, 7)])
        await daemon.run(for_s=3.0)
        assert not daemon.engines.orders and not daemon.updates.drained
        await daemon.run(for_s=5.0)
        assert len(daemon.engines.orders) == 6, daemon.engines.orders
        daemon = one_lead.LeadDaemon()
        daemon.table.faults.down = True
        await daemon.run(for_s=5.0)
        assert not daemon.updates.drained

    one_lead.play(case())


def a_roll_out_starts_at_once() -> None:
    """Without recent orders, the first order is sent without waiting.

    Guards against a first order 3 s after weights were published: each new
    holder waited for a lease to expire that nobody could have held.
    """

    async def case() -> None:
        daemon = one_lead.LeadDaemon()
        await daemon.run(for_s=0.5)
        assert len(daemon.engines.orders) == 2, daemon.engines.orders
        assert {order.fencing for order in daemon.engines.orders} == {1}

    one_lead.play(case())


def a_server_that_leaves_during_a_store_call_is_not_ordered() -> None:
    """A server may leave between the decision and the store's answer.

    Guards against an error that ends the leading loop, after which no weights
    are ordered: an engine is drained and may be ordered; another is recorded at
    the store, which takes 400 ms; the first engine leaves the list and was
    looked up as if it were still listed.
    """

    async def case() -> None:
        daemon = one_lead.LeadDaemon()
        daemon.table.faults.latency_ms = (400, 400)
        task = asyncio.create_task(daemon.lead.lead_forever(step_ms=100))
        for name in [f"e{n}" for n in range(1, 7)]:
            await asyncio.sleep(0.45)
            daemon.runtime.submit(
                server_inputs.ServerListed(
                    at_ms=daemon.clock.now_ms(), server_id=name, gone=True
                )
            )
        await asyncio.sleep(1.0)
        assert not task.done(), task
        task.cancel()

    one_lead.play(case())


def an_unreadable_lease_row_hides_no_order() -> None:
    """An unreadable lease row counts as orders just given to all servers.

    Guards against a leading loop that ends, or two holders that order one
    server: a holder has ordered, the row's text is corrupted, and another
    daemon reads it. The reader failed, or fencing numbers restarted from the
    beginning.
    """

    async def case() -> None:
        daemon = one_lead.LeadDaemon()
        await daemon.run(for_s=0.5)
        (row_id,) = daemon.table.rows
        for text in ("", "x", "[]", '{"holder":1}', '{"orders":{"e1":"a"}}'):
            row = daemon.table.rows[row_id]
            daemon.table.version += 1
            daemon.table.rows[row_id] = dataclasses.replace(
                row, value=text, version=daemon.table.version
            )
            model_lease = daemon.lead._led[one_lead.MODEL].lease
            assert not await model_lease.record(["e1"])
            assert (
                not model_lease.may_send("e1")
                and "e1" in model_lease.held_by_others()
            )
            number = model_lease.fencing
            assert (
                await model_lease.record(["e2"])
                and model_lease.fencing > number
            )

    one_lead.play(case())


def a_roll_out_continues_without_pauses() -> None:
    """Six engines, two at a time, take three loads and little more.

    Guards against a roll-out that takes 12 s instead of 5, with loads of 1.1 s
    each: a daemon that is not first in rank paused for 2 s after each load, and
    drains expired by their time alone.
    """

    async def case() -> None:
        daemon = one_lead.LeadDaemon()
        await daemon.run(for_s=5.0)
        assert sorted(daemon.engines.versions.values()) == ["2"] * 6
        assert len(daemon.engines.orders) == 6, daemon.engines.orders

    one_lead.play(case())


def a_rejected_fencing_number_ends_the_lead() -> None:
    """A server that has seen a higher number ends this daemon's lead.

    Guards against a replaced lead that keeps giving orders: an engine's refusal
    for the fencing number was treated like that of a busy server, and the order
    was repeated.
    """

    async def case() -> None:
        daemon = one_lead.LeadDaemon()
        daemon.engines.refuse = 412
        await daemon.run(for_s=0.5)
        model_lease = daemon.lead._led[one_lead.MODEL].lease
        assert not model_lease.may_send("e1") and not model_lease.is_own

    one_lead.play(case())


def a_server_whose_address_was_reused_is_not_ordered_again() -> None:
    """An order that another server answers shows that its server is gone.

    A daemon that still listed servers which had left ordered them again and
    again, and kept the lead for it: `detail='status 421'`, nine servers within
    2 s, none of which could ever load. Requests acted on that answer, orders
    did not.
    """

    async def case() -> None:
        daemon = one_lead.LeadDaemon()
        daemon.engines.refuse = 421
        await daemon.run(for_s=2.0)
        servers = daemon.runtime.core.world.servers
        assert all(servers[f"e{n}"].leaving for n in range(1, 7))
        daemon.engines.refuse = 0
        await daemon.run(for_s=1.0)
        assert not daemon.engines.orders, daemon.engines.orders

    one_lead.play(case())


def a_server_is_drained_again_for_each_load() -> None:
    """Each order follows a drain announced since the server's last load.

    Requests were sent to engines that had begun to load, in 26 of 30 sessions
    of large fleets with publications in quick succession. A drain ends, at all
    daemons, with the weights that it was for. Version 3 was published while an
    engine loaded version 2; once loaded, it had to be drained again within a
    second of the last notice, and none was sent, since notices of one engine
    were limited to one a second. From one such session, e26 with its load of
    version 5 done at 1049.3 s:

        1048.659 drain of e26 announced
        1048.772 order to e26: version 5
        1048.802 version 6 is published
        1049.386 order to e26: version 6
        1049.400 a request is sent to e26
    """

    async def case() -> None:
        daemon = one_lead.LeadDaemon(servers=1, load_s=0.4)
        announced: set[tuple[str, str]] = set()
        undrained: list[str] = []
        send_order = daemon.engines.order

        def version(server_id: str) -> str:
            return daemon.engines.versions.get(server_id, "1")

        def record_drain(server_id, target) -> None:
            del target
            announced.add((server_id, version(server_id)))

        async def order(address, order):
            name = order.server_id
            row = daemon.runtime.core.world.servers[name]
            is_drained = row.draining_until_ms > daemon.clock.now_ms()
            if not is_drained or (name, version(name)) not in announced:
                undrained.append(f"{name}: {order.value}")
            return await send_order(address, order)

        daemon.updates.publish_draining = record_drain
        daemon.engines.order = order
        await daemon.run(for_s=0.3)
        daemon.runtime.submit(
            inputs.TableChanged(
                daemon.clock.now_ms(), routed_core.table(3, weights="3")
            )
        )
        await daemon.run(for_s=5.0)
        assert daemon.count_with_weights("3") == 1, daemon.engines.versions
        assert not undrained, undrained

    one_lead.play(case())


class _LossyTable(fakes.TableFake):
    """A store whose read replies may be lost."""

    is_lossy = False

    async def read(self, row_id):
        """Reads a row, or does not answer."""
        if self.is_lossy:
            return await self._time_out("read")
        return await super().read(row_id)


def a_lead_that_was_cut_off_does_not_overwrite_a_new_holder() -> None:
    """A holder that finds another holder just before its write stops.

    13 engines of 43 were ordered by two leads within 0.7 s, where 3 s must pass
    in between. The store does not return the version that a write made, so that
    the holder reads the row after each write. It was cut off between the two,
    and kept deciding as the holder while another took over. Reconnected, it
    read the row, as it must before a write, found the other's orders there, and
    still wrote its own, decided earlier, over them:

        1056.475 d3 records e20, fencing 5
        1056.496 d0 records e14 and 12 others, fencing 6
        1056.608 d0 orders e14, ordered by d3 at 1055.957
    """

    async def case() -> None:
        clock = loop.LoopClock(asyncio.get_running_loop())
        table = _LossyTable(random.Random(1))
        first, second = (
            lease.Lease(
                service=table,
                name=one_lead.MODEL,
                holder=holder,
                policy=lease.LeasePolicy(lease_ms=3_000),
                clock=clock,
            )
            for holder in ("first", "second")
        )
        assert await first.refresh()
        table.is_lossy = True
        assert await first.record(["e1"]) and first.is_own
        table.is_lossy = False
        assert await second.record(["e2"])
        # Decided while it still considered itself the holder.
        assert not await first.record(["e2"])
        assert not first.is_own and not first.may_send("e2")
        assert "e2" in first.held_by_others()

    one_lead.play(case())


def a_previous_lead_s_drain_is_announced_again() -> None:
    """A lead announces the drains that it relies on, whoever began them.

    A lead was lost after it had drained an engine, and its notice had reached
    only the next lead. That one saw the engine drained and gave its order 100
    ms later, while all other daemons sent requests there.
    """

    async def case() -> None:
        daemon = one_lead.LeadDaemon()
        now_ms = daemon.clock.now_ms()
        daemon.runtime.submit(
            server_inputs.ServerDraining(now_ms, "e1", now_ms + 3_000)
        )
        await daemon.run(for_s=0.5)
        ordered = {order.server_id for order in daemon.engines.orders}
        assert "e1" in ordered, ordered
        assert ordered <= daemon.updates.drained, (
            ordered,
            daemon.updates.drained,
        )

    one_lead.play(case())


def an_order_without_a_report_is_not_sent() -> None:
    """Each order names the number of orders that its server has accepted.

    Guards against an order that is carried out late and brings a server back to
    older weights: the report before it timed out on a silent connection, and
    the order was sent without that number.
    """

    async def case() -> None:
        daemon = one_lead.LeadDaemon()
        daemon.engines.silent = True
        await daemon.run(for_s=3.0)
        assert not daemon.engines.orders, daemon.engines.orders
        daemon.engines.silent = False
        daemon.engines.silent_connections = {f"e{n}" for n in range(1, 7)}
        await daemon.run(for_s=8.0)
        orders = daemon.engines.orders
        assert len({order.server_id for order in orders}) == 6, orders
        assert all(order.expected_accepted_orders >= 0 for order in orders)

    one_lead.play(case())

"""The daemon that leads a model: when it drains and orders."""

from __future__ import annotations

import asyncio
import dataclasses
import random

from cases import one_lead, routed_core
from godwittack.core import inputs, server_inputs
from godwittack.lead import lease
from sim import fakes, loop


def servers_that_may_not_be_ordered_are_not_drained() -> None:
    """While no order may go out yet, no server is out of service for it.

    Symptom: callers are refused during a roll-out: no server takes work.
    Sequence: another daemon has ordered all engines a moment ago and is gone;
        this one takes over, and may not order them for 3 s. Later the store
        answers nothing.
    Cause: servers drained before anybody may order them; or an order that was
        not sent counted as refused, so that the next were drained beside
        them, until all were.
    """

    async def case() -> None:
        led = one_lead.Led()
        other = lease.Lease(
            service=led.table,
            name=one_lead.MODEL,
            holder="gone",
            policy=lease.LeasePolicy(lease_ms=3_000),
            clock=led.clock,
        )
        assert await other.record([f"e{n}" for n in range(1, 7)])
        await led.run(for_s=3.0)
        assert not led.engines.orders and not led.news.drained
        await led.run(for_s=5.0)
        assert len(led.engines.orders) == 6, led.engines.orders
        led = one_lead.Led()
        led.table.faults.down = True
        await led.run(for_s=5.0)
        assert not led.news.drained

    one_lead.play(case())


def a_roll_out_begins_at_once() -> None:
    """Where nobody ordered a moment ago, the first order needs no waiting.

    Symptom: weights are first ordered 3 s after they were named.
    Sequence: weights are named; nobody ever ordered.
    Cause: each new holder waited for a lease that nobody could have held.
    """

    async def case() -> None:
        led = one_lead.Led()
        await led.run(for_s=0.5)
        assert len(led.engines.orders) == 2, led.engines.orders
        assert {order.fencing for order in led.engines.orders} == {1}

    one_lead.play(case())


def a_server_that_leaves_while_the_store_is_asked_is_not_ordered() -> None:
    """Between the decision and the store's answer a server may be gone.

    Symptom: the loop that leads ends, and no weights are ordered any more.
    Sequence: an engine is drained and may be ordered; another is recorded at
        the store, which takes 400 ms; the first engine leaves the list.
    Cause: the server looked up as if it were still listed.
    """

    async def case() -> None:
        led = one_lead.Led()
        led.table.faults.latency_ms = (400, 400)
        task = asyncio.create_task(led.lead.lead_forever(step_ms=100))
        for name in [f"e{n}" for n in range(1, 7)]:
            await asyncio.sleep(0.45)
            led.runtime.submit(
                server_inputs.ServerListed(
                    at_ms=led.clock.now_ms(), server_id=name, gone=True
                )
            )
        await asyncio.sleep(1.0)
        assert not task.done(), task
        task.cancel()

    one_lead.play(case())


def a_row_by_another_writer_hides_no_order() -> None:
    """A lease's row that can't be read is taken for all orders given now.

    Symptom: the loop that leads ends, or two holders order one server.
    Sequence: a holder has ordered; the row's text is spoiled; another daemon
        looks at it.
    Cause: an error of the reader; or numbers that begin anew.
    """

    async def case() -> None:
        led = one_lead.Led()
        await led.run(for_s=0.5)
        (row_id,) = led.table.rows
        for text in ("", "x", "[]", '{"holder":1}', '{"orders":{"e1":"a"}}'):
            row = led.table.rows[row_id]
            led.table.version += 1
            led.table.rows[row_id] = dataclasses.replace(
                row, value=text, version=led.table.version
            )
            held = led.lead._led[one_lead.MODEL].lease
            assert not await held.record(["e1"])
            assert not held.may_send("e1") and "e1" in held.held_by_others()
            number = held.fencing
            assert await held.record(["e2"]) and held.fencing > number

    one_lead.play(case())


def a_roll_out_goes_on_without_pauses() -> None:
    """Six engines, two at a time, take three loads and little more.

    Symptom: a roll-out of six engines takes 12 s instead of 5.
    Sequence: version 2 is named; each load takes 1.1 s.
    Cause: a pause of 2 s after each load at a daemon that is not first in
        rank, and drains that lapsed by their time alone.
    """

    async def case() -> None:
        led = one_lead.Led()
        await led.run(for_s=5.0)
        assert sorted(led.engines.versions.values()) == ["2"] * 6
        assert len(led.engines.orders) == 6, led.engines.orders

    one_lead.play(case())


def an_old_fencing_number_ends_the_term() -> None:
    """A server that has seen a higher number ends this daemon's lead.

    Symptom: a daemon that was replaced goes on giving orders.
    Sequence: an engine refuses an order for its fencing number.
    Cause: the refusal taken for a busy server, and the order repeated.
    """

    async def case() -> None:
        led = one_lead.Led()
        led.engines.refuse = 412
        await led.run(for_s=0.5)
        held = led.lead._led[one_lead.MODEL].lease
        assert not held.may_send("e1") and not held.is_own

    one_lead.play(case())


def a_server_whose_address_another_has_is_not_ordered_again() -> None:
    """An order that another server answers says that its own is gone.

    A daemon that still listed servers which had left ordered them again and
    again, and held the lead for it: `detail='status 421'`, nine servers within
    2 s, none of which could ever load. What a request learns by the same answer
    was not learnt here.
    """

    async def case() -> None:
        led = one_lead.Led()
        led.engines.refuse = 421
        await led.run(for_s=2.0)
        servers = led.runtime.core.world.servers
        assert all(servers[f"e{n}"].leaving for n in range(1, 7))
        led.engines.refuse = 0
        await led.run(for_s=1.0)
        assert not led.engines.orders, led.engines.orders

    one_lead.play(case())


def a_server_is_drained_anew_for_each_load() -> None:
    """Each order follows a drain that was told since the server's last load.

    Requests were sent to engines that had begun to load, in 26 of 30 sessions
    of large fleets with namings that follow each other. A drain ends with the
    weights that it was for, at all daemons. Version 3 was named while an
    engine loaded version 2; loaded with that, it was to be drained again
    within a second of the last notice, and none went out, since notices of
    one engine were told once a second. From one such session, e26 with its
    load of version 5 done at 1049.3 s:

        1048.659 drain told of e26
        1048.772 order to e26: version 5
        1048.802 version 6 is named
        1049.386 order to e26: version 6
        1049.400 a request is sent to e26
    """

    async def case() -> None:
        led = one_lead.Led(servers=1, load_s=0.4)
        told: set[tuple[str, str]] = set()
        undrained: list[str] = []
        give = led.engines.order

        def version(server_id: str) -> str:
            return led.engines.versions.get(server_id, "1")

        def drained(server_id, target) -> None:
            del target
            told.add((server_id, version(server_id)))

        async def order(address, order):
            name = order.server_id
            row = led.runtime.core.world.servers[name]
            drains = row.draining_until_ms > led.clock.now_ms()
            if not drains or (name, version(name)) not in told:
                undrained.append(f"{name}: {order.value}")
            return await give(address, order)

        led.news.publish_draining = drained
        led.engines.order = order
        await led.run(for_s=0.3)
        led.runtime.submit(
            inputs.TableChanged(
                led.clock.now_ms(), routed_core.table(3, weights="3")
            )
        )
        await led.run(for_s=5.0)
        assert led.with_weights("3") == 1, led.engines.versions
        assert not undrained, undrained

    one_lead.play(case())


class _DeafTable(fakes.TableFake):
    """A store whose readings may get lost."""

    is_deaf = False

    async def read(self, row_id):
        """Reads a row, or answers nothing."""
        if self.is_deaf:
            return await self._time_out("read")
        return await super().read(row_id)


def a_lead_that_was_cut_off_takes_nothing_over_unseen() -> None:
    """A holder that learns of another one right before its write stops.

    13 engines of 43 were ordered by two leads within 0.7 s, where 3 s must lie
    between. The store does not tell what version a write made, so that the
    holder reads the row after each; it was cut off between the two, and went
    on deciding as the holder while another took over. Back again it read the
    row, as it must before a write, found the other's orders there, and wrote
    its own over them all the same, decided on before:

        1056.475 d3 records e20, fencing 5
        1056.496 d0 records e14 and 12 others, fencing 6
        1056.608 d0 orders e14, ordered by d3 at 1055.957
    """

    async def case() -> None:
        clock = loop.LoopClock(asyncio.get_running_loop())
        table = _DeafTable(random.Random(1))
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
        table.is_deaf = True
        assert await first.record(["e1"]) and first.is_own
        table.is_deaf = False
        assert await second.record(["e2"])
        # Decided as the holder, which it is no more.
        assert not await first.record(["e2"])
        assert not first.is_own and not first.may_send("e2")
        assert "e2" in first.held_by_others()

    one_lead.play(case())


def a_drain_by_the_lead_before_is_told_again() -> None:
    """A lead tells the drains that it counts on, whoever began them.

    A lead was lost after it had drained an engine, and its notice had reached
    the next lead alone. That one saw the engine drained and gave its order
    100 ms later, while all others sent requests there.
    """

    async def case() -> None:
        led = one_lead.Led()
        now_ms = led.clock.now_ms()
        led.runtime.submit(
            server_inputs.ServerDraining(now_ms, "e1", now_ms + 3_000)
        )
        await led.run(for_s=0.5)
        ordered = {order.server_id for order in led.engines.orders}
        assert "e1" in ordered, ordered
        assert ordered <= led.news.drained, (ordered, led.news.drained)

    one_lead.play(case())

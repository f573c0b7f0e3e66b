"""Sessions in which a call is refused for one reason, then repeated."""

from __future__ import annotations

import asyncio
import dataclasses

from godwittack.core import inputs, server_inputs
from godwittack.table import model
from sim import world as worlds

KEY = "claim-1"
SETTLE_S = 5


@dataclasses.dataclass
class Refused:
    """A refused call and its repetition after the cause was removed."""

    first: worlds.CallRecord
    first_ran: bool
    second: worlds.CallRecord
    runs: int


async def refuse_and_repeat(reason: str) -> Refused:
    """Causes a refusal, removes its cause and repeats the call."""
    world = worlds.World(seed=3, daemons=1)
    daemon = world.daemons[0]
    now_ms = world.clock.now_ms
    match reason:
        case "limit":
            _set_limit(world, daemon, max_in_flight=0)
        case "deadline":
            # Writing the claim takes longer than the caller's deadline.
            world.table.faults.latency_ms = (400, 400)
            daemon.deadline_ms = 100
        case "no_server":
            for name in world.services:
                daemon.submit(server_inputs.ServerLeaving(now_ms(), name))
        case "dispatch_failed":
            for service in world.services.values():
                service.faults.refuse_connection = 1.0
            daemon.runtime.core.world.retry_budget.tokens = 0.0
        case "table_service_down":
            world.table.faults.down = True
        case "table_not_current":
            daemon.submit(inputs.RightToServe(now_ms(), 0))
    first = await daemon.call(KEY)
    first_ran = world.ran(first.request_id)
    _remove_cause(world, daemon)
    await asyncio.sleep(SETTLE_S)
    second = await daemon.call(KEY)
    return Refused(first, first_ran, second, world.runs(KEY))


def _set_limit(world, daemon, *, max_in_flight: int) -> None:
    rows = [
        model.WorkspaceRow(
            name="desk",
            token_sha256=world.token,
            max_in_flight=max_in_flight,
        ),
        model.ServiceRow(name="portal"),
    ]
    version = daemon.runtime.core.world.table.version + 1
    table = model.Table.from_rows(version=version, rows=rows)
    daemon.submit(inputs.TableChanged(world.clock.now_ms(), table))


def _remove_cause(world, daemon) -> None:
    now_ms = world.clock.now_ms()
    world.table.faults.down = False
    world.table.faults.latency_ms = (1, 8)
    daemon.deadline_ms = 5_000
    for name, service in world.services.items():
        service.faults.refuse_connection = 0.0
        daemon.submit(
            server_inputs.ServerListed(at_ms=now_ms, server_id=name, gone=True)
        )
        daemon.submit(
            server_inputs.ServerListed(
                at_ms=now_ms, server_id=name, address=name, target="portal"
            )
        )
    daemon.submit(inputs.RightToServe(now_ms, worlds.FOREVER_MS))
    _set_limit(world, daemon, max_in_flight=10)

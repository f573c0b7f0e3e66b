"""Simulation of daemons that gossip and replicate the table."""

from __future__ import annotations

import asyncio
import dataclasses
import random

from result import Ok

from godwittack.claim import store as claim_store
from godwittack.command import client
from godwittack.core import inputs, router
from godwittack.daemon import (
    change,
    gossip,
    listing,
    peer_updates,
    runtime,
    server_watcher,
    tables,
)
from godwittack.member import serving_lease, view
from godwittack.report import counters
from godwittack.store import protocol as platform
from godwittack.table import model, store
from sim import connections, fakes, loop
from sim import world as worlds

GOSSIP_MS = 500
POLL_MS = 1_000
SAMPLE_S = 0.05
MINUTE_MS = 60_000


class FleetDaemon:
    """One daemon: real membership and table code, without callers."""

    def __init__(self, fleet: Fleet, name: str, address: str) -> None:
        self.fleet = fleet
        self.name = name
        self.address = address
        self.paused = False
        self.dead = False
        self.gate = fakes.Gate()
        self.table = connections.CutTable(fleet.table, self.gate, fleet)
        policy = view.MemberPolicy()
        core = router.Router.from_config(daemon=name)
        # Each daemon's wall clock is off by up to a minute.
        number = int(name[1 : name.index("@")])
        self.clock = loop.LoopClock(
            asyncio.get_running_loop(),
            wall_offset_ms=(number % 3 - 1) * MINUTE_MS,
        )
        self.runtime = runtime.Runtime(
            core=core,
            backend_client=None,
            claims=claim_store.ClaimStore(self.table),
            event_observer=worlds.EventList(),
            clock=self.clock,
        )
        rng = random.Random(f"{fleet.seed}/{name}")
        members = view.View(
            me=view.Member(
                member_id=name,
                peer_address=address,
                http_address=address,
                failure_domain="north",
            ),
            policy=policy,
            rng=rng,
            expected=fleet.expected,
        )
        table_store = store.TableStore(self.table, fleet.objects)
        peers = connections.FleetPeers(fleet, self)
        self.serving_lease = serving_lease.QuorumServingLease(policy)
        self.keeper = tables.PolledTableKeeper(
            tables=table_store,
            runtime=self.runtime,
            peers=peers,
            serving_lease=self.serving_lease,
            rng=rng,
        )
        self.updates = peer_updates.PeerUpdates(
            members=members, runtime=self.runtime, client=peers
        )
        self.gossiper = gossip.Gossiper(
            updates=self.updates,
            members=members,
            runtime=self.runtime,
            keeper=self.keeper,
            seed_client=peers,
            member_client=peers,
            counts=counters.EventCounters(daemon=name, clock=self.clock),
            seeds=tuple(fleet.seeds),
        )
        streams = server_watcher.Streams()
        streams.connect(core=self.runtime, updates=self.updates)
        self.lists = listing.ListWatcher(
            instances=connections.InstanceListFake(fleet, self),
            core=self.runtime,
            members=members,
            updates=self.updates,
            streams=streams,
            on_daemons_listed=lambda _: None,
        )
        self.gossiper.list_hash = self.lists.list_hash
        self.gossiper.on_list_hash = self.lists.record_list_hash
        self.committer = change.Committer(
            tables=table_store,
            keeper=self.keeper,
            gossiper=self.gossiper,
            policy=policy,
            gossip_ms=GOSSIP_MS,
        )
        self.tasks = [fleet.spawn(self._run())]

    @property
    def version(self) -> int:
        """The table version that is active at this daemon."""
        return self.runtime.core.world.table.version

    @property
    def may_serve(self) -> bool:
        """Whether a request arriving now would be accepted."""
        self.runtime.submit(inputs.Tick(self.fleet.clock.now_ms()))
        return self.runtime.core.world.has_serving_lease

    def pause(self) -> None:
        """Pauses the process."""
        self.paused = True
        self.gate.pause()

    def resume(self) -> None:
        """Resumes the process."""
        self.paused = False
        self.gate.resume()

    def kill(self) -> None:
        """Ends the process."""
        self.dead = True
        for task in self.tasks:
            task.cancel()
        self.runtime.submit = lambda input_: None
        self.gate.pause()

    async def _run(self) -> None:
        await self.gossiper.join()
        self.gossiper.announce()
        rows = self.gossiper.members.rows.values()
        await self.keeper.load_initial([r.member.peer_address for r in rows])
        self.tasks.append(
            self.fleet.spawn(self.lists.poll_forever(poll_ms=POLL_MS))
        )
        self.tasks.append(
            self.fleet.spawn(self.keeper.poll_forever(poll_ms=POLL_MS))
        )
        while True:
            await self.gate.wait_until_open()
            self.gossiper.tick()
            self.updates.flush()
            await asyncio.sleep(GOSSIP_MS / 1000)


@dataclasses.dataclass
class Traffic:
    """Number and size of messages between daemons."""

    messages: int = 0
    size: int = 0

    def add(self, message) -> None:
        """Counts a message by its serialized size."""
        self.messages += 1
        self.size += message.ByteSize()


@dataclasses.dataclass
class AcceptedChange:
    """A change that was reported to an operator as accepted."""

    version: int
    at_ms: int
    after_ms: int


class Fleet:
    """All daemons of a session, its faults, and the results of changes."""

    def __init__(
        self, *, seed: int, size: int, expected: int | None = None
    ) -> None:
        self.seed = seed
        self.rng = random.Random(seed)
        self.clock = loop.LoopClock(asyncio.get_running_loop())
        self.table = fakes.TableFake(self.rng)
        self.objects = connections.Objects()
        self.cut_links: set[tuple[str, str]] = set()
        self.accepted: list[AcceptedChange] = []
        self.results: list[object] = []
        self.timeouts = 0
        self.listed: dict[str, platform.Instance] = {}
        self.list_reads = 0
        self.update_loss_addresses: set[str] = set()
        self.fetch_delay_s = 0.0
        self.traffic = Traffic()
        self.stale: list[str] = []
        self._last_versions: dict[str, int] = {}
        self._tasks: set[asyncio.Task] = set()
        self.expected = size if expected is None else expected
        self.seeds = [f"10.0.0.{n}:1" for n in range(size)]
        self.daemons = [
            FleetDaemon(self, f"d{n}@1", address)
            for n, address in enumerate(self.seeds)
        ]
        self.spawn(self._sample())

    def spawn(self, job) -> asyncio.Task:
        """Starts a task."""
        task = asyncio.get_running_loop().create_task(job)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def alive(self) -> list[FleetDaemon]:
        """Returns the daemons that were not killed."""
        return [daemon for daemon in self.daemons if not daemon.dead]

    def daemon_at(self, address: str) -> FleetDaemon | None:
        """Returns the daemon that listens on an address."""
        return next((d for d in self.alive() if d.address == address), None)

    def restart(self, daemon: FleetDaemon) -> None:
        """Replaces a daemon by a new process on its address."""
        daemon.kill()
        name, _, number = daemon.name.partition("@")
        successor = FleetDaemon(
            self, f"{name}@{int(number) + 1}", daemon.address
        )
        successor.table.is_cut = daemon.table.is_cut
        self.daemons.append(successor)

    def partition(self, group: list[FleetDaemon]) -> None:
        """Cuts a group off from the rest, in both directions."""
        inside = {daemon.address for daemon in group}
        for source in self.seeds:
            for target in self.seeds:
                if (source in inside) != (target in inside):
                    self.cut_links.add((source, target))

    def heal(self) -> None:
        """Ends all faults."""
        self.cut_links.clear()
        self.table.faults = fakes.TableFaults()
        self.objects.down = False
        self.update_loss_addresses.clear()
        for daemon in self.alive():
            daemon.table.is_cut = False
            daemon.resume()

    async def change(self, daemon: FleetDaemon, value: int):
        """Changes one cell through a daemon, as an operator would."""
        table = daemon.keeper.table
        row = table.workspaces.get("desk")
        changes = [
            model.CellChange(
                kind=model.RowKind.WORKSPACE,
                name="desk",
                column="max_in_flight",
                before=row.max_in_flight if row else None,
                after=value,
            )
        ]
        if row is None:
            changes.insert(
                0,
                model.CellChange(
                    kind=model.RowKind.WORKSPACE,
                    name="desk",
                    column=model.ROW_COLUMN,
                    before=None,
                    after="desk",
                ),
            )
        proposal = store.Proposal(
            who="ana",
            why="trial",
            changes=tuple(changes),
            at_wall_ms=daemon.clock.wall_ms(),
            commit_id=f"{daemon.name}/{value}",
        )
        result = await self._submit(daemon, proposal)
        if isinstance(result, Ok) and isinstance(
            result.ok_value, change.ChangeProgress
        ):
            progress = result.ok_value
            if progress.accepted:
                self.accepted.append(
                    AcceptedChange(
                        progress.version, self.clock.now_ms(), progress.after_ms
                    )
                )
        self.results.append(result)
        return result

    async def _submit(self, daemon: FleetDaemon, proposal: store.Proposal):
        """Submits a change to a daemon; after a timeout, to another one."""
        submission = self.spawn(daemon.committer.commit(proposal))
        done, _ = await asyncio.wait(
            [submission], timeout=client.CHANGE_TIMEOUT_S
        )
        if done:
            return submission.result()
        self.timeouts += 1
        others = [d for d in self.alive() if d is not daemon]
        return await self._submit(self.rng.choice(others), proposal)

    async def _sample(self) -> None:
        """Records each daemon that would serve with an outdated table."""
        while True:
            newest = max((a.version for a in self.accepted), default=0)
            for daemon in self.alive():
                self._check_version(daemon, newest)
            await asyncio.sleep(SAMPLE_S)

    def _check_version(self, daemon: FleetDaemon, newest: int) -> None:
        now_ms = self.clock.now_ms()
        if daemon.version < self._last_versions.get(daemon.name, 0):
            self.stale.append(f"{daemon.name} went back at {now_ms}")
        self._last_versions[daemon.name] = daemon.version
        if not daemon.paused and daemon.may_serve and daemon.version < newest:
            self.stale.append(
                f"{daemon.name} serves on {daemon.version} at {now_ms},"
                f" accepted is {newest}"
            )

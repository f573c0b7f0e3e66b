"""Simulated fleets with daemons that are out of step as versions change."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from cases import routed_core
from godwittack.core import inputs, server_inputs, stream_records
from godwittack.member import freshness
from sim import version_fleets

if TYPE_CHECKING:
    from collections.abc import Iterable

RUN_MS = 8_000
CUT_FROM_MS = 1_000
HEAL_MS = 5_000
JOIN_MS = 1_500
# Daemons that don't answer count as lost after about this time.
NOTICE_MS = 800
JOINED_ENGINES = 3
TICK_MS = 50
# Clients come back at most twice, after up to two seconds each.
END_MS = RUN_MS + 5_000


@dataclasses.dataclass(frozen=True, kw_only=True)
class Plan:
    """What happens to a fleet.

    Attributes:
        daemons: Number of daemons.
        cut: Number of daemons that are cut off from the others and the store.
            They reach each other.
        leave_ms: When the servers of the old version leave; -1 for never.
        return_ms: When those of the new version leave; -1 for never.
        is_noticed: Whether daemons count those that they don't reach as lost.
            Those that stand still instead do not.
        kills_others: Whether all daemons that were not cut off end as the cut
            heals.
        restarts_others: Whether they start again at once, knowing nothing.
        is_planned: Whether they end in good order, so that the rest does not
            expect them any more.
        lost_share: Share of the records that are lost on the way.
    """

    daemons: int = 6
    cut: int = 1
    leave_ms: int = -1
    return_ms: int = -1
    is_noticed: bool = True
    kills_others: bool = False
    restarts_others: bool = False
    is_planned: bool = False
    lost_share: float = version_fleets.LOST_SHARE


class Fleet(version_fleets.Fleet):
    """Daemons that have seen one version for the life of a stream.

    Some of them are cut off for a time. Meanwhile servers of another version
    join, and some may leave. Copies of daemons that are not cut off are
    confirmed in turn; the row of the history of versions is never read.
    """

    policy_fields = routed_core.PLATFORM_POLICY

    def __init__(self, plan: Plan, *, seed: int) -> None:
        """Starts the daemons of a plan."""
        super().__init__(seed=seed, daemons=plan.daemons)
        self.plan = plan
        self.known_daemons = plan.daemons
        self.lost_share = plan.lost_share
        self.now_ms = stream_records.STREAM_LIFE_MS + 1
        for daemon in self._daemons.values():
            daemon.core.confirm()
            daemon.core.follow(for_ms=self.now_ms - daemon.core.now_ms)
            self._tell(daemon, inputs.Tick(self.now_ms))
        self._tell_groups()
        self._confirm_all()

    def run(self) -> None:
        """Plays the plan, with streams that begin and are taken up."""
        for at_ms in range(0, RUN_MS, version_fleets.STEP_MS):
            for _ in range(version_fleets.STREAMS_PER_STEP):
                self._after(at_ms, self._begin_new)
        for at_ms in range(0, END_MS, routed_core.CONFIRM_INTERVAL_MS):
            self._after(at_ms, self._confirm_all)
        for at_ms in range(0, END_MS, TICK_MS):
            self._after(at_ms, self._tick_waiting)
        self._after(CUT_FROM_MS, self._cut)
        self._after(HEAL_MS, self._heal_all)
        old = sorted(self._engines)
        first = version_fleets.ENGINES
        new = [f"e{first + n}.1" for n in range(JOINED_ENGINES)]
        self._after(JOIN_MS, lambda: self._change((), new))
        if self.plan.leave_ms >= 0:
            self._after(self.plan.leave_ms, lambda: self._change(old, ()))
        if self.plan.return_ms >= 0:
            self._after(self.plan.return_ms, lambda: self._change(new, ()))
        self._play()

    def _confirm_all(self) -> None:
        for daemon in self._daemons.values():
            if not daemon.is_cut:
                for topic in freshness.Topic:
                    self._confirm(daemon, topic, self.now_ms)

    def _confirm(
        self, daemon: version_fleets.Daemon, topic: freshness.Topic, at_ms: int
    ) -> None:
        self._tell(
            daemon, inputs.StateConfirmed(self.now_ms, topic, at_ms, "store")
        )

    def _tick_waiting(self) -> None:
        """Lets daemons begin the next read for those that wait for one."""
        for daemon in self._daemons.values():
            if daemon.core.world.awaiting_reads:
                self._tell(daemon, inputs.Tick(self.now_ms))
                self._act(daemon)

    def _read(
        self, daemon: version_fleets.Daemon, topic: freshness.Topic
    ) -> None:
        """Reads a copy anew, which fails while the daemon is cut off."""
        begun_ms, was_cut = self.now_ms, daemon.is_cut

        def end() -> None:
            if daemon not in self._daemons.values():
                return
            has_read = not was_cut and not daemon.is_cut
            if has_read:
                if topic is freshness.Topic.SERVERS:
                    self._apply_list(daemon)
                self._confirm(daemon, topic, begun_ms)
            self._tell(
                daemon, inputs.ConfirmationEnded(self.now_ms, topic, has_read)
            )
            self._act(daemon)

        timeout_ms = routed_core.READ_TIMEOUT_MS
        self._after(timeout_ms if was_cut else version_fleets.HOP_MS, end)

    def _cut(self) -> None:
        daemons = list(self._daemons.values())
        for daemon in self.rng.sample(daemons, self.plan.cut):
            daemon.is_cut = True
        if self.plan.is_noticed:
            self._after(NOTICE_MS, self._tell_groups)

    def _heal_all(self) -> None:
        """Heals the cut; the list is read some time later."""
        if self.plan.kills_others:
            for address, daemon in list(self._daemons.items()):
                if daemon.is_cut:
                    continue
                del self._daemons[address]
                if self.plan.restarts_others:
                    self._start(address)
            if self.plan.is_planned:
                self.known_daemons = len(self._daemons)
        for daemon in self._daemons.values():
            daemon.is_cut = False
        self._tell_groups()

    def _tell_groups(self) -> None:
        """Tells each daemon which others it reaches."""
        for daemon in self._daemons.values():
            live = tuple(
                sorted(
                    other.name
                    for other in self._daemons.values()
                    if other.is_cut == daemon.is_cut
                )
            )
            changed = inputs.MembersChanged(
                self.now_ms, live, known=self.known_daemons
            )
            self._tell(daemon, changed)

    def _change(self, gone: Iterable[str], joined: Iterable[str]) -> None:
        for name in gone:
            del self._engines[name]
        for name in joined:
            self._engines[name] = "v2"
        for daemon in self._daemons.values():
            self._read_later(daemon)

    def _read_later(self, daemon: version_fleets.Daemon) -> None:
        delay_ms = self.rng.randrange(1, version_fleets.MAX_LIST_DELAY_MS)
        self._after(delay_ms, lambda: self._read_list(daemon))

    def _read_list(self, daemon: version_fleets.Daemon) -> None:
        """Lets a daemon read the whole list once it reaches the store."""
        if daemon not in self._daemons.values():
            return
        if daemon.is_cut:
            self._read_later(daemon)
            return
        self._apply_list(daemon)

    def _apply_list(self, daemon: version_fleets.Daemon) -> None:
        servers = daemon.core.world.servers_by_target[routed_core.ENGINES]
        for name in sorted(servers.keys() - self._engines.keys()):
            gone = server_inputs.ServerListed(
                at_ms=self.now_ms, server_id=name, gone=True
            )
            self._tell(daemon, gone)
        for name, version in self._engines.items():
            if name not in servers:
                self._list(daemon, name, version)

    def _reach(
        self, daemon: version_fleets.Daemon, name: str
    ) -> version_fleets.Daemon | None:
        peer = self._running(name)
        if peer is None or peer.is_cut != daemon.is_cut:
            return None
        return peer

    def _running(self, name: str) -> version_fleets.Daemon | None:
        for daemon in self._daemons.values():
            if daemon.name == name:
                return daemon
        return None

    def _is_linked(self, daemon: version_fleets.Daemon, name: str) -> bool:
        return self._reach(daemon, name) is not None


__all__ = ["Fleet", "Plan"]

"""Updates between daemons whose number must not grow with what happens."""

from __future__ import annotations

import asyncio
import dataclasses
import types

from result import Err, Ok

from cases import routed_core
from godwittack.core import effects, quarantine, server_inputs
from godwittack.daemon import outbox as outboxes
from godwittack.daemon import peer_updates
from godwittack.limit import shares
from godwittack.member import view
from godwittack.peer import exchange
from sim import loop as loops

PEERS = 62
# Servers that end at the same moment.
ENDED = 17
FLUSH_MS = 500


class Streams:
    """A client whose streams deliver everything, or nothing.

    Attributes:
        sent: Messages by address, each with the time.
        is_reachable: Whether messages are delivered.
    """

    def __init__(self, clock: loops.LoopClock) -> None:
        self.sent: dict[str, list[tuple[int, object]]] = {}
        self.is_reachable = True
        self._clock = clock

    def open_news(self, address, *, on_broken):
        """Returns a stream to a peer."""
        del on_broken
        sent = self.sent.setdefault(address, [])

        async def send(news):
            sent.append((self._clock.now_ms(), news))
            if self.is_reachable:
                return Ok(None)
            return Err(
                exchange.PeerError(step="send", peer=address, detail="test")
            )

        return types.SimpleNamespace(send=send, close=lambda: None)

    def count(self) -> int:
        """Returns the number of messages."""
        return sum(map(len, self.sent.values()))


@dataclasses.dataclass
class Fleet:
    """The updates of one daemon of a fleet, on virtual time."""

    streams: Streams
    updates: peer_updates.PeerUpdates
    quarantine: quarantine.Quarantine


def _fleet() -> Fleet:
    clock = loops.LoopClock(asyncio.get_running_loop())
    members = [
        view.Member(
            member_id=f"d{n}",
            peer_address=f"d{n}:1",
            http_address=f"d{n}:2",
            failure_domain="hall",
        )
        for n in range(PEERS + 1)
    ]
    known = quarantine.Quarantine()
    world = types.SimpleNamespace(
        shares=shares.Shares(daemon="d0"),
        table=types.SimpleNamespace(targets=("m",)),
        quarantine=known,
    )
    streams = Streams(clock)
    updates = peer_updates.PeerUpdates(
        members=types.SimpleNamespace(me=members[0], live=lambda: members),
        runtime=types.SimpleNamespace(
            core=types.SimpleNamespace(world=world),
            clock=clock,
            submit=lambda message: None,
        ),
        client=streams,
    )
    return Fleet(streams, updates, known)


def a_cut_is_told_in_one_message_to_each_peer() -> None:
    """Servers lost one after the other are told together.

    Guards against links that are full of updates: each lost server had the
    whole list sent to each peer at once.
    """

    async def play() -> int:
        fleet = _fleet()
        for lost in range(1, ENDED + 1):
            fleet.updates.publish_paths(
                effects.TellPaths(
                    lost=tuple(f"s{n}" for n in range(lost)), targets=("m",)
                )
            )
            await asyncio.sleep(0.02)
        fleet.updates.flush()
        await asyncio.sleep(FLUSH_MS / 1000)
        fleet.updates.close()
        return fleet.streams.count()

    assert loops.run(play()) == PEERS


def urgent_updates_of_a_burst_share_messages() -> None:
    """The first update of a burst is sent at once, the others together.

    Guards against a message for each crash, completed run and suspicion, to
    each of sixty peers.
    """

    async def play() -> list[tuple[int, object]]:
        fleet = _fleet()
        for number in range(200):
            fleet.updates.publish_crashes(
                effects.TellCrashes(
                    target="m", crashes=(_crash(number, at_ms=1_000_000),)
                )
            )
            await asyncio.sleep(0.005)
        await asyncio.sleep(FLUSH_MS / 1000)
        fleet.updates.close()
        return fleet.streams.sent["d1:1"]

    sent = loops.run(play())
    assert sum(len(news.crashes) for _, news in sent) == 200
    assert sent[0][0] - 1_000_000 <= 1, sent[0][0]
    interval_ms = outboxes.INTERVAL_PER_PEER_MS * PEERS
    assert len(sent) <= 2 + 1_000 / interval_ms, len(sent)


def a_drain_waits_for_no_other_update() -> None:
    """A drain is sent at once, also just after another update.

    Guards against requests that a server declines: it is ordered to load
    weights 100 ms after its drain was told.
    """

    async def play() -> int:
        fleet = _fleet()
        crash = _crash(1, at_ms=1_000_000)
        fleet.updates.publish_crashes(
            effects.TellCrashes(target="m", crashes=(crash,))
        )
        await asyncio.sleep(0.01)
        fleet.updates.publish_draining("s1", "m")
        await asyncio.sleep(0.01)
        fleet.updates.close()
        return sum(
            "s1" in news.draining_servers
            for messages in fleet.streams.sent.values()
            for _, news in messages
        )

    assert loops.run(play()) == PEERS


def an_unreachable_peer_is_tried_less_and_less_often() -> None:
    """Tries to send to a peer that does not answer become rarer.

    Guards against streams that are opened and given up twice a second between
    all daemons, each with all that has come meanwhile.
    """

    async def play() -> list[int]:
        fleet = _fleet()
        fleet.streams.is_reachable = False
        for number in range(60):
            fleet.updates.publish_crashes(
                effects.TellCrashes(
                    target="m", crashes=(_crash(number, at_ms=1_000_000),)
                )
            )
            await asyncio.sleep(1)
        fleet.updates.close()
        return [at_ms for at_ms, _ in fleet.streams.sent["d1:1"]]

    tried_ms = loops.run(play())
    assert tried_ms[1] - tried_ms[0] <= outboxes.RETRY_FIRST_MS, tried_ms
    late = [at_ms for at_ms in tried_ms if at_ms >= tried_ms[0] + 30_000]
    assert len(late) <= 30_000 / (outboxes.RETRY_MAX_MS / 2), tried_ms


def crashes_are_sent_again_once_they_have_settled() -> None:
    """Differing digests have crashes sent again only after a while.

    Guards against the whole history for each probe while crashes are on their
    way, which made them late.
    """

    async def play() -> tuple[int, int]:
        fleet = _fleet()
        for number in range(40):
            fleet.quarantine.add(_crash(number, at_ms=1_000_000))
            for peer in range(1, 11):
                fleet.updates.compare_crashes(f"d{peer}", 77)
            await asyncio.sleep(0.05)
        unsettled = fleet.streams.count()
        for _ in range(20):
            fleet.updates.compare_crashes("d5", 77)
            await asyncio.sleep(0.1)
        fleet.updates.close()
        return unsettled, len(fleet.streams.sent.get("d5:1", ()))

    unsettled, settled = loops.run(play())
    assert unsettled == 0, unsettled
    assert 1 <= settled <= 3, settled


def _crash(number: int, *, at_ms: int) -> quarantine.Crash:
    return quarantine.Crash(
        content=f"desk/{number}",
        start=f"s{number}",
        reporter="d0",
        at_ms=at_ms,
    )


def a_suspicion_that_has_spread_is_not_told_again() -> None:
    """A daemon tells of a silent server unless several others just have.

    Guards against messages that grow with the square of the daemons: all of
    them notice that a server has ended, and each told all others.
    """
    assert _tells_suspicion(told_by=())
    assert _tells_suspicion(told_by=("d1",))
    assert not _tells_suspicion(told_by=("d1", "d2"))
    assert _tells_suspicion(told_by=("d1", "d2"), later_ms=1_500)


def _tells_suspicion(*, told_by: tuple[str, ...], later_ms: int = 0) -> bool:
    """Returns whether a daemon whose probe fails tells the others."""
    core = routed_core.Core(servers=1)
    core.arrive("long", "r1")
    for daemon in told_by:
        core.tell(server_inputs.ServerDoubted, "e1", daemon)
    core.wait(later_ms + 350)
    core.tell(server_inputs.ProbeAnswered, "e1", False)
    return bool(core.find(effects.Doubt))

"""Simulated fleets that take streams up while software versions change."""

from __future__ import annotations

import dataclasses
import heapq
import random
from typing import TYPE_CHECKING, ClassVar

from cases import routed_core
from godwittack.core import effects, inputs, server_inputs, stream_versions

if TYPE_CHECKING:
    from collections.abc import Callable

    from godwittack.member import freshness

SEEDS = 12
RUN_MS = 30_000
ENGINES = 6
MAX_LIST_DELAY_MS = 400
MAX_VIEW_DELAY_MS = 1_500
HOP_MS = 1
CLIENT_MS = 6
LOST_SHARE = 0.02
ASK_TIMEOUT_MS = 200
STREAMS_PER_STEP = 2
STEP_MS = 50
RELEASE_MS = 700
KILL_MS = 3_000
CUT_MS = 4_000


@dataclasses.dataclass
class Stream:
    """A stream as its client sees it."""

    name: str
    versions: list[str] = dataclasses.field(default_factory=list)
    tries: int = 0


@dataclasses.dataclass(frozen=True)
class Try:
    """A request of a client for a stream."""

    stream: Stream
    is_new: bool
    is_counted: bool


class Daemon:
    """A core, its address, and whether it is cut off from the others."""

    def __init__(self, name: str, now_ms: int, **policy_fields) -> None:
        self.name = name
        self.is_cut = False
        self.core = routed_core.Core(
            servers=0, started_at_ms=now_ms, **policy_fields
        )
        self.core.world.daemon = name
        self.core.renew_serving_lease(for_ms=10**9)


class Fleet:
    """Daemons, engines that are released, and clients that take streams up.

    Attributes:
        mixed: Streams with events of two versions.
        new: New streams that clients asked for.
        begun: Of these, streams that began.
        taken_up: Tries to take a stream up, at daemons that are not cut off.
        gone_on: Of these, tries that went on.
        lost_share: Share of the records that are lost on the way.
    """

    policy_fields: ClassVar[dict[str, int]] = {}

    def __init__(self, *, seed: int, daemons: int) -> None:
        self.rng = random.Random(seed)
        self.now_ms = 0
        self.mixed: list[Stream] = []
        self.new = self.begun = self.taken_up = self.gone_on = 0
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._count = 0
        self._starts = 0
        self._engines: dict[str, str] = {}
        self._daemons: dict[int, Daemon] = {}
        self._tries: dict[str, Try] = {}
        self._release = 1
        self.lost_share = LOST_SHARE
        for number in range(ENGINES):
            self._engines[f"e{number}.0"] = "v1"
        for address in range(daemons):
            self._start(address)
        for daemon in self._daemons.values():
            self._tell_members(daemon)

    def run(self) -> None:
        """Plays releases, restarts, cuts and streams."""
        for at_ms in range(0, RUN_MS, STEP_MS):
            for _ in range(STREAMS_PER_STEP):
                self._after(at_ms, self._begin_new)
        for at_ms in range(2_000, RUN_MS, RELEASE_MS):
            self._after(at_ms, self._replace_engine)
        for at_ms in range(1_000, RUN_MS, KILL_MS):
            self._after(at_ms, self._kill)
        for at_ms in range(1_500, RUN_MS, CUT_MS):
            self._after(at_ms, self._cut)
        self._play()

    def _play(self) -> None:
        while self._events:
            self.now_ms, _, act = heapq.heappop(self._events)
            act()

    def _after(self, delay_ms: int, act: Callable[[], None]) -> None:
        self._count += 1
        heapq.heappush(self._events, (self.now_ms + delay_ms, self._count, act))

    def _start(self, address: int) -> None:
        self._starts += 1
        name = f"d{address}.{self._starts}"
        daemon = Daemon(name, self.now_ms, **self.policy_fields)
        self._daemons[address] = daemon
        for name, version in self._engines.items():
            self._list(daemon, name, version)

    def _kill(self) -> None:
        for address in self.rng.sample(
            sorted(self._daemons), len(self._daemons) // 4
        ):
            self._start(address)
            self._tell_members(self._daemons[address])
        for daemon in self._daemons.values():
            self._after(
                self.rng.randrange(MAX_VIEW_DELAY_MS),
                lambda daemon=daemon: self._tell_members(daemon),
            )

    def _cut(self) -> None:
        """Cuts two daemons off from the others and the store, for a time."""
        for daemon in self.rng.sample(list(self._daemons.values()), 2):
            daemon.is_cut = True
            self._after(CUT_MS // 2, lambda daemon=daemon: self._heal(daemon))

    def _heal(self, daemon: Daemon) -> None:
        daemon.is_cut = False

    def _tell_members(self, daemon: Daemon) -> None:
        names = tuple(sorted(d.name for d in self._daemons.values()))
        self._tell(daemon, inputs.MembersChanged(self.now_ms, names))

    def _replace_engine(self) -> None:
        """Replaces an engine by one of the next version, or of the last."""
        old = self.rng.choice(sorted(self._engines))
        del self._engines[old]
        number = old.split(".")[0]
        self._release += 1
        version = f"v{1 + self._release // 5 - self.rng.randrange(2)}"
        new = f"{number}.{self._release}"
        self._engines[new] = version
        for daemon in self._daemons.values():
            self._after(
                self.rng.randrange(MAX_LIST_DELAY_MS),
                lambda daemon=daemon: self._list_change(
                    daemon, old, new, version
                ),
            )

    def _list_change(
        self, daemon: Daemon, old: str, new: str, version: str
    ) -> None:
        if daemon not in self._daemons.values():
            return
        if daemon.is_cut:
            self._after(
                MAX_LIST_DELAY_MS,
                lambda: self._list_change(daemon, old, new, version),
            )
            return
        gone = server_inputs.ServerListed(
            at_ms=self.now_ms, server_id=old, gone=True
        )
        self._tell(daemon, gone)
        self._list(daemon, new, version)

    def _list(self, daemon: Daemon, name: str, version: str) -> None:
        daemon.core.now_ms = self.now_ms
        listed = server_inputs.ServerListed(
            at_ms=self.now_ms,
            server_id=name,
            address=f"10.0.0.1:{int(name[1:].split('.')[0]) + 1}",
            target=routed_core.ENGINES,
            incarnation=name,
            weights_version="1",
            slots=64,
            software_version=version,
        )
        self._tell(daemon, listed)

    def _begin_new(self) -> None:
        self.new += 1
        self._count += 1
        stream = Stream(f"s{self._count}")
        self._try(stream)

    def _try(self, stream: Stream) -> None:
        """Sends one try of a client to a daemon chosen at random."""
        daemon = self.rng.choice(list(self._daemons.values()))
        is_new = not stream.versions
        stream.tries += 1
        name = stream.name if is_new else f"{stream.name}.{stream.tries}"
        is_counted = not is_new and not daemon.is_cut
        self.taken_up += is_counted
        self._tries[f"{name}~"] = Try(stream, is_new, is_counted)
        daemon.core.now_ms = self.now_ms
        daemon.core.arrive(
            "long",
            f"{name}~",
            caller_request_id=name,
            resumes="" if is_new else stream.name,
            resume_after=0 if is_new else len(stream.versions),
        )
        self._act(daemon)

    def _act(self, daemon: Daemon) -> None:
        """Carries out the last effects of a core for tries of clients."""
        self._send(daemon, daemon.core.last_effects)
        for effect in daemon.core.last_effects:
            if isinstance(effect, effects.AskStream):
                for peer in effect.daemons:
                    self._ask(daemon, peer, effect)
            if isinstance(effect, effects.Dispatch):
                self._deliver(daemon, effect)
            if isinstance(effect, effects.ConfirmState):
                self._read(daemon, effect.topic)

    def _read(self, daemon: Daemon, topic: freshness.Topic) -> None:
        """Reads a copy anew, for daemons that need it."""
        raise NotImplementedError

    def _deliver(self, daemon: Daemon, sent: effects.Dispatch) -> None:
        """Delivers one event; then the client leaves, and may come back."""
        tried = self._tries[sent.request_id]
        stream = tried.stream
        version = self._version_of(sent.server_id)
        if not version:
            return
        daemon.core.open(sent)
        daemon.core.frames(sent, len(stream.versions) + 1)
        self._send(daemon, daemon.core.last_effects)
        stream.versions.append(version)
        self.begun += tried.is_new
        self.gone_on += tried.is_counted
        if len(set(stream.versions)) > 1:
            self.mixed.append(stream)
        daemon.core.tell(inputs.CallerGone, sent.request_id)
        if stream.tries < 3:
            delay_ms = CLIENT_MS + self.rng.choice((0, 0, 50, 500, 2_000))
            self._after(delay_ms, lambda: self._try(stream))

    def _version_of(self, name: str) -> str:
        """Returns an engine's version; empty if it is gone."""
        return self._engines.get(name, "")

    def _tell(self, daemon: Daemon, told: inputs.Input) -> None:
        daemon.core.now_ms = self.now_ms
        daemon.core.last_effects = daemon.core.router.step(told)
        self._send(daemon, daemon.core.last_effects)

    def _send(self, daemon: Daemon, sent: list[effects.Effect]) -> None:
        for effect in sent:
            if isinstance(effect, effects.TellStream):
                for name in effect.daemons:
                    if self._is_linked(daemon, name):
                        self._send_record(name, effect)

    def _is_linked(self, daemon: Daemon, name: str) -> bool:
        """Returns whether datagrams of a daemon to another can arrive."""
        del name
        return not daemon.is_cut

    def _send_record(self, name: str, effect: effects.TellStream) -> None:
        if self.rng.random() < self.lost_share:
            return

        def arrive() -> None:
            peer = self._running(name)
            if peer is not None:
                told = inputs.StreamTold(
                    at_ms=self.now_ms,
                    key=effect.key,
                    target=effect.target,
                    version=effect.version,
                    left_ms=effect.left_ms,
                )
                self._tell(peer, told)

        self._after(HOP_MS, arrive)

    def _reach(self, daemon: Daemon, name: str) -> Daemon | None:
        """Returns the daemon of a name if another one reaches it."""
        return None if daemon.is_cut else self._running(name)

    def _running(self, name: str) -> Daemon | None:
        """Returns a daemon that others reach."""
        for daemon in self._daemons.values():
            if daemon.name == name and not daemon.is_cut:
                return daemon
        return None

    def _ask(
        self,
        daemon: Daemon,
        name: str,
        asked: effects.AskStream,
    ) -> None:
        def answer() -> None:
            if daemon not in self._daemons.values():
                return
            peer = self._reach(daemon, name)
            knowledge = None
            if peer is not None:
                knowledge = stream_versions.knowledge(
                    peer.core.world,
                    asked.key,
                    asked.target,
                    now_ms=self.now_ms,
                )
            told = inputs.StreamAnswered(
                at_ms=self.now_ms,
                request_id=asked.request_id,
                daemon=name,
                knowledge=knowledge,
            )
            self._tell(daemon, told)
            self._act(daemon)

        is_reached = self._reach(daemon, name) is not None
        self._after(2 * HOP_MS if is_reached else ASK_TIMEOUT_MS, answer)


__all__ = ["SEEDS", "Fleet"]

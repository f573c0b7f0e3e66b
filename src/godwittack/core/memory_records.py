"""Records of the memory that requests occupy on engines."""

from __future__ import annotations

import dataclasses
import math

# Engines allocate memory in blocks of this many tokens.
BLOCK_TOKENS = 16
# Time in which the sum of prefilled tokens decays to 1/e.
PREFILL_DECAY_MS = 5_000
# Weight of a new sample in the learned times of a target.
SMOOTHING_FACTOR = 0.1
# Interval at which a daemon announces the memory that it keeps free, and time
# after which the others forget it, so that one lost datagram does no harm.
CLAIM_INTERVAL_MS = 250
CLAIM_EXPIRES_MS = 600
# Assumed until requests of a target have ended.
DEFAULT_MS_PER_TOKEN = 10.0
DEFAULT_RESIDENCE_MS = 1_000.0


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Occupant:
    """Memory that one request occupies on an engine until it ends.

    Attributes:
        own_tokens: Memory that no other request uses.
        shared: Key and memory of each part that others may use as well.
        generated_tokens: Tokens that it is expected to generate.
        sent_at_ms: When it was sent.
        first_token_ms: Expected time from then to its first token.
        expected_end_ms: When it is expected to end.
    """

    own_tokens: int
    shared: tuple[tuple[int, int], ...] = ()
    generated_tokens: int = 0
    sent_at_ms: int
    first_token_ms: float = 0.0
    expected_end_ms: float

    @property
    def tokens(self) -> int:
        """Memory of the whole request."""
        return self.own_tokens + self.shared_tokens

    @property
    def shared_tokens(self) -> int:
        """Memory that other requests may use as well."""
        return sum(tokens for _, tokens in self.shared)


@dataclasses.dataclass(slots=True)
class AnnouncedOccupant:
    """A request of another daemon, of whose end this one is not told.

    Attributes:
        last_end_ms: When its route's time is over at the latest.
        is_reported: Whether the engine's last report counts its memory.
        is_claim: Whether it is held by the other daemon and not sent yet.
    """

    occupant: Occupant
    last_end_ms: int
    is_reported: bool = False
    is_claim: bool = False


@dataclasses.dataclass(slots=True)
class PrefillRate:
    """Tokens that an engine prefilled recently, decaying exponentially."""

    _tokens: float = 0.0
    _at_ms: int = 0

    def add(self, tokens: float, *, now_ms: int) -> None:
        """Adds the tokens of one prompt."""
        self._tokens = self._tokens_at(now_ms) + tokens
        self._at_ms = now_ms

    def per_ms(self, now_ms: int) -> float:
        """Returns the tokens per millisecond."""
        return self._tokens_at(now_ms) / PREFILL_DECAY_MS

    def _tokens_at(self, now_ms: int) -> float:
        age_ms = now_ms - self._at_ms
        return self._tokens * math.exp(-age_ms / PREFILL_DECAY_MS)


@dataclasses.dataclass(slots=True, kw_only=True)
class ServerMemory:
    """What a daemon knows of the memory of one engine's process.

    Attributes:
        measured_at_ms: Time of its last report with memory; -1 without one.
        total_tokens: All of its memory; 0 if not reported.
        reserved_tokens: Memory that is held or pinned, and does not become
            free when requests end.
        unattributed_tokens: Memory in that report that belongs to no request
            which this daemon counts by itself.
        waiting_tokens: Memory that its first waiting request needs, beyond
            what the waiting requests known to this daemon need.
        announced: Requests of other daemons.
        kept_for: Id of the held request for which this daemon keeps the
            engine's memory free; empty for none.
        prefill_rate: Rate of the tokens prefilled there.
    """

    measured_at_ms: int = -1
    total_tokens: int = 0
    reserved_tokens: int = 0
    unattributed_tokens: int = 0
    waiting_tokens: int = 0
    announced: list[AnnouncedOccupant] = dataclasses.field(default_factory=list)
    kept_for: str = ""
    prefill_rate: PrefillRate = dataclasses.field(default_factory=PrefillRate)


@dataclasses.dataclass(slots=True)
class Residence:
    """How long requests of a target occupy memory, learned from their ends.

    Attributes:
        ms_per_token: Time to generate a token that was expected.
        long_ms: Time from sending a long prompt to the end of its answer.
    """

    ms_per_token: float = DEFAULT_MS_PER_TOKEN
    long_ms: float = DEFAULT_RESIDENCE_MS

    def add(self, occupant: Occupant, *, took_ms: int, is_long: bool) -> None:
        """Learns from a request that has ended.

        Args:
            occupant: Its memory.
            took_ms: Time from sending it to its end.
            is_long: Whether its prompt is a long one.
        """
        if occupant.generated_tokens:
            generating_ms = max(0.0, took_ms - occupant.first_token_ms)
            self.ms_per_token += SMOOTHING_FACTOR * (
                generating_ms / occupant.generated_tokens - self.ms_per_token
            )
        if is_long:
            self.long_ms += SMOOTHING_FACTOR * (took_ms - self.long_ms)


@dataclasses.dataclass(slots=True)
class Hold:
    """A request that this daemon holds until its memory is free.

    Attributes:
        priority: Priority of the request.
        reserve_at_ms: When to keep an engine free for it.
        send_at_ms: When to send it in any case.
        server_id: The engine that is kept free; empty for none.
        claim_at_ms: When to announce its memory to other daemons next.
    """

    request_id: str
    priority: int
    reserve_at_ms: int
    send_at_ms: int
    server_id: str = ""
    claim_at_ms: int = 0


def blocks(tokens: float) -> int:
    """Returns the memory allocated for some tokens."""
    return math.ceil(tokens / BLOCK_TOKENS) * BLOCK_TOKENS


def full_blocks(tokens: int) -> int:
    """Returns the memory of a part that several requests can use.

    A block that a part fills only partly also holds what follows that part.
    """
    return tokens // BLOCK_TOKENS * BLOCK_TOKENS


__all__ = [
    "CLAIM_EXPIRES_MS",
    "CLAIM_INTERVAL_MS",
    "AnnouncedOccupant",
    "Hold",
    "Occupant",
    "PrefillRate",
    "Residence",
    "ServerMemory",
    "blocks",
    "full_blocks",
]

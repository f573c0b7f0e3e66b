"""Queue of the core's effects for one caller's connection."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

from godwittack.core import effects

if TYPE_CHECKING:
    from godwittack.backend import protocol

MAX_BUFFERED_FRAMES = 256
MAX_BUFFERED_BYTES = 64 << 10


class CallerMemory(Protocol):
    """Memory for one request and its answer."""

    async def take_answer(self, size_bytes: int) -> None:
        """Takes memory for a part of an answer, once there is some."""

    def begin_stall(self) -> None:
        """Takes memory for a stream that its caller doesn't read."""

    def end_stall(self) -> None:
        """Gives that memory back."""

    def release(self) -> None:
        """Gives all memory back."""


class Caller:
    """Queue of effects between the core and one caller's connection.

    A caller that reads slowly fills the queue. `wait_for_room` then pauses
    reading of that caller's stream from the engine, so that memory stays
    bounded and no other caller waits.
    """

    def __init__(
        self, call: protocol.Call, memory: CallerMemory | None = None
    ) -> None:
        """Keeps the call until the core forgets the request.

        Args:
            call: The call.
            memory: Its memory, released once nothing holds the call any more;
                None if it takes none.
        """
        self.call = call
        self._memory = memory
        # The caller's connection, and the runtime until the request has ended.
        self._holders = 2
        self._effects: asyncio.Queue[effects.Effect] = asyncio.Queue()
        self._buffered_frames = 0
        self._buffered_bytes = 0
        self._has_room = asyncio.Event()

    def hold(self) -> None:
        """Adds a holder of the call."""
        self._holders += 1

    def release(self) -> None:
        """Removes a holder of the call."""
        self._holders -= 1
        if not self._holders and self._memory is not None:
            self._memory.release()

    def put(self, effect: effects.Effect) -> None:
        """Adds an effect."""
        if isinstance(effect, effects.Relay):
            self._buffered_frames += len(effect.frames)
            self._buffered_bytes += _size(effect)
        self._effects.put_nowait(effect)

    async def get(self) -> effects.Effect:
        """Waits for the next effect."""
        effect = await self._effects.get()
        if isinstance(effect, effects.Relay):
            self._buffered_frames -= len(effect.frames)
            self._buffered_bytes -= _size(effect)
            if not self._is_full:
                self._has_room.set()
        return effect

    async def wait_for_room(self) -> None:
        """Waits until the queue is below its limits."""
        if not self._is_full:
            return
        if self._memory is not None:
            self._memory.begin_stall()
        try:
            while self._is_full:
                self._has_room.clear()
                await self._has_room.wait()
        finally:
            if self._memory is not None:
                self._memory.end_stall()

    async def take_answer(self, size_bytes: int) -> None:
        """Waits for memory for a part of a plain answer."""
        if self._memory is not None:
            await self._memory.take_answer(size_bytes)

    @property
    def _is_full(self) -> bool:
        return (
            self._buffered_frames >= MAX_BUFFERED_FRAMES
            or self._buffered_bytes >= MAX_BUFFERED_BYTES
        )


def _size(relay: effects.Relay) -> int:
    return sum(len(frame.data) for frame in relay.frames)


__all__ = ["MAX_BUFFERED_FRAMES", "Caller", "CallerMemory"]

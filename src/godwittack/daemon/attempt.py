"""Converts the events of one attempt into inputs of the core."""

from __future__ import annotations

from typing import TYPE_CHECKING

from godwittack.core import inputs

if TYPE_CHECKING:
    from collections.abc import Callable

    from godwittack.backend import signals
    from godwittack.clock import Clock
    from godwittack.core import work
    from godwittack.daemon import caller as callers


class CoreSink:
    """Implements `AttemptSink` for one attempt."""

    def __init__(
        self,
        *,
        attempt_id: str,
        caller: callers.Caller,
        submit: Callable[[inputs.Input], None],
        clock: Clock,
    ) -> None:
        """Submits inputs for `attempt_id`."""
        self._attempt_id = attempt_id
        self._caller = caller
        self._submit = submit
        self._clock = clock

    def opened(
        self,
        echoed_request: str,
        stamp: work.Stamp | None,
        head: work.Head | None = None,
    ) -> None:
        """Reports that the head of a stream has arrived."""
        self._submit(
            inputs.AttemptOpened(
                self._clock.now_ms(),
                self._attempt_id,
                echoed_request,
                stamp,
                head,
            )
        )

    def usage(self, *, prompt: int, cached: int, generated: int) -> None:
        """Reports the token usage that the engine returned."""
        self._submit(
            inputs.UsageReported(
                self._clock.now_ms(),
                self._attempt_id,
                prompt,
                cached,
                generated,
            )
        )

    async def frames(self, frames: tuple[work.Frame, ...]) -> None:
        """Submits frames, then waits until the caller has read enough."""
        self._submit(
            inputs.FramesArrived(self._clock.now_ms(), self._attempt_id, frames)
        )
        await self._caller.wait_for_room()

    async def make_room(self, size_bytes: int) -> None:
        """Waits for memory for a part of a plain answer."""
        await self._caller.take_answer(size_bytes)

    def answer(
        self,
        echoed_request: str,
        answer: work.Answer,
        stamp: work.Stamp | None,
    ) -> None:
        """Reports a complete answer."""
        self._submit(
            inputs.AnswerArrived(
                self._clock.now_ms(),
                self._attempt_id,
                echoed_request,
                answer,
                stamp,
            )
        )

    def signals(
        self, reported: signals.ServerSignals, *, may_lift_limit: bool
    ) -> None:
        """Does nothing: the backend client has passed them to the core."""

    def failed(
        self,
        phase: inputs.FailurePhase,
        cause: inputs.FailureCause,
        detail: str,
    ) -> None:
        """Reports that the attempt ended without an answer."""
        self._submit(
            inputs.AttemptFailed(
                self._clock.now_ms(), self._attempt_id, phase, cause, detail
            )
        )


__all__ = ["CoreSink"]

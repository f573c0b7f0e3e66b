"""Real processes: clients that keep to no limit end no daemon."""

from __future__ import annotations

import asyncio

from cluster import crowd
from cluster import platform as platforms
from soak import crowds as soak

# Descriptors of a small machine.
FEW_DESCRIPTORS = 400
SECONDS = 4.0


async def _play(
    kind: str, clients: int, *, descriptors: int = crowd.DESCRIPTORS
) -> None:
    """Plays a crowd, and checks its daemon during it and afterwards."""
    async with platforms.Platform(
        settings=f"memory_mb: {crowd.MEMORY_MB}", descriptors=descriptors
    ) as made:
        crowd.allow_long_bodies(made, 2)
        crowd.answer_long(made)
        await _until_served(made)
        peak = crowd.Peak()
        watch = asyncio.create_task(peak.watch(made))
        await crowd.Crowd(made, kind, clients=clients, seconds=SECONDS).play()
        watch.cancel()
        assert made.processes[0].returncode is None, made.log()[-2_000:]
        crowd.check_bounds(peak, descriptors)
        await _until_served(made)


async def _until_served(made: platforms.Platform) -> None:
    async def is_served() -> bool:
        status, _, _ = await made.call("release", "ordinary")
        return status == 200

    await platforms.until("an ordinary request is served", is_served)


async def large_chunks_stop_short_of_the_end() -> None:
    """Guards against a daemon ended for the memory of unfinished bodies."""
    await _play("large chunks", 100)


async def tiny_chunks_without_end() -> None:
    """Guards against a daemon whose event loop only decodes chunks."""
    await _play("tiny chunks", 100)


async def bodies_stop_short_of_their_length() -> None:
    """Guards against bodies of a stated length that are never complete."""
    await _play("bodies short of their length", 100)


async def expected_continuations_stop_short_of_the_end() -> None:
    """Guards against unfinished bodies of clients that announce them."""
    await _play("expected continuations", 100)


async def chunk_extensions_without_end() -> None:
    """Guards against connections kept by framing that never ends."""
    await _play("chunk extensions", 300, descriptors=FEW_DESCRIPTORS)


async def trailers_without_end() -> None:
    """Guards against trailers that are kept until the body times out."""
    await _play("trailers", 40)


async def header_lines_without_end() -> None:
    """Guards against heads that are counted only once they are complete."""
    await _play("header lines", 100)


async def one_header_without_end() -> None:
    """Guards against a header that is limited only as a line."""
    await _play("one header", 40)


async def request_lines_without_end() -> None:
    """Guards against a request line that is limited only as a line."""
    await _play("request lines", 40)


async def unfinished_heads_of_long_lines() -> None:
    """Guards against heads within all limits on lines and their number."""
    await _play("unfinished heads", 60)


async def empty_lines_before_a_request() -> None:
    """Guards against connections kept by bytes that are no request."""
    await _play("empty lines", 300, descriptors=FEW_DESCRIPTORS)


async def long_answers_are_read_slowly() -> None:
    """Guards against whole answers held for each slow caller."""
    await _play("long answers", 30)


async def streams_are_read_slowly() -> None:
    """Guards against events and buffers held for each slow caller."""
    await _play("streams", 100)


async def pipelined_requests_whose_answers_are_not_read() -> None:
    """Guards against requests read far ahead of the one that is answered."""
    await _play("pipelined bodies", 50)


async def bodies_sent_on_after_a_refusal() -> None:
    """Guards against bodies that are read on without a limit."""
    await _play("refused bodies", 100)


async def connections_that_send_nothing() -> None:
    """Guards against a daemon without descriptors for its servers."""
    await _play("silence", 300, descriptors=FEW_DESCRIPTORS)


async def heads_without_end_at_the_directory() -> None:
    """Guards against a listener whose heads have no limit."""
    await _play("directory", 100)


async def heads_without_end_at_the_ready_address() -> None:
    """Guards against a listener whose heads have no limit."""
    await _play("ready", 100)


async def heads_without_end_at_the_control_address() -> None:
    """Guards against memory held for clients that are no daemon."""
    await _play("control", 100)


async def heads_without_end_at_the_metrics_address() -> None:
    """Guards against a listener whose heads have no limit."""
    await _play("metrics", 100)


async def a_short_session_of_crowds_and_faults() -> None:
    """Guards against crowds beside kills, stops, pauses and changes.

    Plays one seed of the soak, of which fifty are played by hand.
    """
    findings = await soak.Session(seed=1).play()
    assert not findings.broken, findings

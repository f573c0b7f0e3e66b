"""Stand-in for a model engine with a bounded prefix cache."""

from __future__ import annotations

import argparse
import asyncio
import collections
import dataclasses
import json
import random
import secrets
import time

from aiohttp import web

from standins import faults

FINISHED_STREAM_KEEP_S = 10.0


@dataclasses.dataclass
class Stream:
    """One generation with the frames produced so far."""

    stamp: dict[str, str]
    frames: list[bytes] = dataclasses.field(default_factory=list)
    done: bool = False
    changed: asyncio.Condition = dataclasses.field(
        default_factory=asyncio.Condition
    )
    task: asyncio.Task | None = None


class Engine:
    """Prefills one prompt at a time, decodes several, caches prompt levels."""

    def __init__(self, options: argparse.Namespace) -> None:
        self.options = options
        self.faults = faults.Faults()
        self.random = random.Random(options.seed)
        self.weights = options.weights
        self.leaving = False
        self.fencing = 0
        self.orders: list[dict] = []
        self.runs = 0
        self.cancelled = 0
        self.last_headers: list[list[str]] = []
        self.reports: collections.deque[tuple[float, dict]] = collections.deque(
            maxlen=100
        )
        self.start_empty()

    def start_empty(self) -> None:
        """Starts a new incarnation with an empty cache."""
        self.incarnation = secrets.token_hex(4)
        self.cache: collections.OrderedDict[int, int] = (
            collections.OrderedDict()
        )
        self.streams: dict[str, Stream] = {}
        self.events: list[dict] = []
        self.sequence = 0
        self.waiting_tokens = 0
        self.waiting = 0
        self.running = 0
        self.prefill = asyncio.Lock()
        self.slots = asyncio.Semaphore(self.options.slots)

    def app(self) -> web.Application:
        """Returns the HTTP application."""
        app = web.Application(
            middlewares=[self.faults.middleware], client_max_size=64 << 20
        )
        app.add_routes(
            [
                web.post("/v1/chat/completions", self.generate),
                web.post("/v1/completions", self.generate),
                web.get("/v1/streams/{stream}", self.resume),
                web.delete("/v1/streams/{stream}", self.cancel),
                web.get("/load", self.load),
                web.get("/cache/events", self.cache_events),
                web.post("/orders", self.order),
                web.get("/kv/{key}", self.export_kv),
                web.post("/kv", self.import_kv),
                web.post("/fault", self.faults.set_fault),
                web.post("/fault/leave", self.leave),
                web.post("/fault/restart", self.restart),
                web.post("/fault/weights", self.set_weights),
                web.get("/fault/counts", self.counts),
            ]
        )
        return app

    async def generate(self, request: web.Request) -> web.StreamResponse:
        """Serves a generation, streamed or as one answer."""
        body = await request.json()
        self.last_headers = [[k.lower(), v] for k, v in request.headers.items()]
        if self.leaving:
            return web.Response(status=503)
        self.runs += 1
        name = request.headers.get("x-stream-id", secrets.token_hex(4))
        levels = [
            tuple(map(int, pair.split(":")))
            for pair in request.headers.get("x-cache-levels", "").split(",")
            if pair
        ]
        stamp = {
            "x-workspace": request.headers.get("x-workspace", ""),
            "x-model": body["model"],
            "x-weights-version": self.weights,
            "x-incarnation": self.incarnation,
            "x-stream-id": name,
        }
        if self.faults.consume("wrong_echo"):
            stamp["x-stream-id"] = "another-request"
        tokens = int(body.get("max_tokens") or 16)
        stream = self.streams[name] = Stream(stamp)
        cached, uncached = self._count_cached(levels)
        headers = {
            **stamp,
            "x-prompt-tokens": str(cached + uncached),
            "x-cached-tokens": str(cached),
        }
        if not body.get("stream"):
            await self._prefill(levels, uncached)
            await asyncio.sleep(tokens * self.options.decode_ms / 1000)
            return web.json_response(
                _completion(body["model"], tokens, cached, uncached),
                headers=headers,
            )
        stream.task = asyncio.create_task(
            self._produce(stream, body["model"], tokens, levels, uncached)
        )
        return await self._send_stream(request, stream, headers, 0)

    async def resume(self, request: web.Request) -> web.StreamResponse:
        """Continues a stream after the last frame that the client has."""
        stream = self.streams.get(request.match_info["stream"])
        if stream is None:
            return web.Response(status=410)
        after = int(request.headers.get("last-event-id", "0"))
        return await self._send_stream(request, stream, stream.stamp, after)

    async def cancel(self, request: web.Request) -> web.Response:
        """Cancels a stream."""
        stream = self.streams.pop(request.match_info["stream"], None)
        if stream and stream.task:
            stream.task.cancel()
            self.cancelled += 1
        return web.json_response({})

    async def load(self, request: web.Request) -> web.Response:
        """Returns a load report that lags by `load_lag_ms`."""
        del request
        now = time.monotonic()
        report = {
            "incarnation": self.incarnation,
            "weights_version": self.weights,
            "running": self.running,
            "waiting": self.waiting,
            "waiting_tokens": self.waiting_tokens,
            "prefill_us_per_token": self.options.prefill_us,
            "slots": self.options.slots,
            "leaving": self.leaving,
        }
        self.reports.append((now, report))
        while (
            len(self.reports) > 1
            and now - self.reports[1][0] >= self.options.load_lag_ms / 1000
        ):
            self.reports.popleft()
        lagged_report = self.reports[0][1]
        if self.faults.values.get("hide_state"):
            return web.Response(status=500)
        # Incarnation, weights and leaving are current in every report.
        return web.json_response(
            {
                **lagged_report,
                "incarnation": self.incarnation,
                "weights_version": self.weights,
                "leaving": self.leaving,
            }
        )

    async def cache_events(self, request: web.Request) -> web.Response:
        """Returns events after a sequence number, delayed and with gaps."""
        after = int(request.query.get("after", "0"))
        due = time.monotonic() - self.options.event_lag_ms / 1000
        for _ in range(20):
            ready = [
                event
                for event in self.events
                if event["sequence"] > after and event["at"] <= due
            ]
            if ready:
                break
            await asyncio.sleep(0.05)
            due = time.monotonic() - self.options.event_lag_ms / 1000
        return web.json_response(
            {
                "incarnation": self.incarnation,
                "weights_version": self.weights,
                "oldest": self.events[0]["sequence"] if self.events else 0,
                "events": [
                    {k: e[k] for k in ("sequence", "kind", "level_key")}
                    for e in ready
                ],
            }
        )

    async def order(self, request: web.Request) -> web.Response:
        """Loads weights; refuses an old fencing number if it checks them."""
        order = await request.json()
        if self.options.check_fencing and order["fencing"] < self.fencing:
            return web.Response(status=409)
        self.fencing = max(self.fencing, order["fencing"])
        self.orders.append(order)
        await asyncio.sleep(self.options.load_weights_ms / 1000)
        self._set_weights(order["value"])
        return web.json_response({})

    async def export_kv(self, request: web.Request) -> web.Response:
        """Returns a level's cached state with its stamp."""
        key = int(request.match_info["key"])
        if key not in self.cache:
            return web.Response(status=404)
        return web.json_response(
            {
                "key": key,
                "tokens": self.cache[key],
                "weights_version": self.weights,
                "incarnation": self.incarnation,
            }
        )

    async def import_kv(self, request: web.Request) -> web.Response:
        """Imports cached state if it was computed with the same weights."""
        state = await request.json()
        if state["weights_version"] != self.weights:
            return web.Response(status=409)
        self._store(state["key"], state["tokens"])
        return web.json_response({})

    async def leave(self, request: web.Request) -> web.Response:
        """Marks the engine as leaving."""
        del request
        self.leaving = True
        return web.json_response({})

    async def restart(self, request: web.Request) -> web.Response:
        """Simulates a crash and restart with an empty cache."""
        del request
        for stream in self.streams.values():
            if stream.task:
                stream.task.cancel()
            async with stream.changed:
                stream.done = True
                stream.changed.notify_all()
        self.start_empty()
        self.leaving = False
        return web.json_response({"incarnation": self.incarnation})

    async def set_weights(self, request: web.Request) -> web.Response:
        """Changes the weights at once, without an order of a daemon."""
        self._set_weights((await request.json())["value"])
        return web.json_response({})

    async def counts(self, request: web.Request) -> web.Response:
        """Returns the engine's counters and state."""
        del request
        return web.json_response(
            {
                "runs": self.runs,
                "cancelled": self.cancelled,
                "orders": self.orders,
                "incarnation": self.incarnation,
                "weights": self.weights,
                "headers": self.last_headers,
                "open": sum(not s.done for s in self.streams.values()),
            }
        )

    def _set_weights(self, version: str) -> None:
        self.weights = version
        self.cache.clear()
        self._record_event("cleared", 0)

    async def _produce(self, stream, model, tokens, levels, uncached) -> None:
        await self._prefill(levels, uncached)
        async with self.slots:
            self.running += 1
            try:
                for number in range(1, tokens + 1):
                    if not self.faults.values.get("fast"):
                        await asyncio.sleep(self.options.decode_ms / 1000)
                    await _append_frame(stream, _chunk(model, number, tokens))
                await _append_frame(stream, b"data: [DONE]\n\n", done=True)
            finally:
                self.running -= 1
        await asyncio.sleep(FINISHED_STREAM_KEEP_S)
        self.streams.pop(stream.stamp["x-stream-id"], None)

    async def _prefill(self, levels, uncached: int) -> None:
        self.waiting += 1
        self.waiting_tokens += uncached
        async with self.prefill:
            await asyncio.sleep(uncached * self.options.prefill_us / 1e6)
        self.waiting -= 1
        self.waiting_tokens -= uncached
        for key, tokens in levels:
            self._store(key, tokens)

    async def _send_stream(
        self, request: web.Request, stream: Stream, headers, after: int
    ) -> web.StreamResponse:
        started_ns = time.monotonic_ns()
        response = web.StreamResponse(
            headers={**headers, "content-type": "text/event-stream"}
        )
        await response.prepare(request)
        number = after
        while True:
            async with stream.changed:
                while number >= len(stream.frames) and not stream.done:
                    await stream.changed.wait()
            if number >= len(stream.frames):
                if not stream.frames or b"[DONE]" not in stream.frames[-1]:
                    request.transport.abort()
                return response
            if self.faults.silent_since > started_ns:
                await asyncio.sleep(3600)
            number += 1
            await self._write_frame(request, response, number, stream)

    async def _write_frame(self, request, response, number, stream) -> None:
        frame = b"id: %d\n" % number + stream.frames[number - 1]
        if self.faults.values.get("cut_at") == number:
            self.faults.values["cut_at"] = 0
            request.transport.abort()
            return
        if self.faults.values.get("skip_at") == number:
            self.faults.values["skip_at"] = 0
            return
        await response.write(frame)
        if self.faults.values.get("double"):
            await response.write(frame)

    def _count_cached(self, levels) -> tuple[int, int]:
        cached = 0
        total = sum(tokens for _, tokens in levels)
        for key, tokens in levels:
            if key not in self.cache:
                break
            self.cache.move_to_end(key)
            cached += tokens
        return cached, total - cached

    def _store(self, key: int, tokens: int) -> None:
        if key not in self.cache:
            self._record_event("stored", key)
        self.cache[key] = tokens
        self.cache.move_to_end(key)
        while sum(self.cache.values()) > self.options.cache_tokens:
            old, _ = self.cache.popitem(last=False)
            self._record_event("removed", old)

    def _record_event(self, kind: str, key: int) -> None:
        self.sequence += 1
        if self.random.random() < self.options.event_loss:
            return
        self.events.append(
            {
                "sequence": self.sequence,
                "kind": kind,
                "level_key": key,
                "at": time.monotonic(),
            }
        )
        del self.events[:-10_000]


async def _append_frame(
    stream: Stream, data: bytes, *, done: bool = False
) -> None:
    async with stream.changed:
        stream.frames.append(data)
        stream.done = done
        stream.changed.notify_all()


def _chunk(model: str, number: int, total: int) -> bytes:
    choice = {
        "index": 0,
        "delta": {"content": f"t{number} "},
        "finish_reason": "stop" if number == total else None,
    }
    body = {
        "id": "gen",
        "object": "chat.completion.chunk",
        "created": 0,
        "model": model,
        "choices": [choice],
    }
    return b"data: " + json.dumps(body).encode() + b"\n\n"


def _completion(model: str, tokens: int, cached: int, uncached: int) -> dict:
    text = "".join(f"t{n} " for n in range(1, tokens + 1))
    return {
        "id": "gen",
        "object": "chat.completion",
        "created": 0,
        "model": model,
        "choices": [
            {
                "index": 0,
                "message": {"role": "assistant", "content": text},
                "finish_reason": "stop",
            }
        ],
        "usage": {
            "prompt_tokens": cached + uncached,
            "completion_tokens": tokens,
            "total_tokens": cached + uncached + tokens,
            "prompt_tokens_details": {"cached_tokens": cached},
        },
    }


def main() -> None:
    """Runs the stand-in."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--weights", default="1")
    parser.add_argument("--cache-tokens", type=int, default=100_000)
    parser.add_argument("--prefill-us", type=int, default=100)
    parser.add_argument("--decode-ms", type=float, default=10.0)
    parser.add_argument("--slots", type=int, default=16)
    parser.add_argument("--load-lag-ms", type=int, default=300)
    parser.add_argument("--event-lag-ms", type=int, default=100)
    parser.add_argument("--event-loss", type=float, default=0.0)
    parser.add_argument("--load-weights-ms", type=int, default=300)
    parser.add_argument("--check-fencing", action="store_true")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()

    async def build() -> web.Application:
        return Engine(options).app()

    faults.run(build(), options.port)


if __name__ == "__main__":
    main()

"""Instruments fed from the core's events, and gauges read on demand."""

from __future__ import annotations

import resource
from typing import TYPE_CHECKING

import prometheus_client
from opentelemetry import metrics as api
from opentelemetry.exporter import prometheus
from opentelemetry.sdk import metrics as sdk

from godwittack.core import silence, uneven, weights
from godwittack.peer import traffic

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from godwittack.core import effects, entities


class Meters:
    """All instruments of one daemon.

    Attributes:
        peer_traffic: Counts messages to and from other daemons.
    """

    def __init__(self, world: entities.World) -> None:
        """Creates the instruments; gauges read from `world`."""
        reader = prometheus.PrometheusMetricReader()
        provider = sdk.MeterProvider(metric_readers=[reader])
        meter = provider.get_meter("godwittack")
        self._provider = provider
        self._requests = meter.create_counter(
            "godwittack_requests", description="Requests by outcome"
        )
        self._first_token = meter.create_histogram(
            "godwittack_first_token_ms", unit="ms"
        )
        self._tokens = meter.create_counter(
            "godwittack_prompt_tokens", description="By source"
        )
        self._retries = meter.create_counter("godwittack_retries")
        self._resumptions = meter.create_counter(
            "godwittack_resumptions",
            description="Streams resumed, by how their version was known",
        )
        self._relayed = meter.create_counter(
            "godwittack_relayed",
            description="Attempts passed on for other daemons, by outcome",
        )
        self._remote_placements = meter.create_counter(
            "godwittack_remote_placements",
            description="Attempts sent to another failure domain",
        )
        self._weights_orders = meter.create_histogram(
            "godwittack_weights_order_ms",
            unit="ms",
            description="Orders to load weights, by outcome and time to it",
        )
        # Counted there for each message and read on demand: calling a counter
        # instrument takes as long as reading the message.
        self.peer_traffic = traffic.PeerTraffic()
        meter.create_observable_counter(
            "godwittack_peer_bytes",
            callbacks=[_gauge_callback(lambda: self.peer_traffic.total_bytes)],
            unit="By",
        )
        for name, read_kind in _traffic_counters().items():
            meter.create_observable_counter(
                name, callbacks=[_kind_callback(self.peer_traffic, read_kind)]
            )
        meter.create_observable_counter(
            "godwittack_peer_failed", callbacks=[self._observe_failed]
        )
        self._meter = meter
        for name, read in _gauges(world).items():
            self.add_gauge(name, read)
        for name, read_pace in _server_gauges(world).items():
            meter.create_observable_gauge(
                name, callbacks=[_server_gauge_callback(world, read_pace)]
            )

    def add_gauge(self, name: str, read: Callable[[], float]) -> None:
        """Adds a gauge that calls `read` at each collection."""
        self._meter.create_observable_gauge(
            name, callbacks=[_gauge_callback(read)]
        )

    def record_event(self, event: effects.Event) -> None:
        """Updates the instruments with one event of the core."""
        fields = {field.key: field.value for field in event.fields}
        labels = {"workspace": str(fields.get("workspace", ""))}
        match event.name:
            case "finished":
                outcome = "late" if fields["late"] else "in_time"
                self._requests.add(1, {**labels, "outcome": outcome})
            case "refused" | "stream_broken":
                outcome = str(fields["reason"])
                self._requests.add(1, {**labels, "outcome": outcome})
            case "first_token":
                self._first_token.record(float(fields["after_ms"]), labels)
            case "stream_resumed":
                self._resumptions.add(1, {"source": "same_answer"})
            case "stream_version":
                self._resumptions.add(1, {"source": str(fields["source"])})
            case "relayed":
                outcome = str(fields["outcome"]).partition(":")[0]
                self._relayed.add(1, {"outcome": outcome})
            case "placed" if fields.get("remote"):
                self._remote_placements.add(1, labels)
            case "retried":
                self._retries.add(1, labels)
            case "usage":
                self._count_tokens(fields, labels)

    def record_weights_order(self, *, outcome: str, after_ms: int) -> None:
        """Records the outcome and duration of an order to load weights."""
        self._weights_orders.record(after_ms, {"outcome": outcome})

    def _observe_failed(
        self, _: api.CallbackOptions
    ) -> Iterable[api.Observation]:
        return [
            api.Observation(count, {"kind": kind, "waited_for": phase})
            for kind, counts in self.peer_traffic.by_kind.items()
            for phase, count in counts.failed.items()
        ]

    def exposition(self) -> bytes:
        """Returns all metrics in Prometheus' text format."""
        return prometheus_client.generate_latest()

    def close(self) -> None:
        """Shuts down the export."""
        self._provider.shutdown()

    def _count_tokens(
        self, fields: dict[str, str | int | float], labels: dict[str, str]
    ) -> None:
        for source in ("prompt", "cached", "wasted"):
            amount = int(fields[f"{source}_tokens"])
            self._tokens.add(amount, {**labels, "source": source})


def _gauges(world: entities.World) -> dict[str, Callable[[], float]]:
    return {
        "godwittack_queued": lambda: world.queued_count(),
        "godwittack_held_for_memory": lambda: sum(
            map(len, world.memory_holds.values())
        ),
        "godwittack_engines_kept_free": lambda: sum(
            bool(server.memory.kept_for) for server in world.servers.values()
        ),
        "godwittack_in_flight": lambda: len(world.requests),
        "godwittack_limited_servers": lambda: sum(
            server.rate_limit is not None for server in world.servers.values()
        ),
        "godwittack_leaving_servers": lambda: sum(
            server.leaving for server in world.servers.values()
        ),
        "godwittack_lost_paths": lambda: sum(
            server.path_lost_at_ms > 0 for server in world.servers.values()
        ),
        "godwittack_silent_attempts": lambda: len(
            silence.silent_attempts(world)
        ),
        "godwittack_silent_longest_ms": lambda: silence.longest_wait_ms(world),
        "godwittack_brittle_servers": lambda: sum(
            server.max_rejected_per_s is not None
            for server in world.servers.values()
        ),
        "godwittack_resting_servers": lambda: sum(
            server.rest_until_ms > world.now_ms
            for server in world.servers.values()
        ),
        "godwittack_idle_connections": lambda: sum(
            server.idle_connections for server in world.servers.values()
        ),
        "godwittack_quarantined": lambda: len(world.quarantine),
        "godwittack_retry_tokens": lambda: min(
            (budget.tokens for budget in world.target_budgets.values()),
            default=-1.0,
        ),
        "godwittack_retry_daemons": lambda: world.max_expected_daemons,
        "godwittack_table_version": lambda: world.table.version,
        "godwittack_prefill_us_per_token": lambda: max(
            (
                prefill_cost.us_per_token
                for prefill_cost in world.prefill_costs.values()
            ),
            default=0.0,
        ),
        "godwittack_live_daemons": lambda: len(world.live_daemons),
        "godwittack_short_prompt_engines": lambda: sum(
            len(mix.short_engines) for mix in world.prompt_mixes.values()
        ),
        "godwittack_unstored_outcomes": lambda: len(world.outcomes),
        "godwittack_weights_oldest_ms": lambda: max(
            (
                weights.longest_outdated_ms(world, name)
                for name in world.table.models
            ),
            default=-1,
        ),
        "godwittack_servers_behind": lambda: sum(
            weights.outdated_for_ms(world, server) >= 0
            for server in world.servers.values()
        ),
        "godwittack_cpu_seconds": _cpu_seconds,
    }


def _traffic_counters() -> dict[str, Callable[[traffic.Counts], int]]:
    return {
        "godwittack_peer_messages": lambda counts: counts.messages,
        "godwittack_peer_opened": lambda counts: counts.opened,
        "godwittack_peer_kind_bytes": lambda counts: counts.size_bytes,
    }


def _kind_callback(
    messages: traffic.PeerTraffic, read: Callable[[traffic.Counts], int]
) -> Callable[[api.CallbackOptions], Iterable[api.Observation]]:
    """Returns a callback that observes each kind of message."""

    def observe(_: api.CallbackOptions) -> Iterable[api.Observation]:
        return [
            api.Observation(read(counts), {"kind": kind})
            for kind, counts in messages.by_kind.items()
        ]

    return observe


def _server_gauges(
    world: entities.World,
) -> dict[str, Callable[[entities.ServerRow], float]]:
    return {
        "godwittack_server_base_pace": lambda server: server.pace.base,
        "godwittack_server_momentary_pace": lambda server: (
            server.pace.momentary(world.now_ms)
        ),
    }


def _server_gauge_callback(
    world: entities.World, read: Callable[[entities.ServerRow], float]
) -> Callable[[api.CallbackOptions], Iterable[api.Observation]]:
    """Returns a callback that observes each server of an uneven target."""

    def observe(_: api.CallbackOptions) -> Iterable[api.Observation]:
        return [
            api.Observation(read(server), {"server": server.server_id})
            for server in world.servers.values()
            if uneven.is_uneven(world, server.target)
        ]

    return observe


def _cpu_seconds() -> float:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


def _gauge_callback(
    read: Callable[[], float],
) -> Callable[[api.CallbackOptions], Iterable[api.Observation]]:
    def observe(_: api.CallbackOptions) -> Iterable[api.Observation]:
        return [api.Observation(read())]

    return observe


__all__ = ["Meters"]

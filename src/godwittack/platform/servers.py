"""Encodes requests to backend servers and decodes their responses."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING

from godwittack.backend import (
    headers,
    json_fields,
    json_items,
    protocol,
    routed,
    signals,
)
from godwittack.core import incarnation, inputs
from godwittack.placement import levels
from godwittack.platform import names, wire

if TYPE_CHECKING:
    from collections.abc import Callable

    from godwittack.backend import connection
    from godwittack.core import effects

STATUS_OTHER_INSTANCE = 421
EVENTS_WAIT_MS = 1_000
_SIGNALS = signals.SignalHeaders(
    load=names.LOAD,
    rate_limit=names.RATE_LIMITS,
    leaving=names.LEAVING,
    not_run=names.NOT_RUN,
    brittle=names.BRITTLE,
)


class _Report(wire.StrictBody):
    # Start time in Unix milliseconds; absent if the server does not report it.
    born: json_fields.StartTime = 0
    models: json_fields.Items[wire.LoadedModel] = ()
    queue_depth: json_fields.Requests = 0
    running: json_fields.Requests = 0
    # Number of orders accepted since the server started.
    sequence: int = -1
    # Whether an order is being executed, not whether requests run.
    busy: bool = False
    state: object = ""
    # Memory in tokens: what can't be evicted, all, held and pinned.
    kv_used: json_fields.OptionalCount = None
    kv_total: json_fields.OptionalCount = None
    held: json_fields.OptionalCount = None
    pinned: json_fields.OptionalCount = None
    # Tokens of the first waiting request.
    next: json_fields.OptionalCount = None


class _Events(wire.StrictBody):
    # Start time in Unix milliseconds; absent if the server does not report it.
    born: json_fields.StartTime = 0
    # Changes with each restart of the server.
    boot_epoch: int
    next: json_fields.Count
    lost: bool = False
    # Sequence number, "+" or "-", scope, level id, tokens stored now, model.
    events: json_fields.Items[tuple[int, str, str, str, int, str]] = ()


class ServerFormat:
    """Implements `ServerFormat` of `backend/routed.py`."""

    def __init__(self, model_of: Callable[[str], str]) -> None:
        """Uses `model_of` to map a target to the model that it serves."""
        self._model_of = model_of

    def request_head(
        self, dispatch: effects.Dispatch, call: protocol.Call, remaining_ms: int
    ) -> bytes:
        """Returns the request line and headers of one attempt."""
        lines = [f"{call.method} {call.path} HTTP/1.1"]
        lines.extend(f"{h.name}: {h.value}" for h in call.headers)
        if call.body or call.method in ("POST", "PUT", "PATCH"):
            lines.append(f"Content-Length: {len(call.body)}")
        lines.append(f"{names.DEADLINE}: {remaining_ms}")
        lines.append(f"{names.EXPECTED_INSTANCE}: {dispatch.server_id}")
        if dispatch.workspace:
            lines.append(f"{names.WORKSPACE}: {dispatch.workspace}")
        if dispatch.stamp is not None:
            version = dispatch.stamp.weights_version
            lines.append(f"{names.EXPECTED_WEIGHTS}: {version}")
            lines.append(f"{names.CACHE_SCOPE}: {dispatch.cache_scope}")
            lines.append(f"{names.PRIORITY}: {min(9, dispatch.priority)}")
        if dispatch.after:
            lines.append(f"{names.LAST_EVENT_ID}: {dispatch.after}")
        if dispatch.kv_fetch_from:
            lines.append(f"{names.KV_FETCH_FROM}: {dispatch.kv_fetch_from}")
        if dispatch.kv_save_to:
            lines.append(f"{names.KV_SAVE_TO}: {dispatch.kv_save_to}")
        return headers.encode_head(lines)

    def request_ids(self, reply: connection.Reply) -> list[str]:
        """Returns the ids of requests in a response's head."""
        return reply.header_values(names.REQUEST_ID)

    def decline_cause(
        self, reply: connection.Reply, server_id: str
    ) -> inputs.FailureCause | None:
        """Returns why the server did not run the request, or None if it did."""
        if reply.status == STATUS_OTHER_INSTANCE:
            instance = reply.header(names.INSTANCE)
            if instance and instance != server_id:
                return inputs.FailureCause.OTHER_SERVER
            return inputs.FailureCause.REFUSED
        if reply.header(names.NOT_RUN):
            return inputs.FailureCause.REFUSED
        return None

    def read_signals(self, reply: connection.Reply) -> signals.ServerSignals:
        """Returns what a response's headers report about its server."""
        return signals.read(reply, _SIGNALS)

    def load_call(self, address: str, server_id: str) -> routed.ControlCall:
        """Returns the call that requests a server's state report."""
        expected = f"{names.EXPECTED_INSTANCE}: {server_id}"
        head = _control_head(f"GET {names.REPORT_PATH}", address, expected)
        return routed.ControlCall(step="report", head=head)

    def read_load(self, body: bytes, server_id: str) -> protocol.EngineLoad:
        """Decodes a state report; raises ValueError if it is invalid."""
        report = _Report.model_validate_json(body)
        version = str(report.models[0].version) if report.models else ""
        return protocol.EngineLoad(
            incarnation=incarnation.make_name(server_id, report.born),
            weights_version=version,
            running=report.running,
            waiting=report.queue_depth,
            accepted_orders=report.sequence,
            is_executing_order=report.busy,
            leaving=report.state == "draining",
            kv_used_tokens=report.kv_used or 0,
            # With the total alone the engine would seem empty.
            kv_total_tokens=0
            if report.kv_used is None
            else report.kv_total or 0,
            kv_reserved_tokens=(report.held or 0) + (report.pinned or 0),
            next_tokens=report.next or 0,
        )

    def events_call(
        self, address: str, server_id: str, after: int
    ) -> routed.ControlCall:
        """Returns the call that requests cache events."""
        line = f"GET {names.EVENTS_PATH}?since={after}"
        wait = f"{names.EVENTS_WAIT_HEADER}: {EVENTS_WAIT_MS}"
        return routed.ControlCall(
            step="cache events",
            head=_control_head(line, address, wait),
            wait_ms=EVENTS_WAIT_MS,
        )

    def read_events(self, body: bytes, server_id: str) -> protocol.CacheEvents:
        """Decodes cache events; raises ValueError if they are invalid."""
        parsed = json_items.decode(
            _Events, body, items="events", origin=server_id
        ).unwrap_or_raise(ValueError)
        events: list[protocol.CacheEvent] = []
        newest_version = ""
        for number, _, scope, level, tokens, _ in parsed.events:
            version, _, workspace = scope.removeprefix("v").partition("/")
            kind = protocol.CacheEventKind
            # After an eviction of some blocks, the others are still cached.
            event_kind = kind.STORED if tokens > 0 else kind.REMOVED
            events.append(
                protocol.CacheEvent(
                    number,
                    event_kind,
                    levels.key_for_weights(
                        levels.key_for_name(workspace, level), version
                    ),
                    tokens,
                )
            )
            newest_version = version
        return protocol.CacheEvents(
            incarnation=incarnation.make_name(server_id, parsed.born),
            weights_version=newest_version,
            oldest=0,
            events=tuple(events),
            epoch=str(parsed.boot_epoch),
            next_after=parsed.next,
        )

    def order_call(
        self, address: str, order: protocol.Order
    ) -> routed.ControlCall:
        """Returns the call that orders a server to load weights."""
        fields = {
            "operation": "version",
            "model": self._model_of(order.target),
            "version": int(order.value),
            # Running requests finish first; none is interrupted.
            "mode": "queue",
            "holder": order.holder,
            "fencing-token": order.fencing,
        }
        if order.expected_accepted_orders >= 0:
            # The expected number of orders accepted so far, not a state.
            fields["precondition"] = order.expected_accepted_orders
        body = json.dumps(fields).encode()
        head = _control_head(
            f"POST {names.ORDER_PATH}",
            address,
            "Content-Type: application/json",
            f"Content-Length: {len(body)}",
            f"{names.EXPECTED_INSTANCE}: {order.server_id}",
        )
        return routed.ControlCall(step="order", head=head, body=body)


def _control_head(line: str, address: str, *more: str) -> bytes:
    lines = (f"{line} HTTP/1.1", f"Host: {address}", *more)
    return headers.encode_head(lines)


__all__ = ["ServerFormat"]

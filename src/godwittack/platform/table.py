"""Decodes the operator's rows into a table."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pydantic
from result import Err, Ok, Result

from godwittack.backend import json_fields
from godwittack.platform import names, wire
from godwittack.table import forwarding, model

if TYPE_CHECKING:
    from collections.abc import Mapping

    from godwittack.store import protocol

# The version that servers have before one is published.
FIRST_VERSION = "1"


# Unit of a quota that counts tokens; any other one counts requests.
TOKEN_UNIT = "token_count"


class _Split(wire.Body):
    service: str
    weight: int = 1


class _Route(wire.Body):
    name: str
    host: str
    prefix: str
    # Whether requests may run repeatedly, run once only, or stream events.
    type: str
    timeout_ms: int
    target_latency_ms: int = 1_000
    target_gap_ms: int = 1_000
    max_attempts: int = 1
    priority: int = 0
    service: str = ""
    traffic_split: json_fields.Items[_Split] = ()
    allow_anonymous: bool = False
    resumable: bool = False


class _Model(wire.Body):
    name: str


class _Engine(wire.Body):
    slots: int = 16
    kv_capacity_tokens: json_fields.Count = 0
    kv_token_bytes: json_fields.Amount = 0.0
    link_mbps: json_fields.Amount = 0.0
    models: json_fields.Items[_Model] = ()


class _Service(wire.Body):
    name: str
    max_connections: json_fields.Count = 0
    engine: _Engine | None = None
    # Set if the service is a store of cached state, not a backend server.
    kv_store_addr: str = ""
    zone: str = ""
    link_mbps: json_fields.Amount = 0.0


class _Tenant(wire.Body):
    name: str
    api_keys: json_fields.Items[str] = ()
    priority: int | None = None
    isolated: bool = False
    rate_per_s: json_fields.Amount | None = None
    burst: json_fields.Amount | None = None
    unit: str = ""
    uncached_tokens: json_fields.Count | None = None


class _Limits(wire.Body):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4 << 20
    header_timeout_ms: int = 0
    idle_timeout_ms: int = 0


class _Config(wire.Body):
    version: int
    routes: json_fields.Items[_Route] = ()
    services: json_fields.Items[_Service] = ()
    tenants: json_fields.Items[_Tenant] = ()
    limits: _Limits = _Limits()


class _Weights(wire.StrictBody):
    model: str
    version: json_fields.Positive


def weights_from_row(
    row: protocol.ChangedRow,
) -> Result[model.PublishedWeights | None, str]:
    """Decodes a row that publishes weights; None for other rows."""
    if not row.key.startswith(names.WEIGHTS_KEY_PREFIX) or row.deleted:
        return Ok(None)
    try:
        published = _Weights.model_validate_json(row.value)
    except pydantic.ValidationError as error:
        return Err(json_fields.first_error(error))
    if row.key != names.WEIGHTS_KEY_PREFIX + published.model:
        return Err(f"its value is for model {published.model}")
    return Ok(model.PublishedWeights(published.model, str(published.version)))


def table_from_rows(
    rows: Mapping[str, protocol.ChangedRow],
    *,
    version: int,
    weights: Mapping[str, str],
) -> Result[model.Table | None, str]:
    """Decodes the operator's configuration.

    Args:
        rows: Rows by key.
        version: Version of the newest row. It increases with each change of
            the configuration or of weights.
        weights: Published weights versions by model.

    Returns:
        The table, None before the first configuration, or an error.
    """
    row = rows.get(names.CONFIG_KEY)
    if row is None or row.deleted:
        return Ok(None)
    try:
        config = _Config.model_validate_json(row.value)
    except pydantic.ValidationError as error:
        return Err(json_fields.first_error(error))
    table = model.Table(version=version, forwarding=_forwarding(config))
    for service in config.services:
        if service.engine is not None and service.engine.models:
            current = weights.get(service.engine.models[0].name, FIRST_VERSION)
            table.models[service.name] = model.ModelRow(
                name=service.name, weights_version=current
            )
        elif not service.kv_store_addr:
            table.services[service.name] = model.ServiceRow.unlimited(
                service.name
            )
    for tenant in config.tenants:
        table.workspaces[tenant.name] = model.WorkspaceRow.with_quota(
            tenant.name,
            per_s=tenant.rate_per_s or 0.0,
            burst=tenant.burst or 0.0,
            counts_tokens=tenant.unit == TOKEN_UNIT,
            uncounted_tokens=tenant.uncached_tokens or 0,
        )
        for key in tenant.api_keys:
            table.workspace_by_token[model.token_digest(key)] = tenant.name
    return Ok(table)


def _forwarding(config: _Config) -> forwarding.Forwarding:
    return forwarding.Forwarding(
        config_version=config.version,
        routes=tuple(_route(route) for route in config.routes),
        limits=forwarding.CallerLimits(
            header_bytes=config.limits.max_header_bytes,
            body_bytes=config.limits.max_body_bytes,
            header_timeout_ms=config.limits.header_timeout_ms,
            idle_timeout_ms=config.limits.idle_timeout_ms,
        ),
        engines={
            service.name: forwarding.EngineLimits(
                model=service.engine.models[0].name,
                max_connections=service.max_connections,
                **service.engine.model_dump(exclude={"models"}),
            )
            for service in config.services
            if service.engine is not None and service.engine.models
        },
        kv_stores=tuple(
            forwarding.KvStore(
                name=service.name,
                address=service.kv_store_addr,
                failure_domain=service.zone,
                link_mbps=service.link_mbps,
            )
            for service in config.services
            if service.kv_store_addr
        ),
        isolated=frozenset(t.name for t in config.tenants if t.isolated),
        priorities={
            tenant.name: tenant.priority
            for tenant in config.tenants
            if tenant.priority is not None
        },
    )


def _route(route: _Route) -> forwarding.Route:
    split = route.traffic_split or [_Split(service=route.service)]
    return forwarding.Route(
        name=route.name,
        host=route.host,
        prefix=route.prefix,
        targets=tuple(
            forwarding.WeightedTarget(target=part.service, weight=part.weight)
            for part in split
        ),
        timeout_ms=route.timeout_ms,
        aim_ms=route.target_latency_ms,
        gap_aim_ms=route.target_gap_ms,
        max_attempts=route.max_attempts,
        priority=route.priority,
        repeatable=route.type == "idempotent",
        resumable=route.resumable,
        streaming=route.type == "streaming",
        anonymous=route.allow_anonymous,
    )


__all__ = ["table_from_rows", "weights_from_row"]

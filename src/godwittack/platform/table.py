"""The operator's rows, decoded into a table."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

import pydantic
from result import Err, Ok, Result

from godwittack.platform import names, wire
from godwittack.table import forwarding, model

if TYPE_CHECKING:
    from collections.abc import Mapping

    from godwittack.store import protocol


class _Split(wire.Wire):
    service: str
    weight: int = 1


class _Route(wire.Wire):
    name: str
    host: str
    prefix: str
    # What may be done with a request: run again, run once, or stream events.
    type: str
    timeout_ms: int
    target_latency_ms: int = 1_000
    target_gap_ms: int = 1_000
    max_attempts: int = 1
    priority: int = 0
    service: str = ""
    traffic_split: tuple[_Split, ...] = ()
    allow_anonymous: bool = False
    resumable: bool = False


class _Model(wire.Wire):
    name: str


class _Engine(wire.Wire):
    slots: int = 16
    models: tuple[_Model, ...] = ()


class _Service(wire.Wire):
    name: str
    engine: _Engine | None = None
    # Set where the service is a store of cached state, not a server.
    kv_store_addr: str = ""
    zone: str = ""


class _Tenant(wire.Wire):
    name: str
    api_keys: tuple[str, ...] = ()
    priority: int | None = None
    isolated: bool = False


class _Limits(wire.Wire):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4 << 20
    header_timeout_ms: int = 0
    idle_timeout_ms: int = 0


class _Config(wire.Wire):
    version: int
    routes: tuple[_Route, ...] = ()
    services: tuple[_Service, ...] = ()
    tenants: tuple[_Tenant, ...] = ()
    limits: _Limits = _Limits()


class _Weights(wire.Wire):
    model: str
    version: int


def table_from_rows(
    rows: Mapping[str, protocol.ChangedRow], *, version: int
) -> Result[model.Table | None, str]:
    """Decodes the operator's rows.

    Args:
        rows: Rows by key.
        version: Of the newest row: it rises with each change, of the
            configuration and of weights alike.

    Returns:
        The table, None before the first configuration, or what is wrong.
    """
    row = rows.get(names.CONFIG_KEY)
    if row is None or row.deleted:
        return Ok(None)
    try:
        config = _Config.model_validate_json(row.value)
        weights = _named_weights(rows)
    except pydantic.ValidationError as error:
        first = error.errors()[0]
        place = ".".join(str(part) for part in first["loc"])
        return Err(f"{place}: {first['msg']}")
    return Ok(_table(version, config, weights))


def _named_weights(rows: Mapping[str, protocol.ChangedRow]) -> dict[str, int]:
    found: dict[str, int] = {}
    for key, row in rows.items():
        if key.startswith(names.WEIGHTS_KEY_PREFIX) and not row.deleted:
            named = _Weights.model_validate_json(row.value)
            found[named.model] = named.version
    return found


def _table(
    version: int, config: _Config, weights: dict[str, int]
) -> model.Table:
    table = model.Table(version=version, forwarding=_forwarding(config))
    for service in config.services:
        if service.engine is not None and service.engine.models:
            named = weights.get(service.engine.models[0].name, 1)
            table.models[service.name] = model.ModelRow(
                name=service.name, weights_version=str(named)
            )
        # Nothing limits the requests of a workspace or service here.
        elif not service.kv_store_addr:
            table.services[service.name] = model.ServiceRow(
                name=service.name, max_in_flight=model.NO_LIMIT
            )
    for tenant in config.tenants:
        table.workspaces[tenant.name] = model.WorkspaceRow(
            name=tenant.name,
            max_in_flight=model.NO_LIMIT,
            max_requests_per_s=model.NO_LIMIT,
        )
        for key in tenant.api_keys:
            table.workspace_by_token[key_digest(key)] = tenant.name
    return table


def key_digest(key: str) -> str:
    """Returns the digest by which a key is known inside."""
    return hashlib.sha256(key.encode()).hexdigest() if key else ""


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
                slots=service.engine.slots,
            )
            for service in config.services
            if service.engine is not None and service.engine.models
        },
        kv_stores=tuple(
            forwarding.KvStore(
                name=service.name,
                address=service.kv_store_addr,
                failure_domain=service.zone,
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


__all__ = ["key_digest", "table_from_rows"]

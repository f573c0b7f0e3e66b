"""Serves operators: the table, its history, changes, status and reports."""

from __future__ import annotations

import asyncio
import dataclasses
import hmac
import secrets
from typing import TYPE_CHECKING

import pydantic
from aiohttp import web
from result import Err

from godwittack import digits
from godwittack.daemon import change as changes
from godwittack.entry import bodies, parse, refusal, weights
from godwittack.report import counters
from godwittack.table import csv_format, schema, store

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from godwittack.config import settings as configs
    from godwittack.daemon import gossip
    from godwittack.daemon import runtime as runtimes
    from godwittack.peer import exchange
    from godwittack.store import protocol as platform

MAX_CHANGE_BYTES = 1 << 20
CHANGE_TIMEOUT_MS = 10_000


class _ChangeRequest(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid")
    why: str = pydantic.Field(min_length=3, max_length=500)
    changes: list[dict[str, str | int | float | None]]
    undoes: int = 0
    commit_id: str = pydantic.Field(
        default_factory=lambda: secrets.token_hex(8), pattern=r"^[0-9a-f]{16}$"
    )


@dataclasses.dataclass(slots=True)
class OperatorHandlers:
    """HTTP handlers for operators."""

    runtime: runtimes.Runtime
    settings: configs.Settings
    gossiper: gossip.Gossiper
    client: exchange.PeerClient
    committer: changes.Committer
    tables: store.TableStore
    weights: platform.WeightStore
    counts: counters.EventCounters

    def routes(self) -> list[web.RouteDef]:
        """Returns the routes; each requires an operator's bearer token."""
        guard = self._require_operator
        return [
            web.get("/operator/table", guard(self.get_table)),
            web.post("/operator/table", guard(self.change_table)),
            web.get("/operator/history", guard(self.history)),
            web.get("/operator/status", guard(self.status)),
            web.get("/operator/report", guard(self.report)),
        ]

    async def get_table(self, request: web.Request, who: str) -> web.Response:
        """Returns the table as CSV, or as the stored JSON."""
        del who
        table = self.runtime.core.world.table
        headers = {"x-table-version": str(table.version)}
        if request.query.get("form") == "json":
            return web.Response(
                text=schema.table_to_json(table),
                content_type="application/json",
                headers=headers,
            )
        return web.Response(
            text=csv_format.to_csv(table),
            content_type="text/csv",
            headers=headers,
        )

    async def change_table(
        self, request: web.Request, who: str
    ) -> web.Response:
        """Commits a change and waits until it is in effect."""
        body = await bodies.read_body(
            request, max_bytes=MAX_CHANGE_BYTES, timeout_ms=CHANGE_TIMEOUT_MS
        )
        if isinstance(body, Err):
            error = body.err_value
            return refusal.error_response(error.detail, status=error.status)
        try:
            change_request = _ChangeRequest.model_validate_json(body.ok_value)
        except pydantic.ValidationError as error:
            first = error.errors()[0]
            location = ".".join(str(part) for part in first["loc"])
            return refusal.error_response(f"{location}: {first['msg']}")
        cell_changes = schema.changes_from_list(change_request.changes)
        if isinstance(cell_changes, Err):
            return refusal.error_response(cell_changes.err_value)
        rejection = await weights.check_versions(
            self.weights, cell_changes.ok_value
        )
        if rejection is not None:
            return refusal.error_response(
                rejection.detail, status=rejection.status
            )
        proposal = store.Proposal(
            who=who,
            why=change_request.why,
            changes=tuple(cell_changes.ok_value),
            at_wall_ms=self.runtime.clock.wall_ms(),
            commit_id=change_request.commit_id,
            undoes=change_request.undoes,
        )
        # A commit that has started is completed even if the operator's
        # connection breaks: a change announced to only some daemons would
        # leave them on different table versions.
        return await asyncio.shield(self._commit(proposal))

    async def history(self, request: web.Request, who: str) -> web.Response:
        """Returns the audit trail, oldest first."""
        del who
        after = digits.parse(request.query.get("after", "0"))
        if after is None:
            return refusal.error_response("after: write a version number")
        entries = await self.tables.history(after_version=after)
        if isinstance(entries, Err):
            return _unavailable_response(entries.err_value)
        body = "[" + ",".join(schema.audit_to_json(e) for e in entries.ok_value)
        return web.Response(text=body + "]", content_type="application/json")

    async def status(self, request: web.Request, who: str) -> web.Response:
        """Returns the table version and state of each daemon."""
        del request, who
        await self.gossiper.probe_all()
        world = self.runtime.core.world
        members = self.gossiper.members
        rows = [
            {
                "daemon": row.member.member_id,
                "state": row.member.state.name.lower(),
                "table_version": row.table_version,
                "failed_pings": row.failed_pings,
            }
            for row in members.rows.values()
        ]
        rows.append(
            {
                "daemon": members.me.member_id,
                "state": members.me.state.name.lower(),
                "table_version": world.table.version,
                "failed_pings": 0,
            }
        )
        rows.sort(key=lambda row: str(row["daemon"]))
        return web.json_response(
            {
                "table_version": world.table.version,
                "right_to_serve": world.has_serving_lease,
                "daemons": rows,
            }
        )

    async def report(self, request: web.Request, who: str) -> web.Response:
        """Returns the sum of all daemons' counts."""
        del request, who
        total = self.counts.totals()
        own = self.gossiper.members.me.member_id
        others = [
            member
            for member in self.gossiper.members.live()
            if member.member_id != own
        ]
        replies = await asyncio.gather(
            *(self.client.fetch_report(m.peer_address) for m in others)
        )
        for member, reply in zip(others, replies, strict=True):
            if isinstance(reply, Err):
                total.unreachable.append(member.member_id)
                continue
            total.add(
                counters.Counts.model_validate_json(reply.ok_value.report_json)
            )
        return web.json_response(text=total.model_dump_json())

    async def _commit(self, proposal: store.Proposal) -> web.Response:
        result = await self.committer.commit(proposal)
        if isinstance(result, Err):
            return _unavailable_response(result.err_value)
        match result.ok_value:
            case store.Invalid(detail):
                return refusal.error_response(detail, reason="invalid_change")
            case store.Conflict() as conflict:
                return web.json_response(
                    {
                        "result": "conflict",
                        "cells": schema.changes_to_list(conflict.cells),
                        "others": [
                            {"who": e.who, "why": e.why, "version": e.version}
                            for e in conflict.others
                        ],
                    },
                    status=409,
                )
            case changes.ChangeProgress() as outcome:
                return web.json_response(
                    {
                        "result": "accepted"
                        if outcome.accepted
                        else "committed",
                        "version": outcome.version,
                        "after_ms": outcome.after_ms,
                        "confirmed": list(outcome.confirmed),
                        "lapsed": list(outcome.lapsed),
                        "missing": list(outcome.missing),
                    }
                )
            case _:
                raise RuntimeError(f"unknown result {result.ok_value}")

    def _require_operator(
        self, handler: Callable[[web.Request, str], Awaitable[web.Response]]
    ) -> Callable[[web.Request], Awaitable[web.Response]]:
        async def guarded(request: web.Request) -> web.Response:
            digest = parse.bearer_digest(request)
            for operator in self.settings.operators:
                if hmac.compare_digest(operator.token_sha256, digest):
                    return await handler(request, operator.name)
            return refusal.error_response(
                "no operator has this bearer token",
                status=401,
                reason="unauthenticated",
            )

        return guarded


def _unavailable_response(error: platform.PlatformError) -> web.Response:
    outcome = "unknown" if error.may_have_run else "not_run"
    return web.json_response(
        {"result": "unavailable", "outcome": outcome, "detail": str(error)},
        status=503,
        headers={"retry-after": "2"},
    )


__all__ = ["OperatorHandlers"]

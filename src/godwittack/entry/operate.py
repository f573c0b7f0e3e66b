"""Serves operators: table, history, changes, reports."""

from __future__ import annotations

import asyncio
import dataclasses
import hmac
import secrets
from typing import TYPE_CHECKING

import pydantic
from aiohttp import web
from result import Err

from godwittack.daemon import change as changes
from godwittack.entry import parse, refusal, weights
from godwittack.report import ledger
from godwittack.table import schema, sheet, store

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
class OperatorFace:
    """HTTP handlers for operators."""

    runtime: runtimes.Runtime
    settings: configs.Settings
    gossiper: gossip.Gossiper
    client: exchange.PeerClient
    committer: changes.Committer
    tables: store.TableStore
    weights: platform.WeightStore
    counts: ledger.Ledger

    def routes(self) -> list[web.RouteDef]:
        """Returns the handlers, each behind the operator's token."""
        guard = self._guard
        return [
            web.get("/operator/table", guard(self.show)),
            web.post("/operator/table", guard(self.change)),
            web.get("/operator/history", guard(self.history)),
            web.get("/operator/status", guard(self.status)),
            web.get("/operator/report", guard(self.report)),
        ]

    async def show(self, request: web.Request, who: str) -> web.Response:
        """Returns the table as CSV, or as stored."""
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
            text=sheet.to_csv(table), content_type="text/csv", headers=headers
        )

    async def change(self, request: web.Request, who: str) -> web.Response:
        """Commits a change and waits until it is in force."""
        body = await parse.read_body(
            request, max_bytes=MAX_CHANGE_BYTES, timeout_ms=CHANGE_TIMEOUT_MS
        )
        if isinstance(body, Err):
            status, detail = body.err_value
            return refusal.bad_request(detail, status=status)
        try:
            asked = _ChangeRequest.model_validate_json(body.ok_value)
        except pydantic.ValidationError as error:
            first = error.errors()[0]
            place = ".".join(str(part) for part in first["loc"])
            return refusal.bad_request(f"{place}: {first['msg']}")
        parsed = schema.changes_from_list(asked.changes)
        if isinstance(parsed, Err):
            return refusal.bad_request(parsed.err_value)
        wrong = await weights.trouble(self.weights, parsed.ok_value)
        if wrong is not None:
            return refusal.bad_request(wrong.detail, status=wrong.status)
        proposal = store.Proposal(
            who=who,
            why=asked.why,
            changes=tuple(parsed.ok_value),
            at_wall_ms=self.runtime.clock.wall_ms(),
            commit_id=asked.commit_id,
            undoes=asked.undoes,
        )
        # A change once begun is carried through, also where the operator's
        # connection breaks: half a spread would leave daemons apart.
        return await asyncio.shield(self._commit(proposal))

    async def history(self, request: web.Request, who: str) -> web.Response:
        """Returns the audit trail, oldest first."""
        del who
        after = request.query.get("after", "0")
        if not after.isdigit():
            return refusal.bad_request("after: write a version number")
        got = await self.tables.history(after_version=int(after))
        if isinstance(got, Err):
            return _unavailable(got.err_value)
        body = "[" + ",".join(schema.audit_to_json(e) for e in got.ok_value)
        return web.Response(text=body + "]", content_type="application/json")

    async def status(self, request: web.Request, who: str) -> web.Response:
        """Returns which daemon has which version."""
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
        """Returns the counts of all daemons added up."""
        del request, who
        total = self.counts.counts()
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
                ledger.Counts.model_validate_json(reply.ok_value.report_json)
            )
        return web.json_response(text=total.model_dump_json())

    async def _commit(self, proposal: store.Proposal) -> web.Response:
        got = await self.committer.commit(proposal)
        if isinstance(got, Err):
            return _unavailable(got.err_value)
        match got.ok_value:
            case store.Invalid(detail):
                return refusal.bad_request(detail, reason="invalid_change")
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
            case changes.InForce() as done:
                return web.json_response(
                    {
                        "result": "accepted" if done.accepted else "committed",
                        "version": done.version,
                        "after_ms": done.after_ms,
                        "confirmed": list(done.confirmed),
                        "lapsed": list(done.lapsed),
                        "missing": list(done.missing),
                    }
                )
            case _:
                raise RuntimeError(f"unknown result {got.ok_value}")

    def _guard(
        self, handler: Callable[[web.Request, str], Awaitable[web.Response]]
    ) -> Callable[[web.Request], Awaitable[web.Response]]:
        async def guarded(request: web.Request) -> web.Response:
            digest = parse.bearer_digest(request)
            for operator in self.settings.operators:
                if hmac.compare_digest(operator.token_sha256, digest):
                    return await handler(request, operator.name)
            return refusal.bad_request(
                "no operator has this bearer token",
                status=401,
                reason="unauthenticated",
            )

        return guarded


def _unavailable(error: platform.PlatformError) -> web.Response:
    outcome = "unknown" if error.may_have_run else "not_run"
    return web.json_response(
        {"result": "unavailable", "outcome": outcome, "detail": str(error)},
        status=503,
        headers={"retry-after": "2"},
    )


__all__ = ["OperatorFace"]

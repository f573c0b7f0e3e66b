"""Serves recommended daemons, health, readiness, models and metrics."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from aiohttp import web

from godwittack.entry import parse, refusal
from godwittack.member import assignment, view

if TYPE_CHECKING:
    from godwittack.config import settings as configs
    from godwittack.daemon import runtime as runtimes
    from godwittack.metric import meters


@dataclasses.dataclass(slots=True)
class StatusHandlers:
    """HTTP handlers that need no backend server."""

    runtime: runtimes.Runtime
    settings: configs.Settings
    members: view.View
    meters: meters.Meters

    async def where(self, request: web.Request) -> web.Response:
        """Returns the daemons that a caller should use, best first."""
        table = self.runtime.core.world.table
        workspace = table.workspace_by_token.get(parse.bearer_digest(request))
        if workspace is None:
            return refusal.error_response(
                "no workspace has this bearer token",
                status=401,
                reason="unauthenticated",
            )
        requested = request.query.get("workspace", workspace)
        if requested != workspace:
            return refusal.error_response(
                "the token belongs to another workspace",
                status=403,
                reason="forbidden",
            )
        target = request.query.get("model", "")
        recommended = assignment.recommended_daemons(
            workspace=workspace,
            target=target,
            members=self.members.serving() or [self.members.me],
            targets=table.targets,
        )
        return web.json_response(
            {
                "addresses": [member.http_address for member in recommended],
                "keep_ms": self.settings.address_keep_ms,
                "table_version": table.version,
            }
        )

    async def models(self, request: web.Request) -> web.Response:
        """Lists the models in the OpenAI format."""
        table = self.runtime.core.world.table
        if parse.bearer_digest(request) not in table.workspace_by_token:
            return refusal.error_response(
                "no workspace has this bearer token",
                status=401,
                reason="unauthenticated",
            )
        rows = [
            {"id": name, "object": "model", "owned_by": "godwittack"}
            for name in sorted(table.models)
        ]
        return web.json_response({"object": "list", "data": rows})

    async def health(self, request: web.Request) -> web.Response:
        """Returns the daemon's id; any answer means it is alive."""
        del request
        return web.json_response({"daemon": self.members.me.member_id})

    async def ready(self, request: web.Request) -> web.Response:
        """Returns whether new requests are accepted, and the reasons."""
        del request
        world = self.runtime.core.world
        stopping = self.members.me.state is view.MemberState.LEAVING
        ready = world.has_serving_lease and not stopping
        body = {
            "ready": ready,
            "stopping": stopping,
            "right_to_serve": world.has_serving_lease,
            "table_version": world.table.version,
            "in_flight": len(world.requests),
            "servers": {
                name: {
                    "target": row.target,
                    "incarnation": row.incarnation,
                    "weights_version": row.weights_version,
                    "leaving": row.leaving,
                    "failures": row.consecutive_failures,
                }
                for name, row in sorted(world.servers.items())
            },
            "members": {
                member.member_id: member.state.name.lower()
                for member in self.members.live()
            },
        }
        return web.json_response(body, status=200 if ready else 503)

    async def metrics(self, request: web.Request) -> web.Response:
        """Returns the metrics in the Prometheus text format."""
        del request
        return web.Response(
            body=self.meters.exposition(), content_type="text/plain"
        )


__all__ = ["StatusHandlers"]

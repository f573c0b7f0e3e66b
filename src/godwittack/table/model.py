"""Data classes for the operators' table: rows, cells, audit entries."""

from __future__ import annotations

import dataclasses
import enum
import hashlib
from typing import TypeAlias

from godwittack.table import forwarding as forwardings

CellValue: TypeAlias = str | int | float
# A limit of this value or more means unlimited.
NO_LIMIT = 1_000_000


def token_digest(token: str) -> str:
    """Returns the SHA-256 hex digest of a token, or "" for no token."""
    # Bytes of a header that are not UTF-8 are surrogates in the text.
    encoded = token.encode(errors="surrogateescape")
    return hashlib.sha256(encoded).hexdigest() if token else ""


class RowKind(enum.StrEnum):
    """Kind of a table row."""

    WORKSPACE = "workspace"
    MODEL = "model"
    SERVICE = "service"


class QuotaUnit(enum.StrEnum):
    """What a workspace's quota counts."""

    REQUESTS = "requests"
    TOKENS = "tokens"


class Repeatable(enum.StrEnum):
    """Which calls of a plain service may be sent more than once."""

    READS = "reads"
    ALL = "all"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class WorkspaceRow:
    """One tenant; its limits apply to the sum over all daemons.

    Attributes:
        name: Row name.
        token_sha256: Hex digest of the bearer token of the workspace.
        weight: Share of a saturated backend server, relative to other
            workspaces.
        max_in_flight: Maximum number of requests that run at the same time.
        max_requests_per_s: Maximum number of requests accepted per second.
        deadline_ms: Deadline for the first token if the caller sends none.
        quota_per_s: Units that its requests may use per second; 0 for no quota.
        quota_burst: Units that they may use at once in addition.
        quota_unit: What the quota counts.
        uncounted_tokens: Tokens that a request without a count uses.
    """

    name: str
    token_sha256: str = ""
    weight: float = 1.0
    max_in_flight: int = 200
    max_requests_per_s: float = 100.0
    deadline_ms: int = 10_000
    quota_per_s: float = 0.0
    quota_burst: float = 0.0
    quota_unit: QuotaUnit = QuotaUnit.TOKENS
    uncounted_tokens: int = 0

    @classmethod
    def unlimited(cls, name: str) -> WorkspaceRow:
        """Returns a workspace without limits on its requests."""
        return cls(
            name=name, max_in_flight=NO_LIMIT, max_requests_per_s=NO_LIMIT
        )

    @classmethod
    def with_quota(
        cls,
        name: str,
        *,
        per_s: float,
        burst: float,
        counts_tokens: bool,
        uncounted_tokens: int,
    ) -> WorkspaceRow:
        """Returns a workspace without limits but for a quota."""
        unit = QuotaUnit.TOKENS if counts_tokens else QuotaUnit.REQUESTS
        return dataclasses.replace(
            cls.unlimited(name),
            quota_per_s=per_s,
            quota_burst=burst,
            quota_unit=unit,
            uncounted_tokens=uncounted_tokens,
        )

    @property
    def is_unlimited(self) -> bool:
        """Whether neither concurrent requests nor their rate is limited.

        A quota does not count: it has a bucket of its own.
        """
        lowest_limit = min(self.max_in_flight, self.max_requests_per_s)
        return lowest_limit >= NO_LIMIT


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ModelRow:
    """One model and how placement weighs latency against cache reuse.

    Attributes:
        name: Row name, the `model` of a request.
        weights_version: Version that replicas are ordered to load.
        reuse_weight: Cost of a recomputed prompt token relative to one that
            waits; 0 minimizes the time to first token only, 2 avoids
            recomputation.
        max_queue: Maximum number of requests that one daemon queues for this
            model.
    """

    name: str
    weights_version: str = "1"
    reuse_weight: float = 0.5
    max_queue: int = 200


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ServiceRow:
    """One plain service.

    Attributes:
        name: Row name, the first part of the path under `/svc/`.
        repeatable: Which calls may safely be sent more than once.
        max_in_flight: Maximum number of calls that run at the same time, over
            all daemons.
        deadline_ms: Deadline for the answer if the caller sends none.
    """

    name: str
    repeatable: Repeatable = Repeatable.READS
    max_in_flight: int = 200
    deadline_ms: int = 10_000

    @classmethod
    def unlimited(cls, name: str) -> ServiceRow:
        """Returns a service without a limit on concurrent calls."""
        return cls(name=name, max_in_flight=NO_LIMIT)


@dataclasses.dataclass(frozen=True, slots=True)
class PublishedWeights:
    """The weights version that a model's servers should load."""

    model: str
    version: str


Row: TypeAlias = WorkspaceRow | ModelRow | ServiceRow

ROW_TYPES: dict[RowKind, type[Row]] = {
    RowKind.WORKSPACE: WorkspaceRow,
    RowKind.MODEL: ModelRow,
    RowKind.SERVICE: ServiceRow,
}


def row_kind(row: Row) -> RowKind:
    """Returns the kind of `row`."""
    for kind, row_type in ROW_TYPES.items():
        if isinstance(row, row_type):
            return kind
    raise TypeError(f"not a table row: {row!r}")


def columns(kind: RowKind) -> tuple[str, ...]:
    """Returns the column names of a kind, without `name`."""
    fields = dataclasses.fields(ROW_TYPES[kind])
    return tuple(field.name for field in fields if field.name != "name")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Table:
    """One version of the table; each change creates a new version.

    Attributes:
        version: Increases by one with each change and never decreases.
        workspaces: Rows by name.
        models: Rows by name.
        services: Rows by name.
        workspace_by_token: Workspace name by token digest; a workspace may
            have several tokens.
        forwarding: Routes and their limits; None if requests name their
            target without routes.
    """

    version: int = 0
    workspaces: dict[str, WorkspaceRow] = dataclasses.field(
        default_factory=dict
    )
    models: dict[str, ModelRow] = dataclasses.field(default_factory=dict)
    services: dict[str, ServiceRow] = dataclasses.field(default_factory=dict)
    workspace_by_token: dict[str, str] = dataclasses.field(default_factory=dict)
    forwarding: forwardings.Forwarding | None = None

    def cache_owner(self, workspace: str) -> str:
        """Returns the owner of the cached state that a workspace may use.

        It is empty for the state that workspaces share.
        """
        if self.forwarding is None:
            return ""
        return self.forwarding.cache_owner(workspace)

    @property
    def targets(self) -> tuple[str, ...]:
        """Names of all models and services."""
        return tuple(sorted({*self.models, *self.services}))

    @classmethod
    def from_rows(cls, *, version: int, rows: list[Row]) -> Table:
        """Builds a table from rows in any order; later rows win."""
        table = cls(version=version)
        for row in rows:
            match row:
                case WorkspaceRow():
                    table.workspaces[row.name] = row
                case ModelRow():
                    table.models[row.name] = row
                case ServiceRow():
                    table.services[row.name] = row
        for workspace in table.workspaces.values():
            if workspace.token_sha256:
                table.workspace_by_token[workspace.token_sha256] = (
                    workspace.name
                )
        return table

    def rows(self) -> list[Row]:
        """Returns all rows: workspaces, models, services, each by name."""
        ordered: list[Row] = []
        ordered.extend(self.workspaces[n] for n in sorted(self.workspaces))
        ordered.extend(self.models[n] for n in sorted(self.models))
        ordered.extend(self.services[n] for n in sorted(self.services))
        return ordered

    def row(self, kind: RowKind, name: str) -> Row | None:
        """Returns one row, or None where there is none."""
        rows_by_kind: dict[RowKind, dict[str, Row]] = {
            RowKind.WORKSPACE: dict(self.workspaces),
            RowKind.MODEL: dict(self.models),
            RowKind.SERVICE: dict(self.services),
        }
        return rows_by_kind[kind].get(name)


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class CellChange:
    """One cell before and after a change.

    Attributes:
        kind: Kind of the row.
        name: Row name.
        column: Column name, or `ROW_COLUMN` if a row is added or removed.
        before: Old value; None if the row is new.
        after: New value; None if the row is removed.
    """

    kind: RowKind
    name: str
    column: str
    before: CellValue | None
    after: CellValue | None

    @property
    def cell(self) -> tuple[RowKind, str, str]:
        """Identifies the cell, to detect changes of the same cell."""
        return (self.kind, self.name, self.column)


ROW_COLUMN = "*"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class AuditEntry:
    """Who changed what, when and why; one entry per version.

    Attributes:
        version: Table version that the change created.
        who: Operator name.
        why: Reason in the operator's words.
        at_wall_ms: Wall-clock time at the daemon that committed the change.
        changes: The changed cells.
        undoes: Version that this change undoes; 0 for none.
        commit_id: Nonce of the operator's command.
    """

    version: int
    who: str
    why: str
    at_wall_ms: int
    changes: tuple[CellChange, ...]
    undoes: int = 0
    commit_id: str = ""


__all__ = [
    "ROW_COLUMN",
    "ROW_TYPES",
    "AuditEntry",
    "CellChange",
    "CellValue",
    "ModelRow",
    "PublishedWeights",
    "QuotaUnit",
    "Repeatable",
    "Row",
    "RowKind",
    "ServiceRow",
    "Table",
    "WorkspaceRow",
    "columns",
    "row_kind",
    "token_digest",
]

"""Reads and commits the table and its audit trail in the platform."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, TypeAlias

from absl import logging
from result import Err, Ok, Result

from godwittack import digits
from godwittack.store import protocol
from godwittack.table import edit, model, schema

if TYPE_CHECKING:
    from collections.abc import Sequence

CONFIG_TABLE = "config"
AUDIT_TABLE = "audit"
CHANGE_TABLE = "change"
VERSION_ROW = protocol.RowId(CONFIG_TABLE, "version")
TABLE_ROW = protocol.RowId(CONFIG_TABLE, "table")
COPY_OBJECT_NAME = "table-latest"
MAX_COMMIT_ATTEMPTS = 8
# No row has this version, so a condition on it always fails.
NEVER_MATCHING_VERSION = -1
AUDIT_PAGE_ROWS = 500


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Proposal:
    """A change requested by an operator.

    Attributes:
        changes: Cells with the values that the operator saw before.
        undoes: Version that the change undoes; 0 for none.
        commit_id: Nonce of the operator's command. A command that is repeated
            after a lost reply, or through another daemon, is committed once.
    """

    who: str
    why: str
    changes: tuple[model.CellChange, ...]
    at_wall_ms: int
    commit_id: str
    undoes: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Committed:
    """The change is stored in the table service."""

    table: model.Table
    entry: model.AuditEntry


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """The same cells were changed by an earlier commit.

    Attributes:
        cells: Each cell with the value that the operator saw and the current
            one.
        others: Audit entries of the commits that changed these cells.
    """

    cells: tuple[model.CellChange, ...]
    others: tuple[model.AuditEntry, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Invalid:
    """The change failed validation."""

    detail: str


CommitResult: TypeAlias = Committed | Conflict | Invalid


class TableStore:
    """Reads and commits versions of the table."""

    def __init__(
        self, service: protocol.TableService, objects: protocol.ObjectStore
    ) -> None:
        """Stores the table in `service` and a copy of it in `objects`."""
        self._service = service
        self._objects = objects
        self._logged_detail = ""

    async def version(self) -> Result[int, protocol.PlatformError]:
        """Returns the version, read from a replica that may lag."""
        result = await self._service.read(VERSION_ROW)
        if isinstance(result, Err):
            return result
        version = digits.parse(result.ok_value.value or "0")
        if version is None:
            return self._unreadable("version", "it is not a number")
        return Ok(version)

    async def table(self) -> Result[model.Table, protocol.PlatformError]:
        """Returns the table, read from a replica that may lag."""
        result = await self._service.read(TABLE_ROW)
        if isinstance(result, Err):
            return result
        try:
            return Ok(_parse_table(result.ok_value.value))
        except ValueError as error:
            return self._unreadable("table", str(error))

    def _unreadable(
        self, name: str, detail: str
    ) -> Err[protocol.PlatformError]:
        """Returns the error for a row, and logs it if it is another one.

        The row is read again and again; until it can be read, the active table
        stays.
        """
        if detail != self._logged_detail:
            self._logged_detail = detail
            logging.error(
                "event=table_unreadable row=%s detail=%r", name, detail
            )
        return Err(
            protocol.PlatformError(
                step=f"read {name}",
                peer="table service",
                detail=detail,
                may_have_run=False,
            )
        )

    async def read_copy(self) -> model.Table | None:
        """Returns the copy in the object store, which may be stale, or None."""
        result = await self._objects.get(COPY_OBJECT_NAME)
        if isinstance(result, Err) or result.ok_value is None:
            return None
        parsed = schema.table_from_json(
            result.ok_value.decode(errors="replace")
        )
        return parsed.ok_value if isinstance(parsed, Ok) else None

    async def write_copy(self, table: model.Table) -> None:
        """Writes the copy in the object store; failures only leave it stale."""
        await self._objects.put(
            COPY_OBJECT_NAME, schema.table_to_json(table).encode()
        )

    async def history(
        self, *, after_version: int
    ) -> Result[list[model.AuditEntry], protocol.PlatformError]:
        """Returns the audit entries above a version, oldest first."""
        entries: list[model.AuditEntry] = []
        after = _audit_key(after_version)
        while True:
            result = await self._service.scan(
                AUDIT_TABLE, after=after, limit=AUDIT_PAGE_ROWS
            )
            if isinstance(result, Err):
                return result
            for row in result.ok_value:
                parsed = schema.audit_from_json(row.value)
                if isinstance(parsed, Ok):
                    entries.append(parsed.ok_value)
                after = row.row_id.key
            if len(result.ok_value) < AUDIT_PAGE_ROWS:
                return Ok(entries)

    async def commit(
        self, proposal: Proposal, base: model.Table
    ) -> Result[CommitResult, protocol.PlatformError]:
        """Commits a change by compare-and-set, and each nonce at most once.

        The transaction succeeds only if the table row still has the version
        that the change was merged into and no row exists for the nonce. A
        failed condition returns the current rows. So the next attempt merges
        into the newest table even if replicas lag, and an earlier commit of
        the same command is recognized, whether its reply was lost or another
        daemon made it.
        """
        table, row_version = base, await self._row_version(base)
        for _ in range(MAX_COMMIT_ATTEMPTS):
            merged = await self._merge(proposal, table)
            if not isinstance(merged, model.Table):
                return await self._resolve_refusal(proposal, merged)
            entry = _audit_entry(proposal, table, merged)
            result = await self._transact(proposal, merged, entry, row_version)
            if isinstance(result, Err):
                if not result.err_value.may_have_run:
                    return result
                result = await self._transact(
                    proposal, merged, entry, row_version
                )
                if isinstance(result, Err):
                    return result
            if result.ok_value.committed:
                await self.write_copy(merged)
                return Ok(Committed(merged, entry))
            rows = {row.row_id: row for row in result.ok_value.rows}
            earlier = _earlier_commit(rows, proposal)
            if earlier is not None:
                return Ok(earlier)
            table = _parse_table(rows[TABLE_ROW].value)
            row_version = rows[TABLE_ROW].version
        return Err(
            protocol.PlatformError(
                step="commit table",
                peer="table service",
                detail=f"others changed the table {MAX_COMMIT_ATTEMPTS} times",
                may_have_run=False,
            )
        )

    async def _row_version(self, base: model.Table) -> int:
        result = await self._service.read(TABLE_ROW)
        if (
            isinstance(result, Ok)
            and _parse_table(result.ok_value.value) == base
        ):
            return result.ok_value.version
        # The row differs from the base: the condition must fail, so that its
        # reply returns the current row.
        return NEVER_MATCHING_VERSION

    async def _resolve_refusal(
        self,
        proposal: Proposal,
        refused: Result[CommitResult, protocol.PlatformError],
    ) -> Result[CommitResult, protocol.PlatformError]:
        """Returns an earlier commit of the same nonce, or the refusal.

        An operator whose daemon stops responding sends the command to another
        daemon. Without this check, a change that the first daemon committed
        would be reported as a conflict with another operator.
        """
        # Always fails, so that the reply returns the current rows.
        never_met = protocol.Condition(TABLE_ROW, NEVER_MATCHING_VERSION)
        not_committed = protocol.Condition(_change_row(proposal), 0)
        result = await self._service.transact((never_met, not_committed), ())
        if isinstance(result, Err):
            return result
        rows = {row.row_id: row for row in result.ok_value.rows}
        earlier = _earlier_commit(rows, proposal)
        return refused if earlier is None else Ok(earlier)

    async def _merge(
        self, proposal: Proposal, table: model.Table
    ) -> model.Table | Result[CommitResult, protocol.PlatformError]:
        conflicting = edit.find_conflicts(table, proposal.changes)
        if conflicting:
            others = await self._conflicting_entries(conflicting)
            return Ok(Conflict(tuple(conflicting), others))
        applied = edit.apply(table, proposal.changes)
        if isinstance(applied, Err):
            return Ok(Invalid(applied.err_value))
        return applied.ok_value

    async def _conflicting_entries(
        self, conflicting: Sequence[model.CellChange]
    ) -> tuple[model.AuditEntry, ...]:
        result = await self.history(after_version=0)
        if isinstance(result, Err):
            return ()
        found: list[model.AuditEntry] = []
        for conflict_cell in conflicting:
            for entry in reversed(result.ok_value):
                if any(c.cell == conflict_cell.cell for c in entry.changes):
                    if entry not in found:
                        found.append(entry)
                    break
        return tuple(found)

    async def _transact(
        self,
        proposal: Proposal,
        merged: model.Table,
        entry: model.AuditEntry,
        row_version: int,
    ) -> Result[protocol.TransactionResult, protocol.PlatformError]:
        audit_row = protocol.RowId(AUDIT_TABLE, _audit_key(merged.version))
        change_row = _change_row(proposal)
        audit = schema.audit_to_json(entry)
        return await self._service.transact(
            (
                protocol.Condition(TABLE_ROW, row_version),
                protocol.Condition(change_row, 0),
            ),
            (
                protocol.RowWrite(TABLE_ROW, schema.table_to_json(merged)),
                protocol.RowWrite(VERSION_ROW, str(merged.version)),
                protocol.RowWrite(audit_row, audit),
                protocol.RowWrite(change_row, audit),
            ),
        )


def _audit_entry(
    proposal: Proposal, before: model.Table, after: model.Table
) -> model.AuditEntry:
    return model.AuditEntry(
        version=after.version,
        who=proposal.who,
        why=proposal.why,
        at_wall_ms=proposal.at_wall_ms,
        changes=tuple(edit.diff(before, after)),
        undoes=proposal.undoes,
        commit_id=proposal.commit_id,
    )


def _change_row(proposal: Proposal) -> protocol.RowId:
    return protocol.RowId(CHANGE_TABLE, proposal.commit_id)


def _earlier_commit(
    rows: dict[protocol.RowId, protocol.StoredRow], proposal: Proposal
) -> Committed | None:
    """Returns the commit that already exists for a proposal's nonce."""
    change_row = rows[_change_row(proposal)]
    if not change_row.version:
        return None
    parsed = schema.audit_from_json(change_row.value)
    if isinstance(parsed, Err):
        raise ValueError(parsed.err_value)
    return Committed(_parse_table(rows[TABLE_ROW].value), parsed.ok_value)


def _parse_table(value: str) -> model.Table:
    if not value:
        return model.Table()
    parsed = schema.table_from_json(value)
    if isinstance(parsed, Err):
        raise ValueError(parsed.err_value)
    return parsed.ok_value


def _audit_key(version: int) -> str:
    return f"{version:012d}"


__all__ = [
    "CommitResult",
    "Committed",
    "Conflict",
    "Invalid",
    "Proposal",
    "TableStore",
]

"""The table, its version and its audit trail in the platform."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, TypeAlias

from result import Err, Ok, Result

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
# A row version that no row has.
NEVER_MATCHING_VERSION = -1
AUDIT_PAGE_ROWS = 500


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Proposal:
    """A change that an operator asks for.

    Attributes:
        changes: Cells with the values that the operator saw before.
        undoes: Version that is taken back; 0 for none.
        commit_id: Nonce of the operator's command. One asked for again, by
            a lost reply or through another daemon, is committed once.
    """

    who: str
    why: str
    changes: tuple[model.CellChange, ...]
    at_wall_ms: int
    commit_id: str
    undoes: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Committed:
    """The change is in the table service."""

    table: model.Table
    entry: model.AuditEntry


@dataclasses.dataclass(frozen=True, slots=True)
class Conflict:
    """Somebody else's change of the same cells came first.

    Attributes:
        cells: Each cell with the value the operator saw and the one that
            stands now.
        others: Audit entries that changed them.
    """

    cells: tuple[model.CellChange, ...]
    others: tuple[model.AuditEntry, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Invalid:
    """The change does not pass the checks."""

    detail: str


CommitResult: TypeAlias = Committed | Conflict | Invalid


class TableStore:
    """Reads and commits versions of the table."""

    def __init__(
        self, service: protocol.TableService, objects: protocol.ObjectStore
    ) -> None:
        """Keeps the table in `service` and a copy in `objects`."""
        self._service = service
        self._objects = objects

    async def version(self) -> Result[int, protocol.PlatformError]:
        """Returns the newest version; the replica read may lag."""
        got = await self._service.read(VERSION_ROW)
        if isinstance(got, Err):
            return got
        return Ok(int(got.ok_value.value or "0"))

    async def table(self) -> Result[model.Table, protocol.PlatformError]:
        """Returns the table; the replica read may lag."""
        got = await self._service.read(TABLE_ROW)
        if isinstance(got, Err):
            return got
        return Ok(_parse_table(got.ok_value.value))

    async def read_copy(self) -> model.Table | None:
        """Returns the object store's copy, which may be old, or None."""
        got = await self._objects.get(COPY_OBJECT_NAME)
        if isinstance(got, Err) or got.ok_value is None:
            return None
        parsed = schema.table_from_json(got.ok_value.decode())
        return parsed.ok_value if isinstance(parsed, Ok) else None

    async def write_copy(self, table: model.Table) -> None:
        """Writes the object store's copy; a failure only leaves it old."""
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
            got = await self._service.scan(
                AUDIT_TABLE, after=after, limit=AUDIT_PAGE_ROWS
            )
            if isinstance(got, Err):
                return got
            for row in got.ok_value:
                parsed = schema.audit_from_json(row.value)
                if isinstance(parsed, Ok):
                    entries.append(parsed.ok_value)
                after = row.row_id.key
            if len(got.ok_value) < AUDIT_PAGE_ROWS:
                return Ok(entries)

    async def commit(
        self, proposal: Proposal, base: model.Table
    ) -> Result[CommitResult, protocol.PlatformError]:
        """Commits a change by compare-and-set, and one nonce at most once.

        The transaction holds only where the table row is still the one that
        the change was merged into, and no row stands for the nonce. A failed
        condition brings the rows that stand, so that the next try merges into
        the newest table even where replicas lag, and a commit whose reply was
        lost, or that another daemon made for the same command, is recognized.
        """
        table, row_version = base, await self._row_version(base)
        for _ in range(MAX_COMMIT_ATTEMPTS):
            merged = await self._merge(proposal, table)
            if not isinstance(merged, model.Table):
                return await self._earlier_commit_or(proposal, merged)
            entry = _audit_entry(proposal, table, merged)
            got = await self._transact(proposal, merged, entry, row_version)
            if isinstance(got, Err):
                if not got.err_value.may_have_run:
                    return got
                got = await self._transact(proposal, merged, entry, row_version)
                if isinstance(got, Err):
                    return got
            if got.ok_value.committed:
                await self.write_copy(merged)
                return Ok(Committed(merged, entry))
            rows = {row.row_id: row for row in got.ok_value.rows}
            settled = _earlier_commit(rows, proposal)
            if settled is not None:
                return Ok(settled)
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
        got = await self._service.read(TABLE_ROW)
        if isinstance(got, Ok) and _parse_table(got.ok_value.value) == base:
            return got.ok_value.version
        # Not the row that the base came from: the condition must fail, and
        # its reply brings the one that stands.
        return NEVER_MATCHING_VERSION

    async def _earlier_commit_or(
        self,
        proposal: Proposal,
        refused: Result[CommitResult, protocol.PlatformError],
    ) -> Result[CommitResult, protocol.PlatformError]:
        """Returns the commit that stands for the nonce, or the refusal.

        An operator whose daemon fell silent asks another one. Without this
        look the change that the first had made would be reported to the
        operator as somebody else's.
        """
        # Never true, so that the reply brings the rows as they stand.
        unmet = protocol.Condition(TABLE_ROW, NEVER_MATCHING_VERSION)
        made = protocol.Condition(_change_row(proposal), 0)
        got = await self._service.transact((unmet, made), ())
        if isinstance(got, Err):
            return got
        rows = {row.row_id: row for row in got.ok_value.rows}
        settled = _earlier_commit(rows, proposal)
        return refused if settled is None else Ok(settled)

    async def _merge(
        self, proposal: Proposal, table: model.Table
    ) -> model.Table | Result[CommitResult, protocol.PlatformError]:
        clashes = edit.find_conflicts(table, proposal.changes)
        if clashes:
            others = await self._conflicting_entries(clashes)
            return Ok(Conflict(tuple(clashes), others))
        applied = edit.apply(table, proposal.changes)
        if isinstance(applied, Err):
            return Ok(Invalid(applied.err_value))
        return applied.ok_value

    async def _conflicting_entries(
        self, clashes: Sequence[model.CellChange]
    ) -> tuple[model.AuditEntry, ...]:
        got = await self.history(after_version=0)
        if isinstance(got, Err):
            return ()
        found: list[model.AuditEntry] = []
        for clash in clashes:
            for entry in reversed(got.ok_value):
                if any(c.cell == clash.cell for c in entry.changes):
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
    """Returns the commit that was already made for a proposal's nonce."""
    made = rows[_change_row(proposal)]
    if not made.version:
        return None
    parsed = schema.audit_from_json(made.value)
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

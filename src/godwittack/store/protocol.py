"""Interfaces of the platform's services that the daemon uses."""

from __future__ import annotations

import dataclasses
import enum
from typing import Protocol, TypeAlias, TypeVar

from result import Result

_Value = TypeVar("_Value")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlatformError:
    """A failed call to the platform.

    Attributes:
        step: Name of the operation.
        peer: Address of the service.
        detail: One line that describes the failure.
        may_have_run: Whether a write may have taken effect nevertheless.
        history_lost: Whether the service no longer has the changes since the
            requested version, so that a snapshot must be read.
    """

    step: str
    peer: str
    detail: str
    may_have_run: bool = True
    history_lost: bool = False

    def __str__(self) -> str:
        """Returns the error as one line."""
        return f"{self.step} at {self.peer}: {self.detail}"


# Result of a call: the answer, or the error if there is none.
PlatformResult: TypeAlias = Result[_Value, PlatformError]


@dataclasses.dataclass(frozen=True, slots=True)
class RowId:
    """Identifies one row of the table service."""

    table: str
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class StoredRow:
    """One row; `version` is 0 and `value` empty if the row does not exist.

    Attributes:
        service_ms: Monotonic clock of the service when it answered a read.
    """

    row_id: RowId
    value: str
    version: int
    service_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Condition:
    """Requires that a row has this version; 0: that it does not exist."""

    row_id: RowId
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class RowWrite:
    """A new value for a row."""

    row_id: RowId
    value: str


@dataclasses.dataclass(frozen=True, slots=True)
class TransactionResult:
    """Outcome of a transaction.

    Attributes:
        committed: Whether all conditions were met and all writes were made.
        rows: Current rows of the conditions, if not committed.
        version: Version of the written rows, if the service returns it.
        service_ms: Monotonic clock of the service when it answered.
    """

    committed: bool
    rows: tuple[StoredRow, ...]
    version: int = 0
    service_ms: int = 0


class ConditionalRows(Protocol):
    """Rows that are written only if other rows have expected versions."""

    async def transact(
        self,
        conditions: tuple[Condition, ...],
        writes: tuple[RowWrite, ...],
    ) -> PlatformResult[TransactionResult]:
        """Makes all writes if all conditions are met."""

    async def read(self, row_id: RowId) -> PlatformResult[StoredRow]:
        """Returns one row, from a replica that may lag."""


class TableService(ConditionalRows, Protocol):
    """Transactional rows with versions that can be scanned in key order."""

    async def scan(
        self, table: str, *, after: str, limit: int
    ) -> PlatformResult[list[StoredRow]]:
        """Returns up to `limit` rows with keys above `after`, in order."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ChangedRow:
    """Current state of a row, or its removal."""

    key: str
    value: str
    version: int
    deleted: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FeedPage:
    """Rows of one table.

    Attributes:
        rows: All rows of a snapshot, or the changed rows in order.
        newest_version: Newest version of all tables. The rows of a snapshot are
            those of this version; changes may be without the latest ones.
        service_ms: Monotonic clock of the store when it answered.
        next_key: Key at which the next page begins; empty on the last page.
        dropped: Rows that could not be decoded, and are not among `rows`.
    """

    rows: tuple[ChangedRow, ...]
    newest_version: int
    service_ms: int = 0
    next_key: str = ""
    dropped: int = 0


class RowFeed(Protocol):
    """Snapshots of a table's rows and a feed of their changes."""

    async def page(
        self, table: str, *, from_key: str
    ) -> PlatformResult[FeedPage]:
        """Returns a page of a snapshot of a table, from a key on."""

    async def changes(
        self, table: str, *, after: int, wait_ms: int
    ) -> PlatformResult[FeedPage]:
        """Returns changes after a version; waits up to `wait_ms` for one."""


class ObjectStore(Protocol):
    """Named objects without transactions."""

    async def get(self, name: str) -> PlatformResult[bytes | None]:
        """Returns an object, or None if it does not exist."""

    async def put(self, name: str, data: bytes) -> PlatformResult[None]:
        """Writes an object."""


class WeightStore(Protocol):
    """Versions of weights; the engines themselves load the weights."""

    async def versions(self, model: str) -> PlatformResult[tuple[str, ...]]:
        """Returns the versions that can be loaded."""


class InstanceRole(enum.StrEnum):
    """What an instance on the platform's list runs."""

    ENTRY = "entry"
    ENGINE = "engine"
    SERVICE = "service"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Instance:
    """One entry of the platform's instance list.

    Attributes:
        name: Name, unique in the list.
        role: What the instance runs.
        address: IP and port; the peer address for entry instances.
        target: Model or service that the instance serves.
        leaving: Whether the instance is about to be stopped.
        incarnation: Incarnation of the process, if listed.
        weights_version: Version of the loaded weights, if listed.
        slots: Maximum number of concurrent requests, if listed.
        software_version: Version of its software, if listed.
    """

    name: str
    role: InstanceRole
    address: str
    target: str = ""
    failure_domain: str = ""
    leaving: bool = False
    incarnation: str = ""
    weights_version: str = ""
    slots: int = 0
    software_version: str = ""


class InstanceList(Protocol):
    """Live and leaving instances; the list may lag."""

    async def instances(self) -> PlatformResult[tuple[Instance, ...]]:
        """Returns all entries."""


__all__ = [
    "ChangedRow",
    "Condition",
    "ConditionalRows",
    "FeedPage",
    "Instance",
    "InstanceList",
    "InstanceRole",
    "ObjectStore",
    "PlatformError",
    "PlatformResult",
    "RowFeed",
    "RowId",
    "RowWrite",
    "StoredRow",
    "TableService",
    "TransactionResult",
    "WeightStore",
]

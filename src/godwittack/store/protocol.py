"""The platform's services as the daemon uses them."""

from __future__ import annotations

import dataclasses
import enum
from typing import Protocol, TypeAlias, TypeVar

from result import Result

_Value = TypeVar("_Value")


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class PlatformError:
    """A call of the platform that brought no answer.

    Attributes:
        step: What was being done.
        peer: Address of the service.
        detail: One line for people.
        may_have_run: Whether a write may have taken effect all the same.
        history_lost: Whether changes since the version named are no longer
            told, so that only a snapshot helps.
    """

    step: str
    peer: str
    detail: str
    may_have_run: bool = True
    history_lost: bool = False

    def __str__(self) -> str:
        """Returns the error as one line."""
        return f"{self.step} at {self.peer}: {self.detail}"


# What a call brings: its answer, or why there is none.
PlatformResult: TypeAlias = Result[_Value, PlatformError]


@dataclasses.dataclass(frozen=True, slots=True)
class RowId:
    """Names one row of the table service."""

    table: str
    key: str


@dataclasses.dataclass(frozen=True, slots=True)
class StoredRow:
    """One row; `version` is 0 and `value` empty where none exists.

    Attributes:
        service_ms: The service's steady clock when it answered a reading.
    """

    row_id: RowId
    value: str
    version: int
    service_ms: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Condition:
    """A row must have this version, 0 for must not exist."""

    row_id: RowId
    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class RowWrite:
    """A new value of a row."""

    row_id: RowId
    value: str


@dataclasses.dataclass(frozen=True, slots=True)
class TransactionResult:
    """What became of a transaction.

    Attributes:
        committed: Whether all conditions held and all writes were made.
        rows: The rows of the conditions as they stood, when not committed.
        version: Version of the written rows, where the service tells it.
        service_ms: The service's steady clock when it answered.
    """

    committed: bool
    rows: tuple[StoredRow, ...]
    version: int = 0
    service_ms: int = 0


class ConditionalRows(Protocol):
    """Rows that are written only while others stand as expected."""

    async def transact(
        self,
        conditions: tuple[Condition, ...],
        writes: tuple[RowWrite, ...],
    ) -> PlatformResult[TransactionResult]:
        """Makes all writes if all conditions hold."""

    async def read(self, row_id: RowId) -> PlatformResult[StoredRow]:
        """Returns one row, from a replica that may lag."""


class TableService(ConditionalRows, Protocol):
    """Transactional rows with versions, read in order as well."""

    async def scan(
        self, table: str, *, after: str, limit: int
    ) -> PlatformResult[list[StoredRow]]:
        """Returns up to `limit` rows with keys above `after`, in order."""


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class ChangedRow:
    """A row as it stands, or the removal of one."""

    key: str
    value: str
    version: int
    deleted: bool = False


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class FeedPage:
    """Rows of one table.

    Attributes:
        rows: All rows for a snapshot, else those changed, in order.
        newest_version: Version up to which the rows are told.
        service_ms: The store's steady clock when it answered.
        next_key: Where the next page begins; empty for the last one.
    """

    rows: tuple[ChangedRow, ...]
    newest_version: int
    service_ms: int = 0
    next_key: str = ""


class RowFeed(Protocol):
    """Changes of a table's rows, told as they happen."""

    async def page(
        self, table: str, *, from_key: str
    ) -> PlatformResult[FeedPage]:
        """Returns rows of a table as of one moment, from a key on."""

    async def changes(
        self, table: str, *, after: int, wait_ms: int
    ) -> PlatformResult[FeedPage]:
        """Returns changes after a version, waiting for one up to a limit."""


class ObjectStore(Protocol):
    """Named objects without transactions."""

    async def get(self, name: str) -> PlatformResult[bytes | None]:
        """Returns an object, or None where there is none."""

    async def put(self, name: str, data: bytes) -> PlatformResult[None]:
        """Writes an object."""


class WeightStore(Protocol):
    """Versions of weights; the engines load them from it themselves."""

    async def versions(self, model: str) -> PlatformResult[tuple[str, ...]]:
        """Returns the versions that can be loaded."""


class InstanceRole(enum.StrEnum):
    """What an instance of the platform's list runs."""

    ENTRY = "entry"
    ENGINE = "engine"
    SERVICE = "service"


@dataclasses.dataclass(frozen=True, slots=True, kw_only=True)
class Instance:
    """One entry of the platform's instance list.

    Attributes:
        name: Name, unique in the list.
        role: What runs there.
        address: IP and port; the peer address for entry instances.
        target: Model or service.
        leaving: Whether it is about to be stopped.
        incarnation: Its incarnation, where the list tells it.
        weights_version: Weights loaded, where the list tells them.
        slots: Requests it takes at one time, where the list tells it.
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


class InstanceList(Protocol):
    """Live and leaving instances; lags."""

    async def instances(self) -> PlatformResult[tuple[Instance, ...]]:
        """Returns all entries."""


__all__ = [
    "ChangedRow",
    "Condition",
    "ConditionalRows",
    "FeedPage",
    "PlatformResult",
    "Instance",
    "InstanceList",
    "InstanceRole",
    "ObjectStore",
    "PlatformError",
    "RowFeed",
    "RowId",
    "RowWrite",
    "StoredRow",
    "TableService",
    "TransactionResult",
    "WeightStore",
]

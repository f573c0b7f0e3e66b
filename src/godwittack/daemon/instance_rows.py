"""Parses and validates rows of the instance list.

Any writer may have written a row. Each is validated separately, so that an
invalid row does not hide the valid ones.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, TypeAlias

from absl import logging
from result import Err, Result

from godwittack import address as addresses
from godwittack.core import incarnation

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Mapping

    from godwittack.clock import Clock
    from godwittack.store import protocol

    Decode: TypeAlias = Callable[
        [protocol.ChangedRow], Result[protocol.Instance, str]
    ]
    _DecodedRow: TypeAlias = tuple[
        protocol.ChangedRow, Result[protocol.Instance, str]
    ]

# Refused rows whose state is logged, and lines in an interval: a writer that
# floods the list must not flood the log as well.
MAX_LOGGED_REFUSALS = 64
LOG_INTERVAL_MS = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class ParsedRows:
    """Instances of valid rows, and the reasons why others are invalid.

    Attributes:
        listed: Instances by server id.
        refused: Reason why a row was refused, by its key.
    """

    listed: dict[str, protocol.Instance]
    refused: dict[str, str]


class Parser:
    """Parses the rows of the instance list, and decodes each row once.

    Load pattern: another writer leaves thousands of rows. Decoded again at each
    change of one row, 5,000 rows keep the event loop for 75 ms.
    """

    def __init__(
        self, decode: Decode, *, failure_domains: Collection[str] = ()
    ) -> None:
        """Starts without decoded rows.

        Args:
            decode: Decodes one row.
            failure_domains: The valid failure domains; empty to accept any.
        """
        self._decode = decode
        self._failure_domains = failure_domains
        self._decoded: dict[str, _DecodedRow] = {}

    def parse(self, rows: Mapping[str, protocol.ChangedRow]) -> ParsedRows:
        """Parses all rows of the list.

        Args:
            rows: The rows by server id.
        """
        self._decoded = {
            key: self._decode_once(row)
            for key, row in rows.items()
            if not row.deleted
        }
        parsed = ParsedRows({}, {})
        for key, (_, result) in self._decoded.items():
            if not addresses.is_visible(key):
                # The id is sent in a header of each call.
                parsed.refused[key] = (
                    "the id is not of visible ASCII characters"
                )
            elif isinstance(result, Err):
                parsed.refused[key] = result.err_value
            elif self._failure_domains and (
                result.ok_value.failure_domain not in self._failure_domains
            ):
                parsed.refused[key] = "unknown failure domain"
            else:
                parsed.listed[key] = result.ok_value
        _refuse_without_start(parsed)
        _refuse_replaced(parsed)
        return parsed

    def _decode_once(self, row: protocol.ChangedRow) -> _DecodedRow:
        decoded = self._decoded.get(row.key)
        if decoded is not None and decoded[0] == row:
            return decoded
        return row, self._decode(row)


def _refuse_without_start(parsed: ParsedRows) -> None:
    """Refuses rows without a start time where most servers report theirs.

    The majority decides: a row by another writer must neither be accepted
    among servers that all report their start time, nor cause the rows of
    servers that never report one to be refused.
    """
    without_start = [
        key
        for key, instance in parsed.listed.items()
        if not _started_at_ms(instance)
    ]
    if 2 * len(without_start) >= len(parsed.listed):
        return
    for key in without_start:
        del parsed.listed[key]
        parsed.refused[key] = "reports no start time, though most servers do"


def _refuse_replaced(parsed: ParsedRows) -> None:
    """Refuses rows whose address belongs to a server that started later."""
    newest: dict[str, protocol.Instance] = {}
    for instance in parsed.listed.values():
        other = newest.get(instance.address)
        if other is None or _started_at_ms(instance) > _started_at_ms(other):
            newest[instance.address] = instance
    for key, instance in list(parsed.listed.items()):
        owner = newest[instance.address]
        if _started_at_ms(owner) > _started_at_ms(instance):
            del parsed.listed[key]
            parsed.refused[key] = (
                f"address belongs to {owner.name}, which started later"
            )


def _started_at_ms(instance: protocol.Instance) -> int:
    return incarnation.started_at_ms(instance.incarnation)


class RefusalLog:
    """Logs when a row becomes invalid and when it is valid again."""

    def __init__(self, clock: Clock) -> None:
        """Starts without invalid rows."""
        self._refused: dict[str, str] = {}
        self._clock = clock
        self._interval_ends_ms = 0
        self._lines = 0

    def record(
        self,
        rows: Mapping[str, protocol.ChangedRow],
        refused: Mapping[str, str],
    ) -> None:
        """Logs the differences from the rows refused before."""
        now_refused = dict(list(refused.items())[:MAX_LOGGED_REFUSALS])
        for key, reason in now_refused.items():
            if self._refused.get(key) != reason and self._may_log():
                logging.warning(
                    "event=entry_refused server=%r version=%d detail=%r",
                    key,
                    rows[key].version,
                    reason,
                )
        for key in self._refused.keys() - refused.keys():
            if self._may_log():
                logging.info("event=entry_accepted server=%r", key)
        self._refused = now_refused

    def _may_log(self) -> bool:
        """Counts a line; returns whether the interval has room for it."""
        now_ms = self._clock.now_ms()
        if now_ms >= self._interval_ends_ms:
            unlogged = self._lines - MAX_LOGGED_REFUSALS
            if unlogged > 0:
                logging.warning("event=entries_unlogged lines=%d", unlogged)
            self._interval_ends_ms = now_ms + LOG_INTERVAL_MS
            self._lines = 0
        self._lines += 1
        return self._lines <= MAX_LOGGED_REFUSALS


__all__ = ["Decode", "ParsedRows", "Parser", "RefusalLog"]

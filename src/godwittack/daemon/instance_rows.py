"""Parses and validates rows of the instance list.

Any writer may have written a row. Each is validated separately, so that an
invalid row does not hide the valid ones.
"""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, TypeAlias

from absl import logging
from result import Err, Result

from godwittack.core import incarnation

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Mapping

    from godwittack.store import protocol

    Decode: TypeAlias = Callable[
        [protocol.ChangedRow], Result[protocol.Instance, str]
    ]

# Refused rows that are logged at a time: a writer that floods the list must not
# flood the log as well.
MAX_LOGGED_REFUSALS = 64


@dataclasses.dataclass(frozen=True, slots=True)
class ParsedRows:
    """Instances of valid rows, and the reasons why others are invalid.

    Attributes:
        listed: Instances by server id.
        refused: Reason why a row was refused, by its key.
    """

    listed: dict[str, protocol.Instance]
    refused: dict[str, str]


def parse(
    rows: Mapping[str, protocol.ChangedRow],
    decode: Decode,
    *,
    failure_domains: Collection[str] = (),
) -> ParsedRows:
    """Parses the rows of the instance list.

    Args:
        rows: The rows by server id.
        decode: Decodes one row.
        failure_domains: The valid failure domains; empty to accept any.
    """
    parsed = ParsedRows({}, {})
    for key, row in rows.items():
        if row.deleted:
            continue
        result = decode(row)
        if isinstance(result, Err):
            parsed.refused[key] = result.err_value
        elif failure_domains and (
            result.ok_value.failure_domain not in failure_domains
        ):
            parsed.refused[key] = "unknown failure domain"
        else:
            parsed.listed[key] = result.ok_value
    _refuse_without_start(parsed)
    _refuse_replaced(parsed)
    return parsed


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

    def __init__(self) -> None:
        """Starts without invalid rows."""
        self._refused: dict[str, str] = {}

    def record(
        self,
        rows: Mapping[str, protocol.ChangedRow],
        refused: Mapping[str, str],
    ) -> None:
        """Logs the differences from the rows refused before."""
        now_refused = dict(list(refused.items())[:MAX_LOGGED_REFUSALS])
        for key, reason in now_refused.items():
            if self._refused.get(key) != reason:
                logging.warning(
                    "event=entry_refused server=%r version=%d detail=%r",
                    key,
                    rows[key].version,
                    reason,
                )
        for key in self._refused.keys() - refused.keys():
            logging.info("event=entry_accepted server=%r", key)
        self._refused = now_refused


__all__ = ["Decode", "ParsedRows", "RefusalLog", "parse"]

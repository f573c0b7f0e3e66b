"""Decides which rows of the instance list name a server.

Anyone may have written a row. Each is judged by itself, so that one that can't
be believed keeps nobody from hearing of all the others.
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

# Rows refused that are remembered: a writer that floods the list must not
# flood the log as well.
MAX_LOGGED_REFUSALS = 64


@dataclasses.dataclass(frozen=True, slots=True)
class ParsedRows:
    """What the rows of servers say.

    Attributes:
        listed: Entries by server id.
        refused: Why a row names no server, by its key.
    """

    listed: dict[str, protocol.Instance]
    refused: dict[str, str]


def parse(
    rows: Mapping[str, protocol.ChangedRow],
    decode: Decode,
    *,
    failure_domains: Collection[str] = (),
) -> ParsedRows:
    """Returns what rows by server id say.

    Args:
        rows: The rows.
        decode: Decodes one of them.
        failure_domains: All that there are; empty to take any.
    """
    found = ParsedRows({}, {})
    for key, row in rows.items():
        if row.deleted:
            continue
        got = decode(row)
        if isinstance(got, Err):
            found.refused[key] = got.err_value
        elif failure_domains and (
            got.ok_value.failure_domain not in failure_domains
        ):
            found.refused[key] = "unknown failure domain"
        else:
            found.listed[key] = got.ok_value
    _refuse_without_start(found)
    _refuse_replaced(found)
    return found


def _refuse_without_start(found: ParsedRows) -> None:
    """Refuses rows without a start where servers tell theirs.

    Most rows decide: one that another writer put there must neither pass
    among servers that all tell their start, nor end the use of those that
    never do.
    """
    unborn = [
        key for key, one in found.listed.items() if not _started_at_ms(one)
    ]
    if 2 * len(unborn) >= len(found.listed):
        return
    for key in unborn:
        del found.listed[key]
        found.refused[key] = "tells no start, though others do"


def _refuse_replaced(found: ParsedRows) -> None:
    """Refuses rows whose address belongs to a server that started later."""
    newest: dict[str, protocol.Instance] = {}
    for one in found.listed.values():
        other = newest.get(one.address)
        if other is None or _started_at_ms(one) > _started_at_ms(other):
            newest[one.address] = one
    for key, one in list(found.listed.items()):
        owner = newest[one.address]
        if _started_at_ms(owner) > _started_at_ms(one):
            del found.listed[key]
            found.refused[key] = f"address of {owner.name}, started later"


def _started_at_ms(instance: protocol.Instance) -> int:
    return incarnation.started_at_ms(instance.incarnation)


class RefusalLog:
    """Writes a line when a row turns bad, and when it is good again."""

    def __init__(self) -> None:
        """Knows no bad rows."""
        self._refused: dict[str, str] = {}

    def record(
        self,
        rows: Mapping[str, protocol.ChangedRow],
        refused: Mapping[str, str],
    ) -> None:
        """Takes in which rows name no server now."""
        now_refused = dict(list(refused.items())[:MAX_LOGGED_REFUSALS])
        for key, why in now_refused.items():
            if self._refused.get(key) != why:
                logging.warning(
                    "event=entry_refused server=%r version=%d detail=%r",
                    key,
                    rows[key].version,
                    why,
                )
        for key in self._refused.keys() - refused.keys():
            logging.info("event=entry_accepted server=%r", key)
        self._refused = now_refused


__all__ = ["Decode", "ParsedRows", "RefusalLog", "parse"]

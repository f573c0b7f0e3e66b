"""Writes the operators' table for other daemons, and reads it."""

from __future__ import annotations

import dataclasses
import zlib
from typing import TYPE_CHECKING

from absl import logging
from result import Err, Ok, Result

from godwittack.peer import deltas, peer_pb2
from godwittack.table import schema

if TYPE_CHECKING:
    from godwittack.table import model

# Limit of a peer's table after decompression.
MAX_TABLE_BYTES = 32 << 20
# Tables to which a peer may get the difference.
KEPT_TABLES = 3
# Characters of an error that go into the log.
MAX_DETAIL_CHARS = 200


@dataclasses.dataclass(frozen=True, slots=True)
class ReadTable:
    """A table that a peer has sent.

    Attributes:
        table: The table.
        text: Its JSON.
    """

    table: model.Table
    text: str


@dataclasses.dataclass(slots=True)
class _KeptTable:
    """A table, and its JSON once it was needed."""

    table: model.Table
    text: str | None = None
    digest: int = 0
    deflated: bytes = b""


class TableTexts:
    """The last tables of this daemon as JSON, each serialized at most once."""

    def __init__(self) -> None:
        """Starts without a table."""
        self._kept: list[_KeptTable] = []

    def add(self, table: model.Table, text: str | None = None) -> None:
        """Adds the newest table, with its JSON if a peer has sent it."""
        kept = _KeptTable(table)
        if text is not None:
            kept.text, kept.digest = text, deltas.digest(text)
        self._kept = [*self._kept, kept][-KEPT_TABLES:]

    def newest(self, table: model.Table) -> _KeptTable:
        """Returns the entry of the active table."""
        if not self._kept or self._kept[-1].table is not table:
            self.add(table)
        return _serialized(self._kept[-1])

    def find(self, digest: int) -> str | None:
        """Returns the JSON with a digest; None if it is none of the last."""
        for kept in reversed(self._kept):
            if _serialized(kept).digest == digest:
                return kept.text
        return None


class TableWriter:
    """Writes the table for peers.

    Load pattern: hundreds of daemons fetch each version within a second.
    """

    def __init__(self, texts: TableTexts | None = None) -> None:
        """Starts without a table.

        Args:
            texts: The last tables as JSON; None for those that were written.
        """
        self._texts = texts or TableTexts()
        self._delta: peer_pb2.TableDelta | None = None

    def reply(
        self, table: model.Table, request: peer_pb2.TableRequest
    ) -> peer_pb2.TableReply:
        """Returns the table if it is newer than the peer's."""
        reply = peer_pb2.TableReply(version=table.version)
        if table.version <= request.known_version:
            return reply
        newest = self._texts.newest(table)
        if not newest.text:
            return reply
        if request.base_digest and self._add_delta(reply, newest, request):
            return reply
        if request.accepts_deflate:
            newest.deflated = newest.deflated or zlib.compress(
                newest.text.encode()
            )
            reply.table_deflated = newest.deflated
        else:
            reply.table_json = newest.text
        return reply

    def _add_delta(
        self,
        reply: peer_pb2.TableReply,
        newest: _KeptTable,
        request: peer_pb2.TableRequest,
    ) -> bool:
        """Adds the difference to the peer's table, if that is known here."""
        base = self._texts.find(request.base_digest)
        if not base or not newest.text:
            return False
        wanted = (request.base_digest, newest.digest)
        delta = self._delta
        if delta is None or (delta.base_digest, delta.digest) != wanted:
            delta = self._delta = deltas.diff(base, newest.text)
        reply.delta.CopyFrom(delta)
        return True


def _serialized(kept: _KeptTable) -> _KeptTable:
    if kept.text is not None:
        return kept
    try:
        kept.text = schema.table_to_json(kept.table)
        kept.digest = deltas.digest(kept.text)
    except ValueError as error:
        # The operator's names and numbers may exceed those of our own tables.
        # Peers that know the version read the store.
        kept.text = ""
        logging.warning(
            "event=table_not_sent version=%d detail=%r",
            kept.table.version,
            " ".join(str(error).split())[:MAX_DETAIL_CHARS],
        )
    return kept


def read(
    reply: peer_pb2.TableReply, *, base: str = ""
) -> Result[ReadTable, str] | None:
    """Returns the table in a reply, None if it has none.

    Args:
        reply: The reply.
        base: JSON of the table that the request named.
    """
    text: Result[str, str] | None = None
    if reply.HasField("delta"):
        whole = deltas.apply(base, reply.delta)
        text = Err("the difference doesn't fit") if whole is None else Ok(whole)
    elif reply.table_deflated:
        text = _inflated(reply.table_deflated)
    elif reply.table_json:
        text = Ok(reply.table_json)
    if text is None or isinstance(text, Err):
        return text
    parsed = schema.table_from_json(text.ok_value)
    if isinstance(parsed, Err):
        return parsed
    return Ok(ReadTable(parsed.ok_value, text.ok_value))


def _inflated(data: bytes) -> Result[str, str]:
    decompressor = zlib.decompressobj()
    try:
        text = decompressor.decompress(data, MAX_TABLE_BYTES)
    except zlib.error as error:
        return Err(f"table of a peer can't be decompressed: {error}")
    if not decompressor.eof:
        return Err(
            "table of a peer is truncated,"
            f" or longer than {MAX_TABLE_BYTES} bytes"
        )
    try:
        return Ok(text.decode())
    except UnicodeDecodeError as error:
        return Err(f"table of a peer is not UTF-8: {error}")


__all__ = [
    "MAX_TABLE_BYTES",
    "ReadTable",
    "TableTexts",
    "TableWriter",
    "read",
]

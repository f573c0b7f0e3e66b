"""Serializes the operators' table for other daemons, and parses it."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING

from absl import logging
from result import Err, Result

from godwittack.peer import peer_pb2
from godwittack.table import schema

if TYPE_CHECKING:
    from godwittack.table import model

# Limit of a peer's table after decompression.
MAX_TABLE_BYTES = 32 << 20
# Characters of an error that go into the log.
MAX_DETAIL_CHARS = 200


class TableWriter:
    """Serializes the table for peers, and compresses each version once.

    Load pattern: hundreds of daemons fetch each version within a second.
    """

    def __init__(self) -> None:
        """Starts without a serialized table."""
        self._table: model.Table | None = None
        self._json = ""
        self._deflated = b""

    def reply(
        self, table: model.Table, request: peer_pb2.TableRequest
    ) -> peer_pb2.TableReply:
        """Returns the table if it is newer than the peer's."""
        reply = peer_pb2.TableReply(version=table.version)
        if table.version <= request.known_version:
            return reply
        self._serialize(table)
        if not self._json:
            return reply
        if request.accepts_deflate:
            reply.table_deflated = self._deflated
        else:
            reply.table_json = self._json
        return reply

    def _serialize(self, table: model.Table) -> None:
        if self._table is table:
            return
        self._table = table
        try:
            self._json = schema.table_to_json(table)
        except ValueError as error:
            # The operator's names and numbers may exceed those of our own
            # tables. Peers that know the version read the store.
            self._json = ""
            logging.warning(
                "event=table_not_sent version=%d detail=%r",
                table.version,
                " ".join(str(error).split())[:MAX_DETAIL_CHARS],
            )
        self._deflated = zlib.compress(self._json.encode())


def read(reply: peer_pb2.TableReply) -> Result[model.Table, str] | None:
    """Returns the table in a reply, None if it has none."""
    if not reply.table_deflated:
        if not reply.table_json:
            return None
        return schema.table_from_json(reply.table_json)
    decompressor = zlib.decompressobj()
    try:
        text = decompressor.decompress(reply.table_deflated, MAX_TABLE_BYTES)
    except zlib.error as error:
        return Err(f"table of a peer can't be decompressed: {error}")
    if not decompressor.eof:
        return Err(
            "table of a peer is truncated,"
            f" or longer than {MAX_TABLE_BYTES} bytes"
        )
    try:
        return schema.table_from_json(text.decode())
    except UnicodeDecodeError as error:
        return Err(f"table of a peer is not UTF-8: {error}")


__all__ = ["MAX_TABLE_BYTES", "TableWriter", "read"]

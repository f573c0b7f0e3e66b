"""Writes claims and their outcomes so that lost replies do no harm."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

from result import Err

from godwittack.claim import batch, schema
from godwittack.core import inputs, work
from godwittack.store import protocol

if TYPE_CHECKING:
    from godwittack.core import effects


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimReply:
    """Result of a claim write."""

    verdict: inputs.ClaimVerdict
    claim: work.Claim | None = None


class ClaimStore:
    """Stores claims in the platform's table service."""

    def __init__(self, service: protocol.TableService) -> None:
        """Stores claims in `service`."""
        self._service = service
        self._batcher = batch.WriteBatcher(service)

    async def claim(self, effect: effects.WriteClaim) -> ClaimReply:
        """Claims a key if it has no row, or still the row to overwrite.

        A reply may be lost after the write took effect. The stored row then
        has this request's nonce, and the next attempt recognizes it.
        """
        row_id = schema.row_id(effect.key)
        reply = await self._batcher.write(
            protocol.Condition(row_id, effect.over_version),
            protocol.RowWrite(row_id, schema.to_json(effect.claim)),
        )
        if isinstance(reply, Err):
            return ClaimReply(inputs.ClaimVerdict.UNANSWERED)
        if reply.ok_value.committed:
            return ClaimReply(inputs.ClaimVerdict.HELD)
        row = reply.ok_value.rows[0]
        if row.version == 0:
            return ClaimReply(inputs.ClaimVerdict.UNANSWERED)
        stored = schema.from_row(row)
        if stored is None:
            # The key may have been used; the request must not run.
            return ClaimReply(inputs.ClaimVerdict.UNANSWERED)
        is_own = stored.nonce == effect.claim.nonce
        if is_own and stored.state is work.ClaimState.CLAIMED:
            return ClaimReply(inputs.ClaimVerdict.HELD)
        return ClaimReply(inputs.ClaimVerdict.TAKEN, stored)

    async def store(self, effect: effects.StoreOutcome) -> bool:
        """Writes an outcome over the request's claim; returns if it is final.

        If there is no row, or a released one of an earlier caller, the
        request's claim write may still be in flight. The row written here
        makes the condition of that write fail, so that no claim without a
        holder blocks the key.
        """
        row_id = schema.row_id(effect.key)
        value = schema.to_json(effect.claim)
        expected_version = 0
        for _ in range(3):
            reply = await self._batcher.write(
                protocol.Condition(row_id, expected_version),
                protocol.RowWrite(row_id, value),
            )
            if isinstance(reply, Err):
                return False
            if reply.ok_value.committed:
                return True
            row = reply.ok_value.rows[0]
            if row.version and not _may_replace(row, effect.claim):
                return True
            expected_version = row.version
        return False


def _may_replace(row: protocol.StoredRow, own: work.Claim) -> bool:
    """Returns whether the outcome in `own` may overwrite the stored row."""
    stored = schema.from_row(row)
    if stored is None:
        return False
    if stored.nonce == own.nonce:
        return stored.state is work.ClaimState.CLAIMED
    never_sent = own.state is work.ClaimState.RELEASED
    return never_sent and stored.state is work.ClaimState.RELEASED


__all__ = ["ClaimReply", "ClaimStore"]

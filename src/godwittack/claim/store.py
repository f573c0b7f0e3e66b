"""Writes claims and their outcomes, whatever replies are lost."""

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
    """What became of a claim write."""

    verdict: inputs.ClaimVerdict
    claim: work.Claim | None = None


class ClaimStore:
    """Claims on the platform's table service."""

    def __init__(self, service: protocol.TableService) -> None:
        """Keeps claims in `service`."""
        self._service = service
        self._batcher = batch.WriteBatcher(service)

    async def claim(self, order: effects.WriteClaim) -> ClaimReply:
        """Claims a key if no row, or the row named, stands.

        A reply may be lost after the write took effect. The row that stands
        then carries this request's nonce, and the next try finds it.
        """
        row_id = schema.row_id(order.key)
        got = await self._batcher.write(
            protocol.Condition(row_id, order.over_version),
            protocol.RowWrite(row_id, schema.to_json(order.claim)),
        )
        if isinstance(got, Err):
            return ClaimReply(inputs.ClaimVerdict.UNANSWERED)
        if got.ok_value.committed:
            return ClaimReply(inputs.ClaimVerdict.HELD)
        row = got.ok_value.rows[0]
        if row.version == 0:
            return ClaimReply(inputs.ClaimVerdict.UNANSWERED)
        stands = schema.from_row(row)
        ours = stands.nonce == order.claim.nonce
        if ours and stands.state is work.ClaimState.CLAIMED:
            return ClaimReply(inputs.ClaimVerdict.HELD)
        return ClaimReply(inputs.ClaimVerdict.TAKEN, stands)

    async def store(self, order: effects.StoreOutcome) -> bool:
        """Writes an outcome over our claim; returns whether it holds.

        Where no row stands, or a released one of an earlier caller, our own
        claim write may still be on its way. The row written here makes its
        condition fail, so that the key is not blocked by a claim nobody
        holds.
        """
        row_id = schema.row_id(order.key)
        value = schema.to_json(order.claim)
        expected = 0
        for _ in range(3):
            got = await self._batcher.write(
                protocol.Condition(row_id, expected),
                protocol.RowWrite(row_id, value),
            )
            if isinstance(got, Err):
                return False
            if got.ok_value.committed:
                return True
            row = got.ok_value.rows[0]
            if row.version and not _may_replace(row, order.claim):
                return True
            expected = row.version
        return False


def _may_replace(row: protocol.StoredRow, ours: work.Claim) -> bool:
    """Returns whether our outcome belongs over the row that stands."""
    stands = schema.from_row(row)
    if stands.nonce == ours.nonce:
        return stands.state is work.ClaimState.CLAIMED
    never_sent = ours.state is work.ClaimState.RELEASED
    return never_sent and stands.state is work.ClaimState.RELEASED


__all__ = ["ClaimReply", "ClaimStore"]

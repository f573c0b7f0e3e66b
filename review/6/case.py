"""A tenant becomes isolated; others still find what it cached before."""

from __future__ import annotations

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "common2"))
import lab  # noqa: E402

FOLDER = pathlib.Path(__file__).resolve().parent
DESK, FAIR = "key-of-desk", "key-of-fair"
# The shared part of a rulebook question, and one of the request's own.
PROMPT = {
    "X-Godwittack-Model": "m",
    "X-Godwittack-Token-Usage": "17020,17",
    "X-Godwittack-Deadline-Ms": "6000",
}
SENT_BEFORE = 12
SENT_AFTER = 12
# Beyond the bound on configurations.
MARGIN_S = 1.0


def config(version: int, *, is_isolated: bool) -> dict:
    """Returns a configuration with two tenants."""
    return {
        **lab.platform.config(version),
        "tenants": [
            {"name": "desk", "api-keys": [DESK], "isolated": is_isolated},
            {"name": "fair", "api-keys": [FAIR], "isolated": False},
        ],
    }


async def case(record: lab.Record) -> int:
    """Returns whether a request used what an isolated tenant had made."""
    engines = {
        name: lab.CachingEngine(name, record) for name in ("i-e1", "i-e2")
    }
    services = {name: lab.Replica(name) for name in ("i-s1", "i-s2")}
    started = lab.Lab(
        record, {**engines, **services}, config(1, is_isolated=False)
    )
    async with started as running:
        await running.until_serving()

        async def ask(name: str, key: str, number: int) -> None:
            prefix = f"5c1e07a2:13300,{name.encode().hex()}:3720"
            headers = {**PROMPT, "X-Godwittack-Prefix-Hash": prefix}
            await running.send(
                "long", name, key=key, daemon=number % 3, headers=headers
            )

        for number in range(SENT_BEFORE):
            await ask(f"desk-{number}", DESK, number)
        if lab.TROUBLE:
            running.put_config(config(2, is_isolated=True))
        acknowledged_s = record.now_s()
        await asyncio.sleep(lab.CONFIG_APPLY_S + MARGIN_S)
        # The isolated tenant goes on, now apart from the others.
        for number in range(SENT_AFTER):
            await ask(f"desk-late-{number}", DESK, number)
            await ask(f"fair-{number}", FAIR, number)
        in_force_s = acknowledged_s + lab.CONFIG_APPLY_S
        foreign = [
            use
            for engine in engines.values()
            for use in engine.uses
            if lab.TROUBLE and use[0] > in_force_s and _is_foreign(*use)
        ]
        served = sum(len(engine.ran) for engine in engines.values())
    if served < SENT_BEFORE + SENT_AFTER:
        record.write(f"only {served} requests ran")
        return lab.NOT_RUN
    for at_s, request_id, tenant, part, maker in foreign:
        record.write(
            f"BROKEN   WALL: {request_id} of {tenant} used part {part}, which"
            f" {maker} had made, {at_s - acknowledged_s:.1f} s after the"
            " acknowledgement that desk is isolated"
        )
    return lab.BROKEN if foreign else lab.HELD


def _is_foreign(
    at_s: float, request_id: str, tenant: str, part: str, maker: str
) -> bool:
    return tenant != maker and "desk" in (tenant, maker)


if __name__ == "__main__":
    lab.main(case, FOLDER)

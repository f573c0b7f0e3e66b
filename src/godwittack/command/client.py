"""Calls of a daemon's operator side, for the commands."""

from __future__ import annotations

import asyncio
import dataclasses
import json
import os
import pathlib
import sys
from typing import Annotated

import cyclopts
from result import Err, Ok, Result

from godwittack.command import codes
from godwittack.table import model, schema

DAEMON_VARIABLE = "GODWITTACK_DAEMON"
TOKEN_VARIABLE = "GODWITTACK_TOKEN_FILE"
# A change is answered within 9 s. A daemon that is silent for longer was
# paused or cut off, and another one can tell what became of the change.
TIMEOUT_S = 9.0
READ_TIMEOUT_S = 4.0


@cyclopts.Parameter(name="*")
@dataclasses.dataclass(frozen=True, kw_only=True)
class Target:
    """Which daemon to ask, and as whom.

    Attributes:
        daemon: IP:port of any daemon, or of several with commas between, of
            which the next is asked where one does not answer; default from
            GODWITTACK_DAEMON.
        token_file: File with your token; default from GODWITTACK_TOKEN_FILE.
    """

    daemon: str = ""
    token_file: str = ""


TargetOption = Annotated[Target | None, cyclopts.Parameter(name="*")]


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """A daemon's answer.

    Attributes:
        table_version: Version named in the answer's head, 0 where none is.
    """

    status: int
    body: str
    table_version: int


def call(
    target: Target | None,
    method: str,
    path: str,
    body: dict[str, object] | None = None,
) -> Result[Answer, str]:
    """Calls the daemon and returns its answer, or one line of error.

    The next named daemon is asked where one does not answer. That is safe for
    a change as well: its body carries a nonce, which is committed once.
    """
    target = target or Target()
    named = target.daemon or os.environ.get(DAEMON_VARIABLE, "")
    addresses = [part.strip() for part in named.split(",") if part.strip()]
    token_file = target.token_file or os.environ.get(TOKEN_VARIABLE, "")
    if not addresses:
        return Err(
            f"--daemon: write the IP:port of a daemon, or set {DAEMON_VARIABLE}"
        )
    if not token_file:
        return Err(
            f"--token-file: name the file with your token, or set"
            f" {TOKEN_VARIABLE}"
        )
    try:
        token = pathlib.Path(token_file).read_text(encoding="utf-8").strip()
    except OSError as error:
        return Err(f"--token-file {token_file}: {error.strerror}")
    got: Result[Answer, str] = Err("no daemon asked")
    for address in addresses:
        got = asyncio.run(_call(address, token, method, path, body))
        if isinstance(got, Ok):
            break
        if address != addresses[-1]:
            print(f"{got.err_value}; asking the next daemon", file=sys.stderr)
    return got


def fetch_table(target: Target | None) -> Result[model.Table, str]:
    """Returns the table in force at the daemon."""
    got = call(target, "GET", "/operator/table?form=json")
    if isinstance(got, Err):
        return got
    if got.ok_value.status != 200:
        return Err(error_detail(got.ok_value))
    return schema.table_from_json(got.ok_value.body)


def error_detail(answer: Answer) -> str:
    """Returns what a daemon said was wrong."""
    try:
        told = json.loads(answer.body)
    except ValueError:
        return f"status {answer.status}"
    return str(told.get("detail", f"status {answer.status}"))


def fail(message: str, code: int = codes.BAD_INPUT) -> int:
    """Prints one line of error and returns the exit code."""
    print(message, file=sys.stderr)
    return code


async def _call(
    address: str,
    token: str,
    method: str,
    path: str,
    body: dict[str, object] | None,
) -> Result[Answer, str]:
    import aiohttp

    timeout_s = READ_TIMEOUT_S if method == "GET" else TIMEOUT_S
    try:
        async with (
            aiohttp.ClientSession(
                timeout=aiohttp.ClientTimeout(total=timeout_s)
            ) as session,
            session.request(
                method,
                f"http://{address}{path}",
                json=body,
                headers={"authorization": f"Bearer {token}"},
            ) as response,
        ):
            text = await response.text()
            version = int(response.headers.get("x-table-version", "0"))
            return Ok(Answer(response.status, text, version))
    except TimeoutError:
        return Err(f"daemon {address}: no answer within {timeout_s:g} s")
    except (aiohttp.ClientError, ValueError) as error:
        return Err(f"daemon {address}: {error or type(error).__name__}")


__all__ = [
    "Answer",
    "Target",
    "TargetOption",
    "call",
    "error_detail",
    "fail",
    "fetch_table",
]

"""Calls the operators' HTTP interface of a daemon."""

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
# A change is answered within 9 s. A daemon that takes longer was paused or
# disconnected, and another daemon can report the outcome of the change.
CHANGE_TIMEOUT_S = 9.0
READ_TIMEOUT_S = 4.0


@cyclopts.Parameter(name="*")
@dataclasses.dataclass(frozen=True, kw_only=True)
class Target:
    """Which daemon to call, and with which token.

    Attributes:
        daemon: IP:port of any daemon, or several separated by commas, of
            which the next is called if one does not answer; default from
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
        table_version: Value of the x-table-version header, 0 if absent.
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
    """Calls the daemon and returns its answer, or a one-line error.

    If a daemon does not answer, the next one is called. This is safe for
    changes too: the body contains a nonce, which is committed only once.
    """
    target = target or Target()
    daemon_list = target.daemon or os.environ.get(DAEMON_VARIABLE, "")
    addresses = [
        part.strip() for part in daemon_list.split(",") if part.strip()
    ]
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
    answer: Result[Answer, str] = Err("no daemon was called")
    for address in addresses:
        answer = asyncio.run(_call(address, token, method, path, body))
        if isinstance(answer, Ok):
            break
        if address != addresses[-1]:
            print(
                f"{answer.err_value}; trying the next daemon", file=sys.stderr
            )
    return answer


def fetch_table(target: Target | None) -> Result[model.Table, str]:
    """Returns the table that the daemon currently uses."""
    answer = call(target, "GET", "/operator/table?form=json")
    if isinstance(answer, Err):
        return answer
    if answer.ok_value.status != 200:
        return Err(error_detail(answer.ok_value))
    return schema.table_from_json(answer.ok_value.body)


def error_detail(answer: Answer) -> str:
    """Returns the error detail from a daemon's answer."""
    try:
        error_body = json.loads(answer.body)
    except ValueError:
        return f"status {answer.status}"
    return str(error_body.get("detail", f"status {answer.status}"))


def fail(message: str, code: int = codes.BAD_INPUT) -> int:
    """Prints a one-line error and returns the exit code."""
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

    timeout_s = READ_TIMEOUT_S if method == "GET" else CHANGE_TIMEOUT_S
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

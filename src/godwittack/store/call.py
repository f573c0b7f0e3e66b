"""Makes one HTTP call to a store and returns failures as values."""

from __future__ import annotations

import dataclasses
from urllib import parse

import aiohttp
from absl import logging
from result import Err, Ok, Result

from godwittack.backend import bounded_client, reply_limits

JSON_TYPE = {"Content-Type": "application/json"}
# Longest time for an answer that keeps arriving. A configuration of a thousand
# routes takes most of a second on a slow link.
TRANSFER_MS = 5_000


@dataclasses.dataclass(frozen=True, slots=True)
class CallFailure:
    """A call without an answer.

    Attributes:
        detail: One line that describes the failure.
        may_have_run: Whether any byte may have reached the store.
        timed_out: Whether the call timed out.
    """

    detail: str
    may_have_run: bool = True
    timed_out: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Status and complete body of an answer."""

    status: int
    body: bytes


async def exchange(
    session: aiohttp.ClientSession,
    method: str,
    url: str,
    *,
    body: bytes | None,
    timeout_ms: int,
    limit_bytes: int = reply_limits.DEFAULT.answer_bytes,
) -> Result[Reply, CallFailure]:
    """Makes one call; a redirect is returned as an answer, not followed.

    Args:
        session: Makes the call.
        method: HTTP method.
        url: What is called.
        body: Body of the request; None for none.
        timeout_ms: Longest time until the answer is whole; for a GET until it
            begins, and of a pause in it.
        limit_bytes: Length that the answer may have.
    """
    timeout = aiohttp.ClientTimeout(total=timeout_ms / 1000)
    if method == "GET":
        timeout = aiohttp.ClientTimeout(
            total=(timeout_ms + TRANSFER_MS) / 1000,
            connect=timeout_ms / 1000,
            sock_read=timeout_ms / 1000,
        )
    try:
        async with session.request(
            method,
            url,
            data=body,
            headers=JSON_TYPE if body else {},
            timeout=timeout,
            allow_redirects=False,
        ) as response:
            data = await bounded_client.read_body(
                response, limit_bytes=limit_bytes
            )
            return Ok(Reply(response.status, data))
    except TimeoutError:
        return Err(CallFailure("no answer in time", timed_out=True))
    except aiohttp.ClientConnectorError as error:
        return Err(CallFailure(str(error), may_have_run=False))
    except reply_limits.EndlessReplyError as error:
        logging.warning(
            "event=endless_answer server=%s what=%s bytes=%d",
            parse.urlsplit(url).netloc,
            error.what.replace(" ", "_"),
            error.size_bytes,
        )
        return Err(CallFailure(str(error)))
    except (aiohttp.ClientError, OSError) as error:
        return Err(CallFailure(str(error) or type(error).__name__))


__all__ = ["CallFailure", "Reply", "exchange"]

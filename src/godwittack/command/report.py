"""`godwittack report`: tells what is late, refused or wasted."""

from __future__ import annotations

from result import Err

from godwittack.command import client, codes, parser
from godwittack.report import counters, text


@parser.app.command
def report(*, target: client.TargetOption = None, json: bool = False) -> int:
    """Tells by workspace what was late, refused or wasted, and what to do.

    Args:
        target: Which daemon to ask; it asks all the others.
        json: Print the counts.
    """
    got = client.call(target, "GET", "/operator/report")
    if isinstance(got, Err):
        return client.fail(got.err_value, codes.UNAVAILABLE)
    if got.ok_value.status != 200:
        return client.fail(client.detail(got.ok_value))
    if json:
        print(got.ok_value.body)
        return codes.OK
    counts = counters.Counts.model_validate_json(got.ok_value.body)
    print(text.render(counts), end="")
    return codes.OK


__all__ = ["report"]

"""`godwittack report`: prints what was late, refused or wasted."""

from __future__ import annotations

from result import Err

from godwittack.command import client, codes, parser
from godwittack.report import counters, text


@parser.app.command
def report(*, target: client.TargetOption = None, json: bool = False) -> int:
    """Prints per workspace what was late, refused or wasted, with advice.

    Args:
        target: Which daemon to call; it collects the counts of all others.
        json: Print the counts as JSON.
    """
    answer = client.call(target, "GET", "/operator/report")
    if isinstance(answer, Err):
        return client.fail(answer.err_value, codes.UNAVAILABLE)
    if answer.ok_value.status != 200:
        return client.fail(client.error_detail(answer.ok_value))
    if json:
        print(answer.ok_value.body)
        return codes.OK
    counts = counters.Counts.model_validate_json(answer.ok_value.body)
    print(text.render(counts), end="")
    return codes.OK


__all__ = ["report"]

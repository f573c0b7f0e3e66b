"""`godwittack table status`: prints which daemon has which version."""

from __future__ import annotations

import json as json_module

from result import Err

from godwittack.command import client, codes, parser


@parser.table.command
def status(*, target: client.TargetOption = None, json: bool = False) -> int:
    """Shows which version each daemon has; exits 1 if they differ.

    Args:
        target: Which daemon to ask.
        json: Print the daemon's answer as JSON.
    """
    got = client.call(target, "GET", "/operator/status")
    if isinstance(got, Err):
        return client.fail(got.err_value, codes.UNAVAILABLE)
    if got.ok_value.status != 200:
        return client.fail(client.error_detail(got.ok_value))
    told = json_module.loads(got.ok_value.body)
    if json:
        print(got.ok_value.body)
    else:
        print(f"version {told['table_version']} at the daemon asked")
        for row in told["daemons"]:
            print(
                f"  {row['daemon']}: version {row['table_version']},"
                f" {row['state']}"
            )
    behind = [
        row
        for row in told["daemons"]
        if row["table_version"] != told["table_version"]
    ]
    return codes.FAILED if behind else codes.OK


__all__ = ["status"]

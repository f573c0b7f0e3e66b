"""`godwittack table status`: prints the table version of each daemon."""

from __future__ import annotations

import json as json_module

from result import Err

from godwittack.command import client, codes, parser


@parser.table.command
def status(*, target: client.TargetOption = None, json: bool = False) -> int:
    """Shows the table version of each daemon; exits 1 if any differs.

    Args:
        target: Which daemon to call.
        json: Print the daemon's answer as JSON.
    """
    answer = client.call(target, "GET", "/operator/status")
    if isinstance(answer, Err):
        return client.fail(answer.err_value, codes.UNAVAILABLE)
    if answer.ok_value.status != 200:
        return client.fail(client.error_detail(answer.ok_value))
    report = json_module.loads(answer.ok_value.body)
    if json:
        print(answer.ok_value.body)
    else:
        print(f"version {report['table_version']} on the called daemon")
        for row in report["daemons"]:
            print(
                f"  {row['daemon']}: version {row['table_version']},"
                f" {row['state']}"
            )
    differing = [
        row
        for row in report["daemons"]
        if row["table_version"] != report["table_version"]
    ]
    return codes.FAILED if differing else codes.OK


__all__ = ["status"]

"""Hooks of behave: processes that a scenario starts end with it."""

from __future__ import annotations

from absl import logging


def before_all(context):
    """Keeps log lines of sessions in this process out of the output."""
    del context
    logging.set_verbosity(logging.ERROR)


def after_scenario(context, scenario):
    """Ends the scenario's processes; prints their logs if it failed."""
    cluster = getattr(context, "cluster", None)
    if cluster is None:
        return
    # behave counts any exception but a failed assertion, such as a wait that
    # timed out, as an error instead of a failure. has_failed() covers both, so
    # that both print logs.
    if scenario.status.has_failed():
        for name in cluster.processes:
            if name in cluster.peer_ports or cluster.has_ended(name):
                print(f"--- {name}\n{cluster.log(name)[-20000:]}")
    cluster.close()

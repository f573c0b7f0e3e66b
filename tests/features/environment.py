"""Hooks of behave: every scenario gets and loses its own processes."""

from __future__ import annotations

from absl import logging


def before_all(context):
    """Keeps the log lines of sessions in this process out of the output."""
    del context
    logging.set_verbosity(logging.ERROR)


def after_scenario(context, scenario):
    """Ends what the scenario started, also when it failed."""
    cluster = getattr(context, "cluster", None)
    if cluster is None:
        return
    # Whatever is no failed assertion, such as a wait that timed out, is an
    # error to behave and no failure: asked for failures alone, it would leave
    # nothing to trace it by.
    if scenario.status.has_failed():
        for name in cluster.processes:
            if name in cluster.peer_ports or cluster.has_ended(name):
                print(f"--- {name}\n{cluster.log(name)[-20000:]}")
    cluster.close()

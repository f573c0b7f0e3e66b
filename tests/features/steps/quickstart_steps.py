"""Steps that run the quickstart."""

from __future__ import annotations

import contextlib
import io

from behave import then, when

from cluster import quickstart


@when("the quickstart runs")
def run_quickstart(context):
    """Runs it in this process; it starts processes of its own."""
    output = io.StringIO()
    with contextlib.redirect_stdout(output):
        context.code = quickstart.main()
    context.output = output.getvalue()


@then("it reports that every step succeeded")
def check_success(context):
    """Checks its exit code and last line."""
    assert context.code == 0, context.output
    assert "All of it was seen" in context.output

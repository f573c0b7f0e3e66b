"""The step that plays a case by its name."""

from __future__ import annotations

from behave import when

from cases import registry


@when('the case "{name}" of "{group}" is played')
def play(context, name, group):
    """Plays the case; a failed check fails the step."""
    del context
    registry.play(group, name)

"""`godwittack settings`: prints every setting."""

from __future__ import annotations

import dataclasses
import inspect
import re

from godwittack.command import codes, parser
from godwittack.config import settings as configs
from godwittack.core import policy
from godwittack.member import view

UNITS_BY_SUFFIX = {
    "_ms": "milliseconds",
    "_bytes": "bytes",
    "_per_token": "microseconds per token",
}


@parser.app.command
def settings() -> int:
    """Prints every setting with its default, unit and description."""
    for name, field in configs.Settings.model_fields.items():
        default = (
            "required"
            if field.is_required()
            else field.get_default(call_default_factory=True)
        )
        _print(name, default, field.description or "")
    print("\nNumbers under `decisions:`")
    _print_fields(policy.Policy)
    print("\nNumbers under `membership:`")
    _print_fields(view.MemberPolicy)
    return codes.OK


def _print(name: str, default: object, description: str) -> None:
    unit = next(
        (u for end, u in UNITS_BY_SUFFIX.items() if name.endswith(end)), ""
    )
    shown = f"{default} {unit}".strip()
    print(f"{name} (default: {shown})\n    {description}")


def _print_fields(policy_type: type) -> None:
    descriptions = _attribute_docs(inspect.getdoc(policy_type) or "")
    for field in dataclasses.fields(policy_type):
        _print(field.name, field.default, descriptions.get(field.name, ""))


def _attribute_docs(doc: str) -> dict[str, str]:
    """Returns field descriptions from a docstring's `Attributes:` section."""
    _, _, section = doc.partition("Attributes:\n")
    found = re.findall(
        r"^    (\w+): (.*(?:\n        .*)*)", section, flags=re.MULTILINE
    )
    return {name: " ".join(text.split()) for name, text in found}


__all__ = ["settings"]

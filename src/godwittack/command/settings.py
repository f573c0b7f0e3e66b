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
    "_per_token": "microseconds a token",
}


@parser.app.command
def settings() -> int:
    """Prints every setting with its default, unit and meaning."""
    for name, field in configs.Settings.model_fields.items():
        default = (
            "required"
            if field.is_required()
            else field.get_default(call_default_factory=True)
        )
        _print(name, default, field.description or "")
    print("\nNumbers below `decisions:`")
    _print_fields(policy.Policy)
    print("\nNumbers below `membership:`")
    _print_fields(view.MemberPolicy)
    return codes.OK


def _print(name: str, default: object, meaning: str) -> None:
    unit = next(
        (u for end, u in UNITS_BY_SUFFIX.items() if name.endswith(end)), ""
    )
    shown = f"{default} {unit}".strip()
    print(f"{name} (default: {shown})\n    {meaning}")


def _print_fields(owner: type) -> None:
    meanings = _attribute_docs(inspect.getdoc(owner) or "")
    for field in dataclasses.fields(owner):
        _print(field.name, field.default, meanings.get(field.name, ""))


def _attribute_docs(doc: str) -> dict[str, str]:
    """Returns the meanings from a class's `Attributes:` section."""
    _, _, section = doc.partition("Attributes:\n")
    found = re.findall(
        r"^    (\w+): (.*(?:\n        .*)*)", section, flags=re.MULTILINE
    )
    return {name: " ".join(text.split()) for name, text in found}


__all__ = ["settings"]

"""Encodes inputs and effects as lines of JSON, and decodes them."""

from __future__ import annotations

import dataclasses
import json
import typing

import cattrs
from cattrs import gen

from godwittack.core import effects, inputs, policy, server_inputs, work
from godwittack.table import forwarding, model

# Maps each byte to one character, so text in a recording stays readable and any
# other bytes are preserved.
_BYTES_ENCODING = "latin-1"

_MESSAGE_TYPES: dict[str, type] = {
    kind.__name__: kind
    for kind in (
        *typing.get_args(inputs.Input),
        *typing.get_args(effects.Effect),
    )
}


# Fields used only by requests with routes. They are omitted at their default
# value, so sessions without such requests do not contain them.
_OMITTED_IF_DEFAULT: dict[type, tuple[str, ...]] = {
    work.Work: (
        "host",
        "path",
        "route",
        "resume_after",
        "resumes",
        "parts",
        "used_tokens",
        "body_bytes",
        "length_hint",
    ),
    work.Answer: ("is_delimited",),
    work.Head: ("is_delimited",),
    effects.Announce: (
        "load",
        "delay_ms",
        "memory_tokens",
        "shared_tokens",
        "is_long",
    ),
    effects.Dispatch: (
        "ends_at_ms",
        "has_own_place",
        "suspects",
        "idle_margin_ms",
        "streaming",
    ),
    effects.Probe: ("fresh_connection",),
    inputs.MembersChanged: ("known",),
    inputs.RequestArrived: ("waited_ms",),
    inputs.Tick: ("late_ms",),
    server_inputs.LoadEchoed: ("is_relayed", "pace_percent"),
    server_inputs.LoadReported: (
        "kv_used_tokens",
        "kv_total_tokens",
        "kv_reserved_tokens",
        "next_tokens",
    ),
    server_inputs.PeerDispatched: (
        "load",
        "memory_tokens",
        "shared_tokens",
        "is_long",
    ),
    server_inputs.ProbeAnswered: (
        "fresh_connection",
        "was_asked",
        "broken",
        "late_ms",
    ),
    server_inputs.ServerListed: ("slots", "software_version"),
    policy.Policy: (
        "budget_by_target",
        "old_weights_limit_ms",
        "old_weights_from_ms",
        "old_weights_cost_ms",
        "quota_window_s",
        "quota_overage_ratio",
        "quota_slack",
        "quota_spare_ratio",
        "quota_window_part",
        "uneven_servers",
        "uneven_hold_ms",
        "engine_memory",
        "cross_domain_cost_ms",
        "cross_domain_cost_ms_per_kb",
        "new_connection_cost_ms",
        "long_prompt_tokens",
        "final_refusal_age_ms",
        "max_unseen_ms",
        "late_answer_value",
    ),
}


def _make_converter() -> cattrs.Converter:
    converter = cattrs.Converter()
    converter.register_unstructure_hook(
        bytes, lambda data: data.decode(_BYTES_ENCODING)
    )
    converter.register_structure_hook(
        bytes, lambda text, _: text.encode(_BYTES_ENCODING)
    )
    converter.register_structure_hook(str | int | float, lambda value, _: value)
    converter.register_structure_hook(
        str | int | float | None, lambda value, _: value
    )
    for kind, names in _OMITTED_IF_DEFAULT.items():
        overrides: typing.Any = {
            name: gen.override(omit_if_default=True) for name in names
        }
        hook: typing.Any = gen.make_dict_unstructure_fn(
            kind, converter, **overrides
        )
        converter.register_unstructure_hook(kind, hook)
    converter.register_unstructure_hook(model.Table, _unstructure_table)
    converter.register_structure_hook(model.Table, _structure_table)
    return converter


def _unstructure_table(table: model.Table) -> dict[str, object]:
    rows = [
        {"kind": model.row_kind(row).value, **_ROW_CONVERTER.unstructure(row)}
        for row in table.rows()
    ]
    stored: dict[str, object] = {"version": table.version, "rows": rows}
    if table.forwarding is not None:
        stored["tokens"] = table.workspace_by_token
        stored["forwarding"] = _ROW_CONVERTER.unstructure(table.forwarding)
    return stored


def _structure_table(stored: dict[str, typing.Any], _: type) -> model.Table:
    rows: list[model.Row] = []
    for cells in stored["rows"]:
        kind = model.RowKind(cells["kind"])
        values = {k: v for k, v in cells.items() if k != "kind"}
        rows.append(_ROW_CONVERTER.structure(values, model.ROW_TYPES[kind]))
    table = model.Table.from_rows(version=stored["version"], rows=rows)
    if "forwarding" not in stored:
        return table
    table.workspace_by_token.update(stored["tokens"])
    routes = _ROW_CONVERTER.structure(
        stored["forwarding"], forwarding.Forwarding
    )
    return dataclasses.replace(table, forwarding=routes)


_ROW_CONVERTER = cattrs.Converter()
_ROW_CONVERTER.register_unstructure_hook_func(
    lambda kind: typing.get_origin(kind) is frozenset, sorted
)
_CONVERTER = _make_converter()


def encode(item: inputs.Input | effects.Effect) -> str:
    """Returns one line: the type name, then all fields that are not empty."""
    fields = _CONVERTER.unstructure(item)
    present = {k: v for k, v in fields.items() if v not in ("", (), [], None)}
    return json.dumps({"type": type(item).__name__, **present})


def decode(line: str) -> inputs.Input | effects.Effect:
    """Decodes a line written by `encode`."""
    fields = json.loads(line)
    kind = _MESSAGE_TYPES[fields.pop("type")]
    for name, default in _omitted_values(kind).items():
        fields.setdefault(name, default)
    return _CONVERTER.structure(fields, kind)


def encode_policy(core_policy: policy.Policy) -> str:
    """Returns the core's policy as one line."""
    return json.dumps(_CONVERTER.unstructure(core_policy))


def decode_policy(line: str) -> policy.Policy:
    """Decodes a line written by `encode_policy`."""
    return _CONVERTER.structure(json.loads(line), policy.Policy)


def _omitted_values(kind: type) -> dict[str, object]:
    """Returns the empty value of each field that may be omitted."""
    hints = typing.get_type_hints(kind)
    values: dict[str, object] = {}
    for name, hint in hints.items():
        if hint is str:
            values[name] = ""
        elif typing.get_origin(hint) is tuple:
            values[name] = []
        elif type(None) in typing.get_args(hint):
            values[name] = None
    return values


__all__ = ["decode", "decode_policy", "encode", "encode_policy"]

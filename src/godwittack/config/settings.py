"""Defines, loads and checks all settings, with default, unit and meaning."""

from __future__ import annotations

import dataclasses
import difflib
import enum
import math
import pathlib
from typing import Annotated, Any, TypeAlias

import pydantic
import yaml
from result import Err, Ok, Result

from godwittack.core import policy as policies
from godwittack.member import staleness, view

Address: TypeAlias = Annotated[
    str,
    pydantic.StringConstraints(
        pattern=r"^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}$"
    ),
]
Sha256: TypeAlias = Annotated[
    str, pydantic.StringConstraints(pattern=r"^[0-9a-f]{64}$")
]
Ms: TypeAlias = Annotated[int, pydantic.Field(ge=1, le=3_600_000)]
MIN_SECRET_BYTES = 16
MB_BYTES = 1 << 20
# Subtracted from weights_bound_ms: the time for a publication of weights to
# reach all daemons, and for a request to wait at its server.
WEIGHTS_MARGIN_MS = 2_500
DEFAULT_BOUND_MS = 3_000


class Interface(enum.StrEnum):
    """Protocol of callers, backend servers and the store."""

    OWN = "own"
    PLATFORM = "platform"


class _Section(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class Operator(_Section):
    """A person who may change the table."""

    name: str = pydantic.Field(description="name written into the audit trail")
    token_sha256: Sha256 = pydantic.Field(
        description="SHA-256 of the operator's token, in hex"
    )


class Settings(_Section):
    """Settings of one daemon."""

    name: str = pydantic.Field(description="name of this instance")
    failure_domain: str = pydantic.Field(
        description="failure domain of this instance"
    )
    http_address: Address = pydantic.Field(
        description="IP:port for callers and operators"
    )
    peer_address: Address = pydantic.Field(
        description="IP:port for other daemons"
    )
    seeds: tuple[Address, ...] = pydantic.Field(
        default=(),
        description="peer addresses of daemons through which to find others",
    )
    platform_url: str = pydantic.Field(
        description="http://IP:port of the platform's service"
    )
    cluster_secret_file: str = pydantic.Field(
        default="", description="file with the secret that all daemons share"
    )
    cluster_secret: str = pydantic.Field(
        default="",
        description="that secret itself, if it can't be put into a file",
    )
    interface: Interface = pydantic.Field(
        default=Interface.OWN,
        description="protocol of callers, servers and the store: own, platform",
    )
    ready_address: Address = pydantic.Field(
        default="0.0.0.0:0",
        description="IP:port for readiness checks; platform interface only",
    )
    directory_address: Address = pydantic.Field(
        default="0.0.0.0:0",
        description="IP:port for callers' lookups; platform interface only",
    )
    metrics_address: Address | None = pydantic.Field(
        default=None,
        description="further IP:port for metrics, besides http_address",
    )
    failure_domains: dict[str, str] = pydantic.Field(
        default_factory=dict,
        description="region of each failure domain; empty to accept any",
    )
    key_bound_ms: Ms = pydantic.Field(
        default=5_000,
        description="ms after which a revoked key must not be served",
    )
    config_bound_ms: Ms = pydantic.Field(
        default=DEFAULT_BOUND_MS,
        ge=staleness.MIN_BOUND_MS,
        description="ms after which a change of the table must be in force",
    )
    drain_bound_ms: Ms = pydantic.Field(
        default=DEFAULT_BOUND_MS,
        ge=staleness.MIN_BOUND_MS,
        description="ms after which a server that leaves must get no new work",
    )
    feed_wait_ms: Ms = pydantic.Field(
        default=1_000,
        description="ms that the store waits for changes before it answers",
    )
    mesh_limit: int = pydantic.Field(
        default=16,
        ge=1,
        description="daemons up to which all serve and receive all updates",
    )
    serving_daemons: int = pydantic.Field(
        default=48,
        ge=1,
        description="daemons that callers are sent to, if more than mesh_limit",
    )
    cores: float | None = pydantic.Field(
        default=None,
        gt=0,
        description="speed of the machine's core relative to the usual one",
    )
    core_share: float | None = pydantic.Field(
        default=None,
        gt=0,
        description="share of that core that the daemon may use",
    )
    weights_bound_ms: int = pydantic.Field(
        default=0,
        ge=0,
        description="ms that replaced weights may still serve; 0: no limit",
    )
    is_first_start: bool = pydantic.Field(
        default=False,
        description="whether no daemon of the system ever ran before",
    )
    stop_grace_s: float = pydantic.Field(
        default=8.0,
        gt=0,
        description="seconds from SIGTERM until the process is killed",
    )
    operators: tuple[Operator, ...] = pydantic.Field(
        default=(), description="people who may change the table"
    )
    address_keep_ms: Ms = pydantic.Field(
        default=5_000,
        description="ms that a caller may keep an address from /v1/where",
    )
    max_body_bytes: int = pydantic.Field(
        default=4 << 20, ge=1024, description="bytes of the longest request"
    )
    body_timeout_ms: Ms = pydantic.Field(
        default=10_000, description="ms for the arrival of a request's body"
    )
    memory_mb: float | None = pydantic.Field(
        default=None,
        gt=0,
        description="MB of memory that the daemon may use",
    )
    body_memory_ratio: float = pydantic.Field(
        default=0.3,
        gt=0,
        le=1,
        description="part of memory_mb for the bodies of requests",
    )
    max_fds: int | None = pydantic.Field(
        default=None,
        ge=1,
        description="descriptors of the daemon; the system's limit if not set",
    )
    file_fds: int = pydantic.Field(
        default=200,
        ge=0,
        description="descriptors of max_fds that are kept for files",
    )
    max_request_line_bytes: int = pydantic.Field(
        default=16_384,
        ge=1_024,
        description="bytes of a request's head beyond the table's header limit",
    )
    max_bodies_arriving: int = pydantic.Field(
        default=256, ge=1, description="request bodies read at the same time"
    )
    slow_caller_ms: Ms = pydantic.Field(
        default=30_000,
        description="ms for which a caller may leave its answer unread",
    )
    connect_timeout_ms: Ms = pydantic.Field(
        default=1_000, description="ms to open a connection to a server"
    )
    control_timeout_ms: Ms = pydantic.Field(
        default=1_000, description="ms for load reports, probes and orders"
    )
    platform_timeout_ms: Ms = pydantic.Field(
        default=500, description="ms for one call to the platform"
    )
    platform_pause_ms: Ms = pydantic.Field(
        default=500,
        description="ms without calls to the platform after an unanswered one",
    )
    peer_timeout_ms: Ms = pydantic.Field(
        default=400, description="ms for one message to another daemon"
    )
    tick_ms: Ms = pydantic.Field(
        default=100, description="ms between periodic runs of the core"
    )
    gossip_ms: Ms = pydantic.Field(
        default=500, description="ms between probes of other daemons"
    )
    news_ms: Ms = pydantic.Field(
        default=500,
        description="ms between updates on servers and demand to one daemon",
    )
    table_poll_ms: Ms = pydantic.Field(
        default=1_000, description="ms between reads of the table's version"
    )
    list_poll_ms: Ms = pydantic.Field(
        default=1_000, description="ms between reads of the instance list"
    )
    lead_step_ms: Ms = pydantic.Field(
        default=500, description="ms between steps of a weights roll-out"
    )
    lease_ms: Ms = pydantic.Field(
        default=4_000, description="ms between two leads' orders to one server"
    )
    load_poll_ms: Ms = pydantic.Field(
        default=500, description="ms between load reports of one server"
    )
    stop_patience_ms: Ms = pydantic.Field(
        default=600_000,
        description="longest ms that a stop waits for requests in flight",
    )
    record_file: str = pydantic.Field(
        default="",
        description="file for a recording of all decisions, for debugging",
    )
    decisions: dict[str, int | float] = pydantic.Field(
        default_factory=dict,
        description="numbers that tune decisions, see `godwittack settings`",
    )
    contracts: tuple[str, ...] = pydantic.Field(
        default=(),
        description="names of the platform's rules that are in force",
    )
    decisions_by_contract: dict[str, dict[str, int | float]] = pydantic.Field(
        default_factory=dict,
        description="numbers as in decisions, by the contract they are for",
    )
    membership: dict[str, int | float] = pydantic.Field(
        default_factory=dict,
        description="numbers that tune membership, see `godwittack settings`",
    )

    @pydantic.field_validator(
        "config_bound_ms", "drain_bound_ms", mode="before"
    )
    @classmethod
    def _read_empty_bound(cls, value: object) -> object:
        # A template writes a key without a value where it has none.
        return DEFAULT_BOUND_MS if value is None else value

    @pydantic.field_validator("is_first_start", mode="before")
    @classmethod
    def _read_empty_first_start(cls, value: object) -> object:
        return False if value is None else value

    @pydantic.field_validator("contracts", mode="before")
    @classmethod
    def _read_empty_contracts(cls, value: object) -> object:
        # A template writes a key without a value where it has none.
        return () if value is None else value

    @pydantic.field_validator("decisions", mode="before")
    @classmethod
    def _drop_empty_decisions(cls, value: object) -> object:
        # A template writes a key without a value where it has none.
        if not isinstance(value, dict):
            return value
        return {k: number for k, number in value.items() if number is not None}

    @pydantic.field_validator("decisions")
    @classmethod
    def _check_decisions(
        cls, value: dict[str, int | float]
    ) -> dict[str, int | float]:
        for name, maximum in policies.MAX_VALUES.items():
            if value.get(name, 0) > maximum:
                raise ValueError(f"{name} must be at most {maximum:g}")
        return _check_names(value, policies.Policy)

    @pydantic.field_validator("decisions_by_contract")
    @classmethod
    def _check_decisions_by_contract(
        cls, value: dict[str, dict[str, int | float]]
    ) -> dict[str, dict[str, int | float]]:
        for numbers in value.values():
            cls._check_decisions(numbers)
        return value

    @pydantic.field_validator("membership")
    @classmethod
    def _check_membership(
        cls, value: dict[str, int | float]
    ) -> dict[str, int | float]:
        return _check_names(value, view.MemberPolicy)

    @pydantic.field_validator("platform_url")
    @classmethod
    def _check_platform_url(cls, value: str) -> str:
        if not value.startswith(("http://", "https://")):
            raise ValueError("write http://IP:port")
        return value

    @property
    def capacity_millicores(self) -> int:
        """Processor time that the daemon may use; 0 if not known."""
        return round((self.cores or 0.0) * (self.core_share or 0.0) * 1000)

    @property
    def memory_bytes(self) -> int:
        """Memory that the daemon may use; 0 for no limit."""
        return round((self.memory_mb or 0) * MB_BYTES)

    @property
    def body_memory_bytes(self) -> int:
        """Memory for the bodies of requests; 0 for no limit."""
        return round(self.memory_bytes * self.body_memory_ratio)

    def policy(self) -> policies.Policy:
        """Returns the core's policy with the overrides of `decisions`."""
        defaults = dataclasses.replace(
            policies.Policy(),
            old_weights_limit_ms=max(
                0, self.weights_bound_ms - WEIGHTS_MARGIN_MS
            ),
            final_refusal_age_ms=self._final_refusal_age_ms(),
            # A server that leaves stays listed for at least the drain bound.
            max_unseen_ms=min(self.config_bound_ms, self.drain_bound_ms),
        )
        numbers = dict(self.decisions)
        for contract, overrides in self.decisions_by_contract.items():
            if contract in self.contracts:
                numbers.update(overrides)
        return dataclasses.replace(
            defaults, **_convert_numbers(numbers, policies.Policy)
        )

    def _final_refusal_age_ms(self) -> int:
        """Returns the age of a table that may refuse requests for good.

        A daemon of the project's own interface serves by a lease instead.
        """
        if self.interface is Interface.OWN:
            return 0
        limits = staleness.StalenessLimits.from_bound(
            self.config_bound_ms, poll_ms=self.feed_wait_ms
        )
        return limits.refusal_ms

    def member_policy(self) -> view.MemberPolicy:
        """Returns the membership policy with the overrides of `membership`."""
        return dataclasses.replace(
            view.MemberPolicy(),
            **_convert_numbers(self.membership, view.MemberPolicy),
        )


@dataclasses.dataclass(frozen=True, slots=True)
class LoadedSettings:
    """Settings with the cluster secret."""

    settings: Settings
    cluster_secret: bytes


def load(path: str) -> Result[LoadedSettings, str]:
    """Reads and checks a settings file.

    Returns:
        The settings, or one line that names the file, the key and the remedy.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
        raw = yaml.safe_load(text)
    except OSError as error:
        return Err(f"{path}: {error.strerror}; name a readable file")
    except RecursionError:
        return Err(f"{path}: not YAML: nested too deeply")
    except (yaml.YAMLError, ValueError) as error:
        return Err(f"{path}: not YAML: {' '.join(str(error).split())}")
    if not isinstance(raw, dict):
        return Err(f"{path}: write one `key: value` per line")
    try:
        settings = Settings.model_validate(raw)
    except pydantic.ValidationError as error:
        return Err(f"{path}: {_describe_error(error)}")
    if settings.cluster_secret:
        return Ok(LoadedSettings(settings, settings.cluster_secret.encode()))
    if not settings.cluster_secret_file:
        return Err(f"{path}: cluster_secret_file: missing; write its path")
    secret_path = pathlib.Path(path).parent / settings.cluster_secret_file
    try:
        secret = secret_path.read_bytes().strip()
    except OSError as error:
        return Err(f"{path}: cluster_secret_file: {error.strerror}")
    if len(secret) < MIN_SECRET_BYTES:
        return Err(
            f"{path}: cluster_secret_file: write at least"
            f" {MIN_SECRET_BYTES} bytes into it"
        )
    return Ok(LoadedSettings(settings, secret))


def _describe_error(error: pydantic.ValidationError) -> str:
    first = error.errors()[0]
    key = ".".join(str(part) for part in first["loc"]) or "settings"
    field = Settings.model_fields.get(str(first["loc"][0]))
    if first["type"] == "extra_forbidden":
        close = _closest_setting(key)
        hint = f"did you mean {close}?" if close else "see godwittack settings"
        return f"{key}: no such setting; {hint}"
    if first["type"] == "missing":
        meaning = field.description if field else ""
        return f"{key}: missing; write the {meaning}"
    meaning = f"; it is the {field.description}" if field else ""
    return f"{key}: {first['msg']}{meaning}"


def _closest_setting(key: str) -> str:
    found = difflib.get_close_matches(key, Settings.model_fields, n=1)
    return found[0] if found else ""


def _check_names(
    numbers: dict[str, int | float], policy_type: type
) -> dict[str, int | float]:
    known = {field.name for field in dataclasses.fields(policy_type)}
    for name, number in numbers.items():
        if name not in known:
            raise ValueError(f"no number is named {name!r}")
        if number < 0:
            raise ValueError(f"{name} must not be negative")
        if not math.isfinite(number):
            raise ValueError(f"{name} must be finite")
    return numbers


def _convert_numbers(
    numbers: dict[str, int | float], policy_type: type
) -> dict[str, Any]:
    types = {
        field.name: field.type for field in dataclasses.fields(policy_type)
    }
    return {
        name: int(number) if types[name] == "int" else float(number)
        for name, number in numbers.items()
    }


__all__ = ["Interface", "LoadedSettings", "Operator", "Settings", "load"]

"""Numbers of decisions that apply where a contract is named."""

from __future__ import annotations

import pydantic

from godwittack.config import settings


def _settings(**fields) -> settings.Settings:
    return settings.Settings(
        name="d",
        failure_domain="a",
        http_address="127.0.0.1:1",
        peer_address="127.0.0.1:2",
        platform_url="http://127.0.0.1:3",
        decisions={"hold_ms": 100, "uneven_servers": 1},
        **fields,
    )


def numbers_apply_only_where_their_contract_is_named() -> None:
    """Guards against deployments that are served by another one's numbers."""
    numbers = {"tight": {"uneven_servers": 2, "long_prompt_tokens": 2_048}}
    for contracts, expected in ((("base",), (1, 0)), (("tight",), (2, 2_048))):
        policy = _settings(
            contracts=contracts, decisions_by_contract=numbers
        ).policy()
        found = (policy.uneven_servers, policy.long_prompt_tokens)
        assert found == expected, (contracts, found)
        assert policy.hold_ms == 100


def a_template_without_contracts_is_read() -> None:
    """Guards against daemons that don't start where none is named."""
    assert _settings(contracts=None).contracts == ()


def a_wrong_number_is_rejected_whether_its_contract_is_named_or_not() -> None:
    """Guards against a mistake that shows only in another deployment."""
    for numbers in ({"hold": 1}, {"uneven_servers": 3}, {"hold_ms": -1}):
        try:
            _settings(decisions_by_contract={"tight": numbers})
        except pydantic.ValidationError:
            continue
        raise AssertionError(numbers)


__all__ = [
    "a_template_without_contracts_is_read",
    "a_wrong_number_is_rejected_whether_its_contract_is_named_or_not",
    "numbers_apply_only_where_their_contract_is_named",
]

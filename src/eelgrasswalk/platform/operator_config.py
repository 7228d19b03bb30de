"""Decodes the operator's configuration into the product's rules."""

import collections.abc
import json
import math
import typing

from .. import ports
from ..document import model
from ..policy import call_rules
from ..policy.placement import evacuation
from . import names

Fields: typing.TypeAlias = dict[str, typing.Any]

_MS_PER_S = 1000.0
# Used where a configuration leaves a bound out.
_HEADER_BYTES = 16_384
_BODY_BYTES = 67_108_864
_HEADER_TIMEOUT_MS = 3_000
_IDLE_TIMEOUT_MS = 15_000
_NO_MARKS = evacuation.Marks()


class OperatorRules:
    """Implements ports.RuleSource."""

    table = names.OPERATOR_TABLE

    def decode(
        self, rows: collections.abc.Iterable[ports.Row]
    ) -> call_rules.Rules | None:
        """Return the rules among some rows, or None when there are none.

        Raises:
            ValueError: The rules cannot be read.
        """
        newest = None
        for row in rows:
            if row.key == names.CONFIGURATION_KEY and row.value is not None:
                newest = row.value
        return None if newest is None else decode_rules(newest)

    def decode_evacuations(
        self, rows: collections.abc.Iterable[ports.Row]
    ) -> evacuation.Marks:
        """Return what some rows say of evacuated data centres.

        The value of such a row carries no meaning.
        """
        is_evacuated = {
            row.key.removeprefix(names.EVACUATION_PREFIX): (
                row.value is not None
            )
            for row in rows
            if row.key.startswith(names.EVACUATION_PREFIX)
            and row.key != names.EVACUATION_PREFIX
        }
        if not is_evacuated:
            return _NO_MARKS
        return evacuation.Marks(
            frozenset(name for name, value in is_evacuated.items() if value),
            frozenset(
                name for name, value in is_evacuated.items() if not value
            ),
        )


def decode_rules(value: bytes) -> call_rules.Rules:
    """Return the rules of one configuration.

    Raises:
        ValueError: The text is no configuration.
    """
    try:
        fields = json.loads(value)
        return _decode(fields)
    except (
        TypeError,
        KeyError,
        AttributeError,
        OverflowError,
        RecursionError,
    ) as error:
        raise ValueError(f'field missing or of another type: {error!r}') from (
            error
        )


def _decode(fields: Fields) -> call_rules.Rules:
    return call_rules.Rules(
        version=int(fields['version']),
        routes=tuple(_decode_routes(fields['listeners'])),
        accounts=tuple(map(_decode_account, fields.get('tenants') or ())),
        services=tuple(map(_decode_service, fields.get('clusters') or ())),
        limits=_decode_limits(fields.get('limits') or {}),
    )


def _decode_routes(
    listeners: list[Fields],
) -> typing.Iterator[call_rules.RouteRule]:
    for listener in listeners:
        hostname = str(listener['hostname']).lower()
        for rule in listener['rule_set']:
            yield _decode_route(hostname, rule)


def _decode_route(hostname: str, rule: Fields) -> call_rules.RouteRule:
    action = rule['action']
    timeout_s = _take_number(action['timeout_ms']) / _MS_PER_S
    objective_ms = rule.get('target_latency_ms')
    return call_rules.RouteRule(
        name=str(rule['name']),
        hostname=hostname,
        prefix=str(rule['match']['prefix']),
        shares=_decode_shares(action),
        importance=_decode_importance(rule.get('priority')),
        idempotent=rule['kind'] == 'safe',
        open_to_all=bool(rule.get('auth_exempt')),
        timeout_s=timeout_s,
        objective_s=(
            _take_number(objective_ms) / _MS_PER_S
            if objective_ms
            else timeout_s
        ),
        max_upstreams=max(1, int(action.get('max_attempts') or 1)),
        regions=_decode_regions(rule.get('allowed_regions')),
    )


def _decode_shares(action: Fields) -> tuple[call_rules.Share, ...]:
    split = action.get('weighted_split')
    if not split:
        return (call_rules.Share(str(action['service']), 1.0),)
    return tuple(
        call_rules.Share(str(part['service']), _take_number(part['weight']))
        for part in split
        if _take_number(part['weight']) > 0.0
    )


def _decode_importance(priority: int | None) -> model.Importance:
    if priority is None:
        return model.Importance.NORMAL
    lowest = int(max(model.Importance))
    return model.Importance(min(max(0, int(priority)), lowest))


def _decode_account(fields: Fields) -> call_rules.AccountRule:
    priority = fields.get('priority')
    return call_rules.AccountRule(
        name=str(fields['name']),
        keys=tuple(map(str, fields.get('api_keys') or ())),
        rate=_take_number(fields.get('rate_per_s') or 0.0),
        burst=_take_number(fields.get('burst') or 0.0),
        importance=None if priority is None else _decode_importance(priority),
        regions=_decode_regions(fields.get('allowed_regions')),
    )


def _decode_regions(value: typing.Any) -> frozenset[str]:
    """Return the allowed regions; empty for all.

    Raises:
        ValueError: The value is no list. A guess could let requests run
            where they must not.
    """
    if value is None:
        return frozenset()
    if not isinstance(value, list):
        raise ValueError(f'allowed_regions is no list: {value!r}')
    return frozenset(map(str, value))


def _decode_service(fields: Fields) -> call_rules.ServiceRule:
    return call_rules.ServiceRule(
        name=str(fields['name']),
        connections=int(fields.get('max_connections') or 0),
        health_path=str(fields.get('health_path') or ''),
        cold_per_s=max(0.0, _take_number(fields.get('cold_per_s') or 0.0)),
        cold_start_s=max(0.0, _take_number(fields.get('cold_start_s') or 0.0)),
    )


def _decode_limits(fields: Fields) -> call_rules.ListenerLimits:
    header_ms = _take_number(
        fields.get('header_timeout_ms') or _HEADER_TIMEOUT_MS
    )
    idle_ms = _take_number(fields.get('idle_timeout_ms') or _IDLE_TIMEOUT_MS)
    return call_rules.ListenerLimits(
        header_bytes=int(fields.get('max_header_bytes') or _HEADER_BYTES),
        body_bytes=int(fields.get('max_body_bytes') or _BODY_BYTES),
        header_timeout_s=header_ms / _MS_PER_S,
        idle_timeout_s=idle_ms / _MS_PER_S,
    )


def _take_number(value: typing.Any) -> float:
    number = float(value)
    if not math.isfinite(number):
        raise ValueError(f'not a finite number: {value!r}')
    return number

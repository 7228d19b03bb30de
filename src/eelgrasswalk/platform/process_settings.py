"""Reads the settings file that the platform gives each process."""

import json
import math
import os
import pathlib
import resource
import typing

from .. import address
from ..sidecar import settings as sidecar_settings

FILE_VARIABLE = 'EELGRASSWALK_NODE_FILE'
_MS_PER_S = 1000.0
_MEMORY_MB = 256
# Stands for no limit; the memory bounds the connections then.
_UNLIMITED_FDS = 1_048_576


class BadSettingsError(Exception):
    """The settings file cannot be used.

    Args:
        detail: The file, the field, its value and the remedy.
    """


def load_settings() -> sidecar_settings.SidecarSettings:
    """Read the settings of this process.

    Raises:
        BadSettingsError: The file is missing or a field is not allowed.
    """
    name = os.environ.get(FILE_VARIABLE, '')
    if not name:
        raise BadSettingsError(
            f'{FILE_VARIABLE} is not set; set it to the path of the settings'
        )
    try:
        fields = json.loads(pathlib.Path(name).read_bytes())
    except (OSError, ValueError, RecursionError) as error:
        raise BadSettingsError(f'{name}: cannot be read: {error}') from error
    try:
        return decode_settings(fields)
    except (
        KeyError,
        TypeError,
        ValueError,
        IndexError,
        OverflowError,
    ) as error:
        raise BadSettingsError(
            f'{name}: a field is missing or not allowed: {error!r}; compare '
            'the file with the page of the settings'
        ) from error


def decode_settings(
    fields: dict[str, typing.Any],
) -> sidecar_settings.SidecarSettings:
    """Return the settings of the decoded file.

    Raises:
        KeyError: A field is missing.
        ValueError: A field has a value that is not allowed.
    """
    listen = fields['listen']
    bounds = fields.get('bounds') or {}
    ports = fields['internal_ports']
    limits = fields.get('limits') or {}
    ip = str(fields['ip'])
    return sidecar_settings.SidecarSettings(
        node_id=str(fields['node_id']),
        ip=ip,
        data_centre=str(fields['zone']),
        service=str(fields['service']),
        target=address.parse_address(fields['app_addr']),
        callers=address.parse_address(listen['outbound']),
        readiness=address.parse_address(listen['ready']),
        check_ins=address.parse_address(listen['control']),
        links=address.Address(ip, int(ports[0])),
        admin=address.Address(ip, int(ports[0]) + 1),
        store=address.parse_address(fields['platform']['address']),
        memory_bytes=int(limits.get('memory_mb') or _MEMORY_MB) * 1_000_000,
        bounds=_decode_bounds(bounds),
        max_fds=int(limits.get('max_fds') or _find_max_fds()),
        bootstrap=fields.get('bootstrap') is True,
        region=str(fields.get('region') or ''),
        regions=_decode_zones(fields.get('zones')),
    )


def _find_max_fds() -> int:
    """Return how many descriptors the system lets the process open."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return _UNLIMITED_FDS if limit == resource.RLIM_INFINITY else limit


def _decode_zones(value: typing.Any) -> dict[str, str]:
    """Return the region of each zone."""
    if value is None:
        return {}
    if not isinstance(value, dict):
        raise ValueError(f'zones is no table: {value!r}')
    return {zone: region for zone, region in value.items() if _is_name(region)}


def _is_name(region: typing.Any) -> bool:
    return isinstance(region, str) and bool(region)


def _decode_bounds(
    fields: dict[str, typing.Any],
) -> sidecar_settings.Bounds:
    default = sidecar_settings.Bounds()

    def seconds(name: str, otherwise: float) -> float:
        value = fields.get(name)
        return otherwise if value is None else float(value) / _MS_PER_S

    def number(name: str, otherwise: float) -> float:
        value = fields.get(name)
        return otherwise if value is None else float(value)

    cold_overage = None
    if fields.get('cold_overage') is not None:
        cold_overage = _take_amount(fields['cold_overage'])
    return sidecar_settings.Bounds(
        drain_s=seconds('drain_ms', default.drain_s),
        grace_s=number('grace_s', default.grace_s),
        apply_s=seconds('config_apply_ms', default.apply_s),
        withdraw_s=seconds('revoke_ms', default.withdraw_s),
        retry_ratio=number('retry_budget_ratio', default.retry_ratio),
        retry_window_s=number('budget_window_s', default.retry_window_s),
        retry_slack=number('budget_slack', default.retry_slack),
        quota_window_s=number('quota_window_s', default.quota_window_s),
        quota_overage=number('quota_overage', default.quota_overage),
        quota_slack=number('quota_slack', default.quota_slack),
        evacuate_s=seconds('evacuate_ms', default.evacuate_s),
        cold_overage=cold_overage,
        cold_slack=_take_amount(number('cold_slack', default.cold_slack)),
    )


def _take_amount(value: typing.Any) -> float:
    amount = float(value)
    if not 0.0 <= amount < math.inf:
        raise ValueError(f'not a finite amount of 0 or more: {value!r}')
    return amount

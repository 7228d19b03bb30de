"""A small deployment of the platform: configuration, settings and calls."""

import json
import pathlib
import typing

from ..transport import message

HOST = 'shop.example'
KEY = 'key-of-lake'
ACCOUNT = 'lake'


def build_config(
    version: int,
    services: typing.Sequence[str],
    **options: typing.Any,
) -> bytes:
    """Return a configuration with a safe and an unsafe route a service."""
    rules = []
    for service in services:
        for kind in ('safe', 'unsafe'):
            rules.append(
                {
                    'name': f'{service}-{kind}',
                    'kind': kind,
                    'target_latency_ms': 1000,
                    'priority': 1,
                    'auth_exempt': False,
                    'match': {'prefix': f'/{service}/{kind}/'},
                    'action': {
                        'service': service,
                        'timeout_ms': options.get('timeout_ms', 3000),
                        'max_attempts': 2,
                    },
                }
            )
    tenant = {
        'name': ACCOUNT,
        'api_keys': options.get('keys', [KEY]),
        'rate_per_s': options.get('rate', 0),
        'burst': options.get('burst', 0),
    }
    cold = {
        name: options[name]
        for name in ('cold_per_s', 'cold_start_s')
        if name in options
    }
    config = {
        'version': version,
        'limits': {},
        'tenants': [tenant],
        'listeners': [{'hostname': HOST, 'rule_set': rules}],
        'clusters': [
            {
                'name': service,
                'max_connections': 100,
                'health_path': '/health',
                **cold,
            }
            for service in services
        ],
    }
    return json.dumps(config).encode()


def write_settings(
    path: pathlib.Path,
    *,
    node_id: str,
    service: str,
    data_centre: str,
    ports: typing.Sequence[int],
    target_port: int,
    store_port: int,
    bounds: typing.Mapping[str, typing.Any],
    bootstrap: bool = True,
    zones: typing.Mapping[str, str] | None = None,
) -> None:
    """Write the settings file that the platform would give a node.

    Args:
        path: Where to.
        node_id: The node.
        service: The service of the target beside it.
        data_centre: Where it is.
        ports: Callers, readiness, check-ins, links and metrics.
        target_port: Port of the target.
        store_port: Port of the store.
        bounds: What the operators hold the system to.
        bootstrap: Whether the mesh starts for the first time.
        zones: Region of each data centre; None for no table.
    """
    callers, readiness, check_ins, *internal = ports
    path.write_text(
        json.dumps(
            {
                'node_id': node_id,
                'bootstrap': bootstrap,
                'ip': '127.0.0.1',
                'zone': data_centre,
                'service': service,
                'listen': {
                    'outbound': f'127.0.0.1:{callers}',
                    'ready': f'127.0.0.1:{readiness}',
                    'control': f'127.0.0.1:{check_ins}',
                },
                'internal_ports': internal,
                'app_addr': f'127.0.0.1:{target_port}',
                'platform': {'address': f'127.0.0.1:{store_port}'},
                'bounds': dict(bounds),
                **({} if zones is None else {'zones': dict(zones)}),
            }
        )
    )


def build_call(
    method: str,
    path: str,
    *,
    request_id: str,
    key: str | None = KEY,
    deadline_ms: int = 3000,
    body: bytes = b'',
) -> message.Request:
    """Return a call as a client sends it.

    Args:
        method: Its method.
        path: Its path.
        request_id: The client's id of it.
        key: The client's key; None for none.
        deadline_ms: Milliseconds that the client waits.
        body: Its body.
    """
    headers = [
        (b'host', HOST.encode()),
        (b'attempt-id', request_id.encode()),
        (b'request-deadline', b'%d' % deadline_ms),
    ]
    if key is not None:
        headers.append((b'authorization', f'Bearer {key}'.encode()))
    return message.Request(method, path, tuple(headers), body)

"""The document and the paths of the overload experiment's real meshes."""

import hashlib
import typing
import urllib.parse

import yaml

from . import overload_load as load
from . import overload_scenario as scenario

IMPORTANCES = {kind: kind.name.lower() for kind in scenario.Importance}
HIGH_RATE = 10_000


def name_child(service: str) -> str:
    """Return the route on which other services call a service."""
    return f'of-{service}'


def make_key(account: int) -> str:
    """Return the key of a client account."""
    return f'bench-key-{account}'


def build_document(plan: scenario.MeshPlan) -> str:
    """Return the mesh's document as YAML."""
    accounts = [
        {
            'name': f'account-{number}',
            'rate': HIGH_RATE,
            'burst': HIGH_RATE,
            'keys': [
                {
                    'label': 'bench',
                    'digest': hashlib.sha256(
                        make_key(number).encode()
                    ).hexdigest(),
                }
            ],
        }
        for number in range(len(plan.accounts))
    ]
    routes = [
        _build_route(route.name, route.chain[0], route.importance)
        for route in plan.routes
    ]
    routes += [
        _build_route(
            name_child(each.name), each.name, scenario.Importance.NORMAL
        )
        for each in plan.services
    ]
    services = [
        {
            'name': each.name,
            'slots': each.slots,
            'connections': each.connections,
        }
        for each in plan.services
    ]
    return yaml.safe_dump(
        {
            'schema': 1,
            'mesh': plan.name,
            'accounts': accounts,
            'services': services,
            'routes': routes,
        }
    )


def _build_route(
    name: str, service: str, importance: scenario.Importance
) -> dict[str, typing.Any]:
    return {
        'name': name,
        'service': service,
        'path_prefix': f'/{name}',
        'importance': IMPORTANCES[importance],
        'idempotent': importance > scenario.Importance.HIGH,
        'deadline_s': load.ATTEMPT_TIMEOUT_S,
    }


def build_path(
    plan: scenario.MeshPlan, route: scenario.RoutePlan, number: int
) -> str:
    """Return the path of a root request, its whole tree inside."""
    work_s = {each.name: each.work_s for each in plan.services}
    child = ''
    for depth in reversed(range(len(route.chain))):
        service = route.chain[depth]
        name = route.name if depth == 0 else name_child(service)
        path = f'/{name}?ms={work_s[service] * 1000:g}&root={number}'
        if child:
            path += '&child=' + urllib.parse.quote(child, safe='')
        child = path
    return child

"""Documents for meshes behind fault proxies."""

import collections.abc
import typing

import yaml

from tests.integration import setups


def build_document(
    services: collections.abc.Iterable[str],
    *,
    accounts: collections.abc.Sequence[dict[str, typing.Any]] = (),
    slots: int = 20,
    routes: collections.abc.Sequence[dict[str, typing.Any]] = (),
) -> str:
    """Return a document with a route to each service, and more routes."""
    names = list(dict.fromkeys(services))
    document = yaml.safe_load(setups.build_document(names, {}))
    document['accounts'] += accounts
    document['routes'] += routes
    for service in document['services']:
        service['slots'] = slots
    return yaml.safe_dump(document)

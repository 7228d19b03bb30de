"""Checks of a document's parts against one another."""

import collections
import collections.abc
import dataclasses
import itertools
import re

from . import model
from . import problem

# Nodes refuse these paths, since targets may read them in another way.
_UNSAFE_PREFIX = re.compile(
    r'//|\\|%2f|%5c|%00|/(?:\.|%2e){1,2}(?:/|;|$)', re.IGNORECASE
)


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """One finding and the part of the document that it is about."""

    path: problem.Path
    message: str


@dataclasses.dataclass(frozen=True, slots=True)
class Findings:
    """What the checks found.

    Args:
        errors: Faults that bar the document.
        warnings: What is allowed and probably not meant.
    """

    errors: tuple[Finding, ...]
    warnings: tuple[Finding, ...]


def check_document(document: model.Document) -> Findings:
    """Check the parts of a document against one another."""
    errors = itertools.chain(
        _check_names(document),
        _check_keys(document.accounts),
        _check_references(document),
        _check_prefixes(document.routes),
        _check_matches(document.routes),
        _check_open_routes(document.routes),
        _check_services(document.services),
        _check_limits(document),
    )
    warnings = itertools.chain(
        _review_accounts(document.accounts),
        _review_services(document),
        _review_routes(document.routes),
    )
    return Findings(tuple(errors), tuple(warnings))


def _check_names(
    document: model.Document,
) -> collections.abc.Iterator[Finding]:
    sections = {
        'accounts': [account.name for account in document.accounts],
        'services': [service.name for service in document.services],
        'routes': [route.name for route in document.routes],
    }
    for section, names in sections.items():
        seen: set[str] = set()
        for index, name in enumerate(names):
            if name in seen:
                message = f"'{name}' is already taken; names are unique."
                yield Finding((section, index, 'name'), message)
            seen.add(name)


def _check_keys(
    accounts: tuple[model.ClientAccount, ...],
) -> collections.abc.Iterator[Finding]:
    owners: dict[str, str] = {}
    for index, account in enumerate(accounts):
        labels: set[str] = set()
        for place, key in enumerate(account.keys):
            path = ('accounts', index, 'keys', place)
            if key.label in labels:
                message = f"'{key.label}' is already taken in this account."
                yield Finding((*path, 'label'), message)
            labels.add(key.label)
            if key.digest in owners:
                message = (
                    f'is the digest of {owners[key.digest]} too; '
                    'a key belongs to one account. Create another key.'
                )
                yield Finding((*path, 'digest'), message)
            owners.setdefault(key.digest, f"'{account.name}/{key.label}'")


def _check_references(
    document: model.Document,
) -> collections.abc.Iterator[Finding]:
    known = [service.name for service in document.services]
    for index, route in enumerate(document.routes):
        if route.service not in known:
            hint = problem.suggest_name(route.service, known)
            message = (
                f"'{route.service}' is not a service; "
                f'known: {problem.list_names(known) or "none"}.{hint}'
            )
            yield Finding(('routes', index, 'service'), message)


def _check_prefixes(
    routes: tuple[model.Route, ...],
) -> collections.abc.Iterator[Finding]:
    for index, route in enumerate(routes):
        if _UNSAFE_PREFIX.search(route.path_prefix):
            message = (
                f"'{route.path_prefix}' never matches: paths with '//', "
                "'.' or '..' segments, '\\' or encoded '/', '\\' or NUL are "
                'refused. Write the plain path.'
            )
            yield Finding(('routes', index, 'path_prefix'), message)


def _check_matches(
    routes: tuple[model.Route, ...],
) -> collections.abc.Iterator[Finding]:
    by_prefix: dict[str, list[model.Route]] = collections.defaultdict(list)
    for index, route in enumerate(routes):
        for earlier in by_prefix[route.path_prefix]:
            shared = _find_shared_methods(earlier, route)
            if shared:
                message = (
                    f"is shadowed: route '{earlier.name}' already matches "
                    f"'{route.path_prefix}' for {shared}. Give the routes "
                    'different methods or prefixes.'
                )
                yield Finding(('routes', index, 'path_prefix'), message)
                break
        by_prefix[route.path_prefix].append(route)


def _find_shared_methods(first: model.Route, second: model.Route) -> str:
    if not first.methods and not second.methods:
        return 'all methods'
    # A route that lists its methods wins over one for all methods.
    return ', '.join(m for m in first.methods if m in second.methods)


def _check_open_routes(
    routes: tuple[model.Route, ...],
) -> collections.abc.Iterator[Finding]:
    for index, route in enumerate(routes):
        if route.open_to_all and not route.idempotent:
            message = (
                'is true on a route that is not idempotent: anyone could '
                'change things without a key. Set idempotent: true if that '
                'is so, or drop open_to_all.'
            )
            yield Finding(('routes', index, 'open_to_all'), message)


def _check_services(
    services: tuple[model.Service, ...],
) -> collections.abc.Iterator[Finding]:
    for index, service in enumerate(services):
        if service.slots > service.connections:
            message = (
                f'is {service.slots}, above the {service.connections} '
                'connections that could fill the slots. Lower slots or '
                'raise connections.'
            )
            yield Finding(('services', index, 'slots'), message)


def _check_limits(
    document: model.Document,
) -> collections.abc.Iterator[Finding]:
    limits = document.limits
    rate = sum(account.rate for account in document.accounts)
    if rate > limits.total_rate:
        message = (
            f'sum to a rate of {rate:g}/s, above limits.total_rate '
            f'{limits.total_rate:g}/s. Lower a rate or raise the limit.'
        )
        yield Finding(('accounts',), message)
    slots = sum(
        service.slots * service.upstreams for service in document.services
    )
    if slots > limits.total_slots:
        message = (
            f'sum to {slots} slots over planned upstreams, above '
            f'limits.total_slots {limits.total_slots}. Lower slots or '
            'upstreams, or raise the limit.'
        )
        yield Finding(('services',), message)
    for index, route in enumerate(document.routes):
        yield from _check_route_limits(index, route, limits)


def _check_route_limits(
    index: int, route: model.Route, limits: model.Limits
) -> collections.abc.Iterator[Finding]:
    bounds: tuple[tuple[str, float, str, float], ...] = (
        ('deadline_s', route.deadline_s, 'deadline_s', limits.deadline_s),
        (
            'max_request_bytes',
            route.max_request_bytes,
            'body_bytes',
            limits.body_bytes,
        ),
        (
            'max_answer_bytes',
            route.max_answer_bytes,
            'body_bytes',
            limits.body_bytes,
        ),
        (
            'retry_allowance',
            route.retry_allowance,
            'retry_allowance',
            limits.retry_allowance,
        ),
    )
    for field, value, limit, bound in bounds:
        if value > bound:
            message = (
                f'is {value}, above limits.{limit} {bound}. '
                'Lower it or raise the limit.'
            )
            yield Finding(('routes', index, field), message)


def _review_accounts(
    accounts: tuple[model.ClientAccount, ...],
) -> collections.abc.Iterator[Finding]:
    if not accounts:
        yield Finding(('accounts',), 'are none: only open routes can run.')
    for index, account in enumerate(accounts):
        path = ('accounts', index)
        if not account.keys:
            message = (
                'is unused: it has no key, so none of its requests can run. '
                "Create one with 'eelgrasswalk key create'."
            )
            yield Finding(path, message)
        if account.burst < account.rate / 10:
            message = (
                f'is less than a tenth of a second of rate {account.rate:g}'
                '/s; requests that come together would be refused.'
            )
            yield Finding((*path, 'burst'), message)


def _review_services(
    document: model.Document,
) -> collections.abc.Iterator[Finding]:
    used = {route.service for route in document.routes}
    for index, service in enumerate(document.services):
        if service.name not in used:
            message = 'has no route; no request can reach it.'
            yield Finding(('services', index), message)


def _review_routes(
    routes: tuple[model.Route, ...],
) -> collections.abc.Iterator[Finding]:
    for index, route in enumerate(routes):
        path = ('routes', index)
        if not route.idempotent and route.once is model.OnceMode.NONE:
            message = (
                'is none on a route that is not idempotent: a caller that '
                "repeats a request may run it twice. Set once: 'refuse'."
            )
            yield Finding((*path, 'once'), message)
        if route.idempotent and route.once is not model.OnceMode.NONE:
            message = (
                f'is {route.once.value} on an idempotent route: each request '
                "costs a write to the store. Set once: 'none'."
            )
            yield Finding((*path, 'once'), message)
        if route.open_to_all and route.importance < model.Importance.NORMAL:
            message = (
                f'is {route.importance.name.lower()} on a route open to all: '
                'anyone could crowd out keyed requests.'
            )
            yield Finding((*path, 'importance'), message)

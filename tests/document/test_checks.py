"""Tests of the checks across a document."""

import dataclasses
import unittest

from eelgrasswalk.document import checks
from eelgrasswalk.document import model

ROUTE = model.Route('browse', 'catalogue', '/', idempotent=True)
DOCUMENT = model.Document(
    schema=1,
    mesh='small',
    accounts=(
        model.ClientAccount('erie', 40, 80, (model.Key('first', 'a' * 64),)),
    ),
    services=(model.Service('catalogue', 100, 750, upstreams=4),),
    routes=(ROUTE,),
)


def find_errors(**changes: object) -> list[tuple[object, ...]]:
    document = dataclasses.replace(DOCUMENT, **changes)
    return [found.path for found in checks.check_document(document).errors]


def find_warnings(**changes: object) -> list[tuple[object, ...]]:
    document = dataclasses.replace(DOCUMENT, **changes)
    return [found.path for found in checks.check_document(document).warnings]


class ErrorsTest(unittest.TestCase):
    def test_sound_document_has_no_findings(self) -> None:
        self.assertEqual(find_errors(), [])
        self.assertEqual(find_warnings(), [])

    def test_shadowed_route(self) -> None:
        shadowed = dataclasses.replace(ROUTE, name='two')
        self.assertEqual(
            find_errors(routes=(ROUTE, shadowed)),
            [('routes', 1, 'path_prefix')],
        )
        first = dataclasses.replace(ROUTE, methods=('GET', 'HEAD'))
        second = dataclasses.replace(shadowed, methods=('PUT', 'HEAD'))
        self.assertEqual(
            find_errors(routes=(first, second)), [('routes', 1, 'path_prefix')]
        )

    def test_listed_methods_beside_all_methods_are_allowed(self) -> None:
        listed = dataclasses.replace(ROUTE, name='two', methods=('GET',))
        self.assertEqual(find_errors(routes=(ROUTE, listed)), [])

    def test_prefix_that_nodes_refuse(self) -> None:
        for prefix in ('//a', '/a/../b', '/a%2Fb', '/.', '/a//'):
            route = dataclasses.replace(ROUTE, path_prefix=prefix)
            self.assertEqual(
                find_errors(routes=(route,)), [('routes', 0, 'path_prefix')]
            )

    def test_same_prefix_with_other_methods_is_allowed(self) -> None:
        first = dataclasses.replace(ROUTE, methods=('GET',))
        second = dataclasses.replace(ROUTE, name='two', methods=('PUT',))
        self.assertEqual(find_errors(routes=(first, second)), [])

    def test_one_key_in_two_accounts(self) -> None:
        other = dataclasses.replace(DOCUMENT.accounts[0], name='buffalo')
        self.assertEqual(
            find_errors(accounts=(*DOCUMENT.accounts, other)),
            [('accounts', 1, 'keys', 0, 'digest')],
        )

    def test_duplicate_names(self) -> None:
        self.assertEqual(
            find_errors(services=DOCUMENT.services * 2),
            [('services', 1, 'name')],
        )

    def test_open_route_must_be_idempotent(self) -> None:
        unsafe = dataclasses.replace(ROUTE, open_to_all=True, idempotent=False)
        self.assertEqual(
            find_errors(routes=(unsafe,)), [('routes', 0, 'open_to_all')]
        )

    def test_limits_bound_sums_and_routes(self) -> None:
        limits = model.Limits(total_rate=39, total_slots=399, deadline_s=5)
        self.assertEqual(
            find_errors(limits=limits),
            [('accounts',), ('services',), ('routes', 0, 'deadline_s')],
        )

    def test_slots_above_connections(self) -> None:
        narrow = model.Service('catalogue', 100, 99)
        self.assertEqual(
            find_errors(services=(narrow,)), [('services', 0, 'slots')]
        )


class WarningsTest(unittest.TestCase):
    def test_unused_account_and_service(self) -> None:
        idle = model.ClientAccount('idle', 1, 1)
        spare = model.Service('spare', 1, 1)
        self.assertEqual(
            find_warnings(
                accounts=(*DOCUMENT.accounts, idle),
                services=(*DOCUMENT.services, spare),
            ),
            [('accounts', 1), ('services', 1)],
        )

    def test_repeatable_request_without_claim(self) -> None:
        unsafe = dataclasses.replace(ROUTE, idempotent=False)
        self.assertEqual(
            find_warnings(routes=(unsafe,)), [('routes', 0, 'once')]
        )

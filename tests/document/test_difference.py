"""Tests of the difference in meaning."""

import dataclasses
import unittest

import hypothesis

from eelgrasswalk.document import difference
from eelgrasswalk.document import model
from tests.document import test_loading

ERIE = model.ClientAccount('erie', 40, 80, (model.Key('first', 'a' * 64),))
ROUTE = model.Route('browse', 'catalogue', '/')
DOCUMENT = model.Document(
    schema=1,
    mesh='small',
    accounts=(ERIE, model.ClientAccount('toledo', 1, 1)),
    services=(model.Service('catalogue', 100, 750),),
    routes=(ROUTE,),
)


def describe(**changes: object) -> tuple[str, ...]:
    new = dataclasses.replace(DOCUMENT, **changes)
    return difference.describe_changes(
        difference.compare_documents(DOCUMENT, new)
    )


def describe_erie(**changes: object) -> tuple[str, ...]:
    erie = dataclasses.replace(ERIE, **changes)
    return describe(accounts=(erie, DOCUMENT.accounts[1]))


class DifferenceTest(unittest.TestCase):
    def test_order_has_no_meaning(self) -> None:
        self.assertEqual(describe(accounts=DOCUMENT.accounts[::-1]), ())

    def test_numbers_carry_their_units(self) -> None:
        self.assertEqual(
            describe_erie(rate=60.0, burst=90),
            (
                'account erie: rate 40 -> 60/s',
                'account erie: burst 80 -> 90',
            ),
        )

    def test_keys_go_by_label(self) -> None:
        other = 'b' * 64
        cases = {
            (): "account erie: key 'first' withdrawn",
            (model.Key('first', other),): "account erie: key 'first' replaced",
            (model.Key('till', 'a' * 64),): (
                "account erie: key 'first' relabelled 'till'"
            ),
            (*ERIE.keys, model.Key('till', other)): (
                "account erie: key 'till' created"
            ),
        }
        for keys, line in cases.items():
            with self.subTest(line):
                self.assertEqual(describe_erie(keys=keys), (line,))

    def test_items_come_and_go(self) -> None:
        route = dataclasses.replace(
            ROUTE, name='stock', importance=model.Importance.HIGH
        )
        self.assertEqual(
            describe(accounts=(ERIE,), routes=(ROUTE, route)),
            (
                'account toledo: removed',
                'route stock: added: service catalogue, path_prefix /, '
                'importance high',
            ),
        )

    def test_routes_limits_and_first_document(self) -> None:
        route = dataclasses.replace(ROUTE, methods=('GET',), idempotent=True)
        limits = model.Limits(deadline_s=30)
        self.assertEqual(
            describe(routes=(route,), limits=limits),
            (
                'limits: deadline_s 120 -> 30 s',
                'route browse: methods all -> GET',
                'route browse: idempotent no -> yes',
            ),
        )
        first = difference.compare_documents(None, DOCUMENT)
        self.assertEqual(len(first), 4)


def sort_items(document: model.Document) -> model.Document:
    accounts = tuple(
        dataclasses.replace(
            account, keys=tuple(sorted(account.keys, key=repr))
        )
        for account in document.accounts
    )
    return dataclasses.replace(
        document,
        accounts=tuple(sorted(accounts, key=repr)),
        routes=tuple(sorted(document.routes, key=repr)),
    )


class PropertyTest(unittest.TestCase):
    @hypothesis.settings(derandomize=True, max_examples=100, deadline=None)
    @hypothesis.given(test_loading.documents, test_loading.documents)
    def test_no_change_means_the_same(
        self, old: model.Document, new: model.Document
    ) -> None:
        changes = difference.compare_documents(old, new)
        self.assertEqual(not changes, sort_items(old) == sort_items(new))
        self.assertEqual(difference.compare_documents(new, new), ())

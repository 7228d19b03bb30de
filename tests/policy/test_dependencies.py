"""Tests of learning dependencies."""

import unittest

from eelgrasswalk.policy import dependencies


class DependenciesTest(unittest.TestCase):
    def test_follows_what_most_requests_call(self) -> None:
        learned = dependencies.Dependencies()
        self.assertEqual(learned.list_services('order'), ())
        learned.observe('order', {'leaf'})
        self.assertEqual(learned.list_services('order'), ('leaf',))
        for index in range(200):
            learned.observe('order', {'rare'} if index % 10 == 0 else ())
        self.assertEqual(learned.list_services('order'), ())
        for _ in range(50):
            learned.observe('order', {'leaf', 'rare'})
        self.assertCountEqual(learned.list_services('order'), ('leaf', 'rare'))

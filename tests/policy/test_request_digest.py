"""Tests of the digest by which a repeated request is recognised."""

import typing
import unittest

from eelgrasswalk.policy import request_digest


def compute(**changes: typing.Any) -> bytes:
    fields: dict[str, typing.Any] = {
        'hostname': b'shop.example',
        'method': 'GET',
        'target': '/pages/7?sort=new',
        'account': 'lake',
        'body': b'',
    }
    return request_digest.compute_digest(**(fields | changes))


class RequestDigestTest(unittest.TestCase):
    def test_repetition_has_the_same_digest(self) -> None:
        self.assertEqual(compute(), compute())
        self.assertEqual(compute(), compute(hostname=b'Shop.example:80'))
        self.assertEqual(request_digest.DIGEST_BYTES, len(compute()))

    def test_other_requests_have_other_digests(self) -> None:
        others = [
            compute(hostname=b'other.example'),
            compute(method='HEAD'),
            compute(target='/pages/7'),
            compute(target='/pages/7?sort=old'),
            compute(account='canal'),
            compute(body=b'order'),
        ]
        self.assertEqual(len(others) + 1, len({compute(), *others}))

    def test_bytes_that_move_between_fields_change_the_digest(self) -> None:
        self.assertNotEqual(
            compute(target='/a', account='b'),
            compute(target='/', account='ab'),
        )
        self.assertNotEqual(
            compute(account='lake', body=b'x'),
            compute(account='lakex', body=b''),
        )

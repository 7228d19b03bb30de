"""Tests of what targets tell, as it is decoded."""

import json
import typing
import unittest

from eelgrasswalk import ports
from eelgrasswalk.platform import check_ins
from eelgrasswalk.transport import message

BEAT: dict[str, typing.Any] = {
    'service': 'orders',
    'address': '10.0.0.1:80',
    'zone': 'erie',
    'version': 'v1',
    'slots': 125,
    'state': 'ready',
    'cold_left_ms': 1500,
    'sequence': 4,
    'born': 1700000000000,
}


def decode(
    target: str, body: typing.Any
) -> ports.CheckIn | ports.Departure | ports.Unreadable:
    request = message.Request('POST', target, (), json.dumps(body).encode())
    return check_ins.PlatformCheckIns().decode(request)


class CheckInsTest(unittest.TestCase):
    beat = '/-/rpc?call=instances.heartbeat&of=i-1'

    def test_check_in(self) -> None:
        self.assertEqual(
            ports.CheckIn(
                target_id='i-1',
                born_ms=1700000000000,
                sequence=4,
                service='orders',
                slots=125,
                draining=False,
                cold_s=1.5,
            ),
            decode(self.beat, BEAT),
        )

    def test_draining(self) -> None:
        item = decode(self.beat, {**BEAT, 'state': 'draining'})
        assert isinstance(item, ports.CheckIn)
        self.assertTrue(item.draining)

    def test_malformed_coldness_leaves_the_rest_of_a_check_in(self) -> None:
        """A target whose check-ins are dropped would get no calls."""
        for value in (-1, 'x', True, [], 1e12, 2**60, float('nan')):
            with self.subTest(value):
                item = decode(self.beat, {**BEAT, 'cold_left_ms': value})
                assert isinstance(item, ports.CheckIn)
                self.assertIsNone(item.cold_s)
                self.assertEqual(125, item.slots)

    def test_check_in_without_coldness(self) -> None:
        for value in (None, 0):
            item = decode(self.beat, {**BEAT, 'cold_left_ms': value})
            assert isinstance(item, ports.CheckIn)
            self.assertEqual(0.0, item.cold_s)

    def test_departure(self) -> None:
        target = '/-/rpc?call=instances.deregister&of=i-1'
        self.assertEqual(ports.Departure('i-1'), decode(target, {}))

    def test_what_others_write_names_no_target(self) -> None:
        for body in (
            {**BEAT, 'state': 'asleep'},
            {**BEAT, 'slots': 'many'},
            {**BEAT, 'sequence': None},
            {**BEAT, 'service': 7},
            {**BEAT, 'born': True},
            {},
            [],
            None,
        ):
            with self.subTest(body):
                self.assertIsInstance(
                    decode(self.beat, body), ports.Unreadable
                )

    def test_bytes_that_end_a_reader_name_no_target(self) -> None:
        for body in (
            b'[' * 50_000,
            b'{"state":' + b'{"a":' * 50_000,
            b'{"state":"ready","service":"a","slots":1,"sequence":1e999}',
            b'{"state":"ready","service":"a","slots":1e300,"sequence":1}',
            b'{"state":"ready","service":"a","slots":NaN,"sequence":1}',
        ):
            with self.subTest(body[:40]):
                request = message.Request('POST', self.beat, (), body)
                decoded = check_ins.PlatformCheckIns().decode(request)
                self.assertIsInstance(decoded, ports.Unreadable)

    def test_other_calls(self) -> None:
        for target in (
            '/',
            '/-/rpc?call=instances.heartbeat',
            '/-/rpc?call=other&of=i-1',
        ):
            with self.subTest(target):
                self.assertIsInstance(decode(target, BEAT), ports.Unreadable)

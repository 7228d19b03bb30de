"""Targets that answer with a status outside 100 to 599, and real nodes."""

import asyncio
import typing
import unittest.mock

from tests.integration import floods
from tests.integration import sidecars

STATUSES = (b'000', b'099', b'600', b'999')
# A call that is held until its deadline ends as 504.
DEADLINE_MS = 3000
_HEAD = b'HTTP/1.1 %b Odd\r\nattempt-id: %b\r\nresponse-stamp: s\r\n'


class OddStandin(floods.FloodStandin):
    """Answers calls below `/flood/` with an invalid status.

    Attributes:
        status: The status.
        answered: Answers given so.
    """

    status = b'999'
    answered = 0

    async def _flood(
        self, writer: asyncio.StreamWriter, request_id: bytes
    ) -> None:
        self.answered += 1
        writer.write(
            _HEAD % (self.status, request_id)
            + b'server-limit: 0\r\nserver-leaving: 1\r\n'
            + b'content-length: 3\r\n\r\nodd'
        )
        await writer.drain()
        while not writer.transport.is_closing():
            await asyncio.sleep(0.01)
        raise ConnectionResetError


class InvalidStatusTest(sidecars.SidecarTestCase):
    services = ('front', 'back', 'back')

    async def asyncSetUp(self) -> None:
        with unittest.mock.patch.object(
            sidecars.app, 'AppStandin', OddStandin
        ):
            await super().asyncSetUp()
        self.apps = [
            typing.cast(OddStandin, node.app) for node in self.nodes[1:]
        ]
        await self.start_all()

    async def test_call_ends_at_once_and_targets_stay_usable(self) -> None:
        """They were held for their time limit, or got the odd answer.

        A safe call is tried at both targets, an unsafe one only once; neither
        target is limited or drained by what its odd answers say.
        """
        for status in STATUSES:
            for kind, method, tries in (
                ('safe', 'GET', 2),
                ('unsafe', 'POST', 1),
            ):
                with self.subTest(status=status, kind=kind):
                    for odd in self.apps:
                        odd.status = status
                        odd.answered = 0
                    answer = await self.call(
                        self.nodes[0],
                        f'/back/{kind}/flood/',
                        method=method,
                        deadline_ms=DEADLINE_MS,
                    )
                    self.assertEqual(502, sidecars.get_status(answer))
                    assert answer is not None
                    self.assertNotIn(b'response-stamp', dict(answer.headers))
                    self.assertEqual(
                        tries, sum(odd.answered for odd in self.apps)
                    )
                    for node in self.nodes:
                        self.assertTrue(await self.is_served(node, 'back'))
        details = [
            line['detail']
            for node in self.nodes[1:]
            for line in node.read_log()
            if line['event'] == 5003 and line['reason'] == 'answer-incomplete'
        ]
        for status in STATUSES:
            self.assertTrue(
                any(status.decode() in detail for detail in details), details
            )

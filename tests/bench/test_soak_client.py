"""Tests of the client that sends requests ahead."""

import unittest

from eelgrasswalk.bench import soak_client
from eelgrasswalk.standins import deployment
from eelgrasswalk.standins import serving


class SendAheadTest(unittest.IsolatedAsyncioTestCase):
    async def send(
        self, statuses: list[int], *headers: tuple[bytes, bytes]
    ) -> list[soak_client.Answer]:
        replies = [
            serving.Reply(status, b'%d' % index, headers=headers)
            for index, status in enumerate(statuses)
        ]
        server, address = await serving.start_server(
            lambda _: replies.pop(0), '127.0.0.1', 0
        )
        self.addCleanup(server.close)
        requests = [
            deployment.build_call('GET', '/', request_id=f'0-{number}')
            for number in range(len(statuses))
        ]
        return await soak_client.send_ahead(
            int(address.rpartition(':')[2]), requests, timeout_s=10.0
        )

    async def test_answers_come_in_order(self) -> None:
        answers = await self.send([200, 503, 200])
        self.assertEqual(
            [(200, b'0'), (503, b'1'), (200, b'2')],
            [(each.response.status, each.response.body) for each in answers],
        )

    async def test_sees_numbers_that_are_no_status(self) -> None:
        """The product's own client would hide them from the soak."""
        answers = await self.send([0, 99, 600, 999])
        self.assertEqual(
            [0, 99, 600, 999], [each.response.status for each in answers]
        )

    async def test_nothing_is_read_behind_a_close(self) -> None:
        answers = await self.send([200, 200], (b'connection', b'close'))
        self.assertEqual([True], [each.closes for each in answers])

"""Answers without end: memory and other calls of nodes that read them."""

import asyncio
import json
import typing
import unittest.mock

from tests.integration import floods
from tests.integration import sidecars

MEMORY_MB = 300
# Endless answers at a time, and how often they come.
FLOODS = 6
ROUNDS = 6
OTHER_DEADLINE_MS = 600


class EndlessAnswersTest(sidecars.SidecarTestCase):
    services = ('front', 'back')

    async def asyncSetUp(self) -> None:
        with unittest.mock.patch.object(
            sidecars.app, 'AppStandin', floods.FloodStandin
        ):
            await super().asyncSetUp()
        for node in self.nodes:
            fields = json.loads(node.settings.read_text())
            fields['limits'] = {'memory_mb': MEMORY_MB}
            node.settings.write_text(json.dumps(fields))
        await self.start_all()

    def set_kind(self, kind: str) -> None:
        for node in self.nodes:
            target = typing.cast(floods.FloodStandin, node.app)
            target.kind = kind

    async def flood(self, count: int) -> list[int]:
        """Call for so many endless answers; return the statuses."""
        answers = await asyncio.gather(
            *(
                self.call(
                    self.nodes[number % 2],
                    f'/{self.services[number % 2]}/safe/flood/{number}',
                )
                for number in range(count)
            )
        )
        return [sidecars.get_status(answer) for answer in answers]

    def read_peak_mb(self) -> float:
        return max(
            floods.read_peak_mb(node.process.pid)
            for node in self.nodes
            if node.process is not None
        )

    async def test_memory_stays_within_its_limit(self) -> None:
        for kind in floods.KINDS:
            with self.subTest(kind):
                self.set_kind(kind)
                for _ in range(ROUNDS if kind == 'chunks' else 1):
                    statuses = await self.flood(FLOODS)
                    self.assertNotIn(200, statuses)
                    self.assertNotIn(0, statuses)
                self.assertLess(self.read_peak_mb(), MEMORY_MB)
                for node in self.nodes:
                    self.assertTrue(await self.is_served(node, 'back'))

    async def test_request_leads_to_the_target_that_sent_too_much(
        self,
    ) -> None:
        node = self.nodes[1]
        for kind in ('chunks', 'single bytes', 'extension', 'head'):
            with self.subTest(kind):
                self.set_kind(kind)
                request_id = kind.replace(' ', '-')
                await self.call(
                    node, '/back/safe/flood/', request_id=request_id
                )
                lines = [
                    line
                    for line in node.read_log()
                    if line.get('request') == request_id
                ]
                self.assertIn(4010, [line['event'] for line in lines])
                for line in lines:
                    if line['event'] == 4010:
                        self.assertEqual(node.app.target_id, line['target'])
                        self.assertEqual('answer-too-large', line['reason'])
        page = await self.ask(node.ports[4], '/metrics')
        assert page is not None
        self.assertIn(
            'eelgrasswalk_answers_given_up_total{reason="answer-too-large",'
            f'target="{node.app.target_id}"}}',
            page.body.decode(),
        )

    async def test_other_calls_are_served_beside_single_bytes(self) -> None:
        """A call of the parser for each byte took the node for seconds."""
        self.set_kind('single bytes')
        flooding = asyncio.create_task(self.flood(4 * FLOODS))
        statuses = []
        while not flooding.done() or len(statuses) < 20:
            answer = await self.call(
                self.nodes[len(statuses) % 2],
                '/back/safe/',
                deadline_ms=OTHER_DEADLINE_MS,
            )
            statuses.append(sidecars.get_status(answer))
            # The body of a refusal is its reason.
            self.assertEqual(200, statuses[-1], answer)
            await asyncio.sleep(0.02)
        self.assertNotIn(200, await flooding)

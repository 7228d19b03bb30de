"""Tests of the platform stand-in as a process."""

import json
import subprocess
import sys
import unittest

import httpx

from eelgrasswalk.platform import http
from eelgrasswalk.platform import protocols


class PlatformProcessTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self) -> None:
        command = ['-m', 'eelgrasswalk.cli.standin', 'platform']
        self.process = subprocess.Popen(
            [sys.executable, *command], stdout=subprocess.PIPE
        )
        self.addCleanup(self.process.stdout.close)
        self.addCleanup(self.process.wait)
        self.addCleanup(self.process.terminate)
        ready = json.loads(self.process.stdout.readline())
        self.url = f'http://{ready["addresses"][0]}'

    async def test_losing_answers_keeps_their_effect(self) -> None:
        async with httpx.AsyncClient(base_url=self.url) as client:
            store = http.HttpPlatform(client)
            await client.post('/_standin/behave', json={'lose_next': 1})
            outcome = await store.put('a', b'token', expected=None)
            self.assertIsInstance(outcome, protocols.Done)
            self.assertEqual(1, store.counters.lost_answers)
            log = (await client.get('/_standin/log')).json()
        self.assertEqual([0, 412], [entry['status'] for entry in log])

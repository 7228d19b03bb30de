"""Tests of the fault-injecting proxy as a process."""

import asyncio
import unittest

from eelgrasswalk.bench import mesh
from eelgrasswalk.standins import calling

CALLERS = 10
FAULTS = 30


class FaultsProcessTest(unittest.IsolatedAsyncioTestCase):
    async def test_survives_faults_under_load(self) -> None:
        running = self.enterContext(mesh.Mesh())
        target = running.start_standin('target').ready['addresses'][0]
        proxy = running.start_standin('faults', '--tcp', target).ready
        caller = calling.Caller(proxy['addresses'][0])
        control = calling.Caller(proxy['control'])
        load = [
            asyncio.create_task(self.call_on(caller)) for _ in range(CALLERS)
        ]
        for number in range(FAULTS):
            fault = 'cut' if number % 3 else 'silence'
            reply = await control.call(
                'POST', f'/routes/0/{fault}', body=b'{}'
            )
            self.assertEqual(200, reply.status)
        for task in load:
            task.cancel()
        await asyncio.gather(*load, return_exceptions=True)
        await control.call('POST', '/routes/0/cut', body=b'{}')
        fresh = calling.Caller(proxy['addresses'][0])
        self.assertEqual(200, (await fresh.call('GET', '/')).status)

    async def call_on(self, caller: calling.Caller) -> None:
        while True:
            try:
                async with asyncio.timeout(0.2):
                    await caller.call(
                        'POST', '/x?bytes=300000', body=b'x' * 100_000
                    )
            except (calling.CallError, OSError):
                await asyncio.sleep(0)

"""Tests of the fault-injecting proxy."""

import asyncio
import contextlib
import json
import socket
import unittest

import anyio

from eelgrasswalk.standins import calling
from eelgrasswalk.standins import faults
from eelgrasswalk.standins import serving
from eelgrasswalk.standins import steering


def answer(request: serving.Request) -> serving.Reply:
    return serving.Reply(body=request.body)


class FaultsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        ready = asyncio.Event()
        task = asyncio.create_task(self.run_proxy(ready))
        self.addAsyncCleanup(self.stop, task)
        await ready.wait()

    async def run_proxy(self, ready: asyncio.Event) -> None:
        async with anyio.create_task_group() as group:
            self.proxy = steering.Steering(group, seed=1)
            ready.set()
            await anyio.sleep_forever()

    async def stop(self, task: asyncio.Task) -> None:
        task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await task

    async def steer(self, path: str, **content: object) -> serving.Reply:
        body = json.dumps(content).encode()
        request = serving.Request('POST', path.encode(), (), body)
        return await self.proxy.handle(request)

    async def add_tcp(self) -> calling.Caller:
        server, upstream = await serving.start_server(answer, '127.0.0.1', 0)
        self.addCleanup(server.close)
        reply = await self.steer('/routes', kind='tcp', upstream=upstream)
        caller = calling.Caller(json.loads(reply.body)['listen'])
        self.addCleanup(caller.close)
        return caller

    async def test_passes_bytes(self) -> None:
        caller = await self.add_tcp()
        body = b'x' * 3_000_000
        reply = await caller.call('POST', '/', body=body)
        self.assertEqual(body, reply.body)

    async def test_cuts_open_connections_only(self) -> None:
        caller = await self.add_tcp()
        reader, writer = await asyncio.open_connection(
            caller._host, caller._port
        )
        self.addCleanup(writer.close)
        writer.write(b'POST / HTTP/1.1\r\ncontent-length: 0\r\n\r\n')
        await reader.readuntil(b'\r\n\r\n')
        await self.steer('/routes/0/cut')
        with self.assertRaises(ConnectionResetError):
            await reader.read()
        reply = await caller.call('POST', '/', body=b'2')
        self.assertEqual(b'2', reply.body)

    async def test_silent_connections_stay_open_and_new_ones_work(
        self,
    ) -> None:
        caller = await self.add_tcp()
        await caller.call('POST', '/', body=b'1')
        await self.steer('/routes/0/silence', direction='backward')
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(0.05):
                await caller.call('POST', '/', body=b'2')
        reply = await caller.call('POST', '/', body=b'3')
        self.assertEqual(b'3', reply.body)

    async def test_refuses_new_connections(self) -> None:
        caller = await self.add_tcp()
        await self.steer('/routes/0/refuse')
        with self.assertRaises((calling.CallError, OSError)):
            await caller.call('POST', '/')
        await self.steer('/routes/0/refuse', refuse=False)
        await caller.call('POST', '/')

    async def test_swallows_on_new_connections_too(self) -> None:
        caller = await self.add_tcp()
        rule = {'direction': 'forward', 'swallow': True}
        await self.steer('/routes/0/rules', rules=[rule])
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(0.05):
                await caller.call('POST', '/', body=b'2')
        await self.steer('/routes/0/rules', rules=[])
        await caller.call('POST', '/')

    async def test_drops_and_passes_datagrams(self) -> None:
        upstream = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        client = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        loop = asyncio.get_running_loop()
        for each in (upstream, client):
            each.bind(('127.0.0.1', 0))
            each.setblocking(False)
            self.addCleanup(each.close)
        host, port = upstream.getsockname()
        reply = await self.steer(
            '/routes', kind='udp', upstream=f'{host}:{port}'
        )
        listen = steering.parse_address(json.loads(reply.body)['listen'])
        for number in range(2):
            await loop.sock_sendto(client, b'%d' % number, listen)
            data, sender = await loop.sock_recvfrom(upstream, 100)
            self.assertEqual(b'%d' % number, data)
            await loop.sock_sendto(upstream, b'back', sender)
            self.assertEqual(b'back', await loop.sock_recv(client, 100))
        peer = '{}:{}'.format(*client.getsockname())
        rule = {'direction': 'forward', 'peers': [peer], 'swallow': True}
        await self.steer('/routes/0/rules', rules=[rule])
        await loop.sock_sendto(client, b'lost', listen)
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(0.05):
                await loop.sock_recvfrom(upstream, 100)

    async def test_rejects_an_unknown_action(self) -> None:
        await self.add_tcp()
        reply = await self.steer('/routes/0/burn')
        self.assertEqual(400, reply.status)


class RuleTest(unittest.TestCase):
    def test_the_first_matching_rule_is_applied(self) -> None:
        one = faults.Faults(seed=1)
        backward = faults.Direction.BACKWARD
        one.rules = (
            faults.Rule(peers=('127.0.0.1:5',), delay_s=1.0),
            faults.Rule(direction=backward, delay_s=2.0),
        )
        peer = ('127.0.0.1', 5)
        other = ('127.0.0.1', 6)
        self.assertEqual(1.0, one.find_rule(backward, peer).delay_s)
        self.assertEqual(2.0, one.find_rule(backward, other).delay_s)
        forward = faults.Direction.FORWARD
        self.assertEqual(0.0, one.find_rule(forward, other).delay_s)

    def test_the_same_seed_drops_the_same(self) -> None:
        rule = faults.Rule(drop_ratio=0.5)
        first, second = faults.Faults(seed=3), faults.Faults(seed=3)
        draws = [first.drops(rule) for _ in range(100)]
        self.assertEqual(draws, [second.drops(rule) for _ in range(100)])
        self.assertIn(True, draws)
        self.assertIn(False, draws)

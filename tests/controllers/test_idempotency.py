"""Tests of running requests at most once."""

import asyncio
import collections.abc
import contextlib
import unittest

import msgspec

from eelgrasswalk import verdict
from eelgrasswalk.controllers import claim_store
from eelgrasswalk.controllers import claim_writer
from eelgrasswalk.controllers import idempotency
from eelgrasswalk.document import model
from eelgrasswalk.platform import memory
from eelgrasswalk.platform import protocols
from eelgrasswalk.transport import frames
from eelgrasswalk.transport import message

REFUSE = model.Route('book', 'orders', '/', once=model.OnceMode.REFUSE)
LOCAL = model.Route('book', 'orders', '/', once=model.OnceMode.LOCAL)
RESPONSE = verdict.Response(201, (), b'booked')
ANSWERED = verdict.Answered(RESPONSE)
NOT_RUN = verdict.NotRun(verdict.Reason.OVERLOAD)
MAY_HAVE_RUN = verdict.MayHaveRun(verdict.Reason.TARGET_LOST)


def make_call(key: str = 'k-1', body: bytes = b'{}') -> frames.Call:
    context = frames.Context('erie', 0, b'r' * 16, 0.0, 0.0, 0)
    return frames.Call(
        attempt=b'a' * 16,
        route='book',
        context=context,
        remaining_s=60.0,
        allowance=0,
        idempotency_key=key,
        request=message.Request('POST', '/book', (), body),
        body_length=len(body),
        digest=0,
    )


class SwitchedTable(memory.MemoryTable):
    """Refuses writes, or loses or withholds their answers."""

    def __init__(self) -> None:
        super().__init__()
        self.mode = ''
        self.transactions = 0

    async def put(
        self, key: str, value: bytes, *, expected: str | None
    ) -> protocols.WriteOutcome:
        return await self.batch((protocols.Put(key, value, expected),))

    async def batch(
        self, operations: collections.abc.Sequence[protocols.Operation]
    ) -> protocols.WriteOutcome:
        self.transactions += 1
        await asyncio.sleep(0)
        if self.mode == 'down':
            return protocols.Unavailable('down')
        if self.mode == 'lost':
            return protocols.Unknown('lost')
        outcome = self.commit(operations)
        if self.mode == 'silent':
            return protocols.Unknown('lost')
        return outcome


class Target:
    """Counts its runs; ends them as told."""

    def __init__(self) -> None:
        self.runs = 0
        self.outcome: verdict.Verdict = ANSWERED
        self.gate = asyncio.Event()
        self.gate.set()
        self.has_begun = asyncio.Event()

    async def proceed(self) -> verdict.Verdict:
        self.has_begun.set()
        await self.gate.wait()
        self.runs += not isinstance(self.outcome, verdict.NotRun)
        return self.outcome


class ClaimsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.table = SwitchedTable()
        self.objects = memory.MemoryObjects()
        self.target = Target()
        self.first = self.make_node()
        self.second = self.make_node()

    def make_node(
        self, options: claim_store.Options | None = None
    ) -> idempotency.Claims:
        store = claim_store.ClaimStore(
            self.table, self.objects, now=lambda: 1.0, options=options
        )
        writer = claim_writer.ClaimWriter(
            store, options=claim_writer.Options(first_retry_s=0.001)
        )
        claims = idempotency.Claims(
            store, writer, options=idempotency.Options(polls_s=(0.001,))
        )
        self.addAsyncCleanup(claims.stop)
        return claims

    async def run_at(
        self,
        node: idempotency.Claims,
        call: frames.Call | None = None,
        route: model.Route = REFUSE,
    ) -> verdict.Verdict:
        call = make_call() if call is None else call
        return await node.run_once(call, route, self.target.proceed)

    async def settle(self, node: idempotency.Claims) -> None:
        while node._writer.settling:
            await asyncio.sleep(0)

    async def test_a_repetition_gets_the_same_answer(self) -> None:
        self.assertEqual(ANSWERED, await self.run_at(self.first))
        self.assertEqual(ANSWERED, await self.run_at(self.first))
        await self.settle(self.first)
        self.assertEqual(ANSWERED, await self.run_at(self.second))
        self.assertEqual(1, self.target.runs)

    async def test_a_long_answer_is_kept_as_an_object(self) -> None:
        response = msgspec.structs.replace(RESPONSE, body=b'x' * 200_000)
        self.target.outcome = verdict.Answered(response)
        await self.run_at(self.first)
        await self.settle(self.first)
        outcome = await self.run_at(self.second)
        self.assertEqual(self.target.outcome, outcome)

    async def test_an_answer_too_long_to_keep_is_not_run_again(self) -> None:
        node = self.make_node(
            claim_store.Options(inline_bytes=1, object_bytes=2)
        )
        await self.run_at(node)
        await self.settle(node)
        outcome = await self.run_at(self.second)
        self.assertIsInstance(outcome, verdict.MayHaveRun)
        self.assertEqual(1, self.target.runs)

    async def test_repetitions_at_one_node_share_one_run(self) -> None:
        self.target.gate.clear()
        calls = [
            asyncio.create_task(self.run_at(self.first)) for _ in range(5)
        ]
        await self.target.has_begun.wait()
        self.target.gate.set()
        self.assertEqual([ANSWERED] * 5, await asyncio.gather(*calls))
        self.assertEqual(1, self.target.runs)

    async def test_a_repetition_elsewhere_may_have_run(self) -> None:
        self.target.gate.clear()
        first = asyncio.create_task(self.run_at(self.first))
        await self.target.has_begun.wait()
        outcome = await self.run_at(self.second)
        self.assertEqual(verdict.Reason.DUPLICATE, outcome.reason)
        self.assertIsInstance(outcome, verdict.MayHaveRun)
        self.target.gate.set()
        self.assertEqual(ANSWERED, await first)
        self.assertEqual(1, self.target.runs)

    async def test_a_caller_that_left_finds_its_answer(self) -> None:
        self.target.gate.clear()
        first = asyncio.create_task(self.run_at(self.first))
        await self.target.has_begun.wait()
        first.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await first
        self.target.gate.set()
        self.assertEqual(ANSWERED, await self.run_at(self.first))
        self.assertEqual(1, self.target.runs)

    async def test_a_request_that_did_not_run_may_be_repeated(self) -> None:
        self.target.outcome = NOT_RUN
        self.assertEqual(NOT_RUN, await self.run_at(self.first))
        self.target.outcome = ANSWERED
        self.assertEqual(ANSWERED, await self.run_at(self.first))
        await self.settle(self.first)
        self.assertEqual(ANSWERED, await self.run_at(self.second))
        self.assertEqual(1, self.target.runs)

    async def test_a_request_that_may_have_run_is_not_repeated(self) -> None:
        self.target.outcome = MAY_HAVE_RUN
        self.assertEqual(MAY_HAVE_RUN, await self.run_at(self.first))
        for node in (self.first, self.second):
            outcome = await self.run_at(node)
            self.assertIsInstance(outcome, verdict.MayHaveRun)
        self.assertEqual(1, self.target.runs)

    async def test_a_key_is_not_used_for_another_request(self) -> None:
        await self.run_at(self.first)
        await self.settle(self.first)
        for node in (self.first, self.second):
            outcome = await self.run_at(node, make_call(body=b'other'))
            self.assertEqual(verdict.Reason.BAD_REQUEST, outcome.reason)
        self.assertEqual(1, self.target.runs)

    async def test_an_outage_refuses_or_goes_on(self) -> None:
        self.table.mode = 'down'
        outcome = await self.run_at(self.first)
        self.assertEqual(verdict.Reason.STORE_UNAVAILABLE, outcome.reason)
        self.assertIsInstance(outcome, verdict.NotRun)
        self.assertEqual(0, self.target.runs)
        with self.assertLogs('eelgrasswalk', 'WARNING'):
            outcome = await self.run_at(self.first, route=LOCAL)
        self.assertEqual(ANSWERED, outcome)
        self.assertEqual(ANSWERED, await self.run_at(self.first))
        self.table.mode = ''
        await self.settle(self.first)
        self.assertEqual(ANSWERED, await self.run_at(self.second))
        self.assertEqual(1, self.target.runs)

    async def test_a_claim_whose_answer_was_lost_blocks_nobody(self) -> None:
        self.table.mode = 'silent'
        outcome = await self.run_at(self.first)
        self.assertIsInstance(outcome, verdict.NotRun)
        self.table.mode = ''
        await self.settle(self.first)
        self.assertEqual(ANSWERED, await self.run_at(self.second))
        self.assertEqual(1, self.target.runs)

    async def test_an_uncertain_local_run_keeps_its_claim(self) -> None:
        self.table.mode = 'silent'
        self.target.outcome = MAY_HAVE_RUN
        with self.assertLogs('eelgrasswalk', 'WARNING'):
            await self.run_at(self.first, route=LOCAL)
        self.table.mode = ''
        await self.settle(self.first)
        outcome = await self.run_at(self.second)
        self.assertIsInstance(outcome, verdict.MayHaveRun)
        self.assertEqual(1, self.target.runs)

    async def test_claims_that_wait_share_transactions(self) -> None:
        calls = [
            asyncio.create_task(self.run_at(self.first, make_call(f'k{i}')))
            for i in range(40)
        ]
        await asyncio.gather(*calls)
        self.assertEqual(40, self.target.runs)
        claimed = self.table.transactions - 40
        self.assertLess(claimed, 20)

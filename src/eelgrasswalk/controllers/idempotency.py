"""Runs a non-idempotent request at most once for its idempotency key."""

import asyncio
import collections.abc
import dataclasses
import secrets
import typing

from .. import events
from .. import verdict
from ..document import model
from ..policy import idempotency
from ..transport import frames
from . import claim_records
from . import claim_store
from . import claim_writer

_TOKEN_BYTES = 16

Proceed: typing.TypeAlias = collections.abc.Callable[
    [], collections.abc.Coroutine[typing.Any, typing.Any, verdict.Verdict]
]


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """How claims are used.

    Args:
        claim_timeout_s: Longest time that a request waits for its claim.
        polls_s: Pauses between looks at a claim of another node, before the
            request is told that it may have run.
        retry_after_s: When to come back to a store that is unavailable.
        records: Most requests that the node remembers.
        record_bytes: Most bytes of their answers.
    """

    claim_timeout_s: float = 1.0
    polls_s: tuple[float, ...] = (0.1, 0.2, 0.4)
    retry_after_s: float = 1.0
    records: int = 20_000
    record_bytes: int = 16_777_216


class Claims:
    """Implements the guard's claims.

    Args:
        store: Keeps the claims.
        writer: Writes them in batches.
        options: How claims are used.
        make_token: Returns 16 random bytes.
    """

    def __init__(
        self,
        store: claim_store.ClaimStore,
        writer: claim_writer.ClaimWriter,
        *,
        options: Options | None = None,
        make_token: collections.abc.Callable[[], bytes] = lambda: (
            secrets.token_bytes(_TOKEN_BYTES)
        ),
    ) -> None:
        self._store = store
        self._writer = writer
        self._options = Options() if options is None else options
        self._make_token = make_token
        self._records = claim_records.Records(
            most=self._options.records, most_bytes=self._options.record_bytes
        )
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> None:
        """Nothing has to be started."""

    async def stop(self) -> None:
        """Wait for running requests and their claims to settle."""
        if self._tasks:
            await asyncio.wait(set(self._tasks))
        await self._writer.stop()

    async def run_once(
        self, call: frames.Call, route: model.Route, proceed: Proceed
    ) -> verdict.Verdict:
        """Run a request, replay its answer, or refuse it.

        A request that has begun goes on when its caller has gone, so that
        the caller's repetition finds its answer.

        Args:
            call: The request and its idempotency key.
            route: Says what to do when the store is unavailable.
            proceed: Runs the request.
        """
        request = self._make_request(call)
        record = self._records.find(request.key)
        if record is not None:
            if record.fingerprint != request.fingerprint:
                return _MISMATCH
            return await _wait_for(record.outcome, call.remaining_s)
        future: asyncio.Future[verdict.Verdict] = (
            asyncio.get_running_loop().create_future()
        )
        record = claim_records.Record(request.fingerprint, future)
        self._records.add(request.key, record)
        task = asyncio.create_task(
            self._run(request, record, route, proceed, call.remaining_s)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return await _wait_for(future, call.remaining_s)

    def _make_request(self, call: frames.Call) -> claim_store.Request:
        return claim_store.Request(
            idempotency.make_row_key(
                call.context.account, call.idempotency_key
            ),
            idempotency.make_fingerprint(
                call.request.method, call.request.target, call.request.body
            ),
            self._make_token(),
        )

    async def _run(
        self,
        request: claim_store.Request,
        record: claim_records.Record,
        route: model.Route,
        proceed: Proceed,
        remaining_s: float,
    ) -> None:
        outcome: verdict.Verdict = verdict.MayHaveRun(verdict.Reason.INTERNAL)
        try:
            outcome = await self._claim_and_run(
                request, route, proceed, remaining_s
            )
        except Exception as error:
            events.log(events.REQUEST_FAILED, error=repr(error))
        finally:
            if not record.outcome.done():
                record.outcome.set_result(outcome)
            self._conclude(request, outcome)

    def _conclude(
        self, request: claim_store.Request, outcome: verdict.Verdict
    ) -> None:
        match outcome:
            case verdict.NotRun():
                self._records.remove(request.key)
            case verdict.Answered(response):
                self._records.end(request.key, len(response.body))
            case verdict.MayHaveRun():
                self._records.end(request.key, 0)
            case _:
                typing.assert_never(outcome)

    async def _claim_and_run(
        self,
        request: claim_store.Request,
        route: model.Route,
        proceed: Proceed,
        remaining_s: float,
    ) -> verdict.Verdict:
        timeout_s = min(self._options.claim_timeout_s, remaining_s)
        claimed = await self._writer.claim(request, timeout_s)
        match claimed:
            case claim_store.Held():
                return await self._run_held(claimed, proceed)
            case claim_store.Unavailable(is_uncertain):
                if route.once is model.OnceMode.LOCAL:
                    return await self._run_unclaimed(
                        request, proceed, is_uncertain
                    )
                if is_uncertain:
                    self._writer.void(request)
                return self._refuse()
            case _:
                return await self._judge(request, claimed)

    async def _run_held(
        self, held: claim_store.Held, proceed: Proceed
    ) -> verdict.Verdict:
        outcome = await proceed()
        match outcome:
            case verdict.Answered(response):
                self._writer.complete(held, response, lambda: None)
            case verdict.NotRun():
                self._writer.release(held)
            case verdict.MayHaveRun():
                pass
            case _:
                typing.assert_never(outcome)
        return outcome

    async def _run_unclaimed(
        self,
        request: claim_store.Request,
        proceed: Proceed,
        is_uncertain: bool,
    ) -> verdict.Verdict:
        """Run a request that only this node's record protects."""
        if not self._records.admits_unstored():
            if is_uncertain:
                self._writer.void(request)
            return self._refuse()
        self._records.mark_unstored(request.key)
        events.log(events.CLAIM_LOCAL, key=request.key)
        outcome = await proceed()
        claim = idempotency.Claim(
            request.token, request.fingerprint, self._store.read_clock()
        )
        held = claim_store.Held(request.key, claim, None)
        match outcome:
            case verdict.Answered(response):
                self._writer.complete(
                    held,
                    response,
                    lambda: self._records.mark_stored(request.key),
                )
            case verdict.NotRun():
                if is_uncertain:
                    self._writer.void(request)
            case verdict.MayHaveRun():
                self._writer.keep(held)
            case _:
                typing.assert_never(outcome)
        return outcome

    async def _judge(
        self,
        request: claim_store.Request,
        found: claim_store.Outcome,
    ) -> verdict.Verdict:
        """Tell a repetition what became of the request."""
        for pause in self._options.polls_s:
            if not isinstance(found, idempotency.InProgress):
                break
            await asyncio.sleep(pause)
            found = await self._store.look_up(request)
        match found:
            case idempotency.Replay(answer):
                response = await self._store.read_answer(answer)
                if response is None:
                    return _NOT_KEPT
                return verdict.Answered(response)
            case idempotency.Mismatch():
                return _MISMATCH
            case idempotency.Expired():
                return _NOT_KEPT
            case _:
                return _IN_PROGRESS

    def _refuse(self) -> verdict.NotRun:
        return verdict.NotRun(
            verdict.Reason.STORE_UNAVAILABLE,
            retry_after_s=self._options.retry_after_s,
            detail='the request could not be claimed',
        )


async def _wait_for(
    outcome: asyncio.Future[verdict.Verdict], remaining_s: float
) -> verdict.Verdict:
    try:
        async with asyncio.timeout(remaining_s):
            return await asyncio.shield(outcome)
    except TimeoutError:
        return verdict.MayHaveRun(verdict.Reason.DEADLINE)


_MISMATCH = verdict.NotRun(
    verdict.Reason.BAD_REQUEST,
    detail='the idempotency key was used for another request',
)
_NOT_KEPT = verdict.MayHaveRun(
    verdict.Reason.DUPLICATE,
    'the request has run; its answer is not kept any more',
)
_IN_PROGRESS = verdict.MayHaveRun(
    verdict.Reason.DUPLICATE,
    'a request with this idempotency key was begun; ask again for its answer',
)

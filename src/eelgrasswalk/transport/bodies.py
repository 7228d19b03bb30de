"""Bodies that do not fit inline: parts, credit, digest, and their memory."""

import asyncio
import collections
import collections.abc
import dataclasses
import io
import typing

import msgspec
import xxhash

from .. import verdict
from ..policy import client_load
from . import budget
from . import frames
from . import message

WINDOW_BYTES = 262_144

Carrier: typing.TypeAlias = frames.Call | frames.Answer


class BadBodyError(Exception):
    """The peer has broken the rules of bodies; the link is of no more use."""


def get_body(item: frames.Message) -> bytes:
    """Return the body that a message carries inline."""
    if isinstance(item, frames.Call):
        return item.request.body
    if isinstance(item, frames.Answer):
        return item.response.body
    return b''


def _get_holder(item: Carrier) -> message.Request | verdict.Response:
    """Return the object of a message that holds its body."""
    return item.request if isinstance(item, frames.Call) else item.response


def compute_digest(body: bytes) -> int:
    """Return the digest that travels with a body sent in parts."""
    if frames.is_inline(body):
        return 0
    return xxhash.xxh3_64_intdigest(body)


@dataclasses.dataclass(slots=True)
class _Outgoing:
    # Its place in the budget is kept as long as the request or answer lives.
    holder: message.Request | verdict.Response
    body: memoryview
    offset: int = 0
    credit: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class _Waiting:
    item: Carrier
    length: int


class Outbox:
    """Sends long bodies as far as the receiver gives credit.

    Args:
        send: Sends one message.
        is_writable: Tells whether the socket takes more.
        memory: Counts answers that wait until the socket takes them, without
            long bodies; None for no count.
    """

    def __init__(
        self,
        send: collections.abc.Callable[[frames.Message], None],
        is_writable: collections.abc.Callable[[], bool],
        memory: budget.ByteBudget | None = None,
    ) -> None:
        self._send = send
        self._is_writable = is_writable
        self._memory = memory
        self._bodies: dict[bytes, _Outgoing] = {}
        # A dictionary keeps the order in which they were sent.
        self._waiting: dict[bytes, _Waiting] = {}

    def __len__(self) -> int:
        return len(self._bodies) + len(self._waiting)

    def queue(self, item: Carrier) -> bool:
        """Keep a whole message while the socket takes no more.

        Otherwise the transport would hold any number of them, which nothing
        counts.

        Returns:
            Whether it is kept; it is to be sent now if not.
        """
        if self._is_writable() and not self._waiting:
            return False
        length = 0
        if isinstance(item, frames.Answer):
            length = client_load.compute_answer_cost(item.response)
            if not frames.is_inline(item.response.body):
                length -= len(item.response.body)
        self._take_waiting(item.attempt)
        self._waiting[item.attempt] = _Waiting(item, length)
        if self._memory is not None:
            self._memory.reserve_anyway(length)
        return True

    def add(self, item: frames.Message) -> None:
        """Keep the body of a message if it follows in parts."""
        body = get_body(item)
        if frames.is_inline(body):
            return
        assert isinstance(item, frames.Call | frames.Answer)
        self._bodies[item.attempt] = _Outgoing(
            _get_holder(item), memoryview(body)
        )

    def drop(self, attempt: bytes) -> None:
        """Send no more of an attempt's message and body."""
        self._bodies.pop(attempt, None)
        self._take_waiting(attempt)

    def clear(self) -> None:
        """Send no more of anything."""
        self._bodies.clear()
        for attempt in list(self._waiting):
            self._take_waiting(attempt)

    def _take_waiting(self, attempt: bytes) -> Carrier | None:
        waiting = self._waiting.pop(attempt, None)
        if waiting is None:
            return None
        if self._memory is not None:
            self._memory.release(waiting.length)
        return waiting.item

    def add_credit(self, item: frames.Credit) -> None:
        """Take the receiver's word for more."""
        outgoing = self._bodies.get(item.attempt)
        if outgoing is not None:
            outgoing.credit += item.length
            self.pump()

    def pump(self) -> None:
        """Send what waits while the socket takes it.

        Whole messages go first, then one part of each body in turn.
        """
        while self._waiting and self._is_writable():
            self._send_waiting()
        ready = collections.deque(self._bodies)
        while ready and self._is_writable():
            attempt = ready.popleft()
            outgoing = self._bodies.get(attempt)
            if outgoing is not None and self._send_part(attempt, outgoing):
                ready.append(attempt)

    def flush(self) -> None:
        """Send all messages that wait, as the link is to be closed."""
        while self._waiting:
            self._send_waiting()

    def _send_waiting(self) -> None:
        item = self._take_waiting(next(iter(self._waiting)))
        assert item is not None
        self.add(item)
        self._send(item)

    def _send_part(self, attempt: bytes, outgoing: _Outgoing) -> bool:
        length = min(outgoing.credit, frames.DATA_BYTES)
        if length <= 0:
            return False
        end = outgoing.offset + length
        part = bytes(outgoing.body[outgoing.offset : end])
        outgoing.offset += len(part)
        outgoing.credit -= length
        if outgoing.offset >= len(outgoing.body):
            del self._bodies[attempt]
        self._send(frames.Data(attempt, part))
        return True


@dataclasses.dataclass(slots=True)
class _Incoming:
    item: Carrier
    # Gives up its bytes without a copy, which would double the memory of a
    # long body.
    body: io.BytesIO
    hasher: typing.Any
    began_at: float
    reserved: int = 0
    granted: int = 0
    waiter: asyncio.Task[None] | None = None


class Inbox:
    """Puts long bodies together again.

    Args:
        memory: Budget for the bodies.
        send: Sends one message.
        deliver: Takes messages with their whole bodies.
    """

    def __init__(
        self,
        memory: budget.ByteBudget,
        send: collections.abc.Callable[[frames.Message], None],
        deliver: collections.abc.Callable[[frames.Message], None],
    ) -> None:
        self._memory = memory
        self._send = send
        self._deliver = deliver
        self._bodies: dict[bytes, _Incoming] = {}

    def receive(self, item: Carrier) -> None:
        """Take a message whose body may follow in parts.

        Raises:
            BadBodyError: The message contradicts itself or another one.
        """
        body = get_body(item)
        if item.body_length == len(body):
            self._deliver(item)
            return
        if item.attempt in self._bodies or item.body_length < len(body):
            raise BadBodyError('a body is announced twice or too short')
        if item.body_length > self._memory.capacity:
            self._turn_away(item)
            return
        loop = asyncio.get_running_loop()
        incoming = _Incoming(
            item, io.BytesIO(), xxhash.xxh3_64(body), loop.time()
        )
        incoming.body.write(body)
        self._bodies[item.attempt] = incoming
        incoming.waiter = loop.create_task(self._reserve(incoming))

    def receive_part(self, item: frames.Data) -> None:
        """Take the next part of a body.

        Raises:
            BadBodyError: The part goes beyond the credit, or the digest of
                the whole body is wrong.
        """
        incoming = self._bodies.get(item.attempt)
        if incoming is None:
            return
        length = len(item.payload)
        if length > incoming.granted:
            raise BadBodyError('a part goes beyond its credit')
        incoming.granted -= length
        incoming.body.write(item.payload)
        incoming.hasher.update(item.payload)
        if incoming.body.tell() < incoming.item.body_length:
            self._grant(incoming)
            return
        del self._bodies[item.attempt]
        self._complete(incoming)

    def drop(self, attempt: bytes) -> None:
        """Forget what has come of an attempt's body."""
        incoming = self._bodies.pop(attempt, None)
        if incoming is None:
            return
        if incoming.waiter is not None:
            incoming.waiter.cancel()
        if incoming.reserved:
            self._memory.release(incoming.reserved)

    def clear(self) -> None:
        """Forget what has come of all bodies."""
        for attempt in list(self._bodies):
            self.drop(attempt)

    async def _reserve(self, incoming: _Incoming) -> None:
        length = incoming.item.body_length
        await self._memory.reserve(length)
        incoming.reserved = length
        incoming.waiter = None
        self._grant(incoming)

    def _grant(self, incoming: _Incoming) -> None:
        outstanding = incoming.granted
        received = incoming.body.tell()
        missing = incoming.item.body_length - received - outstanding
        length = min(WINDOW_BYTES - outstanding, missing)
        if length > 0 and outstanding <= WINDOW_BYTES // 2:
            incoming.granted += length
            self._send(frames.Credit(incoming.item.attempt, length))

    def _complete(self, incoming: _Incoming) -> None:
        if incoming.hasher.intdigest() != incoming.item.digest:
            self._memory.release(incoming.reserved)
            raise BadBodyError('the digest of a body is wrong')
        item = _replace_body(incoming.item, incoming.body.getvalue())
        if isinstance(item, frames.Call):
            took_s = asyncio.get_running_loop().time() - incoming.began_at
            item = _reduce_time(item, took_s)
        self._memory.hold(_get_holder(item), incoming.reserved)
        self._deliver(item)

    def _turn_away(self, item: Carrier) -> None:
        """End an attempt at once whose body can never be held."""
        if isinstance(item, frames.Answer):
            too_large = verdict.MayHaveRun(verdict.Reason.ANSWER_TOO_LARGE)
            self._deliver(
                frames.Failure(item.attempt, item.feedback, too_large)
            )
            return
        refusal = verdict.NotRun(
            verdict.Reason.BODY_TOO_LARGE,
            detail=f'the upstream holds at most {self._memory.capacity} bytes',
        )
        self._send(
            frames.Failure(item.attempt, frames.SILENT_FEEDBACK, refusal)
        )


def _reduce_time(call: frames.Call, took_s: float) -> frames.Call:
    """Return a call with the time left that its body has not taken."""
    return msgspec.structs.replace(
        call,
        remaining_s=max(0.0, call.remaining_s - took_s),
        objective_s=max(0.0, call.objective_s - took_s),
    )


def _replace_body(item: Carrier, body: bytes) -> Carrier:
    if isinstance(item, frames.Call):
        request = msgspec.structs.replace(item.request, body=body)
        return msgspec.structs.replace(item, request=request)
    response = msgspec.structs.replace(item.response, body=body)
    return msgspec.structs.replace(item, response=response)

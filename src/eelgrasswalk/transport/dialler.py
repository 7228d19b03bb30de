"""The caller's side of links: sends attempts and recovers their outcomes.

When a link is lost with attempts outstanding, a new link is dialled to the
same incarnation of the peer, which is queried for each of them. The outcome of
an attempt is unknown only after a change of incarnation or at its deadline.
"""

import asyncio
import collections
import dataclasses
import typing

from .. import verdict
from ..policy import reachability
from . import budget
from . import frames
from . import link
from . import liveness

DIAL_TIMEOUT_S = 1.5
# Longest time that a call waits for a new link; nothing was sent, so it may go
# elsewhere. The dial continues, as its first packet may have been lost.
MAX_DIAL_WAIT_S = 0.4
DIAL_BACKOFF_S = 0.05
MAX_DIAL_BACKOFF_S = 0.5
# A peer cancels the attempts of a lost link after this time.
RESOLVE_LIMIT_S = 3.0
# Acknowledgements are sent with the next call, or after this time.
ACK_INTERVAL_S = 1.0
# Controllers' messages that wait for a new link; the first are dropped.
MAX_UNSENT = 64
# Wait after the deadline for the upstream's own verdict.
DEADLINE_GRACE_S = 0.1


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """Address at which a peer accepts links."""

    node_id: str
    host: str
    port: int


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """The outcome of an attempt, with the feedback of its upstream.

    Args:
        outcome: The verdict.
        feedback: Load and limits that the upstream reports; None without a
            reply.
    """

    outcome: verdict.Verdict
    feedback: frames.Feedback | None


class ControlHandler(typing.Protocol):
    """Receives controllers' messages from peers."""

    def __call__(self, node_id: str, topic: str, payload: bytes) -> None:
        """Handle one message."""


@dataclasses.dataclass(slots=True)
class _Pending:
    call: frames.Call
    future: asyncio.Future[Reply]
    deadline: float
    retriable: bool
    sent: bool = False


class Dialler:
    """Keeps at most one outgoing link to each peer.

    Args:
        identity: This node.
        secret: The mesh secret.
        bodies: Budget for bodies that arrive in parts.
        on_control: Receives controllers' messages.
    """

    def __init__(
        self,
        identity: link.Identity,
        *,
        secret: bytes,
        bodies: budget.ByteBudget,
        on_control: ControlHandler,
    ) -> None:
        self.identity = identity
        self.secret = secret
        self.bodies = bodies
        self.on_control = on_control
        self.watch = liveness.Watch()
        self._peers: dict[str, _Peer] = {}

    async def call(
        self,
        address: Address,
        call: frames.Call,
        *,
        deadline: float,
        retriable: bool = False,
    ) -> Reply:
        """Run one attempt at a peer.

        Args:
            address: The peer.
            call: The attempt.
            deadline: Loop time by which the caller must have its verdict.
            retriable: Whether another attempt elsewhere does no harm, so
                that the call need not wait for a lost peer.
        """
        return await self._get_peer(address).call(call, deadline, retriable)

    def send_control(
        self, address: Address, topic: str, payload: bytes
    ) -> None:
        """Send a controller's message; dropped if the peer is unreachable."""
        self._get_peer(address).send_control(frames.Control(topic, payload))

    def is_refused(self, node_id: str) -> bool:
        """Return whether the peer's host refused the last link.

        A host that refuses connections has no running process. A host that
        does not answer may have one.
        """
        peer = self._peers.get(node_id)
        return peer is not None and peer.reachability.refused

    def list_failing(self, min_duration_s: float) -> list[str]:
        """Return the peers that have been unreachable for a minimum time.

        Only peers that were dialled recently count; others may be back.
        """
        now = asyncio.get_running_loop().time()
        return [
            node_id
            for node_id, peer in self._peers.items()
            if peer.reachability.has_failed_for(min_duration_s, now)
        ]

    def forget_failures(self, node_id: str) -> None:
        """Forget the failures to reach a peer."""
        peer = self._peers.get(node_id)
        if peer is not None:
            peer.reachability.reset_failures()

    def count_links(self) -> int:
        """Return the number of open links."""
        return sum(1 for peer in self._peers.values() if peer.is_open)

    async def stop(self) -> None:
        """Close every link."""
        for peer in list(self._peers.values()):
            await peer.stop()
        self._peers.clear()

    def _get_peer(self, address: Address) -> '_Peer':
        peer = self._peers.get(address.node_id)
        if peer is None:
            peer = _Peer(self, address)
            self._peers[address.node_id] = peer
        peer.address = address
        return peer


class _Peer:
    """The link to one peer, and the attempts sent to it."""

    def __init__(self, dialler: Dialler, address: Address) -> None:
        self.address = address
        self.reachability = reachability.Reachability()
        self._dialler = dialler
        self._loop = asyncio.get_running_loop()
        self._link: link.Link | None = None
        self._sequence = 0
        self._incarnation: int | None = None
        self._pending: dict[bytes, _Pending] = {}
        self._dialling: asyncio.Task[bool] | None = None
        self._resolving: asyncio.Task[None] | None = None
        self._opened: asyncio.Future[bool] | None = None
        self._retired = False
        self._acks: list[bytes] = []
        self._ack_timer: asyncio.TimerHandle | None = None
        self._unsent: collections.deque[frames.Control] = collections.deque(
            maxlen=MAX_UNSENT
        )

    @property
    def is_open(self) -> bool:
        return self._link is not None

    async def call(
        self, call: frames.Call, deadline: float, retriable: bool
    ) -> Reply:
        pending = _Pending(
            call, self._loop.create_future(), deadline, retriable
        )
        if self._retired:
            return _refuse(verdict.Reason.LEAVING, 'the upstream is stopping')
        # The new link may be lost again by the time that the dial returns;
        # an attempt recorded as sent then would wait for its deadline.
        if not await self._ensure_link(deadline):
            return _refuse(
                verdict.Reason.NO_UPSTREAM, 'the upstream could not be reached'
            )
        self._pending[call.attempt] = pending
        timer = self._loop.call_at(
            deadline + DEADLINE_GRACE_S, self._expire, pending
        )
        try:
            self._send(pending)
            return await pending.future
        except asyncio.CancelledError:
            self._abandon(call.attempt)
            raise
        finally:
            timer.cancel()
            self._forget(call.attempt)

    def send_control(self, item: frames.Control) -> None:
        if self._link is not None:
            self._link.send(item)
            return
        self._unsent.append(item)
        dialling = self._dialling or self._start_dialling()
        if len(self._unsent) == 1:
            dialling.add_done_callback(self._send_late)

    async def stop(self) -> None:
        for task in (self._resolving, self._dialling):
            if task is not None:
                task.cancel()
        self._flush_acks()
        if self._link is not None:
            self._link.close_gracefully()

    # link.Owner

    def on_open(self, opened: link.Link) -> None:
        if self._opened is not None and not self._opened.done():
            self._opened.set_result(True)

    def on_closed(self, closed: link.Link) -> None:
        if self._opened is not None and not self._opened.done():
            self._opened.set_result(False)
        if closed is not self._link:
            return
        self._link = None
        self._retired = False
        self.reachability.record_link_closed(closed.silent_since)
        if any(pending.sent for pending in self._pending.values()):
            self._resolving = self._loop.create_task(self._resolve())

    def on_message(self, source: link.Link, item: frames.Message) -> None:
        if isinstance(item, frames.Answer):
            outcome: verdict.Verdict = verdict.Answered(item.response)
            self._settle(item.attempt, Reply(outcome, item.feedback))
        elif isinstance(item, frames.Failure):
            self._settle(item.attempt, Reply(item.outcome, item.feedback))
        elif isinstance(item, frames.Goodbye):
            self._retired = True
            if not self._pending:
                self._close_retired()
        elif isinstance(item, frames.Control):
            self._dialler.on_control(
                source.peer.node_id, item.topic, item.payload
            )

    def is_awaited(self, attempt: bytes) -> bool:
        pending = self._pending.get(attempt)
        return pending is not None and not pending.future.done()

    def _forget(self, attempt: bytes) -> None:
        """Drop everything of an attempt that has ended in any way."""
        self._pending.pop(attempt, None)
        if self._link is not None:
            # A verdict may come before the whole body was sent, and nobody
            # may wait any more for an answer that has begun to arrive.
            self._link.forget(attempt)
            self._link.outstanding = len(self._pending)
        if self._retired and not self._pending:
            self._close_retired()

    def _close_retired(self) -> None:
        if self._link is not None:
            self._flush_acks()
            self._link.close_gracefully()

    # Attempts

    def _send(self, pending: _Pending) -> None:
        pending.sent = True
        if self._link is not None:
            self._link.outstanding = len(self._pending)
            self._link.send(pending.call)
            if self._acks:
                self._flush_acks()

    def _settle(self, attempt: bytes, reply: Reply) -> None:
        self._acks.append(attempt)
        if self._ack_timer is None:
            self._ack_timer = self._loop.call_later(
                ACK_INTERVAL_S, self._flush_acks
            )
        pending = self._pending.get(attempt)
        if pending is not None and not pending.future.done():
            pending.future.set_result(reply)

    def _flush_acks(self) -> None:
        if self._ack_timer is not None:
            self._ack_timer.cancel()
            self._ack_timer = None
        limit = frames.MAX_ATTEMPTS_IN_ACK
        acks, self._acks = self._acks, []
        if self._link is None:
            return
        for start in range(0, len(acks), limit):
            self._link.send(frames.Ack(tuple(acks[start : start + limit])))

    def _expire(self, pending: _Pending) -> None:
        if pending.future.done():
            return
        self._abandon(pending.call.attempt)
        pending.future.set_result(
            Reply(verdict.MayHaveRun(verdict.Reason.DEADLINE), None)
        )

    def _abandon(self, attempt: bytes) -> None:
        if self._link is not None:
            self._link.forget(attempt)
            self._link.send(frames.Cancel(attempt))

    # Dialling

    async def _ensure_link(self, deadline: float) -> bool:
        if self._link is None:
            wait_ends_at = self._loop.time() + MAX_DIAL_WAIT_S
            await self._dial(min(deadline, wait_ends_at))
        return self._link is not None

    async def _dial(self, deadline: float) -> bool:
        task = self._dialling or self._start_dialling()
        try:
            async with asyncio.timeout_at(deadline):
                return await asyncio.shield(task)
        except TimeoutError:
            return False

    def _start_dialling(self) -> asyncio.Task[bool]:
        task = self._loop.create_task(self._open_link())
        self._dialling = task
        return task

    async def _open_link(self) -> bool:
        started_at = self._loop.time()
        opened = refused = False
        try:
            async with asyncio.timeout(DIAL_TIMEOUT_S):
                opened = await self._connect()
        except ConnectionRefusedError:
            refused = True
        except (OSError, TimeoutError):
            pass
        finally:
            self._dialling = None
        if opened:
            self.reachability.record_dial_succeeded()
        else:
            self.reachability.record_dial_failed(
                started_at, self._loop.time(), refused=refused
            )
        return opened

    async def _connect(self) -> bool:
        self._sequence += 1
        candidate = link.Link(
            self,
            self._dialler.identity,
            secret=self._dialler.secret,
            memory=self._dialler.bodies,
            watch=self._dialler.watch,
            dialled=True,
            peer_id=self.address.node_id,
            sequence=self._sequence,
        )
        self._opened = self._loop.create_future()
        try:
            await self._loop.create_connection(
                lambda: candidate, self.address.host, self.address.port
            )
            opened = await self._opened
        except BaseException:
            candidate.close()
            raise
        if not opened or candidate.state is not link.State.OPEN:
            return False
        self._adopt(candidate)
        return True

    def _adopt(self, opened: link.Link) -> None:
        self._link = opened
        changed = self._incarnation not in (None, opened.peer.incarnation)
        self._incarnation = opened.peer.incarnation
        sent = [item for item in self._pending.values() if item.sent]
        if changed:
            for pending in sent:
                self._fail_as_unknown(pending, 'the upstream was restarted')
        elif sent:
            self._ask([pending.call.attempt for pending in sent])
        opened.outstanding = len(self._pending)

    def _send_late(self, dialling: asyncio.Task[bool]) -> None:
        unsent = list(self._unsent)
        self._unsent.clear()
        for item in unsent:
            if self._link is not None:
                self._link.send(item)

    # Unknown outcomes

    async def _resolve(self) -> None:
        backoff = DIAL_BACKOFF_S
        give_up_at = self._loop.time() + RESOLVE_LIMIT_S
        while self._pending and self._link is None:
            if await self._dial(self._loop.time() + DIAL_TIMEOUT_S):
                return
            self._fail_unresolved(only_retriable=True)
            if self._loop.time() >= give_up_at:
                self._fail_unresolved(only_retriable=False)
            await asyncio.sleep(backoff)
            backoff = min(2 * backoff, MAX_DIAL_BACKOFF_S)

    def _fail_unresolved(self, *, only_retriable: bool) -> None:
        for pending in list(self._pending.values()):
            if pending.sent and (pending.retriable or not only_retriable):
                self._fail_as_unknown(
                    pending, 'the upstream cannot be reached'
                )

    def _ask(self, attempts: list[bytes]) -> None:
        assert self._link is not None
        limit = frames.MAX_ATTEMPTS_IN_ACK
        for start in range(0, len(attempts), limit):
            self._link.send(frames.Ask(tuple(attempts[start : start + limit])))

    def _fail_as_unknown(self, pending: _Pending, detail: str) -> None:
        if pending.future.done():
            return
        outcome = verdict.MayHaveRun(verdict.Reason.LINK_LOST, detail)
        pending.future.set_result(Reply(outcome, None))


def _refuse(reason: verdict.Reason, detail: str) -> Reply:
    outcome = verdict.NotRun(
        reason, retry_after_s=1.0, detail=detail, retry_elsewhere=True
    )
    return Reply(outcome, None)

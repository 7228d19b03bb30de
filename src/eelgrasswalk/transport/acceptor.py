"""The upstream's side of links: receives attempts and answers questions."""

import asyncio
import contextlib
import dataclasses
import functools
import typing

from .. import verdict
from ..policy import attempts
from . import bodies
from . import budget
from . import dialler
from . import frames
from . import link
from . import liveness

PURGE_INTERVAL_S = 1.0
# Seconds that the work of a lost link goes on without a new link.
ORPHAN_GRACE_S = 3.0
FENCE_S = 60.0
GOODBYE_TIMEOUT_S = 1.0


class Runner(typing.Protocol):
    """Runs an attempt at this node's target."""

    async def run(self, call: frames.Call) -> dialler.Reply:
        """Run the attempt; cancelled when nobody waits for it any more."""


@dataclasses.dataclass(slots=True)
class _Peer:
    """The links of one incarnation of a caller's node."""

    identity: link.Identity
    current: link.Link | None = None
    sequence: int = 0
    tasks: dict[bytes, asyncio.Task[dialler.Reply]] = dataclasses.field(
        default_factory=dict
    )
    orphan_timer: asyncio.TimerHandle | None = None


class Acceptor:
    """Accepts links and runs the attempts that arrive on them.

    Args:
        identity: This node.
        secret: The mesh secret.
        runner: Runs attempts.
        bodies: Budget for bodies that arrive in parts.
        table: Records of attempts.
        on_control: Receives controllers' messages.
        backlog: Counts answers that wait until their callers' nodes read;
            None for no count.
    """

    def __init__(
        self,
        identity: link.Identity,
        *,
        secret: bytes,
        runner: Runner,
        bodies: budget.ByteBudget,
        table: attempts.AttemptTable,
        on_control: dialler.ControlHandler,
        backlog: budget.ByteBudget | None = None,
    ) -> None:
        self._backlog = backlog
        self._identity = identity
        self._secret = secret
        self._runner = runner
        self._bodies = bodies
        self._table = table
        self._on_control = on_control
        self._links: set[link.Link] = set()
        self._watch = liveness.Watch()
        self._peers: dict[str, _Peer] = {}
        self._server: asyncio.Server | None = None
        self._purger: asyncio.TimerHandle | None = None
        self._parted: asyncio.Event | None = None
        self._loop = asyncio.get_running_loop()

    async def start(self, host: str, port: int) -> tuple[str, int]:
        """Listen for links, and return the address that was bound."""
        self._server = await self._loop.create_server(
            self._build_link, host, port, backlog=1024
        )
        self._purger = self._loop.call_later(PURGE_INTERVAL_S, self._purge)
        address = self._server.sockets[0].getsockname()
        return address[0], address[1]

    async def drain(self) -> None:
        """Wait until every attempt that has arrived is answered."""
        while True:
            tasks = [
                task
                for peer in self._peers.values()
                for task in peer.tasks.values()
            ]
            if not tasks:
                return
            await asyncio.wait(tasks)
            # Lets the callbacks of the tasks run.
            await asyncio.sleep(0)

    async def stop(self) -> None:
        """Close the listener, part from every peer, then close every link."""
        if self._purger is not None:
            self._purger.cancel()
        if self._server is not None:
            self._server.close()
        await self._part()
        for opened in list(self._links):
            opened.close_gracefully()
        for peer in self._peers.values():
            for task in peer.tasks.values():
                task.cancel()

    async def _part(self) -> None:
        """Wait until no peer can have sent a call that has no outcome."""
        for opened in self._links:
            opened.send(frames.Goodbye())
        self._parted = asyncio.Event()
        if not self._links:
            return
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(GOODBYE_TIMEOUT_S):
                await self._parted.wait()

    def send_control(self, node_id: str, topic: str, payload: bytes) -> bool:
        """Send a controller's message if the node has a link to this one."""
        peer = self._peers.get(node_id)
        if peer is None or peer.current is None:
            return False
        peer.current.send(frames.Control(topic, payload))
        return True

    def announce(self, topic: str, payload: bytes) -> None:
        """Send a controller's message on every link."""
        item = frames.Control(topic, payload)
        for opened in self._links:
            opened.send(item)

    def count_links(self) -> int:
        """Return how many links are open."""
        return len(self._links)

    def count_running(self) -> int:
        """Return how many attempts are being run."""
        return sum(len(peer.tasks) for peer in self._peers.values())

    def _build_link(self) -> link.Link:
        return link.Link(
            self,
            self._identity,
            secret=self._secret,
            memory=self._bodies,
            watch=self._watch,
            dialled=False,
            backlog=self._backlog,
        )

    def _purge(self) -> None:
        self._table.purge(self._loop.time())
        self._purger = self._loop.call_later(PURGE_INTERVAL_S, self._purge)

    # link.Owner

    def on_open(self, opened: link.Link) -> None:
        peer = self._find_peer(opened.peer)
        if peer is None or opened.sequence <= peer.sequence:
            # Its bytes were held up; a later link has replaced it.
            opened.close()
            return
        if peer.orphan_timer is not None:
            peer.orphan_timer.cancel()
            peer.orphan_timer = None
        replaced = peer.current
        peer.current = opened
        peer.sequence = opened.sequence
        self._links.add(opened)
        if replaced is not None:
            replaced.close()

    def on_closed(self, closed: link.Link) -> None:
        self._links.discard(closed)
        if self._parted is not None and not self._links:
            self._parted.set()
        peer = self._peers.get(closed.peer.node_id)
        if peer is None or peer.current is not closed:
            return
        peer.current = None
        peer.orphan_timer = self._loop.call_later(
            ORPHAN_GRACE_S, self._cancel_orphans, peer
        )

    def on_message(self, source: link.Link, item: frames.Message) -> None:
        peer = self._peers.get(source.peer.node_id)
        if peer is None or peer.current is not source:
            return
        if isinstance(item, frames.Call):
            self._receive_call(peer, item)
        elif isinstance(item, frames.Cancel):
            self._cancel(peer, item.attempt)
        elif isinstance(item, frames.Ask):
            self._answer_questions(peer, item)
        elif isinstance(item, frames.Ack):
            for attempt in item.attempts:
                self._table.acknowledge(attempt)
        elif isinstance(item, frames.Control):
            self._on_control(source.peer.node_id, item.topic, item.payload)

    def is_awaited(self, attempt: bytes) -> bool:
        return False

    def _find_peer(self, identity: link.Identity) -> _Peer | None:
        """Return the peer, or None when a later incarnation has been seen."""
        known = self._peers.get(identity.node_id)
        if known is not None:
            if known.identity == identity:
                return known
            if known.identity.incarnation > identity.incarnation:
                return None
            self._retire(known)
        peer = _Peer(identity)
        self._peers[identity.node_id] = peer
        return peer

    def _retire(self, peer: _Peer) -> None:
        """Cancel what an earlier incarnation has left behind."""
        if peer.orphan_timer is not None:
            peer.orphan_timer.cancel()
        for task in peer.tasks.values():
            task.cancel()
        if peer.current is not None:
            peer.current.close()

    # Attempts

    def _receive_call(self, peer: _Peer, call: frames.Call) -> None:
        arrival = self._table.begin(
            call.attempt, expires_at=self._loop.time() + call.remaining_s
        )
        if arrival is attempts.Arrival.NEW:
            task = self._loop.create_task(self._runner.run(call))
            peer.tasks[call.attempt] = task
            # A task that is cancelled before its first step runs no code of
            # its own.
            task.add_done_callback(
                functools.partial(self._finish, peer, call.attempt)
            )
        elif arrival is attempts.Arrival.FENCED:
            self._send(peer, call.attempt, _build_fenced_reply())

    def _finish(
        self, peer: _Peer, attempt: bytes, task: asyncio.Task[dialler.Reply]
    ) -> None:
        peer.tasks.pop(attempt, None)
        if task.cancelled():
            reply = _build_unknown(verdict.Reason.CALLER_GONE)
        elif (error := task.exception()) is not None:
            reply = _build_unknown(verdict.Reason.INTERNAL, repr(error))
        else:
            reply = task.result()
        self._table.finish(attempt, reply.outcome)
        self._send(peer, attempt, reply)

    def _cancel(self, peer: _Peer, attempt: bytes) -> None:
        if peer.current is not None:
            peer.current.forget(attempt)
        task = peer.tasks.get(attempt)
        if task is not None:
            task.cancel()
        else:
            self._table.acknowledge(attempt)

    def _cancel_orphans(self, peer: _Peer) -> None:
        for task in peer.tasks.values():
            task.cancel()
        peer.orphan_timer = None

    def _answer_questions(self, peer: _Peer, item: frames.Ask) -> None:
        now = self._loop.time()
        for attempt in item.attempts:
            status = self._table.query(attempt, now=now, fence_s=FENCE_S)
            if isinstance(status, attempts.Ended):
                reply = dialler.Reply(status.outcome, None)
                self._send(peer, attempt, reply)
            elif isinstance(status, attempts.Fenced):
                self._send(peer, attempt, _build_fenced_reply())
            elif peer.current is not None:
                peer.current.send(frames.Known(attempt))

    def _send(self, peer: _Peer, attempt: bytes, reply: dialler.Reply) -> None:
        if peer.current is None:
            return
        feedback = reply.feedback or frames.SILENT_FEEDBACK
        outcome = reply.outcome
        if isinstance(outcome, verdict.Answered):
            body = outcome.response.body
            peer.current.send(
                frames.Answer(
                    attempt=attempt,
                    feedback=feedback,
                    response=outcome.response,
                    body_length=len(body),
                    digest=bodies.compute_digest(body),
                )
            )
        else:
            peer.current.send(frames.Failure(attempt, feedback, outcome))


def _build_fenced_reply() -> dialler.Reply:
    outcome = verdict.NotRun(
        verdict.Reason.FENCED,
        detail='the attempt never reached the upstream',
        retry_elsewhere=True,
    )
    return dialler.Reply(outcome, None)


def _build_unknown(reason: verdict.Reason, detail: str = '') -> dialler.Reply:
    return dialler.Reply(verdict.MayHaveRun(reason, detail), None)

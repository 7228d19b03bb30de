"""One authenticated connection between two nodes, carrying many calls."""

import asyncio
import dataclasses
import enum
import hashlib
import hmac
import secrets
import typing

from . import bodies
from . import budget
from . import codec
from . import frames
from . import liveness

HANDSHAKE_TIMEOUT_S = 2.0
# Longest message before the other side has proved the mesh secret.
MAX_HANDSHAKE_BYTES = 4_096
WRITE_HIGH_WATER_BYTES = 131_072
# A link that is silent this long with a call outstanding is probed, and
# abandoned when the probe stays unanswered for as long again.
SILENCE_S = 0.6
# An idle link is probed as well, so that the next call does not have to find
# out that nothing passes any more.
IDLE_PROBE_S = 10.0
_PROBE = frames.Probe()
_PROBE_REPLY = frames.ProbeReply()
_HANDSHAKE = (frames.Challenge, frames.Hello, frames.Welcome)


class State(enum.Enum):
    """Life of a link."""

    CONNECTING = 'connecting'
    OPEN = 'open'
    CLOSED = 'closed'


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Who a node is.

    Args:
        node_id: Its id.
        incarnation: Grows with every start of the node.
    """

    node_id: str
    incarnation: int


class Owner(typing.Protocol):
    """What a link tells the part of the node that owns it."""

    def on_open(self, link: 'Link') -> None:
        """Both sides have proved the mesh secret."""

    def on_message(self, link: 'Link', item: frames.Message) -> None:
        """A message has arrived, with its whole body."""

    def is_awaited(self, attempt: bytes) -> bool:
        """Tell whether the answer to an attempt is still wanted."""

    def on_closed(self, link: 'Link') -> None:
        """The link is gone."""


class Link(asyncio.Protocol):
    """Drives one connection.

    Args:
        owner: Receives messages and the link's end.
        identity: This node.
        secret: The mesh secret.
        memory: Budget for bodies that arrive in parts.
        watch: Watches open links for silence.
        dialled: Whether this side opened the connection.
        peer_id: The node that was dialled; empty on the accepting side.
        sequence: Number of this link among those dialled to the peer.
        backlog: Counts answers that wait until the peer reads; None for no
            count.

    Attributes:
        silent_since: Loop time of the probe without an answer for which the
            link was closed; None if it was not.
    """

    def __init__(
        self,
        owner: Owner,
        identity: Identity,
        *,
        secret: bytes,
        memory: budget.ByteBudget,
        watch: liveness.Watch,
        dialled: bool,
        peer_id: str = '',
        sequence: int = 0,
        backlog: budget.ByteBudget | None = None,
    ) -> None:
        self.peer = Identity(peer_id, 0)
        self.sequence = sequence
        self.state = State.CONNECTING
        self.outstanding = 0
        self.silent_since: float | None = None
        self._owner = owner
        self._identity = identity
        self._secret = secret
        self._watch = watch
        self._dialled = dialled
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._nonce = secrets.token_bytes(frames.NONCE_BYTES)
        self._last_received = self._loop.time()
        self._probed_at: float | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._paused = False
        self._outbox = bodies.Outbox(self._write, self._is_writable, backlog)
        self._inbox = bodies.Inbox(memory, self.send, self._deliver)
        self._reader = codec.FrameReader(MAX_HANDSHAKE_BYTES)
        # The peer has ended its side and reads no more.
        self._ended = False

    # Sending

    def send(self, item: frames.Message) -> None:
        """Send a message; without effect once the link is closed.

        Calls and answers wait while the socket takes no more. A body that does
        not fit inline follows as the receiver gives credit.
        """
        if self._transport is None or self._ended:
            return
        if isinstance(item, frames.Call):
            self._probe_after(SILENCE_S)
        if isinstance(item, frames.Call | frames.Answer):
            if self._outbox.queue(item):
                return
            self._outbox.add(item)
        self._write(item)

    def _write(self, item: frames.Message) -> None:
        if self._transport is not None:
            self._transport.write(codec.encode_frame(item))

    def _deliver(self, item: frames.Message) -> None:
        self._owner.on_message(self, item)

    def _is_writable(self) -> bool:
        return self._transport is not None and not self._paused

    def forget(self, attempt: bytes) -> None:
        """Drop what is left to send or has arrived of an attempt's bodies."""
        self._outbox.drop(attempt)
        self._inbox.drop(attempt)

    def close(self) -> None:
        """Close the link at once."""
        if self._transport is not None:
            self._transport.abort()

    def close_gracefully(self) -> None:
        """Close after what was written has been sent."""
        if self._transport is not None:
            self._outbox.flush()
            self._transport.close()

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self._transport = typing.cast(asyncio.Transport, transport)
        self._transport.set_write_buffer_limits(high=WRITE_HIGH_WATER_BYTES)
        self._timer = self._loop.call_later(
            HANDSHAKE_TIMEOUT_S, self._check_handshake
        )
        if not self._dialled:
            self.send(frames.Challenge(self._nonce))

    def connection_lost(self, exc: Exception | None) -> None:
        self._transport = None
        self.state = State.CLOSED
        if self._timer is not None:
            self._timer.cancel()
        self._watch.discard(self)
        self._inbox.clear()
        self._outbox.clear()
        self._owner.on_closed(self)

    def data_received(self, data: bytes) -> None:
        self._last_received = self._loop.time()
        self._probed_at = None
        try:
            for item in self._reader.feed(data):
                if self.state is State.OPEN:
                    self._handle_message(item)
                else:
                    self._handle_handshake(item)
        except (codec.DecodeError, bodies.BadBodyError):
            self.close()

    def eof_received(self) -> bool:
        self._ended = True
        return False

    def pause_writing(self) -> None:
        self._paused = True

    def resume_writing(self) -> None:
        self._paused = False
        self._outbox.pump()

    # Receiving

    def _handle_message(self, item: frames.Message) -> None:
        if isinstance(item, frames.Call):
            self._inbox.receive(item)
        elif isinstance(item, frames.Answer):
            if self._owner.is_awaited(item.attempt):
                self._inbox.receive(item)
            else:
                # Its sender would keep the body until the link is closed.
                self.send(frames.Cancel(item.attempt))
        elif isinstance(item, frames.Data):
            self._inbox.receive_part(item)
        elif isinstance(item, frames.Credit):
            self._outbox.add_credit(item)
        elif isinstance(item, frames.Cancel):
            self._inbox.drop(item.attempt)
            self._owner.on_message(self, item)
        elif isinstance(item, frames.Probe):
            self.send(_PROBE_REPLY)
        elif isinstance(item, frames.ProbeReply):
            # Any byte that arrives is a sign of life already.
            pass
        elif isinstance(item, _HANDSHAKE):
            self.close()
        else:
            self._owner.on_message(self, item)

    # Handshake

    def _handle_handshake(self, item: frames.Message) -> None:
        if self._dialled and isinstance(item, frames.Challenge):
            self._answer_challenge(item)
        elif self._dialled and isinstance(item, frames.Welcome):
            self._check_welcome(item)
        elif not self._dialled and isinstance(item, frames.Hello):
            self._check_hello(item)
        else:
            self.close()

    def _answer_challenge(self, item: frames.Challenge) -> None:
        self._peer_nonce = item.nonce
        proof = _prove(
            self._secret,
            b'hello',
            item.nonce,
            self._nonce,
            self._identity,
            self.sequence,
        )
        self.send(
            frames.Hello(
                node_id=self._identity.node_id,
                incarnation=self._identity.incarnation,
                sequence=self.sequence,
                nonce=self._nonce,
                proof=proof,
            )
        )

    def _check_hello(self, item: frames.Hello) -> None:
        peer = Identity(item.node_id, item.incarnation)
        expected = _prove(
            self._secret,
            b'hello',
            self._nonce,
            item.nonce,
            peer,
            item.sequence,
        )
        if not hmac.compare_digest(expected, item.proof):
            self.close()
            return
        self.peer = peer
        self.sequence = item.sequence
        proof = _prove(
            self._secret,
            b'welcome',
            self._nonce,
            item.nonce,
            self._identity,
            item.sequence,
        )
        self.send(
            frames.Welcome(
                node_id=self._identity.node_id,
                incarnation=self._identity.incarnation,
                proof=proof,
            )
        )
        self._open()

    def _check_welcome(self, item: frames.Welcome) -> None:
        peer = Identity(item.node_id, item.incarnation)
        expected = _prove(
            self._secret,
            b'welcome',
            self._peer_nonce,
            self._nonce,
            peer,
            self.sequence,
        )
        if item.node_id != self.peer.node_id or not hmac.compare_digest(
            expected, item.proof
        ):
            self.close()
            return
        self.peer = peer
        self._open()

    def _open(self) -> None:
        self.state = State.OPEN
        self._reader.max_message_bytes = frames.MAX_MESSAGE_BYTES
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._watch.add(self)
        self._owner.on_open(self)

    def _check_handshake(self) -> None:
        if self.state is State.CONNECTING:
            self.close()

    # Liveness

    def check_liveness(self, now: float) -> None:
        """Probe a silent peer, and leave one that stays silent."""
        is_busy = self.outstanding or self._outbox
        if self._probed_at is not None:
            if now - self._probed_at >= SILENCE_S:
                self.silent_since = self._probed_at
                self.close()
        elif is_busy:
            self._probe_after(SILENCE_S)
        elif self._dialled:
            self._probe_after(IDLE_PROBE_S)

    def _probe_after(self, silence_s: float) -> None:
        """Ask for a sign of life if none has come for so long."""
        now = self._loop.time()
        if self._probed_at is not None or self.state is not State.OPEN:
            return
        if now - self._last_received >= silence_s:
            self._probed_at = now
            self.send(_PROBE)


def _prove(
    secret: bytes,
    label: bytes,
    server_nonce: bytes,
    client_nonce: bytes,
    identity: Identity,
    sequence: int,
) -> bytes:
    fields = (
        label,
        server_nonce,
        client_nonce,
        identity.node_id.encode(),
        b'%d' % identity.incarnation,
        b'%d' % sequence,
    )
    text = b''.join(b'%d:%b,' % (len(field), field) for field in fields)
    return hmac.new(secret, text, hashlib.sha256).digest()

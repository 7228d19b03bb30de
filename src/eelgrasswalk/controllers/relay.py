"""Passes on what the store holds, so that few nodes have to ask it."""

import asyncio
import functools
import random
import typing
import zlib

import msgspec

from .. import events
from .. import ports
from ..policy import relay_tree
from . import background
from . import feed

TOPIC = 'relay'
# Asks a peer what it knows since the versions that are told.
TOPIC_ASK = 'relay-ask'
# Peers that a node asks at a time, when it has not been told.
ASKED_PEERS = 2
# A parent tells its children something at least every 1.2 s. A node that has
# heard nothing of a table for longer may have a parent that knows another set
# of nodes; it asks the store.
SILENCE_S = 2.0
CHECK_INTERVAL_S = 0.5
# Longer news is not passed on; each node reads it from the store.
MOST_BYTES = 196_608
# The same before it is packed; bounds what a peer can make a node hold.
MOST_UNPACKED_BYTES = 8_388_608
# Shorter news is not worth packing.
PACKED_FROM_BYTES = 2_048


class Told(msgspec.Struct, frozen=True, array_like=True):
    """What a node knows of one table.

    Args:
        table: The table.
        after: Version from which on the rows tell everything.
        version: Version up to which they do.
        store_s: The store's clock then, in seconds.
        rows: Key, value and version of each row that has changed; a value of
            None is a row that is gone.
    """

    table: str
    after: int
    version: int
    store_s: float
    rows: tuple[tuple[str, bytes | None, int], ...] = ()


class SendControl(typing.Protocol):
    """Sends a controller's message to a node."""

    def __call__(self, node_id: str, topic: str, payload: bytes) -> None:
        """Send one message."""


class Relay:
    """Tells this node's children what it learns, and hears its parent.

    Args:
        node_id: This node.
        feeds: What follows each table.
        list_nodes: Returns the nodes that live.
        send: Sends messages to other nodes.
        source: Random numbers.
        settle_s: Seconds after the start in which a node that takes itself
            for a root does not wait for changes at the store; it may not
            know the others yet.
        gather_s: Seconds for which changes of the nodes are gathered before
            the place is found anew; finding it takes a step for each node.

    Attributes:
        place: This node's place in the tree.
    """

    def __init__(
        self,
        node_id: str,
        feeds: typing.Mapping[str, feed.Feed],
        *,
        list_nodes: typing.Callable[[], typing.Sequence[str]],
        send: SendControl,
        source: random.Random,
        settle_s: float = 0.0,
        gather_s: float = 0.0,
    ) -> None:
        self.place = relay_tree.UNPLACED
        self._node_id = node_id
        self._feeds = feeds
        self._list_nodes = list_nodes
        self._send = send
        self._random = source
        self._loop = asyncio.get_running_loop()
        self._settled_at = self._loop.time() + settle_s
        self._gather_s = gather_s
        self._gathering: asyncio.TimerHandle | None = None
        self._node_ids: tuple[str, ...] = ()
        self._heard_at = dict.fromkeys(feeds, self._loop.time())
        self._work = background.Background(self._run)
        for table, each in feeds.items():
            each.on_advance = functools.partial(self._tell, table)

    async def start(self) -> None:
        """Begin to look after tables of which nothing is heard."""
        await self._work.start()

    async def stop(self) -> None:
        """End."""
        if self._gathering is not None:
            self._gathering.cancel()
        await self._work.stop()

    async def _run(self) -> None:
        while True:
            pause_s = CHECK_INTERVAL_S * (0.5 + self._random.random())
            await asyncio.sleep(pause_s)
            if self.place.parent is not None:
                self.check_silence(self._loop.time())

    def check_silence(self, now: float) -> None:
        """Ask the store for tables of which nothing was heard for long.

        Args:
            now: Loop time.
        """
        for table, each in self._feeds.items():
            if now - self._heard_at[table] > SILENCE_S:
                self._heard_at[table] = now
                each.catch_up()

    def note_nodes(self) -> None:
        """Find this node's place anew if nodes have come or gone."""
        if not self._gather_s:
            self._find_place()
        elif self._gathering is None:
            self._gathering = self._loop.call_later(
                self._gather_s, self._find_place
            )

    def _find_place(self) -> None:
        self._gathering = None
        node_ids = tuple(self._list_nodes())
        if node_ids == self._node_ids:
            return
        self._node_ids = node_ids
        self.place = relay_tree.find_place(self._node_id, node_ids)
        self._choose_watching()

    def _choose_watching(self) -> None:
        watches = self.place.parent is None
        left_s = self._settled_at - self._loop.time()
        if watches and left_s > 0.0:
            self._loop.call_later(left_s, self._choose_watching)
            return
        for each in self._feeds.values():
            each.set_watching(watches)

    def list_neighbours(self) -> tuple[str, ...]:
        """Return the nodes next to this one."""
        return self.place.list_neighbours()

    def receive(self, node_id: str, payload: bytes) -> None:
        """Take what a peer knows."""
        for told in _read_news(node_id, payload):
            following = self._feeds.get(told.table)
            if following is not None:
                if told.version >= following.version:
                    self._heard_at[told.table] = self._loop.time()
                following.take_told(_build_advance(told))

    def ask(self, table: str) -> None:
        """Ask a few peers, any of them, what they know of a table."""
        version = self._feeds[table].version
        others = [name for name in self._node_ids if name != self._node_id]
        payload = encode_news([Told(table, version, version, 0.0)])
        count = min(ASKED_PEERS, len(others))
        for name in self._random.sample(others, count):
            self._send(name, TOPIC_ASK, payload)

    def receive_ask(self, node_id: str, payload: bytes) -> None:
        """Tell a peer what it has missed, as far as this node knows."""
        for told in _read_news(node_id, payload):
            following = self._feeds.get(told.table)
            if following is None:
                continue
            advance = following.tell_since(told.version)
            if advance is None:
                continue
            news = encode_news([_build_told(told.table, advance)])
            if len(news) <= MOST_BYTES:
                self._send(node_id, TOPIC, news)

    def _tell(self, table: str, advance: feed.Advance) -> None:
        children = self.place.children
        if not children:
            return
        items = [_build_told(table, advance)]
        # A child that has missed news of another table finds out by this.
        items += (
            self._summarise(other)
            for other, each in self._feeds.items()
            if other != table and each.version
        )
        payload = encode_news(items)
        if len(payload) > MOST_BYTES:
            payload = encode_news([self._summarise(table)])
        for child in children:
            self._send(child, TOPIC, payload)

    def _summarise(self, table: str) -> Told:
        """Return up to where a table is known, without its rows."""
        following = self._feeds[table]
        return Told(table, following.changed_at, following.version, 0.0)


def _read_news(node_id: str, payload: bytes) -> list[Told]:
    try:
        return decode_news(payload)
    except ValueError as error:
        events.log(events.NEWS_REJECTED, peer=node_id, detail=str(error))
        return []


def encode_news(items: typing.Sequence[Told]) -> bytes:
    """Return what is sent; long news is packed."""
    data = _ENCODER.encode(items)
    if len(data) < PACKED_FROM_BYTES:
        return b'\0' + data
    return b'\1' + zlib.compress(data, level=1)


def decode_news(payload: bytes) -> list[Told]:
    """Return what was sent.

    Raises:
        ValueError: It is not news, or unpacks to more than is allowed.
    """
    data = payload[1:]
    try:
        if payload[:1] == b'\1':
            unpacker = zlib.decompressobj()
            data = unpacker.decompress(data, MOST_UNPACKED_BYTES)
            if unpacker.unconsumed_tail:
                raise ValueError(
                    f'news of more than {MOST_UNPACKED_BYTES} bytes'
                )
        return _DECODER.decode(data)
    except (msgspec.DecodeError, zlib.error) as error:
        raise ValueError(f'not news: {error}') from error


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(list[Told])


def _build_told(table: str, advance: feed.Advance) -> Told:
    rows = advance.rows
    return Told(
        table,
        advance.after,
        rows.version,
        rows.store_s,
        tuple((row.key, row.value, row.version) for row in rows.rows),
    )


def _build_advance(told: Told) -> feed.Advance:
    rows = tuple(ports.Row(*fields) for fields in told.rows)
    return feed.Advance(
        told.after, ports.Rows(rows, told.version, told.store_s)
    )

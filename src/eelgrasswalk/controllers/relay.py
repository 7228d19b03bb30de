"""Relays changes of the store's tables, so that few nodes poll it."""

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
# Requests the changes that a peer knows of since the given versions.
TOPIC_ASK = 'relay-ask'
# Peers that a node queries at a time when it has received no update.
QUERIED_PEERS = 2
# A parent sends an update to its children at least every 1.2 s. A node that
# receives none for longer may have a parent that knows a different set of
# nodes; it polls the store.
UPDATE_TIMEOUT_S = 2.0
CHECK_INTERVAL_S = 0.5
# Longer updates are not relayed; each node reads them from the store.
MAX_UPDATE_BYTES = 196_608
# Maximum size before compression; bounds the memory that a peer can use.
MAX_UNCOMPRESSED_BYTES = 8_388_608
# Shorter updates are sent uncompressed.
COMPRESSION_THRESHOLD_BYTES = 2_048


class TableUpdate(msgspec.Struct, frozen=True, array_like=True):
    """Changes of one table that a node knows of.

    Args:
        table: The table.
        after: Version after which the rows are complete.
        version: Version up to which they are complete.
        store_s: Time of the store's clock at that version, in seconds.
        rows: Key, value and version of each row that has changed; a value of
            None is a row that is gone.
        is_snapshot: Whether the rows are the whole table. Releases before
            this field take them for changes.
    """

    table: str
    after: int
    version: int
    store_s: float
    rows: tuple[tuple[str, bytes | None, int], ...] = ()
    is_snapshot: bool = False


class SendControl(typing.Protocol):
    """Sends a controller's message to a node."""

    def __call__(self, node_id: str, topic: str, payload: bytes) -> None:
        """Send one message."""


class Relay:
    """Sends updates to this node's children in the relay tree.

    Args:
        node_id: This node.
        feeds: Feed of each table.
        list_nodes: Returns the running nodes.
        send: Sends messages to other nodes.
        source: Random number generator, for jitter and the choice of peers.
        settle_s: Seconds after the start in which a node that appears to be
            a root does not poll the store, as it may not know the other
            nodes yet.
        gather_s: Seconds for which changes of the nodes are batched before
            the place is computed again, in time linear in the nodes.

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
        self._updated_at = dict.fromkeys(feeds, self._loop.time())
        self._work = background.Background(self._run)
        for table, each in feeds.items():
            each.on_advance = functools.partial(self._send_updates, table)

    async def start(self) -> None:
        """Start to check for tables without updates."""
        await self._work.start()

    async def stop(self) -> None:
        """Stop checking."""
        if self._gathering is not None:
            self._gathering.cancel()
        await self._work.stop()

    async def _run(self) -> None:
        while True:
            pause_s = CHECK_INTERVAL_S * (0.5 + self._random.random())
            await asyncio.sleep(pause_s)
            self.ask_for_unread()
            if self.place.parent is not None:
                self.check_update_times(self._loop.time())
            else:
                self.check_answers()

    def check_update_times(self, now: float) -> None:
        """Poll the store for tables without a recent update.

        Args:
            now: Loop time.
        """
        for table, each in self._feeds.items():
            if now - self._updated_at[table] > UPDATE_TIMEOUT_S:
                self._updated_at[table] = now
                each.catch_up()

    def ask_for_unread(self) -> None:
        """Request the tables that the store has not let this node read."""
        for table, each in self._feeds.items():
            if not each.filled.is_set():
                self.ask(table)

    def check_answers(self) -> None:
        """Poll the store for tables of which it has not told for long."""
        for each in self._feeds.values():
            each.poll_if_silent()

    def note_nodes(self) -> None:
        """Compute this node's place again if the nodes have changed."""
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
        """Return the parent and the children of this node."""
        return self.place.list_neighbours()

    def receive(self, node_id: str, payload: bytes) -> None:
        """Handle the updates of a peer."""
        for update in _decode_or_log(node_id, payload):
            following = self._feeds.get(update.table)
            if following is not None:
                # Its newest version grows with every table of the store.
                if update.version >= following.seen_at:
                    self._updated_at[update.table] = self._loop.time()
                following.apply_peer_update(_build_advance(update))

    def ask(self, table: str) -> None:
        """Request updates of a table from a few random peers."""
        version = self._feeds[table].version
        others = [name for name in self._node_ids if name != self._node_id]
        payload = encode_updates([TableUpdate(table, version, version, 0.0)])
        count = min(QUERIED_PEERS, len(others))
        for name in self._random.sample(others, count):
            self._send(name, TOPIC_ASK, payload)

    def receive_ask(self, node_id: str, payload: bytes) -> None:
        """Send a peer the changes that it has missed and this node knows."""
        for update in _decode_or_log(node_id, payload):
            following = self._feeds.get(update.table)
            if following is None:
                continue
            advance = following.get_changes_since(update.version)
            if advance is None:
                continue
            answer = encode_updates([_build_update(update.table, advance)])
            if len(answer) <= MAX_UPDATE_BYTES:
                self._send(node_id, TOPIC, answer)

    def _send_updates(self, table: str, advance: feed.Advance) -> None:
        children = self.place.children
        if not children:
            return
        items = [_build_update(table, advance)]
        # Lets a child detect that it has missed an update of another table.
        items += (
            self._summarise(other)
            for other, each in self._feeds.items()
            if other != table and each.filled.is_set()
        )
        payload = encode_updates(items)
        if len(payload) > MAX_UPDATE_BYTES:
            payload = encode_updates([self._summarise(table)])
        for child in children:
            self._send(child, TOPIC, payload)

    def _summarise(self, table: str) -> TableUpdate:
        """Return an update with the versions of a table and no rows."""
        following = self._feeds[table]
        return TableUpdate(table, following.changed_at, following.version, 0.0)


def _decode_or_log(node_id: str, payload: bytes) -> list[TableUpdate]:
    try:
        return decode_updates(payload)
    except ValueError as error:
        events.log(events.NEWS_REJECTED, peer=node_id, detail=str(error))
        return []


def encode_updates(items: typing.Sequence[TableUpdate]) -> bytes:
    """Encode updates, compressed if they are long."""
    data = _ENCODER.encode(items)
    if len(data) < COMPRESSION_THRESHOLD_BYTES:
        return b'\0' + data
    return b'\1' + zlib.compress(data, level=1)


def decode_updates(payload: bytes) -> list[TableUpdate]:
    """Decode updates.

    Raises:
        ValueError: The payload is malformed or exceeds the maximum size.
    """
    data = payload[1:]
    try:
        if payload[:1] == b'\1':
            decompressor = zlib.decompressobj()
            data = decompressor.decompress(data, MAX_UNCOMPRESSED_BYTES)
            if decompressor.unconsumed_tail:
                raise ValueError(
                    f'news of more than {MAX_UNCOMPRESSED_BYTES} bytes'
                )
        return _DECODER.decode(data)
    except (msgspec.DecodeError, zlib.error, RecursionError) as error:
        raise ValueError(f'not news: {error}') from error


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(list[TableUpdate])


def _build_update(table: str, advance: feed.Advance) -> TableUpdate:
    rows = advance.rows
    return TableUpdate(
        table,
        advance.after,
        rows.version,
        rows.store_s,
        tuple((row.key, row.value, row.version) for row in rows.rows),
        advance.is_snapshot,
    )


def _build_advance(update: TableUpdate) -> feed.Advance:
    rows = tuple(ports.Row(*fields) for fields in update.rows)
    return feed.Advance(
        update.after,
        ports.Rows(rows, update.version, update.store_s),
        update.is_snapshot,
    )

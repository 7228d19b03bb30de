"""Keeps a node's configuration up to date from the store and its peers."""

import asyncio
import collections.abc
import contextlib
import dataclasses
import hashlib
import random
import time
import typing

import anyio
import anyio.to_thread

from .. import events
from ..document import loading
from ..document import model
from ..operations import store
from ..platform import protocols
from ..policy import configuration
from . import audit
from . import configuration_messages as messages

_LOOK_FOR_PEERS_S = 0.05

Apply: typing.TypeAlias = collections.abc.Callable[[model.Document, int], None]
Send: typing.TypeAlias = collections.abc.Callable[[str, str, bytes], None]
ListPeers: typing.TypeAlias = collections.abc.Callable[
    [], collections.abc.Sequence[str]
]


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """How the controller works.

    Args:
        follow: How versions are followed.
        start_wait_s: Longest time that the start waits for a configuration.
        answer_wait_s: Time after which a peer is asked again.
        asks: How often a peer is asked.
        peers_asked: Peers asked at the start.
        answers_needed: Peers' answers that are enough at the start when the
            store is silent.
    """

    follow: configuration.VersionTrackerSettings = dataclasses.field(
        default_factory=configuration.VersionTrackerSettings
    )
    start_wait_s: float = 5.0
    answer_wait_s: float = 0.25
    asks: int = 6
    peers_asked: int = 5
    answers_needed: int = 3


@dataclasses.dataclass(frozen=True, slots=True)
class State:
    """What the controller tells operators.

    Args:
        version: Version in force; 0 for none.
        digest: Digest of its document.
        wanted: Highest version heard of.
        rejected: Versions that could not be read.
        is_stale: Whether it may be out of date.
        store_age_s: Seconds since the store was heard.
        peer_age_s: Seconds since a peer was heard.
    """

    version: int
    digest: str
    wanted: int
    rejected: tuple[int, ...]
    is_stale: bool
    store_age_s: float | None
    peer_age_s: float | None


class ConfigurationController:
    """Follows the configuration and puts new versions in force.

    Args:
        table: Holds the head.
        objects: Holds the documents.
        apply: Puts a document in force.
        send: Sends a message to a node: its id, the topic and the payload.
        list_peers: Returns the ids of the nodes that are known.
        options: How the controller works.
        clock: Monotonic seconds.
        source: Random numbers for polls.
    """

    def __init__(
        self,
        table: protocols.Table,
        objects: protocols.ObjectStore,
        *,
        apply: Apply,
        send: Send,
        list_peers: ListPeers,
        options: Options | None = None,
        clock: collections.abc.Callable[[], float] = time.monotonic,
        source: random.Random | None = None,
    ) -> None:
        self._table = table
        self._objects = objects
        self._apply = apply
        self._send = send
        self._list_peers = list_peers
        self._options = Options() if options is None else options
        self._clock = clock
        self._random = random.Random() if source is None else source
        self._tracker = configuration.VersionTracker(self._options.follow)
        self._content = b''
        self._digest = ''
        self._polled: store.Head | None = None
        self._wake = asyncio.Event()
        self._heard = asyncio.Condition()
        self._answered: set[str] = set()
        self._store_answered = False
        self._tells: dict[str, asyncio.Future[messages.Tell]] = {}
        self._loading = asyncio.Lock()
        self._tasks: list[asyncio.Task[None]] = []

    async def start(self) -> None:
        """Ask store and peers, and wait for what they have."""
        self._tasks = [
            asyncio.create_task(self._poll_regularly()),
            asyncio.create_task(self._fetch_regularly()),
        ]
        asking = asyncio.create_task(self._ask_peers())
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self._options.start_wait_s):
                async with self._heard:
                    await self._heard.wait_for(self._knows_enough)
        asking.cancel()

    async def stop(self) -> None:
        """Stop following."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self._tasks = []

    def allows_keys(self) -> bool:
        """Tell whether requests with keys may run.

        A node that hears neither the store nor any peer cannot learn that a
        key was withdrawn.
        """
        return not self._tracker.is_stale(self._clock())

    def get_state(self) -> State:
        """Return what operators see."""
        now = self._clock()
        tracker = self._tracker
        return State(
            version=tracker.version,
            digest=self._digest,
            wanted=tracker.wanted,
            rejected=tracker.rejected,
            is_stale=tracker.is_stale(now),
            store_age_s=tracker.get_store_age(now),
            peer_age_s=tracker.get_peer_age(now),
        )

    def observe_peer_version(self, node_id: str, version: int) -> None:
        """Take the version that any message of a peer carries."""
        self._tracker.observe_peer_version(node_id, version, self._clock())
        if version > self._tracker.version:
            self._wake.set()

    def receive(self, node_id: str, payload: bytes) -> None:
        """Take a message of a peer on this controller's topic."""
        try:
            message = messages.decode_message(payload)
        except messages.MalformedError:
            return
        match message:
            case messages.Ask(above):
                self._answer(node_id, above)
            case messages.Tell():
                self.observe_peer_version(node_id, message.version)
                waiting = self._tells.pop(node_id, None)
                if waiting is not None and not waiting.done():
                    waiting.set_result(message)
            case _:
                typing.assert_never(message)

    def _answer(self, node_id: str, above: int) -> None:
        version = self._tracker.version
        content = self._content if version > above else b''
        self._tell(node_id, messages.Tell(version, self._digest, content))

    def _tell(self, node_id: str, message: messages.Message) -> None:
        self._send(node_id, messages.TOPIC, messages.encode_message(message))

    async def _poll_regularly(self) -> None:
        while True:
            began_at = self._clock()
            await self._poll()
            members = len(self._list_peers()) + 1
            delay = self._tracker.choose_poll_delay(
                members, self._random.random()
            )
            # A slow store takes its time out of the pause, not on top of it.
            spent = self._clock() - began_at
            await asyncio.sleep(max(0.0, delay - spent))

    async def _poll(self) -> None:
        asked_at = self._clock()
        head = await self._read_head()
        if isinstance(head, protocols.Unavailable):
            return
        version = 0 if head is None else head.version
        self._polled = head
        self._tracker.observe_store_version(version, asked_at)
        self._store_answered = True
        self._wake.set()
        await self._notify()

    async def _fetch_regularly(self) -> None:
        while True:
            self._wake.clear()
            step = self._tracker.next_step(self._clock())
            match step:
                case configuration.Fetch():
                    await self._fetch(step)
                case configuration.Wait(until):
                    await self._wait_for_wake(until)
                case _:
                    typing.assert_never(step)

    async def _wait_for_wake(self, until: float | None) -> None:
        delay = None if until is None else max(0.0, until - self._clock())
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(delay):
                await self._wake.wait()

    async def _fetch(self, fetch: configuration.Fetch) -> None:
        match fetch.source:
            case configuration.FromStore():
                await self._fetch_from_store()
            case configuration.FromPeer(node_id):
                await self._fetch_from_peer(node_id)
            case _:
                typing.assert_never(fetch.source)
        self._tracker.end_fetch(fetch, self._clock())
        await self._notify()

    async def _fetch_from_store(self) -> None:
        head = self._polled
        if head is None or head.version < self._tracker.wanted:
            found = await self._read_head()
            if found is None or isinstance(found, protocols.Unavailable):
                return
            head = found
        if head.version <= self._tracker.version:
            return
        name = store.make_object_name(head.digest)
        outcome = await self._objects.get_object(name)
        if isinstance(outcome, protocols.Body):
            await self._load(head.version, head.digest, outcome.content)

    async def _fetch_from_peer(self, node_id: str) -> None:
        told = await self._ask(node_id)
        if told is not None and told.content:
            await self._load(told.version, told.digest, told.content)

    async def _ask_peers(self) -> None:
        """Ask peers as they become known, until enough were asked."""
        asked: set[str] = set()
        async with anyio.create_task_group() as group:
            while len(asked) < self._options.peers_asked:
                known = self._list_peers()
                new = [each for each in known if each not in asked]
                if not new:
                    await asyncio.sleep(_LOOK_FOR_PEERS_S)
                    continue
                node_id = self._random.choice(new)
                asked.add(node_id)
                group.start_soon(self._ask_first, node_id)

    async def _ask_first(self, node_id: str) -> None:
        told = await self._ask(node_id)
        if told is None:
            return
        if told.content:
            await self._load(told.version, told.digest, told.content)
        self._answered.add(node_id)
        await self._notify()

    async def _ask(self, node_id: str) -> messages.Tell | None:
        """Ask a peer, again while it may not know this node yet."""
        waiting = self._tells.get(node_id)
        if waiting is None:
            waiting = asyncio.get_running_loop().create_future()
            self._tells[node_id] = waiting
        for _ in range(self._options.asks):
            self._tell(node_id, messages.Ask(self._tracker.version))
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self._options.answer_wait_s):
                    return await asyncio.shield(waiting)
        self._tells.pop(node_id, None)
        return None

    async def _load(self, version: int, digest: str, content: bytes) -> None:
        """Put a document in force, unless a higher version is.

        It is parsed in a thread, because a long document takes a while.
        """
        async with self._loading:
            if version <= self._tracker.version:
                return
            if compute_digest(content) != digest:
                return
            loaded = await anyio.to_thread.run_sync(
                _parse, content, f'version {version}'
            )
            if isinstance(loaded, loading.Invalid):
                self._tracker.reject(version)
                problems = str(loaded.problems)
                events.log(events.CONFIGURATION_REJECTED, problems=problems)
                return
            if self._tracker.accept(version):
                self._content = content
                self._digest = digest
                self._apply(loaded.document, version)

    async def _read_head(self) -> store.Head | protocols.Unavailable | None:
        outcome = await self._table.get(store.HEAD_KEY)
        match outcome:
            case protocols.Found(row):
                try:
                    return store.decode_head(row.value)
                except audit.MalformedError as error:
                    return protocols.Unavailable(str(error))
            case protocols.Missing():
                return None
            case protocols.Unavailable():
                return outcome
            case _:
                typing.assert_never(outcome)

    def _knows_enough(self) -> bool:
        if self._store_answered:
            return self._tracker.version >= self._tracker.wanted
        is_current = self._tracker.version >= self._tracker.wanted
        return is_current and len(self._answered) >= min(
            self._options.answers_needed, max(1, len(self._list_peers()))
        )

    async def _notify(self) -> None:
        async with self._heard:
            self._heard.notify_all()


def compute_digest(content: bytes) -> str:
    """Return the digest that names a document."""
    return hashlib.sha256(content).hexdigest()


def _parse(content: bytes, source: str) -> loading.Outcome:
    return loading.load_document(content, source=source)

"""How long a node alone takes to learn a version from a slow store."""

import asyncio
import random
import typing
import unittest
import unittest.mock

from eelgrasswalk.bench import virtual_time
from eelgrasswalk.controllers import audit
from eelgrasswalk.controllers import configuration
from eelgrasswalk.operations import revisions
from eelgrasswalk.operations import store
from eelgrasswalk.platform import memory
from eelgrasswalk.platform import protocols

from . import test_configuration_races as races

SLOW_S = 0.4
IN_FORCE_S = 2.0


class LatestDraw(random.Random):
    """Draws the longest pauses."""

    def random(self) -> float:
        return 0.999


class SlowTable(memory.MemoryTable):
    def __init__(self) -> None:
        super().__init__()
        self.answered = asyncio.Event()

    async def get(self, key: str) -> protocols.ReadOutcome:
        await asyncio.sleep(SLOW_S)
        outcome = await super().get(key)
        self.answered.set()
        return outcome


class SlowObjects(memory.MemoryObjects):
    def __init__(self) -> None:
        super().__init__()
        self.came: asyncio.Queue[float] = asyncio.Queue()

    async def get_object(self, name: str) -> typing.Any:
        await asyncio.sleep(SLOW_S)
        self.came.put_nowait(asyncio.get_running_loop().time())
        return await super().get_object(name)


async def publish(
    writer: store.StoredRevisions,
    rate: float,
    base: revisions.Revision | None,
) -> None:
    outcome = await writer.publish(
        races.make_document(rate),
        base=base,
        author=audit.Author('ana', '127.0.0.1', 'test'),
    )
    assert isinstance(outcome, revisions.Published), outcome


async def measure() -> float:
    """Return the seconds from a version's acceptance to its document."""
    table, objects = SlowTable(), SlowObjects()
    writer = store.StoredRevisions(table, objects)
    await publish(writer, 1.0, None)
    node = configuration.ConfigurationController(
        table,
        objects,
        apply=lambda document, version: None,
        send=lambda node_id, topic, payload: None,
        list_peers=list,
        clock=asyncio.get_running_loop().time,
        source=LatestDraw(),
    )
    await node.start()
    await objects.came.get()
    base = await writer.read_head()
    assert isinstance(base, revisions.Found)
    while not objects.came.empty():
        objects.came.get_nowait()
    table.answered.clear()
    await table.answered.wait()
    accepted_at = asyncio.get_running_loop().time()
    await publish(writer, 2.0, base.revision)
    came_at = await objects.came.get()
    await node.stop()
    return came_at - accepted_at


async def call_here(
    function: typing.Callable[..., typing.Any], *args: typing.Any
) -> typing.Any:
    """Call a function without a thread.

    Virtual time runs on while the loop waits for a thread, by as much as
    the thread takes in real time.
    """
    return function(*args)


class SlowStoreTest(unittest.TestCase):
    def test_version_is_learned_in_time(self) -> None:
        with unittest.mock.patch('anyio.to_thread.run_sync', call_here):
            seconds = virtual_time.run(measure)
        self.assertLessEqual(seconds, IN_FORCE_S)

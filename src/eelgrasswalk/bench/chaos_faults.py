"""Brings faults about on a mesh, one step after the other."""

import asyncio
import collections.abc
import contextlib
import random
import signal
import time
import typing

from . import chaos_document
from . import chaos_load
from . import chaos_records as records
from . import chaos_schedule as schedule
from . import faulty

PLATFORM_ROUTE = 0
SLOW_S = 0.4
LOST_RATIO = 0.3
SILENT_DIRECTIONS = ('forward', 'backward', 'both')


class Pace(typing.Protocol):
    """How long a unit of a schedule is."""

    async def wait(self, units: float) -> None:
        """Wait for a number of units."""

    def is_over(self) -> bool:
        """Tell whether no more steps shall begin."""


class TimePace:
    """Units of time.

    Args:
        unit_s: Seconds of a unit.
        seconds: Seconds from now in which steps may begin.
    """

    def __init__(self, unit_s: float, seconds: float) -> None:
        self._unit_s = unit_s
        self._ends_at = time.monotonic() + seconds

    def is_over(self) -> bool:
        """Tell whether no more steps shall begin."""
        return time.monotonic() >= self._ends_at

    async def wait(self, units: float) -> None:
        """Wait for a number of units."""
        await asyncio.sleep(units * self._unit_s)


class CountPace:
    """Units of requests that have ended.

    Args:
        load: The callers.
        requests: Requests of a unit.
    """

    def __init__(self, load: chaos_load.ChaosLoad, requests: int) -> None:
        self._load = load
        self._requests = requests

    def is_over(self) -> bool:
        """Tell whether no more steps shall begin."""
        return False

    async def wait(self, units: float) -> None:
        """Wait for a number of units."""
        await self._load.wait_for_requests(int(units * self._requests))


class Disturber:
    """Brings faults about and notes when.

    Args:
        subject: The mesh.
        load: The callers.
        entries: The nodes that they send to.
        operators: Who changes the configuration.
        pace: How long a unit is.
        evidence: Where the faults are noted.
        seed: Seed of the random numbers.
    """

    def __init__(
        self,
        subject: faulty.FaultyMesh,
        load: chaos_load.ChaosLoad,
        entries: chaos_load.Entries,
        operators: chaos_document.Operators,
        pace: Pace,
        evidence: records.Evidence,
        *,
        seed: int,
    ) -> None:
        self._mesh = subject
        self._load = load
        self._entries = entries
        self._operators = operators
        self._pace = pace
        self._evidence = evidence
        self._random = random.Random(f'{seed} faults')

    async def run(
        self, steps: collections.abc.Iterable[schedule.Step]
    ) -> None:
        """Bring about all steps, with a calm unit after each."""
        for step in steps:
            if self._pace.is_over():
                return
            async with asyncio.TaskGroup() as group:
                for fault in step.faults:
                    group.create_task(self._bring_about(fault))
            await self._pace.wait(1.0)

    async def _bring_about(self, fault: schedule.Fault) -> None:
        with self._note(fault):
            match fault.kind:
                case schedule.Kind.KILL:
                    await self._kill(_get_node(fault), fault.units)
                case schedule.Kind.PAUSE:
                    await self._pause(_get_node(fault), fault.units)
                case schedule.Kind.PLANNED_STOP:
                    await self._stop(_get_node(fault))
                case schedule.Kind.CUT | schedule.Kind.SILENCE:
                    route = 1 + _get_node(fault)
                    await self._break(route, fault)
                case schedule.Kind.PLATFORM_CUT:
                    await self._break(PLATFORM_ROUTE, fault)
                case schedule.Kind.PLATFORM_SILENCE:
                    await self._break(PLATFORM_ROUTE, fault)
                case schedule.Kind.PLATFORM_DOWN:
                    await self._behave(fault, down=True)
                case schedule.Kind.PLATFORM_SLOW:
                    await self._behave(fault, slow_s=SLOW_S)
                case schedule.Kind.LOST_ANSWERS:
                    await self._behave(fault, lose_ratio=LOST_RATIO)
                case schedule.Kind.WITHDRAWAL:
                    await self._withdraw()
                case schedule.Kind.RACE:
                    await self._race()

    @contextlib.contextmanager
    def _note(self, fault: schedule.Fault) -> typing.Iterator[None]:
        span = records.Span(fault.kind.value, fault.node, time.monotonic())
        self._evidence.spans.append(span)
        try:
            yield
        finally:
            span.end = time.monotonic()

    async def _kill(self, node: int, units: float) -> None:
        self._entries.remove(node)
        await asyncio.to_thread(self._mesh.nodes[node].kill)
        await self._pace.wait(units)
        await self._restart(node)

    async def _pause(self, node: int, units: float) -> None:
        popen = self._mesh.nodes[node].popen
        popen.send_signal(signal.SIGSTOP)
        try:
            await self._pace.wait(units)
        finally:
            popen.send_signal(signal.SIGCONT)

    async def _stop(self, node: int) -> None:
        self._entries.remove(node)
        code = await asyncio.to_thread(self._mesh.nodes[node].stop)
        self._evidence.stops.append((node, code))
        await self._restart(node)

    async def _restart(self, node: int) -> None:
        process = await asyncio.to_thread(self._mesh.restart, node)
        self._entries.add(node, process.ready['callers'])

    async def _break(self, route: int, fault: schedule.Fault) -> None:
        if fault.kind in {schedule.Kind.CUT, schedule.Kind.PLATFORM_CUT}:
            await self._refuse(route, fault.units)
            return
        direction = self._random.choice(SILENT_DIRECTIONS)
        await asyncio.to_thread(
            self._mesh.break_route, route, 'silence', direction=direction
        )
        await self._pace.wait(fault.units)

    async def _refuse(self, route: int, units: float) -> None:
        do = self._mesh.break_route
        await asyncio.to_thread(do, route, 'refuse', refuse=True)
        await asyncio.to_thread(do, route, 'cut')
        await self._pace.wait(units)
        await asyncio.to_thread(do, route, 'refuse', refuse=False)

    async def _behave(self, fault: schedule.Fault, **switches: float) -> None:
        do = self._mesh.behave_platform
        await asyncio.to_thread(do, **switches)
        await self._pace.wait(fault.units)
        usual = {name: type(value)(0) for name, value in switches.items()}
        await asyncio.to_thread(do, **usual)

    async def _withdraw(self) -> None:
        key = self._load.keys[-1]
        self._load.withdraw(key)
        if await self._operators.withdraw(key):
            self._evidence.withdrawals.append(
                records.Withdrawal(key, time.monotonic())
            )
        await self._pace.wait(1.0)

    async def _race(self) -> None:
        race = await self._operators.race()
        if race is not None:
            self._evidence.races.append(race)
        await self._pace.wait(1.0)


def _get_node(fault: schedule.Fault) -> int:
    assert fault.node is not None
    return fault.node

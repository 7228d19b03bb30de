"""What targets, operators and clients do in a soak beside its other faults.

Targets turn cold, data centres are evacuated, answers have no valid status,
and clients send requests ahead.
"""

import asyncio
import collections.abc
import dataclasses
import itertools
import random
import time
import typing

from .. import verdict
from ..standins import app
from ..standins import deployment
from . import soak_checks
from . import soak_client
from . import soak_faults
from . import soak_fleet

DEADLINE_MS = 3000
# More than a node holds of one connection, now and then.
MOST_AHEAD = 80
AHEAD_PAUSE_S = 0.2
# Clients of targets whose answers have no valid status.
INVALID_CLIENTS = 2
INVALID_RATIO = 0.5
# Pause between the end of an evacuation and the next one.
LIFTED_S = 0.8
# A target that got nothing for this long may turn cold unnoticed. Nodes expect
# that from 1.5 s on; the rest covers that they read other clocks.
IDLE_S = 2.0
LOOK_INTERVAL_S = 0.05
STALL_S = 0.25
STORE_POLL_S = 0.05
COLD_BOUND = (
    soak_fleet.COLD_PER_S * soak_fleet.COLD_OVERAGE + soak_fleet.COLD_SLACK
)
# Reports of load that are malformed or false.
LOADS = (
    b'',
    b'-1,0,8,100',
    b'x,y,z',
    b'1,2',
    b'1,2,3,4,5',
    b'9999999,0,8,100',
    b'500,0,8,100',
    b'0,0,8,1000000',
    b'0,0,0,0',
    b'1.5,0,8,100',
)

Act: typing.TypeAlias = collections.abc.Callable[
    [soak_faults.Fault],
    collections.abc.Coroutine[typing.Any, typing.Any, None],
]


@dataclasses.dataclass(frozen=True, slots=True)
class Acts:
    """What the soak can do beside an evacuation.

    Args:
        fail_store: Lets the store fail for a time.
        disturb: Ends a node and starts it again.
        is_store_faulty: Whether the store fails just now.
    """

    fail_store: Act
    disturb: Act
    is_store_faulty: collections.abc.Callable[[], bool]


class Signals:
    """Lets the faults of soak_faults.SIGNALS happen.

    Args:
        fleet: The processes.
        record: Where to note what was seen.
        source: Random number generator for requests.
        acts: What else the soak can do.
    """

    def __init__(
        self,
        fleet: soak_fleet.Fleet,
        record: soak_checks.Record,
        source: random.Random,
        acts: Acts,
    ) -> None:
        self._fleet = fleet
        self._record = record
        self._random = source
        self._acts = acts
        self._ids = itertools.count()
        self._evacuated_from: dict[str, float] = {}

    async def begin(self, fault: soak_faults.Fault) -> None:
        """Let one fault happen."""
        node = self._fleet.nodes[fault.node]
        if fault.kind == 'cold':
            await self._cool(node, fault)
        elif fault.kind == 'evacuation':
            await self._evacuate_twice(fault)
        elif fault.kind == 'invalid-status':
            await self._invalidate(node.app, fault)
        elif fault.kind == 'ahead':
            await self._send_batches(node, fault.duration_s, MOST_AHEAD)
        elif fault.kind == 'load':
            await self._misreport(node.app, fault)

    async def watch_stalls(self) -> None:
        """Note when the soak itself stands still."""
        while True:
            before = time.monotonic()
            await asyncio.sleep(LOOK_INTERVAL_S)
            after = time.monotonic()
            if after - before > LOOK_INTERVAL_S + STALL_S:
                # What came meanwhile is read just after.
                self._record.stalls.append(
                    soak_checks.Span('soak', before, after + LOOK_INTERVAL_S)
                )

    # Cold targets

    async def _cool(
        self, node: soak_fleet.Node, fault: soak_faults.Fault
    ) -> None:
        """Let a target turn cold, by itself or with a crash."""
        target = node.app
        if target.is_down or target.is_leaving:
            return
        if fault.figure < 0.5:
            target.turn_cold(fault.duration_s)
            await target.check_in(node.ports[2])
            return
        # A run that has said something keeps its id to itself.
        if fault.figure < 0.8 and target.behaviour.calls_per_s is None:
            node.next_id = target.target_id
        target.crash()

    def collect_cold(self) -> None:
        """Note when targets were cold."""
        for node in self._fleet.nodes:
            self._record.cold += [
                soak_checks.Span(
                    span.target_id, span.start, span.end, COLD_BOUND
                )
                for span in node.app.coldness.list_spans(time.monotonic())
            ]

    # Evacuations

    async def _evacuate_twice(self, fault: soak_faults.Fault) -> None:
        """Evacuate a data centre, lift that, and evacuate it again.

        What else happens depends on the figure: nothing, an outage of the
        store, the end of a node, or both. Now and then it is all of them.
        """
        data_centres = [self._fleet.nodes[fault.node].data_centre]
        if fault.figure > 0.9:
            data_centres = list(soak_fleet.DATA_CENTRES)
        has_outage = 0.3 < fault.figure < 0.75
        has_end = fault.figure > 0.5
        async with asyncio.TaskGroup() as group:
            await self._evacuate(data_centres)
            if has_outage:
                outage = dataclasses.replace(fault, kind='store-silent')
                if fault.figure < 0.4:
                    outage = dataclasses.replace(fault, kind='store-restored')
                group.create_task(self._acts.fail_store(outage))
            if has_end:
                end = dataclasses.replace(fault, kind='kill')
                group.create_task(self._acts.disturb(end))
            await self._hold(fault.duration_s)
            await self._lift(data_centres)
            await asyncio.sleep(LIFTED_S)
            await self._evacuate(data_centres)
            await self._hold(fault.duration_s)
            await self._lift(data_centres)

    async def _evacuate(
        self, data_centres: collections.abc.Iterable[str]
    ) -> None:
        for data_centre in data_centres:
            await self._wait_for_store()
            self._fleet.set_evacuated(data_centre, True)
            self._note_begin(data_centre)

    async def _hold(self, seconds: float) -> None:
        """Let an evacuation last beyond its bound."""
        begin = time.monotonic() - soak_checks.STABLE_S
        await asyncio.sleep(soak_fleet.EVACUATE_S)
        faults = self._record.store_faults
        if self._acts.is_store_faulty() or (faults and faults[-1].end > begin):
            await asyncio.sleep(soak_checks.MAX_SKEW_S)
        await asyncio.sleep(soak_checks.CLOCK_SLACK_S + seconds)

    async def _lift(self, data_centres: collections.abc.Iterable[str]) -> None:
        for data_centre in data_centres:
            await self._wait_for_store()
            self._note_end(data_centre)
            self._cool_idle(data_centre)
            self._fleet.set_evacuated(data_centre, False)

    def repair(self) -> None:
        """Set the rows of a restored store right.

        What it holds binds anew from then on.
        """
        for data_centre in sorted(self._fleet.evacuated):
            self._note_end(data_centre)
        self._fleet.repair_evacuations()
        for data_centre in sorted(self._fleet.evacuated):
            self._note_begin(data_centre)

    def _note_begin(self, data_centre: str) -> None:
        self._evacuated_from[data_centre] = time.monotonic()

    def _note_end(self, data_centre: str) -> None:
        start = self._evacuated_from.pop(data_centre, None)
        if start is not None:
            self._record.evacuations.append(
                soak_checks.Span(
                    data_centre,
                    start,
                    time.monotonic(),
                    soak_fleet.EVACUATE_S,
                )
            )

    def _cool_idle(self, data_centre: str) -> None:
        """Let targets turn cold that have had nothing to do.

        Their node can tell from that and from the end of the evacuation.
        """
        if not self._fleet.is_cold:
            return
        now = time.monotonic()
        for node in self._fleet.nodes:
            arrivals = node.app.arrivals
            is_idle = not arrivals or arrivals[-1].at < now - IDLE_S
            if node.data_centre == data_centre and is_idle:
                node.app.turn_cold(soak_fleet.COLD_START_S, reported=True)

    async def _wait_for_store(self) -> None:
        """Wait until the store answers operators."""
        while self._acts.is_store_faulty():
            await asyncio.sleep(STORE_POLL_S)

    # Answers and requests

    async def _invalidate(
        self, target: app.AppStandin, fault: soak_faults.Fault
    ) -> None:
        """Let a target answer without a valid status, and watch clients."""
        behaviour = target.behaviour
        behaviour.invalid_ratio = INVALID_RATIO
        async with asyncio.TaskGroup() as group:
            for _ in range(INVALID_CLIENTS):
                node = self._random.choice(self._fleet.nodes)
                group.create_task(
                    self._send_batches(node, fault.duration_s, 1)
                )
        behaviour.invalid_ratio = 0.0

    async def _misreport(
        self, target: app.AppStandin, fault: soak_faults.Fault
    ) -> None:
        """Let a target report loads that are malformed or false."""
        behaviour = target.behaviour
        ends_at = time.monotonic() + fault.duration_s
        while time.monotonic() < ends_at:
            behaviour.load_text = self._random.choice(LOADS)
            await asyncio.sleep(STORE_POLL_S)
        behaviour.load_text = None

    async def _send_batches(
        self, node: soak_fleet.Node, seconds: float, most: int
    ) -> None:
        """Send batches of requests, each at once on a new connection.

        Several at once are safe; one alone may be unsafe.
        """
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            count = self._random.randint(1, most)
            kind = 'safe'
            if count == 1 and self._random.random() < 0.5:
                kind = 'unsafe'
            service = self._random.choice(soak_fleet.SERVICES)
            await self._send_batch(node, f'/{service}/{kind}/', count)
            await asyncio.sleep(AHEAD_PAUSE_S)

    async def _send_batch(
        self, node: soak_fleet.Node, path: str, count: int
    ) -> None:
        ids = [f'{node.index}-a{next(self._ids)}' for _ in range(count)]
        unsafe = '/unsafe/' in path
        requests = [
            deployment.build_call(
                'POST' if unsafe else 'GET',
                path,
                request_id=request_id,
                deadline_ms=DEADLINE_MS,
            )
            for request_id in ids
        ]
        sent_at = time.monotonic()
        answers = await soak_client.send_ahead(
            node.ports[0], requests, timeout_s=DEADLINE_MS / 1000.0 + 1.0
        )
        is_closed = bool(answers) and answers[-1].closes
        for index, request_id in enumerate(ids):
            call = soak_checks.Call(
                request_id=request_id,
                node=node.index,
                path=path,
                unsafe=unsafe,
                sent_at=sent_at,
                ended_at=time.monotonic(),
                status=0,
                is_own=False,
                is_ahead=count > 1,
                is_behind_close=is_closed and index >= len(answers),
                has_answer=index < len(answers),
            )
            if index < len(answers):
                call = read_answer(call, answers[index].response)
                call = dataclasses.replace(call, ended_at=answers[index].at)
            self._record.calls.append(call)


def read_answer(
    call: soak_checks.Call, response: verdict.Response
) -> soak_checks.Call:
    """Return a call with what its answer says."""
    notice = app.read_notice(response)
    return dataclasses.replace(
        call,
        has_answer=True,
        status=response.status,
        is_own=response.body == f'answer to {call.request_id}'.encode(),
        target_id=notice.target_id,
        calls_per_s=notice.calls_per_s,
        leaving=notice.leaving,
    )

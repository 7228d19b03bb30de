"""Measures one real member against many small ones."""

import collections.abc
import dataclasses
import json
import os
import signal
import subprocess
import sys
import time
import types
import typing

import psutil

from . import report

DATA_CENTRES = ('a1', 'a2', 'a3', 'b1', 'b2', 'b3')
SETTLE_S = 5.0
QUICK_SETTLE_S = 2.0
DATAGRAM_HEADER_BYTES = 28
STOP_TIMEOUT_S = 10.0
STORM_S = 40


@dataclasses.dataclass(frozen=True, slots=True)
class Point:
    """What control costs one node in a mesh of one size.

    Args:
        nodes: Size of the mesh.
        kind: `process` for a whole node, `member` for its membership alone.
        cpu_core_ratio: Share of one core.
        rss_mb: Resident memory in MB.
        bytes_s: Bytes in and out a second, IP and UDP headers included.
        config_in_force_s: Until a new version is in force on all nodes.
        join_s: Until a new node knows all members.
        join_bytes: Bytes in and out of a new node until then.
    """

    nodes: int
    kind: str
    cpu_core_ratio: float
    rss_mb: float
    bytes_s: float | None
    config_in_force_s: float | None
    join_s: float | None = None
    join_bytes: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Storm:
    """What the loss of a data centre costs one member elsewhere.

    Args:
        nodes: Size of the mesh before.
        lost: Members lost at once.
        highest_bytes_s: Bytes in and out in the worst second.
        mean_bytes_s: The same over the whole time.
        seconds: How long it was watched.
        cpu_core_ratio: Share of one core over the whole time.
        suspected_s: Until it suspected all of them; None if it did not.
        known_s: Until it believed all of them dead; None if it did not.
        false_deaths: Members too many that it believed dead.
    """

    nodes: int
    lost: int
    highest_bytes_s: float
    mean_bytes_s: float
    seconds: float
    cpu_core_ratio: float
    suspected_s: float | None
    known_s: float | None
    false_deaths: int


class WorkerProcess:
    """A process that runs members.

    Args:
        first: Number of its first member.
        count: How many members it runs.
        data_centre: Their data centre.
        seed: Seed of their random numbers.
        pace: Factor of all intervals of the protocol.
    """

    def __init__(
        self,
        first: int,
        count: int,
        data_centre: str,
        *,
        seed: int,
        pace: float = 1.0,
    ) -> None:
        self._popen = subprocess.Popen(
            [
                *(sys.executable, '-m'),
                'eelgrasswalk.bench.control_worker',
                *('--first', str(first)),
                *('--count', str(count)),
                *('--data-centre', data_centre),
                *('--seed', str(seed)),
                *('--pace', str(pace)),
            ],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            env={**os.environ, 'UV_USE_IO_URING': '0'},
            text=True,
        )
        self.count = count
        self.members: list[dict[str, typing.Any]] = []

    def read_members(self) -> None:
        """Wait until its members have started."""
        self.members = self.read()['members']

    def tell(self, do: str, **fields: typing.Any) -> None:
        """Send one command."""
        assert self._popen.stdin is not None
        self._popen.stdin.write(json.dumps({'do': do, **fields}) + '\n')
        self._popen.stdin.flush()

    def read(self) -> dict[str, typing.Any]:
        """Read one line of its answers."""
        assert self._popen.stdout is not None
        line = self._popen.stdout.readline()
        if not line:
            raise RuntimeError('a worker of the bench has ended')
        fields: dict[str, typing.Any] = json.loads(line)
        return fields

    def ask(self, do: str, **fields: typing.Any) -> dict[str, typing.Any]:
        """Send one command and read its answer."""
        self.tell(do, **fields)
        return self.read()

    def read_cpu_s(self) -> float:
        """Return the processor time it has used."""
        times = psutil.Process(self._popen.pid).cpu_times()
        return float(times.user + times.system)

    def read_rss_mb(self) -> float:
        """Return its resident memory."""
        return float(psutil.Process(self._popen.pid).memory_info().rss / 1e6)

    def pause(self) -> None:
        """Stop it until it is resumed."""
        self._popen.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Let it go on after a pause."""
        self._popen.send_signal(signal.SIGCONT)

    def kill(self) -> None:
        """End it without a word."""
        self._popen.kill()
        self._popen.wait(STOP_TIMEOUT_S)


class Members:
    """A mesh of members: many small ones and one that is measured.

    Args:
        count: Size of the mesh.
        seed: Seed of all random numbers.
        settle_s: Seconds of quiet before anything is measured.
    """

    def __init__(
        self, count: int, seed: int, *, settle_s: float = SETTLE_S
    ) -> None:
        self._settle_s = settle_s
        self._count = count
        self._workers: list[WorkerProcess] = []
        first = 0
        others = count - 1
        for index, data_centre in enumerate(DATA_CENTRES):
            size = others // len(DATA_CENTRES)
            size += index < others % len(DATA_CENTRES)
            if size:
                self._workers.append(
                    WorkerProcess(first, size, data_centre, seed=seed)
                )
                first += size
        self._measured = WorkerProcess(first, 1, DATA_CENTRES[-1], seed=seed)

    def __enter__(self) -> typing.Self:
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        for worker in (*self._workers, self._measured):
            worker.kill()

    def start(self) -> dict[str, typing.Any]:
        """Let the small ones know each other and the measured one join."""
        for worker in (*self._workers, self._measured):
            worker.read_members()
        known = [item for worker in self._workers for item in worker.members]
        for worker in self._workers:
            worker.tell('know', members=known)
        for worker in self._workers:
            worker.read()
        time.sleep(self._settle_s)
        return self._measured.ask('join', seed=known[0], all=self._count)

    def measure(self, seconds: float) -> Point:
        """Join, settle, and measure one member in quiet times."""
        joined = self.start()
        time.sleep(self._settle_s)
        before = self._measured.ask('describe')
        cpu = self._measured.read_cpu_s()
        time.sleep(seconds)
        after = self._measured.ask('describe')
        cpu = self._measured.read_cpu_s() - cpu
        elapsed = after['at'] - before['at']
        return Point(
            nodes=self._count,
            kind='member',
            cpu_core_ratio=round(cpu / elapsed, 5),
            rss_mb=round(self._measured.read_rss_mb(), 1),
            bytes_s=round(count_bytes(before, after) / elapsed, 1),
            config_in_force_s=self._spread_version(1),
            join_s=round(joined['join_s'], 2),
            join_bytes=joined['join_bytes'],
        )

    def lose_data_centre(self) -> Storm:
        """Kill all members of one data centre and watch another's member."""
        lost = self._workers[0]
        start = self._measured.ask('describe')
        cpu = self._measured.read_cpu_s()
        lost.kill()
        expected = self._count - lost.count
        highest = 0.0
        suspected_s = None
        known_s = None
        last = start
        for _ in range(STORM_S):
            time.sleep(1.0)
            now = self._measured.ask('describe')
            rate = count_bytes(last, now) / (now['at'] - last['at'])
            highest = max(highest, rate)
            passed_s = round(now['at'] - start['at'], 1)
            if suspected_s is None and now['alive'] <= expected:
                suspected_s = passed_s
            if known_s is None and now['present'] <= expected:
                known_s = passed_s
            last = now
        elapsed = last['at'] - start['at']
        cpu = self._measured.read_cpu_s() - cpu
        return Storm(
            nodes=self._count,
            lost=lost.count,
            highest_bytes_s=round(highest, 1),
            mean_bytes_s=round(count_bytes(start, last) / elapsed, 1),
            seconds=round(elapsed, 1),
            cpu_core_ratio=round(cpu / elapsed, 5),
            suspected_s=suspected_s,
            known_s=known_s,
            false_deaths=max(0, expected - last['present']),
        )

    def _spread_version(self, version: int) -> float:
        """Return the seconds until all members have a new version."""
        started = time.monotonic()
        self._workers[0].tell('advertise', version=version)
        reached = [
            worker.read()['at']
            for worker in (*self._workers[1:], self._measured)
        ]
        return round(float(max(reached)) - started, 3)


def count_bytes(
    before: collections.abc.Mapping[str, typing.Any],
    after: collections.abc.Mapping[str, typing.Any],
) -> float:
    """Return the bytes between two descriptions, headers included."""
    payload = after['bytes'] - before['bytes']
    datagrams = after['datagrams'] - before['datagrams']
    return float(payload + DATAGRAM_HEADER_BYTES * datagrams)


def measure_members(
    sizes: collections.abc.Sequence[int],
    *,
    seconds: float,
    seed: int,
    settle_s: float = SETTLE_S,
) -> list[Point]:
    """Measure one member in quiet meshes of several sizes.

    Args:
        sizes: Sizes of the mesh.
        seconds: How long each is measured.
        seed: Seed of all random numbers.
        settle_s: Seconds of quiet before each measurement.
    """
    points = []
    for size in sizes:
        with Members(size, seed, settle_s=settle_s) as mesh:
            points.append(mesh.measure(seconds))
        report.report_progress(str(points[-1]))
    return points


def measure_storm(size: int, *, seed: int) -> Storm:
    """Measure one member in a mesh that loses a data centre.

    Args:
        size: Size of the mesh.
        seed: Seed of all random numbers.
    """
    with Members(size, seed) as mesh:
        mesh.start()
        time.sleep(SETTLE_S)
        storm = mesh.lose_data_centre()
    report.report_progress(str(storm))
    return storm

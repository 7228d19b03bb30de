"""Two nodes of the platform in one process, which tells what they cost.

Reads commands from standard input, a line each, and answers each with a line
of JSON: `usage` with processor time and counts so far, `profile` begins to
count function calls, `stages` ends that and tells them by stage.
"""

import asyncio
import cProfile
import json
import pathlib
import pstats
import sys
import time
import typing

import uvloop

from .. import events
from .. import log_stream
from ..cli import sidecar
from ..platform import process_settings
from ..policy import log_budget

# Stages by part of the path of a source file; the first that fits counts.
STAGES = (
    (
        'http server',
        (
            'transport/server_connection',
            'transport/request_reader',
            'transport/response_',
            'transport/problem',
        ),
    ),
    ('target', ('transport/http_client', 'transport/client_connection')),
    ('dialect', ('platform/dialect', 'transport/message')),
    ('links', ('transport/', 'msgspec')),
    ('quota', ('controllers/account_quota', 'policy/account_rates')),
    ('choice', ('policy/placement/spread', 'policy/placement/balance')),
    (
        'admission',
        (
            'filters/admit',
            'policy/capacity/slot_queue',
            'policy/decaying_rate',
        ),
    ),
    ('log', ('request_log', 'events.py', 'log_budget', 'logging/', 'json')),
    ('entry', ('filters/front', 'filters/forward', 'filters/transmit')),
    ('gate', ('filters/gate',)),
    ('control', ('controllers/', 'platform/')),
)
OTHER = 'other'


class CountingLoop(uvloop.Loop):
    """An event loop that counts the tasks and timers it is given."""

    tasks = 0
    timers = 0

    def create_task(
        self, *args: typing.Any, **options: typing.Any
    ) -> asyncio.Task[typing.Any]:
        """Start a task and count it."""
        self.tasks += 1
        return super().create_task(*args, **options)

    def call_later(  # type: ignore[override]
        self, *args: typing.Any, **options: typing.Any
    ) -> asyncio.TimerHandle:
        """Set a timer and count it."""
        self.timers += 1
        return super().call_later(*args, **options)

    def call_at(  # type: ignore[override]
        self, *args: typing.Any, **options: typing.Any
    ) -> asyncio.TimerHandle:
        """Set a timer and count it."""
        self.timers += 1
        return super().call_at(*args, **options)


def name_stage(path: str) -> str:
    """Return the stage to which a source file belongs."""
    for name, parts in STAGES:
        if any(part in path for part in parts):
            return name
    return OTHER


def sum_stages(profile: cProfile.Profile) -> dict[str, dict[str, float]]:
    """Return seconds and function calls of each stage.

    Functions that are not written in Python count for their callers.
    """
    stages: dict[str, dict[str, float]] = {}
    stats = pstats.Stats(profile).stats  # type: ignore[attr-defined]
    for (path, _, _), (_, count, own_s, _, callers) in stats.items():
        if path != '~':
            _add(stages, path, count, own_s)
            continue
        for (caller, _, _), (_, part, part_s, _) in callers.items():
            _add(stages, caller, part, part_s)
    return stages


def _add(
    stages: dict[str, dict[str, float]],
    path: str,
    count: float,
    seconds: float,
) -> None:
    stage = stages.setdefault(name_stage(path), {'calls': 0, 'seconds': 0.0})
    stage['calls'] += count
    stage['seconds'] += seconds


async def _answer_commands(loop: CountingLoop) -> None:
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    profile = cProfile.Profile()
    while line := await reader.readline():
        command = line.decode().strip()
        answer: dict[str, typing.Any] = {}
        if command == 'profile':
            profile.enable()
        elif command == 'stages':
            profile.disable()
            answer = sum_stages(profile)
        else:
            answer = {
                'cpu_s': time.process_time(),
                'tasks': loop.tasks,
                'timers': loop.timers,
            }
        print(json.dumps(answer), flush=True)


async def serve(paths: list[pathlib.Path], loop: CountingLoop) -> None:
    """Run a node for each settings file until standard input ends."""
    nodes = []
    for path in paths:
        fields = json.loads(path.read_bytes())
        config = process_settings.decode_settings(fields)
        budget = log_budget.LogBudget(log_budget.LogBounds())
        nodes.append(sidecar.build_application(config, budget))
    running = [loop.create_task(node.run()) for node in nodes]
    await _answer_commands(loop)
    for task in running:
        task.cancel()


def main() -> None:
    """Run the nodes whose settings files are named."""
    events.configure_logging(
        'info',
        node_id='cost',
        stream=log_stream.LogStream(sys.stderr.fileno()),
        budget=log_budget.LogBudget(log_budget.LogBounds()),
    )
    loop = CountingLoop()
    asyncio.set_event_loop(loop)
    loop.run_until_complete(
        serve([pathlib.Path(path) for path in sys.argv[1:]], loop)
    )


if __name__ == '__main__':
    main()

"""Runs a case and turns its result into the exit status of a script."""

import asyncio
import collections.abc
import os
import pathlib
import signal
import sys
import traceback
import typing

from . import record

LIMIT_S = 110.0
HELD = 0
BROKEN = 1
CANNOT_RUN = 2
_INTERRUPTS = (signal.SIGINT, signal.SIGTERM, signal.SIGHUP)

Case: typing.TypeAlias = collections.abc.Callable[
    [record.Record, bool], collections.abc.Awaitable[bool]
]


def run(case: Case, folder: str) -> typing.NoReturn:
    """Run a case; exit with 1 if the rule was broken, 0 if it held.

    Args:
        case: Returns whether the rule was broken, given the record and
            whether there is a disruption.
        folder: File of the case, beside which the record is written.
    """
    path = pathlib.Path(folder).with_name('record.txt')
    records = record.Record(path)
    has_trouble = os.environ.get('TROUBLE', '1') != '0'
    records.write(f'TROUBLE={int(has_trouble)}')

    async def limited() -> bool:
        # An interrupted case ends the processes that it has started.
        task = asyncio.current_task()
        assert task is not None
        for number in _INTERRUPTS:
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        async with asyncio.timeout(LIMIT_S):
            return await case(records, has_trouble)

    try:
        status = BROKEN if asyncio.run(limited()) else HELD
    except (Exception, asyncio.CancelledError):
        records.write(f'the case could not run: {traceback.format_exc()}')
        status = CANNOT_RUN
    names = {HELD: 'held', BROKEN: 'broken', CANNOT_RUN: 'not run'}
    records.write(f'result: {names[status]}')
    records.close()
    sys.stdout.write(f'{names[status]}\n')
    sys.stdout.flush()
    sys.exit(status)

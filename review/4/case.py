"""Clients on slow links read long answers."""

import asyncio

from harness import client
from harness import installation
from harness import main
from harness import record

SERVICES = ('catalogue', 'catalogue')
CLIENTS = 10
ANSWER_BYTES = 600_000
RECEIVE_BYTES = 4_096
# A link of 200 kbit/s; the answer takes 24 s of the 30 s that clients wait.
BYTES_PER_S = 25_000.0
TIME_LIMIT_MS = 30_000
# More cut answers than this break the rule.
MOST_CUT = 3


async def read_answer(
    place: installation.Installation, number: int, bytes_per_s: float
) -> client.Answer:
    """Send a small request, then one for a long answer, on one connection."""
    connection = place.machines[0].connect(receive_bytes=RECEIVE_BYTES)
    await connection.open()
    small = await connection.send(
        'GET',
        '/catalogue/safe/64',
        request_id=f'small-{number}',
        time_limit_ms=TIME_LIMIT_MS,
    )
    place.record.write(f'small-{number}: status {small.status}')
    answer = await connection.send(
        'GET',
        f'/catalogue/safe/{ANSWER_BYTES}',
        request_id=f'long-{number}',
        time_limit_ms=TIME_LIMIT_MS,
        bytes_per_s=bytes_per_s,
    )
    place.record.write(
        f'long-{number}: status {answer.status}, {answer.received} of '
        f'{answer.length} bytes {answer.detail}'
    )
    connection.close()
    return answer


async def run(records: record.Record, has_trouble: bool) -> bool:
    """Return whether too many connections were closed within an answer."""
    place = installation.Installation(records, SERVICES)
    try:
        await place.start(
            installation.build_config(
                3, sorted(set(SERVICES)), timeout_ms=TIME_LIMIT_MS
            )
        )
        pace = BYTES_PER_S if has_trouble else 0.0
        answers = await asyncio.gather(
            *(read_answer(place, number, pace) for number in range(CLIENTS))
        )
        runs = {
            started.request_id
            for app in place.upstreams
            for started in app.runs
        }
        cut = [
            number
            for number, answer in enumerate(answers)
            if f'long-{number}' in runs and not answer.is_complete
        ]
        records.write(
            f'{CLIENTS} long answers, {len(cut)} of them cut off by the node'
        )
        return len(cut) > MOST_CUT
    finally:
        await place.stop()


main.run(run, __file__)

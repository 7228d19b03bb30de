"""A node forgets a departure that it acknowledged during a store outage."""

import asyncio
import time

from harness import installation
from harness import main
from harness import record

SERVICES = ('orders', 'orders')
OUTAGE_S = 3.0
DEPARTS_AFTER_S = 0.3
KILL_AFTER_S = 1.5
RESTART_AFTER_S = 0.5
# The upstream serves for longer than drain_ms, as some do.
SERVES_S = 11.0
INTERVAL_S = 0.05
DRAIN_S = installation.BOUNDS['drain_ms'] / 1000.0
STABILITY_S = installation.BOUNDS['stability_ms'] / 1000.0


async def disturb(
    place: installation.Installation, machine: installation.Machine
) -> float:
    """Cause the outage and the kill; return when both are over."""
    records = place.record
    place.store.go_silent()
    records.write('the store is down')
    started_at = time.monotonic()
    await asyncio.sleep(KILL_AFTER_S)
    machine.kill()
    records.write(f'{machine.name} is killed')
    await asyncio.sleep(RESTART_AFTER_S)
    machine.start()
    restarted_at = time.monotonic()
    records.write(f'{machine.name} is started again')
    await asyncio.sleep(max(0.0, started_at + OUTAGE_S - restarted_at))
    place.store.come_back()
    records.write('the store is back')
    return time.monotonic()


async def send_requests(
    place: installation.Installation,
    machine: installation.Machine,
    sent: dict[str, float],
    ends_at: float,
) -> None:
    """Send safe requests from clients of a machine."""

    async def send(request_id: str) -> None:
        connection = machine.connect()
        sent[request_id] = time.monotonic()
        try:
            await connection.open()
            answer = await connection.send(
                'GET',
                '/orders/safe/list',
                request_id=request_id,
                time_limit_ms=2500,
            )
        except (OSError, TimeoutError) as error:
            place.record.write(f'{request_id} not sent: {error!r}')
            return
        finally:
            connection.close()
        place.record.write(
            f'{request_id} answered {answer.status} {answer.stamp}'
        )

    number = 0
    running = set()
    while time.monotonic() < ends_at:
        number += 1
        running.add(asyncio.create_task(send(f'list-{number}')))
        await asyncio.sleep(INTERVAL_S)
    await asyncio.gather(*running)


async def run(records: record.Record, has_trouble: bool) -> bool:
    """Return whether a leaving upstream got requests after its drain time."""
    place = installation.Installation(records, SERVICES)
    try:
        await place.start(installation.build_config(3, ['orders']))
        machine, leaving = place.machines[0], place.upstreams[0]
        began_at = time.monotonic()
        sent: dict[str, float] = {}
        sending = asyncio.create_task(
            send_requests(place, machine, sent, began_at + SERVES_S)
        )
        disturbing = None
        if has_trouble:
            disturbing = asyncio.create_task(disturb(place, machine))
        await asyncio.sleep(DEPARTS_AFTER_S)
        is_acknowledged = await leaving.depart()
        acknowledged_at = time.monotonic()
        records.write(
            f'{leaving.target_id} deregisters, acknowledged: {is_acknowledged}'
        )
        if not is_acknowledged:
            # Nothing binds the node; the upstream goes on or exits.
            await sending
            return False
        calm_at = began_at
        if disturbing is not None:
            calm_at = await disturbing + STABILITY_S
        await sending
        late = [
            started
            for started in leaving.runs
            if started.at > acknowledged_at + DRAIN_S
        ]
        counted = [
            started for started in late if sent[started.request_id] > calm_at
        ]
        for started in late:
            records.write(
                f'{leaving.target_id} ran {started.request_id} '
                f'{started.at - acknowledged_at:.2f} s after the ack'
            )
        records.write(
            f'{len(sent)} requests sent; {leaving.target_id} ran {len(late)} '
            f'later than drain_ms after the ack, {len(counted)} of them sent '
            'while the machine was in touch'
        )
        return bool(counted)
    finally:
        await place.stop()


main.run(run, __file__)

"""The operator lowers the rate of an account while it sends nothing."""

import asyncio
import time

from harness import installation
from harness import main
from harness import quota
from harness import record

SERVICES = ('catalogue', 'catalogue')
OLD_RATE, OLD_BURST = 200.0, 200.0
NEW_RATE, NEW_BURST = 20.0, 20.0
QUIET_S = 12.0
SENT_S = 6.0
PER_S = 250.0
APPLY_S = installation.BOUNDS['config_apply_ms'] / 1000.0


async def send_requests(
    place: installation.Installation,
    sent: dict[str, float],
    *,
    name: str,
    per_s: float,
    for_s: float,
) -> None:
    """Send safe requests of the tenant from clients of both machines."""

    async def send(number: int) -> None:
        request_id = f'{name}-{number}'
        connection = place.machines[number % 2].connect()
        await connection.open()
        sent[request_id] = time.monotonic()
        answer = await connection.send(
            'GET',
            '/catalogue/safe/page',
            request_id=request_id,
            time_limit_ms=2500,
        )
        connection.close()
        place.record.write(f'{request_id} answered {answer.status}')

    started_at = time.monotonic()
    running = set()
    for number in range(int(per_s * for_s)):
        due_at = started_at + number / per_s
        await asyncio.sleep(max(0.0, due_at - time.monotonic()))
        running.add(asyncio.create_task(send(number)))
    await asyncio.gather(*running)


async def run(records: record.Record, has_trouble: bool) -> bool:
    """Return whether more requests ran in a window than the limit allows."""
    place = installation.Installation(records, SERVICES)
    try:
        rate, burst = NEW_RATE, NEW_BURST
        if has_trouble:
            rate, burst = OLD_RATE, OLD_BURST
        await place.start(
            installation.build_config(3, ['catalogue'], rate=rate, burst=burst)
        )
        sent: dict[str, float] = {}
        await send_requests(place, sent, name='early', per_s=10.0, for_s=2.0)
        lowered_at = time.monotonic()
        if has_trouble:
            place.store.put(
                'op',
                'config',
                installation.build_config(
                    7, ['catalogue'], rate=NEW_RATE, burst=NEW_BURST
                ),
            )
            records.write(
                f'the limit is lowered to {NEW_RATE} a second and a burst of '
                f'{NEW_BURST}, and acknowledged'
            )
        await asyncio.sleep(QUIET_S)
        await send_requests(
            place, sent, name='late', per_s=PER_S, for_s=SENT_S
        )
        # The lower limit binds one window after config_apply_ms.
        binds_at = lowered_at + APPLY_S + quota.WINDOW_S
        most, _ = quota.find_fullest(
            [started for app in place.upstreams for started in app.runs],
            sent,
            since=binds_at,
        )
        allowed = quota.compute_allowed(NEW_RATE, NEW_BURST)
        records.write(
            f'{len(sent)} requests sent; at most {most} of them were sent and '
            f'ran in {quota.WINDOW_S} s, {allowed:.0f} are allowed'
        )
        return most > allowed
    finally:
        await place.stop()


main.run(run, __file__)

"""Quotas over a fleet: overruns, wrongful refusals, use, cost."""

import collections
import collections.abc
import dataclasses
import random
import typing

import anyio
import click

from ..document import model
from ..policy import lease
from ..policy import quota as quota_policy
from . import quota_fleet
from . import report
from . import virtual_time

NODES = 12
CENTRES = 4
WARM_UP_S = 6.0
FAULT_AT_S = 3.0
PAUSE_S = 2.5
PARTITION_S = 5.0
JOIN_DELAY_S = 0.5
MOVE_EVERY_S = 3.0
REQUEST_DEADLINE_S = 2.0
OVERRUN_TOLERANCE = 1e-6

ACCOUNTS = tuple(
    model.ClientAccount(f'account-{number}', rate, burst)
    for number, (rate, burst) in enumerate(
        (
            (120.0, 100),
            (60.0, 60),
            (12.0, 12),
            (10.0, 10),
            (6.0, 8),
            (4.0, 6),
            (3.0, 5),
            (2.0, 4),
        )
    )
)
GREEDY_ACCOUNT = 'account-3'
GREEDY_LOAD = 6.0
FAULTS = (
    'none',
    'owner_killed',
    'owner_paused',
    'store_down',
    'partition',
    'entry_replaced',
)
LOADS = (0.5, 0.95, 6.0)
SHORT_LEASE = lease.Timing(promise_s=1.0, outage_limit_s=10.0)
MAIN = quota_fleet.Scheme('slots_by_burst_standby', 0)
SCHEMES = (
    MAIN,
    quota_fleet.Scheme('slots_2_standby', 2),
    quota_fleet.Scheme('slots_4_standby', 4),
    quota_fleet.Scheme('slots_by_burst_no_standby', 0, 0, SHORT_LEASE),
    quota_fleet.Scheme('single_owner', 1, 0, SHORT_LEASE),
    quota_fleet.Scheme('single_owner_standby', 1),
    quota_fleet.Scheme('fixed_shares', None),
)


@dataclasses.dataclass(slots=True)
class Request:
    """One request and what became of it.

    Args:
        account: Its client account.
        sent_at: When it came, in seconds.
        decided_at: When it was decided, in seconds.
        is_admitted: Whether it was admitted.
    """

    account: str
    sent_at: float
    decided_at: float = 0.0
    is_admitted: bool = False


class Bucket:
    """A token bucket of one place, the reference.

    Args:
        rate: Tokens a second.
        burst: Tokens at once.
        now: Start, in seconds.
    """

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self._rate = rate
        self._burst = burst
        self._level = burst
        self._now = now

    def count(self, now: float) -> float:
        """Return the tokens in the bucket."""
        level = self._level + (now - self._now) * self._rate
        self._level = min(self._burst, level)
        self._now = now
        return self._level

    def use(self, now: float) -> None:
        """Use a token."""
        self.count(now)
        self._level -= 1.0

    def admit(self, now: float) -> bool:
        """Use a token, if there is one."""
        if self.count(now) < 1.0:
            return False
        self._level -= 1.0
        return True


class Experiment:
    """One scheme under one load and one fault.

    Args:
        scheme: How quotas are divided.
        fault: What fails.
        load: Requests sent, as a multiple of each account's rate.
        seconds: Length of the load.
        seed: Seed of all random numbers.
    """

    def __init__(
        self,
        scheme: quota_fleet.Scheme,
        *,
        fault: str,
        load: float,
        seconds: float,
        seed: int,
    ) -> None:
        self._scheme = scheme
        self._fault = fault
        self._load = load
        self._seconds = seconds
        self._seed = seed
        self._source = random.Random(seed)
        self._requests: list[Request] = []
        self._weights: dict[tuple[str, int, int], list[float]] = {}
        self._shares: dict[tuple[str, str], Bucket] = {}

    def run(self) -> dict[str, typing.Any]:
        """Run it and return its figures."""
        result = virtual_time.run(self._run)
        assert isinstance(result, dict)
        return result

    async def _run(self) -> dict[str, typing.Any]:
        fleet = quota_fleet.Fleet(
            self._scheme,
            ACCOUNTS,
            nodes=NODES,
            centres=CENTRES,
            seed=self._seed,
        )
        if self._scheme.slots is not None:
            for node in list(fleet.nodes.values()):
                await fleet.start_node(node)
        await anyio.sleep(WARM_UP_S)
        started_at = fleet.loop.time()
        messages, written = fleet.messages, _count_writes(fleet)
        async with anyio.create_task_group() as group:
            group.start_soon(self._cause_fault, fleet)
            for account in ACCOUNTS:
                group.start_soon(self._send_load, fleet, account, group)
        fleet.stop()
        return self._summarise(
            started_at,
            messages=fleet.messages - messages,
            writes=_count_writes(fleet) - written,
        )

    def _get_load(self, account: model.ClientAccount) -> float:
        if account.name == GREEDY_ACCOUNT:
            return GREEDY_LOAD
        return self._load

    async def _send_load(
        self,
        fleet: quota_fleet.Fleet,
        account: model.ClientAccount,
        group: anyio.abc.TaskGroup,
    ) -> None:
        source = random.Random(f'{self._seed}/{account.name}')
        rate = account.rate * self._get_load(account)
        end = fleet.loop.time() + self._seconds
        while True:
            await anyio.sleep(source.expovariate(rate))
            now = fleet.loop.time()
            if now >= end:
                return
            node = self._choose_entry(fleet, account, source, now)
            request = Request(account.name, now)
            self._requests.append(request)
            self._admit(fleet, node, request, group)

    def _choose_entry(
        self,
        fleet: quota_fleet.Fleet,
        account: model.ClientAccount,
        source: random.Random,
        now: float,
    ) -> quota_fleet.Node:
        nodes = fleet.list_serving()
        shift = int(now / MOVE_EVERY_S)
        key = (account.name, shift, len(nodes))
        weights = self._weights.get(key)
        if weights is None:
            weights = [1.0 / (1 + rank) for rank in range(len(nodes))]
            random.Random(f'{account.name}/{shift}').shuffle(weights)
            self._weights[key] = weights
        return source.choices(nodes, weights)[0]

    def _admit(
        self,
        fleet: quota_fleet.Fleet,
        node: quota_fleet.Node,
        request: Request,
        group: anyio.abc.TaskGroup,
    ) -> None:
        if self._scheme.slots is None:
            bucket = self._find_share(node, request)
            _decide(request, bucket.admit(request.sent_at), request.sent_at)
            return
        outcome = node.controller.try_admit(request.account)
        if outcome is None:
            group.start_soon(self._wait, fleet, node, request)
            return
        is_admitted = isinstance(outcome, quota_policy.Admitted)
        _decide(request, is_admitted, request.sent_at)

    async def _wait(
        self,
        fleet: quota_fleet.Fleet,
        node: quota_fleet.Node,
        request: Request,
    ) -> None:
        outcome = await node.controller.admit(
            request.account, request.sent_at + REQUEST_DEADLINE_S
        )
        is_admitted = isinstance(outcome, quota_policy.Admitted)
        _decide(request, is_admitted, fleet.loop.time())

    def _find_share(self, node: quota_fleet.Node, request: Request) -> Bucket:
        key = (node.member.node_id, request.account)
        if key not in self._shares:
            account = _find_account(request.account)
            self._shares[key] = Bucket(
                account.rate / NODES, account.burst / NODES, 0.0
            )
        return self._shares[key]

    async def _cause_fault(self, fleet: quota_fleet.Fleet) -> None:
        if self._fault == 'store_down':
            fleet.set_table_down(True)
        await anyio.sleep(FAULT_AT_S)
        victim = fleet.find_main_owner()
        match self._fault:
            case 'owner_killed':
                victim.kill()
            case 'owner_paused':
                victim.pause()
                await anyio.sleep(PAUSE_S)
                victim.running.set()
            case 'partition':
                fleet.isolate(victim.member.data_centre)
                await anyio.sleep(PARTITION_S)
                fleet.isolate('')
            case 'entry_replaced':
                self._source.choice(fleet.list_serving()).kill()
                await anyio.sleep(JOIN_DELAY_S)
                await fleet.start_node(fleet.add_node(NODES))

    def _summarise(
        self, started_at: float, *, messages: int, writes: int
    ) -> dict[str, typing.Any]:
        requests: dict[str, list[Request]] = collections.defaultdict(list)
        for request in self._requests:
            requests[request.account].append(request)
        figures = [
            _measure_account(account, requests[account.name], started_at)
            for account in ACCOUNTS
        ]
        inside = [
            item
            for account, item in zip(ACCOUNTS, figures, strict=True)
            if self._get_load(account) < 1.0
        ]
        over = [
            item
            for account, item in zip(ACCOUNTS, figures, strict=True)
            if self._get_load(account) > 1.0
        ]
        waits = [
            request.decided_at - request.sent_at
            for request in self._requests
            if request.is_admitted and request.decided_at > request.sent_at
        ]
        waits.sort()
        wrongful = None
        worst = None
        net = None
        if inside:
            entitled = sum(item.entitled for item in inside)
            wrongful = sum(item.wrongful for item in inside) / entitled
            worst = max(item.wrongful / item.entitled for item in inside)
            net = sum(item.missing for item in inside) / entitled
        overrun = max(item.overrun for item in figures)
        return {
            'fault': self._fault,
            'load': self._load,
            'scheme': self._scheme.name,
            'state': 'driver',
            'requests': len(self._requests),
            'overrun_tokens': (
                round(overrun, 6) if overrun > OVERRUN_TOLERANCE else 0
            ),
            'wrongful_refusal_ratio': _round(wrongful),
            'worst_account_refusal_ratio': _round(worst),
            'net_refusal_ratio': _round(net),
            'use_ratio': _round(
                sum(item.admitted for item in over)
                / sum(item.entitled for item in over)
            ),
            'worst_use_ratio': _round(
                min(item.admitted / item.entitled for item in over)
            ),
            'waiting_ratio': _round(len(waits) / len(self._requests)),
            'added_ms': _pick_ms(waits, 0.5),
            'added_p99_ms': _pick_ms(waits, 0.99),
            'messages_s': round(messages / self._seconds, 1),
            'writes_s': round(writes / self._seconds, 2),
        }


@dataclasses.dataclass(frozen=True, slots=True)
class AccountFigures:
    """What one account got.

    Args:
        entitled: Requests that one bucket for the whole fleet admits.
        admitted: Requests admitted.
        wrongful: Requests refused although a bucket charged with what was
            admitted has a token.
        missing: Requests admitted fewer than by that bucket.
        overrun: Worst window's admissions over rate * t + burst, in tokens.
    """

    entitled: int
    admitted: int
    wrongful: int
    missing: int
    overrun: float


def _measure_account(
    account: model.ClientAccount,
    requests: list[Request],
    started_at: float,
) -> AccountFigures:
    bucket = Bucket(account.rate, account.burst, started_at)
    entitled = sum(bucket.admit(request.sent_at) for request in requests)
    bucket = Bucket(account.rate, account.burst, started_at)
    wrongful = 0
    for request in sorted(requests, key=lambda item: item.decided_at):
        if request.is_admitted:
            bucket.use(request.decided_at)
        else:
            wrongful += bucket.count(request.decided_at) >= 1.0
    times = sorted(item.decided_at for item in requests if item.is_admitted)
    return AccountFigures(
        entitled,
        len(times),
        wrongful,
        max(0, entitled - len(times)),
        compute_overrun(times, account.rate, account.burst),
    )


def compute_overrun(
    times: collections.abc.Sequence[float], rate: float, burst: float
) -> float:
    """Return the most tokens over rate * t + burst in any window of t.

    Args:
        times: When requests were admitted, in order, in seconds.
        rate: Tokens a second.
        burst: Tokens at once.
    """
    debt = 0.0
    worst = 0.0
    last = times[0] if times else 0.0
    for time in times:
        debt = max(0.0, debt - (time - last) * rate) + 1.0
        worst = max(worst, debt - burst)
        last = time
    return worst


def _decide(request: Request, is_admitted: bool, now: float) -> None:
    request.is_admitted = is_admitted
    request.decided_at = now


def _find_account(name: str) -> model.ClientAccount:
    return next(item for item in ACCOUNTS if item.name == name)


def _count_writes(fleet: quota_fleet.Fleet) -> int:
    return sum(node.table.writes for node in fleet.nodes.values())


def _round(value: float | None) -> float | None:
    return None if value is None else round(value, 5)


def _pick_ms(waits: list[float], quantile: float) -> float | None:
    if not waits:
        return None
    return round(1000 * waits[int(quantile * (len(waits) - 1))], 2)


def _list_cases(*, quick: bool) -> list[tuple[quota_fleet.Scheme, str, float]]:
    cases = [(MAIN, 'none', load) for load in LOADS]
    cases += [(MAIN, fault, 0.95) for fault in FAULTS[1:]]
    if not quick:
        cases += [(MAIN, f, load) for f in FAULTS[1:] for load in (0.5, 6.0)]
    for scheme in SCHEMES[1:]:
        cases += [(scheme, fault, 0.95) for fault in ('none', 'owner_killed')]
        if not quick or not scheme.standbys:
            cases.append((scheme, 'store_down', 0.95))
        if not quick:
            cases.append((scheme, 'none', 6.0))
    return cases


@click.command('quota')
@click.option('--json', 'as_json', is_flag=True, help='Print JSON only.')
@click.option('--quick', is_flag=True, help='Fit into 50 s.')
@click.option('--seed', default=1, show_default=True)
@click.option('--seconds', default=0.0, help='Virtual seconds of load.')
@click.option('--scheme', default='', help='Only this scheme.')
@click.option('--fault', default='', help='Only this fault.')
def command(
    as_json: bool,
    quick: bool,
    seed: int,
    seconds: float,
    scheme: str,
    fault: str,
) -> None:
    """Measure quotas over a fleet in virtual time."""
    run = report.start_run('quota', seed=seed)
    length = seconds or (12.0 if quick else 30.0)
    cases = []
    for item, cause, load in _list_cases(quick=quick):
        if scheme not in ('', item.name) or fault not in ('', cause):
            continue
        experiment = Experiment(
            item, fault=cause, load=load, seconds=length, seed=seed
        )
        figures = experiment.run()
        cases.append(figures)
        report.report_progress(
            f'{item.name:22} {cause:15} {load:4} '
            f'over {figures["overrun_tokens"]} '
            f'wrong {figures["wrongful_refusal_ratio"]} '
            f'worst {figures["worst_account_refusal_ratio"]} '
            f'use {figures["use_ratio"]} '
            f'added {figures["added_ms"]}/{figures["added_p99_ms"]} ms '
            f'messages {figures["messages_s"]}/s '
            f'writes {figures["writes_s"]}/s'
        )
    fields = {'nodes': NODES, 'load_seconds': length, 'cases': cases}
    report.print_result(run, fields, as_json=as_json)


if __name__ == '__main__':
    command()

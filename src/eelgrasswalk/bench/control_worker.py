"""Runs many members in one process, steered by lines of JSON.

Every member is the real controller on a socket of its own. The process
prints its members first; afterwards it takes one command a line from
standard input.
"""

import asyncio
import collections.abc
import dataclasses
import json
import random
import sys
import time
import typing

import click
import uvloop

from ..controllers import membership
from ..policy import member
from ..policy import member_codec
from ..policy import member_messages
from ..policy import member_timing

SECRET = b'a secret for the bench only'
HOST = '127.0.0.1'
BOOT_MS = 1_700_000_000_000
SERVICES = 220
SLOTS = 100
RECORDS_IN_DATAGRAM = 8
CHECK_INTERVAL_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Known:
    """A member as the processes of the bench tell each other.

    Args:
        number: Its number.
        port: Its UDP port.
        data_centre: Its data centre.
    """

    number: int
    port: int
    data_centre: str

    def build(self) -> member.Member:
        """Return the member's record."""
        return member.Member(
            node_id=f'host-{self.number:04}',
            ip=HOST,
            udp_port=self.port,
            link_port=7_001,
            service=f'service-{self.number % SERVICES:03}',
            slots=SLOTS,
            data_centre=self.data_centre,
            state=member.MemberState.READY,
            incarnation=member.Incarnation(BOOT_MS),
            admin_port=7_002,
            host=f'host-{self.number:04}',
        )


class Worker:
    """The members of this process.

    Args:
        first: Number of the first member.
        count: How many members there are.
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
        self._known = [
            Known(number, 0, data_centre)
            for number in range(first, first + count)
        ]
        self._members = [
            membership.Membership(
                known.build(),
                secret=SECRET,
                timing=member_timing.Timing().scale(pace),
                rng=random.Random(seed * 100_003 + known.number),
            )
            for known in self._known
        ]
        self._version = 0
        self._reached = 0
        self._dead: set[str] = set()

    async def start(self) -> None:
        """Start all members and print them."""
        for item in self._members:
            self._adopt_versions(item)
            await item.start()
        members = [
            dataclasses.asdict(
                dataclasses.replace(known, port=item.local_member.udp_port)
            )
            for known, item in zip(self._known, self._members, strict=True)
        ]
        write_line({'members': members})

    async def run(self, reader: asyncio.StreamReader) -> None:
        """Carry out commands until the input ends."""
        while line := await reader.readline():
            command = json.loads(line)
            match command['do']:
                case 'know':
                    self._know([Known(**item) for item in command['members']])
                    write_line({'known': len(command['members'])})
                case 'join':
                    await self._join(Known(**command['seed']), command['all'])
                case 'advertise':
                    self._members[0].advertise_config_version(
                        command['version']
                    )
                case 'describe':
                    write_line(self._describe())

    def _adopt_versions(self, item: membership.Membership) -> None:
        def adopt(_: str, version: int) -> None:
            if version > self._version:
                self._version = version
                self._reached = 0
            item.advertise_config_version(version)
            self._reached += 1
            if self._reached == len(self._members):
                write_line({'version': version, 'at': time.monotonic()})

        item.subscribe_versions(adopt)

    def _watch(self, item: membership.Membership) -> None:
        """Keep whom one member has ever believed dead."""

        def note(changed: member.Member) -> None:
            if changed.health is member.Health.DEAD:
                self._dead.add(changed.node_id)

        item.subscribe(note)

    def _know(self, members: collections.abc.Sequence[Known]) -> None:
        """Give every member the records of all, as if it had joined."""
        records = [known.build() for known in members]
        for item in self._members:
            mine = item.local_member.node_id
            sender = next(
                record for record in records if record.node_id != mine
            )
            for start in range(0, len(records), RECORDS_IN_DATAGRAM):
                chunk = tuple(records[start : start + RECORDS_IN_DATAGRAM])
                item.receive(encode_records(sender, chunk), sender.address)
            self._watch(item)

    async def _join(self, seed: Known, expected: int) -> None:
        """Join by one seed and tell how long it takes to know everybody."""
        started = time.monotonic()
        before = self._count_bytes()
        for item in self._members:
            item.add_seeds([seed.build().address])
        while any(
            len(item.list_members()) < expected for item in self._members
        ):
            await asyncio.sleep(CHECK_INTERVAL_S)
        write_line(
            {
                'join_s': time.monotonic() - started,
                'join_bytes': self._count_bytes() - before,
            }
        )

    def _describe(self) -> dict[str, typing.Any]:
        return {
            'at': time.monotonic(),
            'bytes': self._count_bytes(),
            'datagrams': self._count_datagrams(),
            'present': min(len(item.list_members()) for item in self._members),
            'ever_dead': sorted(self._dead),
            'alive': min(count_alive(item) for item in self._members),
        }

    def _count_bytes(self) -> int:
        return sum(
            item.traffic.bytes_in + item.traffic.bytes_out
            for item in self._members
        )

    def _count_datagrams(self) -> int:
        return sum(
            item.traffic.datagrams_in + item.traffic.datagrams_out
            for item in self._members
        )


def count_alive(item: membership.Membership) -> int:
    """Return how many members one member believes alive."""
    return sum(
        record.health is member.Health.ALIVE for record in item.list_members()
    )


def encode_records(
    sender: member.Member, records: tuple[member.Member, ...]
) -> bytes:
    """Return a datagram of records as a member would send it."""
    envelope = member_messages.Envelope(
        sender.node_id, 0, member_messages.Records(), records
    )
    return member_codec.encode(envelope, SECRET)


def write_line(fields: dict[str, typing.Any]) -> None:
    """Print one line of JSON."""
    click.echo(json.dumps(fields))
    sys.stdout.flush()


async def serve(worker: Worker) -> None:
    """Run a worker on standard input."""
    reader = asyncio.StreamReader(limit=1 << 24)
    loop = asyncio.get_running_loop()
    await loop.connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    await worker.start()
    await worker.run(reader)


@click.command()
@click.option('--first', default=0)
@click.option('--count', default=1)
@click.option('--data-centre', default='a')
@click.option('--seed', default=1)
@click.option('--pace', default=1.0)
def main(
    first: int, count: int, data_centre: str, seed: int, pace: float
) -> None:
    """Run members until the input ends."""
    worker = Worker(first, count, data_centre, seed=seed, pace=pace)
    uvloop.run(serve(worker))


if __name__ == '__main__':
    main()

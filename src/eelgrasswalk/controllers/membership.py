"""Runs the membership protocol over UDP."""

import asyncio
import collections.abc
import contextlib
import dataclasses
import random
import time
import typing

from ..platform import protocols
from ..policy import member
from ..policy import member_codec
from ..policy import member_messages
from ..policy import member_timing
from ..policy import membership
from . import seeds as seed_rows

LEAVE_LIMIT_S = 2.0
LEAVE_CHECK_S = 0.05
COALESCE_S = 0.02
WITHDRAW_LIMIT_S = 1.0

MemberCallback: typing.TypeAlias = collections.abc.Callable[
    [member.Member], None
]
VersionCallback: typing.TypeAlias = collections.abc.Callable[[str, int], None]
ChangeCallback: typing.TypeAlias = collections.abc.Callable[[], None]


@dataclasses.dataclass(slots=True)
class Traffic:
    """Counts datagrams and their payload in bytes."""

    datagrams_in: int = 0
    datagrams_out: int = 0
    bytes_in: int = 0
    bytes_out: int = 0
    refused: int = 0


class Membership:
    """This node's part in the mesh.

    Args:
        local_member: The node's own record. Its UDP port may be 0 for any
            free one.
        secret: The mesh secret.
        seeds: Addresses to join by, besides those in the table.
        table: The platform's table; None to join by `seeds` alone.
        timing: Intervals and limits of the protocol.
        clock: Returns monotonic time in seconds.
        rng: Source of random numbers.
    """

    def __init__(
        self,
        local_member: member.Member,
        *,
        secret: bytes,
        seeds: collections.abc.Sequence[member.Address] = (),
        table: protocols.Table | None = None,
        timing: member_timing.Timing | None = None,
        clock: collections.abc.Callable[[], float] = time.monotonic,
        rng: random.Random | None = None,
    ) -> None:
        self.traffic = Traffic()
        self._first = local_member
        self._secret = secret
        self._seeds = tuple(seeds)
        self._table = table
        self._timing = timing
        self._clock = clock
        self._rng = rng or random.Random()
        self._version = 0
        self._policy: membership.Membership | None = None
        self._transport: asyncio.DatagramTransport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._rows: seed_rows.Seeds | None = None
        self._refreshing: asyncio.Task[None] | None = None
        self._by_service: dict[str, tuple[member.Member, ...]] = {}
        self._member_callbacks: list[MemberCallback] = []
        self._change_callbacks: list[ChangeCallback] = []
        self._version_callbacks: list[VersionCallback] = []
        self._heard_callbacks: list[VersionCallback] = []
        self._notifier: asyncio.TimerHandle | None = None

    async def start(self) -> None:
        """Bind the socket, join by seeds and begin to probe."""
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: _Receiver(self),
            local_addr=(self._first.ip, self._first.udp_port),
        )
        port = self._transport.get_extra_info('sockname')[1]
        self._policy = membership.Membership(
            dataclasses.replace(self._first, udp_port=port),
            now=self._clock(),
            rng=self._rng,
            timing=self._timing,
            config_version=self._version,
        )
        self._policy.add_seeds(self._seeds)
        if self._table is not None:
            self._rows = seed_rows.Seeds(
                self, self._table, clock=self._clock, rng=self._rng
            )
            self._refreshing = loop.create_task(self._rows.run())
        self._advance()

    async def announce_stop(self) -> None:
        """Tell others that this node takes no new work."""
        self.set_state(member.MemberState.DRAINING)

    async def stop(self) -> None:
        """Tell others that this node leaves, then close the socket."""
        if self._policy is None:
            return
        await self._stop_refreshing()
        self.set_state(member.MemberState.LEFT)
        await self._wait_until_flushed(self._policy)
        for timer in (self._timer, self._notifier):
            if timer is not None:
                timer.cancel()
        if self._transport is not None:
            self._transport.close()
        self._policy = None

    @property
    def local_member(self) -> member.Member:
        """The node's own record; its UDP port is known once started."""
        return (
            self._first if self._policy is None else self._policy.local_member
        )

    def list_members(self) -> list[member.Member]:
        """Return the present members, this node included."""
        if self._policy is None:
            return [self._first]
        return self._policy.list_members()

    def members(self, service: str) -> tuple[member.Member, ...]:
        """Return the present members of a service in any state."""
        found = self._by_service.get(service)
        if found is None:
            found = tuple(
                item for item in self.list_members() if item.service == service
            )
            self._by_service[service] = found
        return found

    def find(self, node_id: str) -> member.Member | None:
        """Return a member's record, dead and left ones included."""
        return None if self._policy is None else self._policy.find(node_id)

    def add_seeds(
        self, seeds: collections.abc.Iterable[member.Address]
    ) -> None:
        """Add addresses at which members may be found."""
        if self._policy is not None:
            self._policy.add_seeds(seeds)

    def subscribe(
        self, callback: MemberCallback
    ) -> collections.abc.Callable[[], None]:
        """Call back with every member that is new or has changed.

        Args:
            callback: Takes the member; must neither block nor raise.

        Returns:
            Ends the subscription.
        """
        self._member_callbacks.append(callback)
        return lambda: self._member_callbacks.remove(callback)

    def subscribe_changes(
        self, callback: ChangeCallback
    ) -> collections.abc.Callable[[], None]:
        """Call back once soon after one or more members have changed.

        Args:
            callback: Must neither block nor raise.

        Returns:
            Ends the subscription.
        """
        self._change_callbacks.append(callback)
        return lambda: self._change_callbacks.remove(callback)

    def subscribe_versions(
        self, callback: VersionCallback
    ) -> collections.abc.Callable[[], None]:
        """Call back when a node has a later configuration than this one.

        It is called again for each message that says so, until the version
        is advertised here.

        Args:
            callback: Takes the id of a node and the version in force there;
                must neither block nor raise.

        Returns:
            Ends the subscription.
        """
        self._version_callbacks.append(callback)
        return lambda: self._version_callbacks.remove(callback)

    def subscribe_heard(
        self, callback: VersionCallback
    ) -> collections.abc.Callable[[], None]:
        """Call back when a node has just answered this one.

        Args:
            callback: Takes the id of a node and the version in force there;
                must neither block nor raise.

        Returns:
            Ends the subscription.
        """
        self._heard_callbacks.append(callback)
        return lambda: self._heard_callbacks.remove(callback)

    def set_state(self, state: member.MemberState) -> None:
        """Announce a new state of this node."""
        if self._policy is None:
            self._first = dataclasses.replace(self._first, state=state)
            return
        self._policy.set_state(state, self._clock())
        self._advance()

    def set_ports(self, *, link_port: int, admin_port: int) -> None:
        """Name the ports of links and of operators, before the start."""
        self._first = dataclasses.replace(
            self._first, link_port=link_port, admin_port=admin_port
        )

    def set_slots(self, slots: int) -> None:
        """Announce how many requests this node's target runs at a time."""
        if self._policy is None:
            self._first = dataclasses.replace(self._first, slots=slots)
            return
        self._policy.set_slots(slots, self._clock())
        self._advance()

    def advertise_config_version(self, version: int) -> None:
        """Tell others the configuration version in force here."""
        self._version = max(version, self._version)
        if self._policy is not None:
            self._policy.advertise_config_version(version)
            self._advance()

    def describe(self) -> dict[str, typing.Any]:
        """Return what the status page shows of it."""
        present = self.list_members()
        suspects = [
            item for item in present if item.health is member.Health.SUSPECT
        ]
        return {
            'membership': {
                'present': len(present),
                'suspect': len(suspects),
                **dataclasses.asdict(self.traffic),
            }
        }

    def receive(self, datagram: bytes, address: member.Address) -> None:
        """Take one datagram from the socket."""
        if self._policy is None:
            return
        self.traffic.datagrams_in += 1
        self.traffic.bytes_in += len(datagram)
        message = member_codec.decode(datagram, self._secret)
        if isinstance(message, member_codec.Undecodable):
            self.traffic.refused += 1
            return
        actions = self._policy.receive(address, message, self._clock())
        self._carry_out(actions)
        self._schedule()

    def _advance(self) -> None:
        if self._policy is None:
            return
        self._carry_out(self._policy.advance(self._clock()))
        self._schedule()

    def _schedule(self) -> None:
        if self._policy is None:
            return
        if self._timer is not None:
            self._timer.cancel()
        delay = max(0.0, self._policy.next_deadline() - self._clock())
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(delay, self._advance)

    def _carry_out(
        self, actions: collections.abc.Iterable[member_messages.Action]
    ) -> None:
        for action in actions:
            match action:
                case member_messages.Send():
                    self._send(action)
                case member_messages.MemberChanged():
                    self._report_change(action.member)
                case member_messages.NewerConfigSeen():
                    for report in tuple(self._version_callbacks):
                        report(action.from_node, action.version)
                case member_messages.PeerAnswered():
                    for report in tuple(self._heard_callbacks):
                        report(action.node_id, action.version)

    def _report_change(self, changed: member.Member) -> None:
        self._by_service.clear()
        for notify in tuple(self._member_callbacks):
            notify(changed)
        if self._notifier is None and self._change_callbacks:
            loop = asyncio.get_running_loop()
            self._notifier = loop.call_later(COALESCE_S, self._notify)

    def _notify(self) -> None:
        self._notifier = None
        for callback in tuple(self._change_callbacks):
            callback()

    def _send(self, action: member_messages.Send) -> None:
        if self._transport is None:
            return
        datagram = member_codec.encode(action.message, self._secret)
        self.traffic.datagrams_out += 1
        self.traffic.bytes_out += len(datagram)
        address = action.address
        self._transport.sendto(datagram, (address.ip, address.port))

    async def _stop_refreshing(self) -> None:
        if self._refreshing is None or self._rows is None:
            return
        self._refreshing.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self._refreshing
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(WITHDRAW_LIMIT_S):
                await self._rows.withdraw()

    async def _wait_until_flushed(self, policy: membership.Membership) -> None:
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(LEAVE_LIMIT_S):
                while not policy.flushed:
                    await asyncio.sleep(LEAVE_CHECK_S)


class _Receiver(asyncio.DatagramProtocol):
    """Passes datagrams on."""

    def __init__(self, owner: Membership) -> None:
        self._owner = owner

    def datagram_received(
        self, data: bytes, addr: tuple[str | typing.Any, int]
    ) -> None:
        """Pass one datagram on."""
        self._owner.receive(data, member.Address(addr[0], addr[1]))

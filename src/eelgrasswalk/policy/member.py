"""Data types of the membership protocol."""

import dataclasses
import enum
import typing


class MemberState(enum.IntEnum):
    """Lifecycle state that a member announces about itself."""

    STARTING = 0
    READY = 1
    DRAINING = 2
    LEFT = 3


class Health(enum.IntEnum):
    """Health of a member as judged by others.

    Of two values with the same incarnation the higher one takes precedence.
    """

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Incarnation:
    """Version of a member's record; only the member itself raises it.

    Args:
        boot: Start time of its process in milliseconds since the epoch.
        revision: Incremented with every change of its attributes.
        refutation: Incremented whenever it refutes a report that it is
            suspect or dead.
    """

    boot: int
    revision: int = 0
    refutation: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """UDP address at which a member receives datagrams.

    Args:
        ip: IPv4 or IPv6 address.
        port: UDP port.
    """

    ip: str
    port: int


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """Record of one member: its attributes and its health.

    Args:
        node_id: Node id, unique in the mesh.
        ip: IPv4 or IPv6 address.
        udp_port: UDP port of the membership protocol.
        link_port: TCP port on which it accepts links.
        service: Name of the service that its target provides.
        slots: Number of requests that its target runs at a time.
        data_centre: Name of its data centre.
        state: Lifecycle state that it announces.
        incarnation: Version of this record.
        health: Health as judged by other members.
        admin_port: TCP port of the operators' interface; 0 for none.
        host: Host name shown to operators; empty to show the node id.
    """

    node_id: str
    ip: str
    udp_port: int
    link_port: int
    service: str
    slots: int
    data_centre: str
    state: MemberState
    incarnation: Incarnation
    health: Health = Health.ALIVE
    admin_port: int = 0
    host: str = ''

    @property
    def address(self) -> Address:
        """Address at which it receives datagrams."""
        return Address(self.ip, self.udp_port)

    @property
    def present(self) -> bool:
        """Whether it takes part in the mesh: neither dead nor left."""
        return (
            self.health is not Health.DEAD
            and self.state is not MemberState.LEFT
        )

    @property
    def precedence(self) -> tuple[Incarnation, Health]:
        """Sort key of records of one member; the highest one is valid."""
        return (self.incarnation, self.health)


@dataclasses.dataclass(frozen=True, slots=True)
class HealthChange:
    """A change of health without the member's attributes.

    An ALIVE change refutes a suspicion. A receiver applies a change only to
    a record with the same boot and revision.

    Args:
        node_id: Node id of the member concerned.
        incarnation: Incarnation of the member that the change applies to.
        health: The new health.
        reporter: Node id of the member that reports the change; it counts
            only for suspicions and may be empty.
    """

    node_id: str
    incarnation: Incarnation
    health: Health
    reporter: str = ''


Update: typing.TypeAlias = Member | HealthChange

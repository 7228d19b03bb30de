"""Members of the mesh as the membership protocol knows them."""

import dataclasses
import enum
import typing


class MemberState(enum.IntEnum):
    """What a member says about itself."""

    STARTING = 0
    READY = 1
    DRAINING = 2
    LEFT = 3


class Health(enum.IntEnum):
    """What other members say about a member; the higher value wins."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Incarnation:
    """Orders what was said about one member.

    Args:
        boot: When its process started, in milliseconds since the epoch.
        revision: Grows with every change of its attributes.
        refutation: Grows whenever it refutes a suspicion.
    """

    boot: int
    revision: int = 0
    refutation: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Address:
    """Where a member receives datagrams.

    Args:
        ip: IPv4 or IPv6 address.
        port: UDP port.
    """

    ip: str
    port: int


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """One member, its attributes and what is believed of its health.

    Args:
        node_id: Its identity, unique in the mesh.
        ip: Its IP address.
        udp_port: Port of the membership protocol.
        link_port: Port of its links.
        service: The service of its target.
        slots: Requests that its target runs at a time.
        data_centre: Its data centre.
        state: What it says about itself.
        incarnation: Orders this record among others of the same member.
        health: What is believed of it.
        admin_port: Port for operators; 0 for none.
        host: Name of its host for operators; empty for the node's id.
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
        """Where it receives datagrams."""
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
        """Sorts records of the same member; the highest holds."""
        return (self.incarnation, self.health)


@dataclasses.dataclass(frozen=True, slots=True)
class HealthChange:
    """A change of health without the member's attributes.

    An ALIVE change refutes a suspicion. It holds only for a receiver that
    knows the attributes of the same boot and revision.

    Args:
        node_id: The member that it is about.
        incarnation: The member's incarnation that it is about.
        health: The new health.
        reporter: Who suspects the member, or empty.
    """

    node_id: str
    incarnation: Incarnation
    health: Health
    reporter: str = ''


Update: typing.TypeAlias = Member | HealthChange

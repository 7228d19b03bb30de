"""Messages of the membership protocol, and the actions it requests."""

import dataclasses
import typing

from . import member


@dataclasses.dataclass(frozen=True, slots=True)
class Ping:
    """Asks a member for an ack.

    Args:
        sequence: Sequence number, returned in the ack.
        probed_id: Node id of the pinged member; any other process at the
            address ignores the ping.
    """

    sequence: int
    probed_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class IndirectPing:
    """Asks a relay to ping a member.

    Args:
        sequence: Sequence number, returned in the ack or nack.
        probed_id: Node id of the member to ping.
        address: Address of that member.
    """

    sequence: int
    probed_id: str
    address: member.Address


@dataclasses.dataclass(frozen=True, slots=True)
class Ack:
    """Confirms that the pinged member is alive.

    Args:
        sequence: Sequence number of the ping.
    """

    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class Nack:
    """Tells that a relay received no ack from the pinged member in time.

    Args:
        sequence: Sequence number of the indirect ping.
    """

    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class Gossip:
    """Has no content; the envelope carries updates and the version."""


@dataclasses.dataclass(frozen=True, slots=True)
class Records:
    """Has no content; the envelope carries records of differing buckets."""


@dataclasses.dataclass(frozen=True, slots=True)
class Sync:
    """Sends the digests of a member table for comparison.

    Args:
        digests: One digest of 4 bytes for each bucket of the table.
        is_reply: Whether this replies to another such message.
    """

    digests: bytes
    is_reply: bool = False


Body: typing.TypeAlias = (
    Ping | IndirectPing | Ack | Nack | Gossip | Sync | Records
)


@dataclasses.dataclass(frozen=True, slots=True)
class Envelope:
    """Content of a datagram.

    Args:
        sender: Node id of the sender.
        config_version: Configuration version in force at the sender.
        body: The message.
        updates: Updates about members.
    """

    sender: str
    config_version: int
    body: Body
    updates: tuple[member.Update, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Action: send a message.

    Args:
        address: Address of the receiver.
        message: The message with its envelope.
    """

    address: member.Address
    message: Envelope


@dataclasses.dataclass(frozen=True, slots=True)
class MemberChanged:
    """Action: notify subscribers that a member is new or has changed.

    Args:
        member: The current record of the member.
    """

    member: member.Member


@dataclasses.dataclass(frozen=True, slots=True)
class NewerConfigSeen:
    """Action: note that another node has a newer configuration in force.

    Args:
        version: Configuration version in force there.
        from_node: Node id of that node.
    """

    version: int
    from_node: str


@dataclasses.dataclass(frozen=True, slots=True)
class PeerAnswered:
    """Action: note that a node has just answered a ping of this one.

    The answer cannot be a replayed datagram, unlike other messages, since its
    sequence number is that of a ping or indirect ping in flight.

    Args:
        node_id: Node id of that node.
        version: Configuration version in force there.
    """

    node_id: str
    version: int


Action: typing.TypeAlias = (
    Send | MemberChanged | NewerConfigSeen | PeerAnswered
)

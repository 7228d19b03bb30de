"""Messages of the membership protocol."""

import dataclasses
import typing

from . import member


@dataclasses.dataclass(frozen=True, slots=True)
class Ping:
    """Asks whether a member lives.

    Args:
        sequence: Repeated in the answer.
        target_id: The member that is meant; others ignore the message.
    """

    sequence: int
    target_id: str


@dataclasses.dataclass(frozen=True, slots=True)
class IndirectPing:
    """Asks a relay to ping a member.

    Args:
        sequence: Repeated in the answer.
        target_id: The member that is meant.
        address: Where the member receives datagrams.
    """

    sequence: int
    target_id: str
    address: member.Address


@dataclasses.dataclass(frozen=True, slots=True)
class Ack:
    """The pinged member lives.

    Args:
        sequence: That of the ping.
    """

    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class Nack:
    """A relay lives, but has no answer from the pinged member.

    Args:
        sequence: That of the indirect ping.
    """

    sequence: int


@dataclasses.dataclass(frozen=True, slots=True)
class Gossip:
    """Carries nothing but updates and the configuration's version."""


@dataclasses.dataclass(frozen=True, slots=True)
class Records:
    """Carries records of buckets that differ between two tables."""


@dataclasses.dataclass(frozen=True, slots=True)
class Sync:
    """Compares the member tables of two members.

    Args:
        digests: One digest of 4 bytes for each bucket of members.
        is_reply: Whether this is the answer to another such message.
    """

    digests: bytes
    is_reply: bool = False


Body: typing.TypeAlias = (
    Ping | IndirectPing | Ack | Nack | Gossip | Sync | Records
)


@dataclasses.dataclass(frozen=True, slots=True)
class Envelope:
    """What every datagram holds.

    Args:
        sender: Node id of the sender.
        config_version: Configuration version in force at the sender.
        body: The message itself.
        updates: News about members.
    """

    sender: str
    config_version: int
    body: Body
    updates: tuple[member.Update, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Action: send a message.

    Args:
        address: The receiver.
        message: The message.
    """

    address: member.Address
    message: Envelope


@dataclasses.dataclass(frozen=True, slots=True)
class MemberChanged:
    """Action: tell subscribers that a member is new or has changed.

    Args:
        member: The member as it is now.
    """

    member: member.Member


@dataclasses.dataclass(frozen=True, slots=True)
class NewerConfigSeen:
    """Action: a node has a later configuration in force than this one.

    Args:
        version: The configuration's version.
        from_node: Node id of the node that has it.
    """

    version: int
    from_node: str


@dataclasses.dataclass(frozen=True, slots=True)
class PeerAnswered:
    """Action: a node has just answered a question of this one.

    Unlike any other message, the answer cannot be a replayed one.

    Args:
        node_id: The node.
        version: Configuration version in force there.
    """

    node_id: str
    version: int


Action: typing.TypeAlias = (
    Send | MemberChanged | NewerConfigSeen | PeerAnswered
)

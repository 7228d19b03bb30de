"""Typed messages between nodes.

Bodies up to INLINE_BYTES travel inside Call and Answer; the rest follows in
Data messages as far as the receiver has given credit.
"""

import dataclasses
import typing

from .. import verdict
from . import message

INLINE_BYTES = 65_536
DATA_BYTES = 32_768
MAX_MESSAGE_BYTES = 262_144
ATTEMPT_BYTES = 16
NONCE_BYTES = 16
MAX_BODY_BYTES = 1 << 31
MAX_ATTEMPTS_IN_ACK = 1_024


@dataclasses.dataclass(frozen=True, slots=True)
class Challenge:
    """First message of the accepting side."""

    nonce: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Hello:
    """The dialling side says who it is and proves the mesh secret.

    Args:
        node_id: The dialling node.
        incarnation: Its incarnation.
        sequence: Counts the links it has dialled to this peer; a link with
            a higher sequence replaces every earlier one.
        nonce: Challenge for the accepting side.
        proof: HMAC over both nonces and the fields above.
    """

    node_id: str
    incarnation: int
    sequence: int
    nonce: bytes
    proof: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Welcome:
    """The accepting side says who it is and proves the mesh secret."""

    node_id: str
    incarnation: int
    proof: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Context:
    """What a call inherits from the root request of its call tree.

    Args:
        account: Client account, or an empty string on an open route.
        importance: Number of the importance, 0 the most important.
        root_id: Identifies the root request.
        root_hash: Position of the root between 0 and 1 for shedding.
        root_age_s: Seconds since the root request started.
        depth: Calls above this one in its tree.
    """

    account: str
    importance: int
    root_id: bytes
    root_hash: float
    root_age_s: float
    depth: int


@dataclasses.dataclass(frozen=True, slots=True)
class Call:
    """One attempt to run a request at an upstream.

    Args:
        attempt: Identifies the attempt, 16 random bytes.
        route: Name of the route.
        context: What the call inherits.
        remaining_s: Seconds left until the deadline.
        allowance: Extra attempts lent to the call's own tree.
        idempotency_key: The caller's own, or an empty string.
        request: The request; its body is cut to INLINE_BYTES on the wire.
        body_length: Length of the whole body.
        digest: Digest of the whole body, 0 when the body is inline.
        objective_s: Seconds left in which an answer has its full worth; 0
            when not stated.
    """

    attempt: bytes
    route: str
    context: Context
    remaining_s: float
    allowance: int
    idempotency_key: str
    request: message.Request
    body_length: int
    digest: int
    objective_s: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Feedback:
    """What every answer tells about the upstream and the call tree.

    Args:
        importance: Least importance that is admitted in part.
        fraction: Share of that importance that is admitted.
        queue_delay_s: Seconds that calls wait in the queue.
        unspent: Lent attempts that the call's tree did not use.
        load: Calls that run or wait at the target, per call that may run.
        starved: Share of the target's own calls that have lately failed
            for want of room further down.
        failing: Share of its calls at which the target fails by itself.
        makes_calls: Whether runs of the call's route make calls themselves,
            or may make some.
    """

    importance: int
    fraction: float
    queue_delay_s: float
    unspent: int
    load: float = 0.0
    starved: float = 0.0
    failing: float = 0.0
    makes_calls: bool = True


SILENT_FEEDBACK = Feedback(
    importance=255, fraction=1.0, queue_delay_s=0.0, unspent=0
)


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """The whole answer to an attempt."""

    attempt: bytes
    feedback: Feedback
    response: verdict.Response
    body_length: int
    digest: int


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """An attempt that has no answer: a NotRun or a MayHaveRun."""

    attempt: bytes
    feedback: Feedback
    outcome: verdict.NotRun | verdict.MayHaveRun


@dataclasses.dataclass(frozen=True, slots=True)
class Data:
    """The next part of a body that did not fit inline."""

    attempt: bytes
    payload: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Credit:
    """The receiver of a body takes this many bytes more."""

    attempt: bytes
    length: int


@dataclasses.dataclass(frozen=True, slots=True)
class Cancel:
    """Nobody waits for this attempt any more."""

    attempt: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Ask:
    """Asks what became of attempts whose link was lost."""

    attempts: tuple[bytes, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Known:
    """The attempt is running; its outcome comes on this link."""

    attempt: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Ack:
    """The outcomes of these attempts have arrived and may be forgotten."""

    attempts: tuple[bytes, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Control:
    """A message of a controller, by topic, opaque to the link."""

    topic: str
    payload: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Goodbye:
    """The accepting side is stopping and refuses every further call.

    The dialling side closes the link once its last attempt has an outcome.
    """


Message: typing.TypeAlias = (
    Challenge
    | Hello
    | Welcome
    | Call
    | Answer
    | Failure
    | Data
    | Credit
    | Cancel
    | Ask
    | Known
    | Ack
    | Control
    | Goodbye
)

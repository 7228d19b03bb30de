"""Typed messages between nodes.

Bodies up to INLINE_BYTES travel inside Call and Answer. Longer ones follow in
Data messages as far as the receiver has given credit, so that it holds nothing
of them before it has room for the whole.

They are structs of the codec's library: it checks every field's type and
bounds while it decodes, so that no step in Python is needed for a field.
"""

import typing

import msgspec

from .. import verdict
from . import message

INLINE_BYTES = 65_536
DATA_BYTES = 32_768
MAX_MESSAGE_BYTES = 262_144
ATTEMPT_BYTES = 16
NONCE_BYTES = 16
MAX_BODY_BYTES = 1 << 31
MAX_ATTEMPTS_IN_ACK = 1_024
# Names in the history of a call.
MAX_NAMES = 16

AttemptId: typing.TypeAlias = typing.Annotated[
    bytes, msgspec.Meta(min_length=ATTEMPT_BYTES, max_length=ATTEMPT_BYTES)
]
Attempts: typing.TypeAlias = typing.Annotated[
    tuple[AttemptId, ...], msgspec.Meta(max_length=MAX_ATTEMPTS_IN_ACK)
]
Names: typing.TypeAlias = typing.Annotated[
    tuple[str, ...], msgspec.Meta(max_length=MAX_NAMES)
]
Count: typing.TypeAlias = typing.Annotated[int, msgspec.Meta(ge=0)]
Length: typing.TypeAlias = typing.Annotated[
    int, msgspec.Meta(ge=0, le=MAX_BODY_BYTES)
]
Number: typing.TypeAlias = typing.Annotated[
    float, msgspec.Meta(ge=0.0, lt=1e12)
]


def is_inline(body: bytes) -> bool:
    """Tell whether a body travels inside its Call or Answer."""
    return len(body) <= INLINE_BYTES


class Challenge(msgspec.Struct, frozen=True, array_like=True, gc=False, tag=1):
    """First message of the accepting side."""

    nonce: bytes


class Hello(msgspec.Struct, frozen=True, array_like=True, gc=False, tag=2):
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
    incarnation: Count
    sequence: Count
    nonce: bytes
    proof: bytes


class Welcome(msgspec.Struct, frozen=True, array_like=True, gc=False, tag=3):
    """The accepting side says who it is and proves the mesh secret."""

    node_id: str
    incarnation: Count
    proof: bytes


class Context(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """What a call inherits from the root request of its call tree.

    Args:
        account: Client account, or an empty string on an open route.
        importance: Number of the importance, 0 the most important.
        root_id: Identifies the root request.
        root_hash: Position of the root between 0 and 1 for shedding.
        root_age_s: Seconds since the root request started.
        depth: Calls above this one in its tree.
        route_importance: Importance of the root's route, which tells apart
            those whose client accounts have the same.
        is_retry: Whether the attempt is a retry, or the call was made by a
            run that was one.
    """

    account: str
    importance: Count
    root_id: AttemptId
    root_hash: Number
    root_age_s: Number
    depth: Count
    route_importance: Count = 0
    is_retry: bool = False


class TargetNotice(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """What a target has said of itself.

    Args:
        run_id: Id of this run of the target.
        calls_per_s: Calls per second that it accepts from all nodes together;
            None for no limit.
        leaving: Whether it is leaving.
    """

    run_id: str
    calls_per_s: Number | None = None
    leaving: bool = False


class CallHistory(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """What became of earlier attempts of a call.

    Args:
        ended_runs: Runs of targets that ended while they ran the call.
        unreachable: Nodes that could not be reached, or whose targets took no
            call.
        data_centres: Data centres in which the call may run; empty for all.
    """

    ended_runs: Names = ()
    unreachable: Names = ()
    data_centres: Names = ()


class Call(msgspec.Struct, frozen=True, array_like=True, gc=False, tag=4):
    """One attempt to run a request at an upstream.

    Args:
        attempt: Identifies the attempt, 16 random bytes.
        route: Name of the route.
        context: What the call inherits.
        remaining_s: Seconds left until the deadline.
        allowance: Extra attempts lent to the call's own tree.
        idempotency_key: The caller's own, or an empty string.
        request: The request; a body over INLINE_BYTES follows on the wire.
        body_length: Length of the whole body.
        digest: Digest of the whole body, 0 when the body is inline.
        objective_s: Seconds left in which an answer has its full worth; 0
            when not stated.
        may_wait: Whether it may wait at the upstream for a free slot.
        notice: What the caller's node knows of the target, for a node that
            has restarted since.
        history: Earlier attempts; None for the first.
    """

    attempt: AttemptId
    route: str
    context: Context
    remaining_s: Number
    allowance: Count
    idempotency_key: str
    request: message.Request
    body_length: Length
    digest: Count
    objective_s: Number = 0.0
    may_wait: bool = True
    notice: TargetNotice | None = None
    history: CallHistory | None = None


class Feedback(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """What every answer tells about the upstream and the call tree.

    Args:
        importance: Least importance that is admitted in part.
        fraction: Share of that importance that is admitted.
        queue_delay_s: Seconds that calls wait in the queue.
        unspent: Lent attempts that the call's tree did not use.
        load: Calls that run or wait at the target, per call that may run.
        capacity_failure_ratio: Share of the target's own calls that have
            recently failed for lack of downstream capacity.
        failing: Share of its calls at which the target fails by itself.
        makes_calls: Whether runs of the call's route make calls themselves,
            or may make some.
        retry_use: Part of the retry budgets that is used at the services
            which the target calls, directly or not; the highest of them.
        notice: What the target has said of itself; None for nothing that
            matters.
        run_at: Node at which a call that was refused may run; empty if any
            may run it.
        ended_run: Run of the target that ended under the call; empty if none.
        cold_s: Seconds for which the target is taken for cold; 0 if it is
            not.
        wait_s: Expected seconds until a call offered now would start.
        service_s: Expected seconds of service for a call of this route, at
            the present slowdown of the host; 0 if the target states no
            slowdown, in which case wait_s says nothing either.
    """

    importance: Count
    fraction: Number
    queue_delay_s: Number
    unspent: Count
    load: Number = 0.0
    capacity_failure_ratio: Number = 0.0
    failing: Number = 0.0
    makes_calls: bool = True
    retry_use: Number = 0.0
    notice: TargetNotice | None = None
    run_at: str = ''
    ended_run: str = ''
    cold_s: Number = 0.0
    wait_s: Number = 0.0
    service_s: Number = 0.0


SILENT_FEEDBACK = Feedback(
    importance=255, fraction=1.0, queue_delay_s=0.0, unspent=0
)


class Answer(msgspec.Struct, frozen=True, array_like=True, gc=False, tag=5):
    """The whole answer to an attempt."""

    attempt: AttemptId
    feedback: Feedback
    response: verdict.Response
    body_length: Length
    digest: Count


class Failure(msgspec.Struct, frozen=True, array_like=True, gc=False, tag=6):
    """An attempt that has no answer: a NotRun or a MayHaveRun."""

    attempt: AttemptId
    feedback: Feedback
    outcome: verdict.NotRun | verdict.MayHaveRun


class Data(msgspec.Struct, frozen=True, array_like=True, gc=False, tag=7):
    """The next part of a body that did not fit inline."""

    attempt: AttemptId
    payload: bytes


class Credit(msgspec.Struct, frozen=True, array_like=True, gc=False, tag=8):
    """The receiver of a body takes this many bytes more."""

    attempt: AttemptId
    length: Length


class Cancel(msgspec.Struct, frozen=True, array_like=True, gc=False, tag=9):
    """Nobody waits for this attempt any more."""

    attempt: AttemptId


class Ask(msgspec.Struct, frozen=True, array_like=True, gc=False, tag=10):
    """Asks what became of attempts whose link was lost."""

    attempts: Attempts


class Known(msgspec.Struct, frozen=True, array_like=True, gc=False, tag=11):
    """The attempt is running; its outcome comes on this link."""

    attempt: AttemptId


class Ack(msgspec.Struct, frozen=True, array_like=True, gc=False, tag=12):
    """The outcomes of these attempts have arrived and may be forgotten."""

    attempts: Attempts


class Control(msgspec.Struct, frozen=True, array_like=True, gc=False, tag=13):
    """A message of a controller, by topic, opaque to the link."""

    topic: str
    payload: bytes


class Probe(msgspec.Struct, frozen=True, array_like=True, gc=False, tag=15):
    """Asks for a sign of life."""


class ProbeReply(
    msgspec.Struct, frozen=True, array_like=True, gc=False, tag=16
):
    """The answer to a probe."""


class Goodbye(msgspec.Struct, frozen=True, array_like=True, gc=False, tag=14):
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
    | Probe
    | ProbeReply
)

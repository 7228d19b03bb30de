"""What became of a request: answered, not run, or possibly run."""

import enum
import typing

import msgspec

Seconds: typing.TypeAlias = typing.Annotated[
    float, msgspec.Meta(ge=0.0, lt=1e12)
]


class Reason(enum.Enum):
    """Why a request has no answer. The value appears in problem documents."""

    BAD_REQUEST = 'bad-request'
    KEY_MISSING = 'key-missing'
    KEY_UNKNOWN = 'key-unknown'
    NO_CONTEXT = 'no-context'
    NO_ROUTE = 'no-route'
    BODY_TOO_LARGE = 'body-too-large'
    HEADERS_TOO_LARGE = 'headers-too-large'
    QUOTA = 'quota'
    DEADLINE = 'deadline'
    OVERLOAD = 'overload'
    MEMORY = 'memory'
    NO_UPSTREAM = 'no-upstream'
    LEAVING = 'leaving'
    EVACUATED = 'evacuated'
    DUPLICATE = 'duplicate'
    ISOLATED = 'isolated'
    QUARANTINED = 'quarantined'
    NO_CONFIGURATION = 'no-configuration'
    STORE_UNAVAILABLE = 'store-unavailable'
    TARGET_REFUSED = 'target-refused'
    TARGET_UNREACHABLE = 'target-unreachable'
    FENCED = 'fenced'
    LINK_LOST = 'link-lost'
    TARGET_LOST = 'target-lost'
    TARGET_CRASHED = 'target-crashed'
    ANSWER_INCOMPLETE = 'answer-incomplete'
    ANSWER_TOO_LARGE = 'answer-too-large'
    CALLER_GONE = 'caller-gone'
    INTERNAL = 'internal'


class Response(msgspec.Struct, frozen=True, array_like=True, weakref=True):
    """A whole HTTP answer.

    Args:
        status: HTTP status code.
        headers: Name and value pairs, names in lower case.
        body: The whole body.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes


class Answered(msgspec.Struct, frozen=True, gc=False):
    """The target ran the request and its whole answer is here."""

    response: Response

    @property
    def is_failure(self) -> bool:
        """Whether the target says that it has failed."""
        return self.response.status >= 500


class NotRun(msgspec.Struct, frozen=True, array_like=True, gc=False, tag=1):
    """The request certainly did not run.

    Args:
        reason: Why.
        retry_after_s: Seconds after which the caller may try again, if a
            later try could succeed.
        detail: One sentence for the caller.
        retry_elsewhere: Whether another upstream may be tried within the
            same request.
    """

    reason: Reason
    retry_after_s: Seconds | None = None
    detail: str = ''
    retry_elsewhere: bool = False


class MayHaveRun(
    msgspec.Struct, frozen=True, array_like=True, gc=False, tag=2
):
    """Nobody can prove whether the request ran.

    Args:
        reason: Why.
        detail: One sentence for the caller.
    """

    reason: Reason
    detail: str = ''


Failure: typing.TypeAlias = NotRun | MayHaveRun
Verdict: typing.TypeAlias = Answered | Failure
Latest = typing.TypeVar('Latest', bound=Verdict)


def combine(former: Failure | None, latest: Latest) -> Latest | MayHaveRun:
    """Return the verdict on a request whose earlier attempts have failed.

    A refusal says nothing of an earlier attempt that may have run.

    Args:
        former: What came of the earlier attempts; None for no attempt.
        latest: What came of the latest one.
    """
    if isinstance(latest, NotRun) and isinstance(former, MayHaveRun):
        return former
    return latest

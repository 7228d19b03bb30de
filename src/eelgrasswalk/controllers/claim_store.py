"""Claims in the platform's table, and long answers in its object store."""

import collections
import collections.abc
import dataclasses
import typing

from .. import verdict
from ..platform import protocols
from ..policy import idempotency

_ROUNDS = 4
_MAX_ABANDONED = 10_000


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """How claims are kept.

    Args:
        retention_s: Seconds that answers are replayed.
        inline_bytes: Longest body that is kept in the row.
        object_bytes: Longest body that is kept at all.
    """

    retention_s: float = 86_400.0
    inline_bytes: int = 65_536
    object_bytes: int = 8_388_608


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A key to be claimed.

    Args:
        key: Row key of the claim.
        fingerprint: Digest of the request.
        token: Unique to this attempt to claim.
    """

    key: str
    fingerprint: bytes
    token: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Held:
    """A claim that this node holds.

    Args:
        key: Row key of the claim.
        claim: The claim.
        version: Version of the row.
    """

    key: str
    claim: idempotency.Claim
    version: str | None


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """The table could not be asked.

    Args:
        is_uncertain: Whether the claim may have been written, or may yet
            be. Where the request is not run, the claim is to be abandoned.
    """

    is_uncertain: bool = False


Outcome: typing.TypeAlias = (
    Held
    | idempotency.Replay
    | idempotency.InProgress
    | idempotency.Mismatch
    | idempotency.Expired
    | Unavailable
)


class ClaimStore:
    """Claims keys, keeps answers and releases claims.

    Args:
        table: Holds the claims.
        objects: Holds long answers.
        now: Seconds since the epoch.
        options: How claims are kept.
    """

    def __init__(
        self,
        table: protocols.Table,
        objects: protocols.ObjectStore,
        *,
        now: collections.abc.Callable[[], float],
        options: Options | None = None,
    ) -> None:
        self._table = table
        self._objects = objects
        self._now = now
        self._options = Options() if options is None else options
        self._abandoned: collections.OrderedDict[bytes, None] = (
            collections.OrderedDict()
        )

    async def claim(
        self, requests: collections.abc.Sequence[Request]
    ) -> dict[str, Outcome]:
        """Claim several keys in one transaction where that is possible.

        Keys that turn out to be taken drop out and the rest is tried again.

        Args:
            requests: Requests of different keys.

        Returns:
            The outcome for each key.
        """
        pending = {request.key: request for request in requests}
        expected: dict[str, str | None] = dict.fromkeys(pending)
        outcomes: dict[str, Outcome] = {}
        for _ in range(_ROUNDS):
            claims = self._make_claims(pending.values())
            written = await self._write(claims, expected)
            match written:
                case protocols.Done(versions):
                    outcomes.update(_hold(claims, versions))
                    return outcomes
                case protocols.Conflict():
                    self._sort_out(written, pending, expected, outcomes)
                    if not pending:
                        return outcomes
                case protocols.Unavailable():
                    break
                case protocols.Unknown():
                    uncertain = Unavailable(is_uncertain=True)
                    outcomes.update(dict.fromkeys(pending, uncertain))
                    return outcomes
                case _:
                    typing.assert_never(written)
        outcomes.update(dict.fromkeys(pending, Unavailable()))
        return outcomes

    async def look_up(self, request: Request) -> Outcome:
        """Read a claim that was found to be in progress."""
        read = await self._table.get(request.key)
        if isinstance(read, protocols.Found):
            decision = self._decide(read.row, request)
            if not isinstance(decision, idempotency.Acquire):
                return decision
        return idempotency.InProgress()

    def read_clock(self) -> float:
        """Return the seconds since the epoch."""
        return self._now()

    async def complete(self, held: Held, response: verdict.Response) -> bool:
        """Keep the answer; return whether that is settled."""
        answer = await self._keep_answer(held, response)
        if answer is None:
            return False
        return await self._change(
            held,
            dataclasses.replace(
                held.claim,
                state=idempotency.ClaimState.ANSWERED,
                answer=answer,
            ),
        )

    async def keep(self, held: Held) -> bool:
        """Write a claim late, whose request may have run.

        Returns:
            Whether that is settled.
        """
        return await self._change(held, held.claim)

    async def release(self, held: Held) -> bool:
        """Free a key whose request has not run.

        The row stays, so that a late repetition of the claim cannot land.

        Returns:
            Whether that is settled.
        """
        return await self._change(held, _release(held.claim))

    async def void(self, request: Request) -> bool:
        """Free a key whose claim is uncertain and whose request is not run.

        A released row is written anew, so that a late claim that was to
        follow it cannot land.

        Returns:
            Whether that is settled.
        """
        self._abandoned[request.token] = None
        while len(self._abandoned) > _MAX_ABANDONED:
            self._abandoned.popitem(last=False)
        (claim,) = self._make_claims([request]).values()
        held = Held(request.key, claim, None)
        return await self._change(
            held, _release(claim), replaces_released=True
        )

    async def read_answer(
        self, answer: idempotency.StoredAnswer
    ) -> verdict.Response | None:
        """Return the kept answer, or None when it cannot be read now."""
        if not answer.object_name:
            return verdict.Response(answer.status, answer.headers, answer.body)
        read = await self._objects.get_object(answer.object_name)
        if isinstance(read, protocols.Body):
            return verdict.Response(
                answer.status, answer.headers, read.content
            )
        return None

    def _make_claims(
        self, requests: collections.abc.Iterable[Request]
    ) -> dict[str, idempotency.Claim]:
        now = self._now()
        return {
            request.key: idempotency.Claim(
                request.token, request.fingerprint, now
            )
            for request in requests
        }

    async def _write(
        self,
        claims: dict[str, idempotency.Claim],
        expected: dict[str, str | None],
    ) -> protocols.WriteOutcome:
        """Write claims; a foreign row proves that none was written.

        Nobody overwrites a claim that its holder has not released.
        """
        outcome = await self._table.batch(
            [
                protocols.Put(
                    key, idempotency.encode_claim(claim), expected[key]
                )
                for key, claim in claims.items()
            ]
        )
        if isinstance(outcome, protocols.Unknown) and outcome.conflict:
            return outcome.conflict
        return outcome

    def _sort_out(
        self,
        conflict: protocols.Conflict,
        pending: dict[str, Request],
        expected: dict[str, str | None],
        outcomes: dict[str, Outcome],
    ) -> None:
        for key in conflict.keys:
            row = conflict.find(key)
            decision = self._decide(row, pending[key])
            is_given_up = pending[key].token in self._abandoned
            if isinstance(decision, idempotency.Acquire) and not is_given_up:
                expected[key] = None if row is None else row.version
                continue
            if isinstance(decision, idempotency.Acquire):
                outcomes[key] = Unavailable()
            else:
                outcomes[key] = decision
            del pending[key]

    def _decide(
        self, row: protocols.Row | None, request: Request
    ) -> idempotency.Decision:
        found = None
        if row is not None:
            try:
                found = idempotency.decode_claim(row.value)
            except idempotency.MalformedError:
                return idempotency.InProgress()
        return idempotency.decide(
            found,
            fingerprint=request.fingerprint,
            now=self._now(),
            retention_s=self._options.retention_s,
            abandoned=self._abandoned,
        )

    async def _keep_answer(
        self, held: Held, response: verdict.Response
    ) -> idempotency.StoredAnswer | None:
        length = len(response.body)
        if length <= self._options.inline_bytes:
            return idempotency.make_stored_answer(response)
        if length > self._options.object_bytes:
            return idempotency.make_stored_answer(response, is_complete=False)
        name = f'answers/{held.claim.token.hex()}'
        stored = await self._objects.put_object(name, response.body)
        if not isinstance(stored, protocols.Done):
            return None
        return idempotency.make_stored_answer(response, object_name=name)

    async def _change(
        self,
        held: Held,
        claim: idempotency.Claim,
        *,
        replaces_released: bool = False,
    ) -> bool:
        """Change the row of a claim whose holder this node is."""
        expected = held.version
        value = idempotency.encode_claim(claim)
        for _ in range(_ROUNDS):
            outcome = await self._table.put(held.key, value, expected=expected)
            match outcome:
                case protocols.Done():
                    return True
                case protocols.Conflict():
                    row = outcome.find(held.key)
                    if row is None or not _is_ours_to_change(
                        row, claim.token, replaces_released
                    ):
                        return True
                    expected = row.version
                case protocols.Unavailable() | protocols.Unknown():
                    return False
                case _:
                    typing.assert_never(outcome)
        return False


def _hold(
    claims: dict[str, idempotency.Claim],
    versions: collections.abc.Sequence[str],
) -> dict[str, Outcome]:
    return {
        key: Held(key, claim, version)
        for (key, claim), version in zip(claims.items(), versions, strict=True)
    }


def _release(claim: idempotency.Claim) -> idempotency.Claim:
    return dataclasses.replace(claim, state=idempotency.ClaimState.RELEASED)


def _is_ours_to_change(
    row: protocols.Row, token: bytes, replaces_released: bool
) -> bool:
    """Tell whether a row is an open claim of ours, or a released one."""
    try:
        found = idempotency.decode_claim(row.value)
    except idempotency.MalformedError:
        return False
    if found.state is idempotency.ClaimState.RELEASED:
        return replaces_released and found.token != token
    return (
        found.state is idempotency.ClaimState.CLAIMED and found.token == token
    )

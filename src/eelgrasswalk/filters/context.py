"""Builds a call's context: deadline, importance, root and retry allowance."""

import secrets

import xxhash

from .. import verdict
from ..document import model
from ..policy import deadline
from ..policy import fairness
from ..policy import retries
from ..transport import frames
from ..transport import message
from . import filter_chain

MAX_IDEMPOTENCY_KEY_BYTES = 128
MAX_DEPTH = 32
_HASH_RANGE = float(1 << 64)


class ContextCheck:
    """Sets deadline, idempotency key, context and retry allowance.

    Args:
        secret: Secret shared by all nodes and unknown to callers; seeds the
            hash by which roots are shed.
    """

    def __init__(self, secret: str) -> None:
        self._seed = xxhash.xxh3_64_intdigest(secret.encode())
        self._attempts = retries.CallerRetryDetector()
        self._ranks = {kind: fairness.FairRank() for kind in model.Importance}

    def check(self, exchange: filter_chain.Exchange) -> verdict.NotRun | None:
        """Set the fields that the upstream receives with the call."""
        return (
            self._read_deadline(exchange)
            or self._read_idempotency_key(exchange)
            or self._build_context(exchange)
        )

    def _read_deadline(
        self, exchange: filter_chain.Exchange
    ) -> verdict.NotRun | None:
        value = message.find_header(
            exchange.request.headers, message.DEADLINE_HEADER
        )
        timeout = deadline.parse_timeout(
            None if value is None else value.decode('latin-1')
        )
        if isinstance(timeout, deadline.InvalidTimeout):
            return verdict.NotRun(
                verdict.Reason.BAD_REQUEST, detail=timeout.detail
            )
        exchange.deadline = deadline.compute_deadline(
            exchange.arrived_at,
            exchange.get_route().deadline_s,
            timeout=timeout,
            parent=exchange.parent_call.deadline
            if exchange.parent_call
            else None,
        )
        if exchange.deadline <= exchange.arrived_at:
            return verdict.NotRun(verdict.Reason.DEADLINE)
        return None

    def _read_idempotency_key(
        self, exchange: filter_chain.Exchange
    ) -> verdict.NotRun | None:
        value = message.find_header(
            exchange.request.headers, message.IDEMPOTENCY_HEADER
        )
        if value is None:
            return None
        if not 0 < len(value) <= MAX_IDEMPOTENCY_KEY_BYTES or any(
            not 0x21 <= byte <= 0x7E for byte in value
        ):
            return verdict.NotRun(
                verdict.Reason.BAD_REQUEST,
                detail='an idempotency key is 1 to '
                f'{MAX_IDEMPOTENCY_KEY_BYTES} printable ASCII characters '
                'without spaces',
            )
        exchange.idempotency_key = value.decode('ascii')
        return None

    def _build_context(
        self, exchange: filter_chain.Exchange
    ) -> verdict.NotRun | None:
        if exchange.parent_call is not None:
            return self._inherit_context(exchange, exchange.parent_call)
        route = exchange.get_route()
        root_id = secrets.token_bytes(frames.ATTEMPT_BYTES)
        root_hash = self._compute_hash(exchange, root_id)
        fair = self._ranks[route.importance]
        exchange.root_started_at = exchange.arrived_at
        exchange.retry_allowance = retries.RetryAllowance(
            self._choose_allowance(exchange)
        )
        exchange.context = frames.Context(
            account=exchange.account,
            importance=int(route.importance),
            root_id=root_id,
            root_hash=fair.rank(
                exchange.account, root_hash, exchange.arrived_at
            ),
            root_age_s=0.0,
            depth=0,
        )
        return None

    def _compute_hash(
        self, exchange: filter_chain.Exchange, root_id: bytes
    ) -> float:
        # Hashing the idempotency key gives a caller's retry the same shedding
        # decision as its first attempt. The secret seed prevents callers from
        # choosing keys that are shed last.
        hashed = root_id
        if exchange.idempotency_key:
            hashed = f'{exchange.account}\n{exchange.idempotency_key}'.encode()
        digest = xxhash.xxh3_64_intdigest(hashed, seed=self._seed)
        return digest / _HASH_RANGE

    def _choose_allowance(self, exchange: filter_chain.Exchange) -> int:
        if exchange.idempotency_key:
            attempt = self._attempts.observe(
                exchange.account, exchange.idempotency_key, exchange.arrived_at
            )
            if attempt > 1:
                return 0
        return exchange.get_route().retry_allowance

    def _inherit_context(
        self, exchange: filter_chain.Exchange, parent: filter_chain.ServedCall
    ) -> verdict.NotRun | None:
        inherited = parent.context
        parent.services.add(exchange.get_route().service)
        if inherited.depth >= MAX_DEPTH:
            return verdict.NotRun(
                verdict.Reason.BAD_REQUEST,
                detail=f'calls nest deeper than {MAX_DEPTH}',
            )
        exchange.root_started_at = parent.root_started_at
        exchange.retry_allowance = parent.retry_allowance
        exchange.context = frames.Context(
            account=inherited.account,
            importance=inherited.importance,
            root_id=inherited.root_id,
            root_hash=inherited.root_hash,
            root_age_s=max(0.0, exchange.arrived_at - parent.root_started_at),
            depth=inherited.depth + 1,
        )
        return None

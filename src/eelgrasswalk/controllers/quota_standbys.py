"""Standbys of the slots that a node owns: who, and what they promise."""

import math
import typing

from ..policy import lease
from ..policy import quota_messages
from . import quota_entry

# Time between two requests for a promise, as a share of its length.
PROMISE_INTERVAL_SHARE = 0.25
# Silence after which another standby is named, as a share of a promise.
SILENCE_SHARE = 0.5
CANDIDATES = 3
PROBED_CANDIDATES = 2


class Standbys:
    """Asks standbys for promises and chooses others for silent ones.

    Args:
        process: This process.
        data_centre: Its data centre.
        members: Returns the live nodes.
        send: Sends a message to a node.
        clock: Clock in seconds.
        timing: How long leases last.
        candidates: Nodes considered as the standby of a slot; 0 for none.
    """

    def __init__(
        self,
        process: lease.Process,
        *,
        data_centre: str,
        members: quota_entry.Members,
        send: quota_entry.Send,
        clock: typing.Callable[[], float],
        timing: lease.Timing,
        candidates: int = CANDIDATES,
    ) -> None:
        self._process = process
        self._data_centre = data_centre
        self._members = members
        self._send = send
        self._clock = clock
        self._timing = timing
        self._candidates = candidates
        self._asked: dict[int, float] = {}
        self._heard: dict[str, float] = {}
        self._known: dict[str, lease.Process] = {}
        self._sequence = 0
        self._due_at = -math.inf

    def request_promises(
        self, entries: typing.Iterable[quota_entry.Entry]
    ) -> None:
        """Ask the standbys of owned slots to stand back, when that is due."""
        now = self._clock()
        if now < self._due_at:
            return
        self._due_at = now + self._timing.promise_s * PROMISE_INTERVAL_SHARE
        self._forget_old(now)
        for node_id, claims in self._group_claims(entries).items():
            self._sequence += 1
            self._asked[self._sequence] = now
            request = quota_messages.PromiseRequest(
                self._process, self._sequence, tuple(claims)
            )
            self._send(node_id, request)

    def request_early(self) -> None:
        """Ask at the next occasion."""
        self._due_at = -math.inf

    def hear_promise(
        self, promise: quota_messages.Promise, find: quota_entry.Find
    ) -> None:
        """Note what a standby has promised.

        Args:
            promise: Its message.
            find: Returns the entry of a slot, if there is one.
        """
        sent_at = self._asked.get(promise.sequence)
        standby = promise.standby
        if sent_at is None:
            return
        self._heard[standby.node_id] = self._clock()
        self._known[standby.node_id] = standby
        for claim in promise.claims:
            entry = find(claim.slot)
            if entry is None or entry.owner is None:
                continue
            if entry.owner.epoch == claim.epoch:
                entry.note_promise(standby, sent_at)

    def choose(
        self, entry: quota_entry.Entry, now: float
    ) -> lease.Process | None:
        """Return the standby to name for a slot; None if nobody answers."""
        oldest = now - self._timing.promise_s * SILENCE_SHARE
        for node_id in self._list_candidates(entry):
            if self._heard.get(node_id, -math.inf) > oldest:
                return self._known[node_id]
        return None

    def has_candidates(self, entry: quota_entry.Entry) -> bool:
        """Tell whether any node could be a slot's standby."""
        return bool(self._list_candidates(entry))

    def is_silent(self, entry: quota_entry.Entry, now: float) -> bool:
        """Tell whether an owned slot needs another standby."""
        record = entry.participant.record
        if record is None or record.standby is None:
            return True
        heard = entry.participant.standby_named_at
        if entry.promised_by == record.standby:
            heard = max(heard, entry.promised_at)
        return now >= heard + self._timing.promise_s * SILENCE_SHARE

    def _forget_old(self, now: float) -> None:
        oldest = now - self._timing.promise_s
        self._asked = {
            sequence: sent_at
            for sequence, sent_at in self._asked.items()
            if sent_at > oldest
        }

    def _list_candidates(self, entry: quota_entry.Entry) -> list[str]:
        centres = {item.node_id: item.data_centre for item in self._members()}
        names = [
            node_id
            for node_id in entry.ranks
            if node_id != self._process.node_id and node_id in centres
        ]
        names.sort(key=lambda name: centres[name] == self._data_centre)
        return names[: self._candidates]

    def _group_claims(
        self, entries: typing.Iterable[quota_entry.Entry]
    ) -> dict[str, list[quota_messages.Claim]]:
        groups: dict[str, list[quota_messages.Claim]] = {}
        for entry in entries:
            record = entry.participant.record
            if entry.owner is None and entry.probed_at == math.inf:
                continue
            for node_id in self._list_candidates(entry)[:PROBED_CANDIDATES]:
                groups.setdefault(node_id, [])
            if entry.owner is None or record is None:
                continue
            if record.standby is not None:
                claim = quota_messages.Claim(entry.slot, record.epoch)
                groups.setdefault(record.standby.node_id, []).append(claim)
        return groups

"""Simulated table row and lease participants for policy tests."""

import dataclasses

from eelgrasswalk.policy import lease
from eelgrasswalk.policy import lease_participant

TIMING = lease.Timing(promise_s=1.0, outage_limit_s=3.0)


@dataclasses.dataclass
class Request:
    """An owner's request for a promise, and whether it was granted."""

    standby: lease.Process
    epoch: int
    sent_at: float
    granted: bool = False


class Server:
    """A process that may become owner or standby."""

    def __init__(self, name, store, timing=TIMING):
        self.process = lease.Process(name, 1)
        self.participant = lease_participant.Participant(self.process, timing)
        self.store = store
        self.write_in_flight = None
        self.answer = None
        self.request = None
        self.promised = (None, float('-inf'))

    def get_expiry(self):
        record = self.participant.record
        standby, asked_at = self.promised
        if record is None or record.standby != standby:
            asked_at = float('-inf')
        return self.participant.compute_expiry(asked_at)

    def read(self, now):
        if self.write_in_flight is None and self.answer is None:
            self.participant.observe(self.store.record, now=now)

    def take(self, standby, now):
        if self.participant.may_take(now):
            self.write_in_flight = self.participant.begin_take(
                standby, now=now
            )

    def change(self, standby, now):
        if (
            self.participant.is_owner
            and self.participant.pending_write is None
        ):
            self.write_in_flight = self.participant.begin_change(
                standby, now=now
            )

    def renew(self, now):
        if self.participant.needs_renewal(now):
            self.change(self.participant.record.standby, now)

    def resend(self):
        if self.write_in_flight is None and self.answer is None:
            self.write_in_flight = self.participant.pending_write

    def apply(self):
        write, self.write_in_flight = self.write_in_flight, None
        if write is None:
            return
        if self.store.record == write.expected:
            self.store.record = write.record
            self.answer = 'applied'
        else:
            self.answer = 'conflict'

    def receive_answer(self, now):
        answer, self.answer = self.answer, None
        if self.participant.pending_write is None or answer is None:
            return
        if answer == 'applied':
            self.participant.complete_write(now=now)
        else:
            self.participant.observe(self.store.record, now=now)

    def lose_answer(self):
        self.answer = None

    def ask_promise(self, now):
        record = self.participant.record
        if self.participant.is_owner and record.standby is not None:
            self.request = Request(record.standby, record.epoch, now)

    def receive_request(self, owner, now):
        request = owner.request
        if request and request.standby == self.process:
            request.granted = self.participant.promise(request.epoch, now=now)

    def receive_promise(self):
        request, self.request = self.request, None
        if request and request.granted:
            self.promised = (request.standby, request.sent_at)


class Store:
    """A table with a single row."""

    def __init__(self):
        self.record = None

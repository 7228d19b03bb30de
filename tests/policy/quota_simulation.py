"""Simulation of two owners, two holders and one table with faults."""

from eelgrasswalk.policy import lease
from eelgrasswalk.policy import quota
from eelgrasswalk.policy import quota_holder
from eelgrasswalk.policy import quota_messages
from eelgrasswalk.policy import quota_owner
from tests.policy import lease_simulation

SLOT = quota.Slot('account', 0)


def compute_overrun(times, rate, burst):
    """Return the largest excess over rate * t + burst in any window.

    Args:
        times: Times at which requests were admitted, ascending, in seconds.
        rate: Tokens per second.
        burst: Tokens admitted at once.

    Returns:
        The excess, in tokens; 0.0 if no window exceeds the limit.
    """
    debt = 0.0
    worst = 0.0
    last = None
    for time in times:
        if last is not None:
            debt = max(0.0, debt - (time - last) * rate)
        debt += 1.0
        worst = max(worst, debt - burst)
        last = time
    return worst


class Clock:
    """A clock with its own offset and rate."""

    def __init__(self, offset, rate):
        self._offset = offset
        self._rate = rate

    def read(self, time):
        return self._offset + self._rate * time


class QuotaServer(lease_simulation.Server):
    """A process that may own the slot."""

    def __init__(self, name, store, clock, limit):
        super().__init__(name, store)
        self.clock = clock
        self.limit = limit
        self.owner = None

    def sync(self, now):
        record = self.participant.record
        if not self.participant.is_owner:
            self.owner = None
        elif self.owner is None or self.owner.epoch != record.epoch:
            handover = quota.inherit_handover(
                self.participant.predecessor, self.process, self.limit
            )
            self.owner = quota_owner.Owner(
                SLOT,
                record.epoch,
                self.limit,
                now=now,
                handover=handover,
            )

    def release(self, now):
        if self.owner is None or self.participant.pending_write is not None:
            return
        handover = self.owner.release(now=now)
        self.owner = None
        self.write_in_flight = self.participant.begin_release(
            handover, now=now
        )


class Simulation:
    """Two servers, two holders and the messages in flight between them.

    Args:
        limit: Rate and burst of the slot.
        rates: Clock rates of the servers, then of the holders.
    """

    def __init__(self, limit, rates):
        self.time = 0.0
        self.store = lease_simulation.Store()
        self.messages = []
        self.admitted = []
        clocks = [Clock(7.0 * index, rate) for index, rate in enumerate(rates)]
        self.servers = [
            QuotaServer(name, self.store, clock, limit)
            for name, clock in zip('ab', clocks[:2], strict=True)
        ]
        self.holders = [
            quota_holder.AccountTokens(
                lease.Process(name, 1), 'account', limit
            )
            for name in 'gh'
        ]
        self.clocks = clocks[2:]
        self.paused = set()

    def advance(self, ticks):
        self.time += 0.05 * ticks

    def request(self, index):
        holder, now = self.holders[index], self.clocks[index].read(self.time)
        if isinstance(holder.admit(now), quota.Admitted):
            self.admitted.append(self.time)

    def ask(self, index, count):
        holder, now = self.holders[index], self.clocks[index].read(self.time)
        holder.expire_requests(now)
        record = self.store.record
        if record is not None and record.owner is not None:
            location = quota_messages.Location(
                SLOT, record.epoch, record.owner.node_id, ''
            )
            holder.by_slot[0].update_location(location, now=now)
        action = holder.plan_request(count, now=now)
        if action is not None:
            self.messages.append((index, action.node_id, action.message))

    def return_tokens(self, index):
        now = self.clocks[index].read(self.time)
        for action in self.holders[index].return_tokens(now, force=True):
            self.messages.append((index, action.node_id, action.message))

    def deliver(self, number, *, keep=False):
        if not self.messages:
            return
        number %= len(self.messages)
        index, node_id, message = self.messages[number]
        if not keep:
            del self.messages[number]
        if isinstance(message, quota_messages.Grant):
            now = self.clocks[index].read(self.time)
            self.holders[index].by_slot[0].accept(message, now=now)
            return
        server = next(
            item for item in self.servers if item.process.node_id == node_id
        )
        if node_id not in self.paused and server.owner is not None:
            now = server.clock.read(self.time)
            grant = server.owner.answer(
                message, now=now, lease_expiry=server.get_expiry()
            )
            if grant is not None:
                self.messages.append((index, '', grant))

    def act(self, index, name):
        """Perform one lease action on a server, unless it is paused."""
        server, other = self.servers[index], self.servers[1 - index]
        now = server.clock.read(self.time)
        if server.process.node_id in self.paused:
            return
        match name:
            case 'take':
                server.take(other.process, now)
            case 'change':
                standby = self.store.record and self.store.record.standby
                server.change(None if standby else other.process, now)
            case 'receive_request':
                server.receive_request(other, now)
            case (
                'read' | 'receive_answer' | 'ask_promise' | 'release' | 'renew'
            ):
                getattr(server, name)(now)
            case 'pause':
                self.paused.add(server.process.node_id)
            case _:
                getattr(server, name)()
        server.sync(now)

    def resume(self, index):
        self.paused.discard(self.servers[index].process.node_id)

    def change_limit(self, index, limit):
        server = self.servers[index]
        server.limit = limit
        if server.owner is not None:
            now = server.clock.read(self.time)
            server.owner.change_limit(limit, now=now)

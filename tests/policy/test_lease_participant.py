import collections
import pickle
import unittest

from eelgrasswalk.policy import lease
from tests.policy import lease_simulation

MAX_DEPTH = 9
TICK_S = 0.5


class Simulation:
    """Two processes that compete for one lease."""

    def __init__(self):
        self.now = 0.0
        self.store = lease_simulation.Store()
        self.servers = [
            lease_simulation.Server(name, self.store) for name in ('a', 'b')
        ]
        first, second = self.servers
        first.read(0.0)
        first.take(second.process, 0.0)
        first.apply()
        first.receive_answer(0.0)
        second.read(0.0)

    def list_actions(self):
        yield ('tick', None, None)
        for index, server in enumerate(self.servers):
            other = self.servers[1 - index].process
            write = server.participant.pending_write
            if server.write_in_flight is not None:
                yield ('apply', index, None)
            elif server.answer is not None:
                yield ('receive_answer', index, 'now')
                yield ('lose_answer', index, None)
            elif write is not None:
                yield ('resend', index, None)
                yield ('read', index, 'now')
            else:
                if server.participant.record != self.store.record:
                    yield ('read', index, 'now')
                if server.participant.may_take(self.now):
                    yield ('take', index, other)
                if server.participant.is_owner:
                    standby = self.store.record.standby
                    yield ('change', index, None if standby else other)
            if server.request is not None:
                yield ('receive_request', 1 - index, server)
                if server.request.granted:
                    yield ('receive_promise', index, None)
            elif server.participant.is_owner:
                yield ('ask_promise', index, 'now')

    def perform(self, action):
        name, index, argument = action
        if name == 'tick':
            self.now += TICK_S
            return
        method = getattr(self.servers[index], name)
        if name in ('take', 'change', 'receive_request'):
            method(argument, self.now)
        elif argument == 'now':
            method(self.now)
        else:
            method()


def explore(depth):
    """Explore all interleavings of actions, breadth first.

    Args:
        depth: Maximum number of actions in a trace.

    Returns:
        The number of states, and the first trace that ends with two owners;
        None instead of a trace if there is no such state.
    """
    start = Simulation()
    queue = collections.deque([(pickle.dumps(start), ())])
    seen = {queue[0][0]}
    while queue:
        content, trace = queue.popleft()
        count = len(list(pickle.loads(content).list_actions()))
        for number in range(count):
            simulation = pickle.loads(content)
            action = list(simulation.list_actions())[number]
            simulation.perform(action)
            acting = [
                server
                for server in simulation.servers
                if server.get_expiry() > simulation.now
            ]
            steps = (*trace, action[:2])
            if len(acting) > 1:
                return len(seen), steps
            state = pickle.dumps(simulation)
            if state not in seen and len(steps) < depth:
                seen.add(state)
                queue.append((state, steps))
    return len(seen), None


class ExploreTest(unittest.TestCase):
    def test_never_two_owners(self):
        states, trace = explore(MAX_DEPTH)
        self.assertIsNone(trace)
        self.assertGreater(states, 5_000)

    def test_detects_an_owner_that_ignores_its_standby(self):
        original = lease.OwnedLease.compute_expiry
        self.addCleanup(setattr, lease.OwnedLease, 'compute_expiry', original)
        lease.OwnedLease.compute_expiry = lambda owned_lease, asked: (
            owned_lease.sent_at + 2.9
        )
        _, trace = explore(MAX_DEPTH)
        self.assertIsNotNone(trace)

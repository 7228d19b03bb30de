import unittest

import hypothesis
import hypothesis.strategies as st

from eelgrasswalk.policy import lease
from eelgrasswalk.policy import quota
from tests.policy import quota_simulation

LEASE_ACTIONS = (
    'take',
    'apply',
    'receive_answer',
    'lose_answer',
    'resend',
    'read',
    'change',
    'ask_promise',
    'receive_request',
    'receive_promise',
    'pause',
    'release',
)
INDEX = st.integers(0, 1)
STEP = st.one_of(
    st.tuples(st.just('advance'), st.integers(1, 12)),
    st.tuples(st.just('request'), INDEX),
    st.tuples(st.just('request'), INDEX),
    st.tuples(st.just('ask'), INDEX, st.integers(0, 6)),
    st.tuples(st.just('return_tokens'), INDEX),
    st.tuples(st.just('deliver'), st.integers(0, 5)),
    st.tuples(st.just('deliver'), st.integers(0, 5)),
    st.tuples(st.just('repeat'), st.integers(0, 5)),
    st.tuples(st.just('lose'), st.integers(0, 5)),
    st.tuples(st.just('act'), INDEX, st.sampled_from(LEASE_ACTIONS)),
    st.tuples(st.just('act'), INDEX, st.sampled_from(LEASE_ACTIONS)),
    st.tuples(st.just('resume'), INDEX),
    st.tuples(st.just('establish_owner'), INDEX),
    st.tuples(st.just('use_tokens'), INDEX),
    st.tuples(st.just('use_tokens'), INDEX),
    st.tuples(st.just('fetch_tokens'), INDEX),
    st.tuples(st.just('fetch_tokens'), INDEX),
    st.tuples(st.just('renew_promises'), INDEX, st.integers(1, 20)),
)


def carry_out(simulation, step):
    match step:
        case ('repeat', number):
            simulation.deliver(number, keep=True)
        case ('lose', number):
            del simulation.messages[number : number + 1]
        case ('establish_owner', index):
            for name in ('read', 'take', 'renew', 'apply', 'receive_answer'):
                simulation.act(index, name)
            simulation.act(index, 'ask_promise')
            simulation.act(1 - index, 'receive_request')
            simulation.act(index, 'receive_promise')
        case ('fetch_tokens', index):
            simulation.ask(index, 9)
            simulation.deliver(len(simulation.messages) - 1)
            simulation.deliver(len(simulation.messages) - 1)
        case ('renew_promises', index, ticks):
            for _ in range(ticks):
                simulation.advance(1)
                simulation.act(index, 'ask_promise')
                simulation.act(1 - index, 'receive_request')
                simulation.act(index, 'receive_promise')
        case ('use_tokens', index):
            carry_out(simulation, ('fetch_tokens', index))
            for _ in range(9):
                simulation.request(index)
        case (name, *arguments):
            getattr(simulation, name)(*arguments)


class WindowTest(unittest.TestCase):
    @hypothesis.settings(
        derandomize=True, max_examples=300, deadline=None, database=None
    )
    @hypothesis.given(
        st.sampled_from((1.0, 8.0)),
        st.sampled_from((2.5, 6.0)),
        st.lists(st.sampled_from((0.992, 1.0, 1.008)), min_size=4, max_size=4),
        st.lists(STEP, min_size=30, max_size=90),
    )
    def test_no_window_overruns(self, rate, burst, rates, steps):
        simulation = quota_simulation.Simulation(
            quota.RateLimit(rate, burst), rates
        )
        for step in [
            ('establish_owner', 0),
            ('renew_promises', 0, 20),
            *steps,
        ]:
            carry_out(simulation, step)
        overrun = quota_simulation.compute_overrun(
            simulation.admitted, rate * max(rates), burst
        )
        self.assertLessEqual(overrun, 1e-6)

    @hypothesis.settings(
        derandomize=True, max_examples=100, deadline=None, database=None
    )
    @hypothesis.given(
        st.lists(
            STEP | st.tuples(st.just('change'), st.integers(1, 4)),
            min_size=30,
            max_size=90,
        )
    )
    def test_a_changed_limit_stays_within_the_larger_one(self, steps):
        simulation = quota_simulation.Simulation(
            quota.RateLimit(4.0, 8.0), [1.0] * 4
        )
        for step in [
            ('establish_owner', 0),
            ('renew_promises', 0, 20),
            *steps,
        ]:
            if step[0] == 'change':
                limit = quota.RateLimit(step[1], 2.0 * step[1])
                simulation.change_limit(0, limit)
                simulation.change_limit(1, limit)
            else:
                carry_out(simulation, step)
        overrun = quota_simulation.compute_overrun(
            simulation.admitted, 4.0, 8.0
        )
        self.assertLessEqual(overrun, 1e-6)

    def test_all_tokens_can_be_used(self):
        simulation = quota_simulation.Simulation(
            quota.RateLimit(10.0, 5.0), [1.0] * 4
        )
        carry_out(simulation, ('establish_owner', 0))
        for _ in range(100):
            simulation.advance(2)
            carry_out(simulation, ('establish_owner', 0))
            carry_out(simulation, ('use_tokens', 0))
        self.assertGreaterEqual(len(simulation.admitted), 98)


class OverrunTest(unittest.TestCase):
    def test_counts_the_worst_window(self):
        times = [0.0, 0.0, 0.0, 10.0, 10.0, 10.0, 10.0]
        overrun = quota_simulation.compute_overrun(times, 1.0, 2.0)
        self.assertAlmostEqual(2.0, overrun)


class SlotTest(unittest.TestCase):
    def test_limits_of_slots_add_up(self):
        limit = quota.divide_limit(10.0, 6.0, slots=4)
        self.assertEqual(quota.RateLimit(2.5, 1.5), limit)

    def test_slots_prefer_different_owners(self):
        slots = [quota.Slot('account', index) for index in range(4)]
        ranks = [quota.rank_nodes(slot, 'abcdefgh', slots=4) for slot in slots]
        owners = {order[0] for order in ranks}
        standbys = {order[1] for order in ranks}
        self.assertEqual(4, len(owners))
        self.assertEqual(4, len(standbys - owners))
        for order in ranks:
            self.assertEqual(list('abcdefgh'), sorted(order))


class SuccessionTest(unittest.TestCase):
    def test_handover_keeps_the_level(self):
        simulation = quota_simulation.Simulation(
            quota.RateLimit(10.0, 5.0), [1.0] * 4
        )
        carry_out(simulation, ('establish_owner', 0))
        carry_out(simulation, ('renew_promises', 0, 20))
        for name in ('release', 'apply', 'receive_answer'):
            simulation.act(0, name)
        carry_out(simulation, ('establish_owner', 1))
        self.assertAlmostEqual(5.0, simulation.servers[1].owner.level)

    def test_new_process_waits_for_expiry_of_earlier_grants(self):
        record = lease.Record(1, lease.Process('a', 0), None)
        simulation = quota_simulation.Simulation(
            quota.RateLimit(10.0, 5.0), [1.0] * 4
        )
        simulation.store.record = record
        carry_out(simulation, ('establish_owner', 0))
        carry_out(simulation, ('use_tokens', 0))
        self.assertEqual([], simulation.admitted)

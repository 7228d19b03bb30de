import copy
import dataclasses
import itertools
import unittest

from eelgrasswalk.policy import member
from eelgrasswalk.policy import member_timing
from eelgrasswalk.policy import member_view
from tests.policy import member_network

SUBJECT, FIRST, SECOND = 0, 1, 2
LATE = 1_000.0
STATES = (
    member.MemberState.DRAINING,
    member.MemberState.READY,
)


class Scenario:
    """A subject and two observers that exchange updates in any order."""

    def __init__(self):
        records = [member_network.make_member(number) for number in range(3)]
        self.views = [
            member_view.View(record, member_timing.Timing(), 0.0)
            for record in records
        ]
        self.states = {records[SUBJECT].incarnation: records[SUBJECT].state}
        for view, record in itertools.product(self.views, records):
            view.apply_update(record, 0.0)

    @property
    def subject(self):
        return self.views[SUBJECT].local_member

    def gossip(self, source, receiver):
        """Apply at one node all that another one gossips of the subject."""
        record = self.views[source].table.find(self.subject.node_id)
        change = member.HealthChange(
            record.node_id, record.incarnation, record.health
        )
        self.views[receiver].apply_update(change, 0.0)
        if record.health is member.Health.ALIVE:
            self.views[receiver].apply_update(record, 0.0)

    def sync(self, source, receiver):
        """Synchronise the record of the subject from one node to another."""
        record = self.views[source].table.find(self.subject.node_id)
        self.views[receiver].apply_sync_record(record, 0.0)

    def suspect(self, observer):
        known = self.views[observer].table.find(self.subject.node_id)
        self.views[observer].suspect(known, 0.0)

    def expire(self, observer):
        self.views[observer].expire_suspicions(LATE)

    def change(self):
        revision = self.subject.incarnation.revision
        self.views[SUBJECT].update_local_member(
            0.0, state=STATES[revision % 2]
        )


STEPS = (
    lambda scenario: scenario.suspect(FIRST),
    lambda scenario: scenario.expire(FIRST),
    lambda scenario: scenario.gossip(FIRST, SECOND),
    lambda scenario: scenario.gossip(FIRST, SUBJECT),
    lambda scenario: scenario.gossip(SUBJECT, FIRST),
    lambda scenario: scenario.gossip(SUBJECT, SECOND),
    lambda scenario: scenario.sync(SECOND, FIRST),
    lambda scenario: scenario.expire(SECOND),
    lambda scenario: scenario.change(),
)
DEPTH = 4


class TestExploration(unittest.TestCase):
    """Runs every sequence of up to `DEPTH` steps from the initial state."""

    def _check_step(self, scenario, trace):
        subject = scenario.subject
        scenario.states[subject.incarnation] = subject.state
        for view in scenario.views[FIRST:]:
            known = view.table.find(subject.node_id)
            self.assertLessEqual(known.incarnation, subject.incarnation, trace)
            self.assertIs(
                scenario.states[known.incarnation], known.state, trace
            )

    def _check_convergence(self, scenario, trace):
        for _ in range(2):
            for observer in (FIRST, SECOND):
                scenario.gossip(observer, SUBJECT)
                scenario.gossip(SUBJECT, observer)
        for view in scenario.views[FIRST:]:
            known = view.table.find(scenario.subject.node_id)
            self.assertEqual(scenario.subject, known, trace)
        digests = {view.table.digest() for view in scenario.views}
        self.assertEqual(1, len(digests), trace)

    def _run(self, trace):
        scenario = Scenario()
        for number in trace:
            STEPS[number](scenario)
            self._check_step(scenario, trace)
        self._check_convergence(scenario, trace)

    def test_observers_converge_with_the_subject(self):
        for depth in range(DEPTH + 1):
            for trace in itertools.product(range(len(STEPS)), repeat=depth):
                self._run(trace)


class TestView(unittest.TestCase):
    def setUp(self):
        self.records = [member_network.make_member(n) for n in range(4)]
        self.view = member_view.View(
            self.records[0], member_timing.Timing(), 0.0
        )
        for record in self.records[1:]:
            self.view.apply_update(record, 0.0)

    def test_death_in_a_synchronisation_leads_to_a_probe(self):
        record = self.records[1]
        dead = dataclasses.replace(record, health=member.Health.DEAD)
        self.assertFalse(self.view.apply_sync_record(dead, 0.0))
        self.assertEqual([record.node_id], self.view.priority_probes)
        self.assertTrue(self.view.table.find(record.node_id).present)

    def test_more_reporters_shorten_a_suspicion(self):
        record = self.records[1]
        ends = []
        for reporter in ('a', 'b', 'c', 'd', 'e'):
            change = member.HealthChange(
                record.node_id,
                record.incarnation,
                member.Health.SUSPECT,
                reporter,
            )
            self.view.apply_update(change, 0.0)
            ends.append(self._find_end())
        self.assertEqual(sorted(ends, reverse=True), ends)
        self.assertEqual([6.0, 2.0, 2.0], [ends[0], ends[3], ends[4]])

    def _find_end(self):
        suspicions = copy.deepcopy(self.view.suspicions)
        end = 0.0
        while not suspicions.pop_expired(end):
            end += 0.5
        return end

    def test_node_that_left_does_not_refute_its_death(self):
        self.view.update_local_member(0.0, state=member.MemberState.LEFT)
        local_member = self.view.local_member
        change = member.HealthChange(
            local_member.node_id, local_member.incarnation, member.Health.DEAD
        )
        self.assertFalse(self.view.apply_update(change, 0.0))
        self.assertFalse(self.view.needs_refutation(change))


if __name__ == '__main__':
    unittest.main()

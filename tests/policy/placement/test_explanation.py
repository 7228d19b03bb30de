"""Tests of explanations of where a request would go."""

import copy
import random
import unittest

from eelgrasswalk.document import model
from eelgrasswalk.policy import call_rules
from eelgrasswalk.policy.placement import balance
from eelgrasswalk.policy.placement import candidates
from eelgrasswalk.policy.placement import description
from eelgrasswalk.policy.placement import explanation
from eelgrasswalk.policy.placement import spread

ROUTE = call_rules.RouteRule(
    name='pages',
    hostname='shop.example',
    prefix='/pages/',
    shares=(call_rules.Share('leaf', 3.0), call_rules.Share('twig', 1.0)),
    importance=model.Importance.NORMAL,
    idempotent=True,
    open_to_all=False,
    timeout_s=2.0,
    objective_s=1.0,
    max_upstreams=2,
)
ACCOUNT = call_rules.AccountRule(
    'lake', ('key-of-lake',), 0.0, 0.0, model.Importance.HIGH
)
TABLE = call_rules.RuleTable(
    call_rules.Rules(
        7,
        (ROUTE,),
        (ACCOUNT,),
        (),
        call_rules.ListenerLimits(16_384, 1_000, 3.0, 15.0),
    )
)


def build_balancer(count: int) -> spread.LoadAwareBalancer:
    balancer = spread.LoadAwareBalancer(
        spread.LoadAwareSettings(), data_centre='dc0'
    )
    upstreams = [
        balance.Upstream(
            f'n{number}', f'dc{number % 4}', 'leaf', 10, f'run{number}'
        )
        for number in range(count)
    ]
    balancer.replace('leaf', upstreams, 0.0)
    return balancer


def read_state(balancer: spread.LoadAwareBalancer) -> object:
    state = dict(vars(balancer))
    # Parts that are compared by identity are replaced by what they hold.
    state['_costs'] = vars(state['_costs'])
    state['_route_means'] = vars(state['_route_means'])
    return copy.deepcopy(state)


def explain(
    balancer: spread.LoadAwareBalancer,
    absent: tuple[explanation.Absent, ...] = (),
) -> explanation.Explanation:
    return explanation.explain(
        explanation.Admission(ROUTE, ACCOUNT),
        node_id='n0',
        data_centre='dc0',
        rules=explanation.RulesState(7, 1.5, True),
        rate=None,
        homes=None,
        evacuated=frozenset(),
        describe=lambda service, max_listed: explanation.ServiceKnowledge(
            description.describe(
                balancer, service, 10.0, max_listed=max_listed
            ),
            absent if service == 'leaf' else (),
            explanation.Quarantine(False),
        ),
    )


class AdmissionTest(unittest.TestCase):
    def find_problem(
        self, path: str, key: bytes | None
    ) -> explanation.Problem | None:
        found = explanation.find_admission(TABLE, 'shop.example', path, key)
        if isinstance(found, explanation.Refused):
            self.assertNotIn('key-of', found.detail)
            return found.problem
        return None

    def test_each_problem_has_its_own_name(self) -> None:
        """Operators must not take a wrong key for a wrong route."""
        problem = explanation.Problem
        self.assertEqual(
            problem.UNKNOWN_ROUTE, self.find_problem('/other', b'key-of-lake')
        )
        self.assertEqual(
            problem.MISSING_KEY, self.find_problem('/pages/1', None)
        )
        self.assertEqual(
            problem.UNKNOWN_KEY, self.find_problem('/pages/1', b'key-of-x')
        )
        self.assertIsNone(self.find_problem('/pages/1', b'key-of-lake'))


class DescribeCandidatesTest(unittest.TestCase):
    def test_describing_changes_nothing(self) -> None:
        """A question must not change where the next call goes."""
        balancer = build_balancer(6)
        balancer.start('n1', 1.0)
        balancer.mark_unreachable('n2', 9.9)
        balancer.assume_cold(['n3'], 12.0)
        before = read_state(balancer)
        description.describe(
            balancer, 'leaf', 10.0, max_listed=32, route='pages'
        )
        self.assertEqual(before, read_state(balancer))

    def test_exclusions_are_those_of_the_choice(self) -> None:
        """Guards against an explanation that differs from the choice."""
        source = random.Random(5)
        for _ in range(50):
            balancer = build_balancer(8)
            homes = {f'dc{n}' for n in range(4) if source.random() < 0.8}
            for number in range(8):
                fault = source.randrange(5)
                if fault == 0:
                    balancer.mark_leaving(f'n{number}', f'run{number}')
                elif fault == 1:
                    balancer.mark_unreachable(f'n{number}', 9.8)
                elif fault == 2:
                    balancer.assume_cold([f'n{number}'], 12.0)
            described = description.describe(
                balancer, 'leaf', 10.0, max_listed=32, data_centres=homes
            )
            eligible = {
                item.node_id
                for item in described.candidates
                if item.exclusion is None
            }
            chosen = set()
            # Each eligible upstream is reached by excluding the others.
            for node_id in sorted(f'n{number}' for number in range(8)):
                found = balancer.choose(
                    'leaf',
                    10.0,
                    (source.random(), source.random()),
                    data_centres=homes,
                    excluded=eligible - {node_id},
                )
                if found is not None and node_id in eligible:
                    chosen.add(found.node_id)
            self.assertEqual(eligible, chosen)

    def test_limited_list_is_the_head_of_the_full_one(self) -> None:
        """Describing only the listed ones must not change which these are."""
        balancer = build_balancer(40)
        for number in range(0, 40, 3):
            for _ in range(number):
                balancer.start(f'n{number}', 9.9)
        balancer.mark_unreachable('n4', 9.9)
        balancer.mark_leaving('n8', 'run8')
        full = description.describe(balancer, 'leaf', 10.0, max_listed=40)
        short = description.describe(balancer, 'leaf', 10.0, max_listed=7)
        self.assertEqual(full.candidates[:7], short.candidates)
        self.assertEqual(40, len(short.node_ids))
        eligible = [c for c in full.candidates if c.exclusion is None]
        self.assertEqual(
            (
                sum(c.is_local for c in eligible),
                sum(c.is_preferred for c in eligible),
                sum(not c.is_local for c in eligible),
            ),
            (short.local, short.preferred, short.remote),
        )
        exclusion = candidates.Exclusion
        self.assertEqual(
            {exclusion.LEAVING: 1, exclusion.UNREACHABLE: 1}, short.excluded
        )
        self.assertEqual(
            [c.exclusion is not None for c in full.candidates],
            [False] * 38 + [True] * 2,
        )

    def test_ages(self) -> None:
        balancer = build_balancer(2)
        balancer.start('n0', 6.0)
        balancer.finish(
            'n0',
            7.0,
            route='pages',
            outcome=balance.Outcome.ANSWERED,
            latency_s=1.0,
            load=0.5,
            failure_rate=0.25,
        )
        described = description.describe(
            balancer, 'leaf', 10.0, max_listed=32, route='pages'
        )
        found = {item.node_id: item for item in described.candidates}
        self.assertEqual(candidates.Figure(0.5, 3.0), found['n0'].load)
        self.assertEqual(
            candidates.Figure(0.25, 3.0), found['n0'].failure_rate
        )
        self.assertEqual(candidates.Figure(None, None), found['n1'].load)
        self.assertEqual(1.0, described.mean_latency_s.value)


class ExplainTest(unittest.TestCase):
    def test_answer_is_bounded(self) -> None:
        """A service of 1,200 nodes must not make a long answer."""
        absent = tuple(
            explanation.Absent(
                f'a{number}', 'dc1', candidates.Exclusion.EVACUATED, 'ready'
            )
            for number in range(100)
        )
        found = explain(build_balancer(1200), absent)
        listed = sum(
            len(service.candidates) + len(service.absent)
            for service in found.services
        )
        self.assertLessEqual(listed, explanation.MAX_CANDIDATES)
        leaf = found.services[0]
        self.assertEqual(1300 - 16, leaf.omitted)
        self.assertEqual({'evacuated': 100}, leaf.omitted_by_rule)

    def test_account_and_split(self) -> None:
        found = explain(build_balancer(3))
        self.assertEqual('lake', found.account)
        self.assertEqual('high', found.importance)
        self.assertEqual(
            [('leaf', 0.75), ('twig', 0.25)],
            [(service.service, service.share) for service in found.services],
        )
        self.assertIn('No candidate is left', found.services[1].compared)
        self.assertIn('remote ones are not', found.services[0].compared)


if __name__ == '__main__':
    unittest.main()

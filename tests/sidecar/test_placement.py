"""Tests of the page that answers where a request would go."""

import copy
import json
import pickle
import random
import subprocess
import sys
import time
import types
import typing
import unittest

from eelgrasswalk.controllers import account_quota
from eelgrasswalk.document import model
from eelgrasswalk.platform import dialect
from eelgrasswalk.policy import account_rates
from eelgrasswalk.policy import call_rules
from eelgrasswalk.policy import quarantine
from eelgrasswalk.policy.placement import balance
from eelgrasswalk.policy.placement import homes
from eelgrasswalk.policy.placement import spread
from eelgrasswalk.sidecar import placement
from eelgrasswalk.transport import message

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
    regions=frozenset(('north',)),
)
LAKE = call_rules.AccountRule('lake', ('key-of-lake',), 50.0, 50.0)
TABLE = call_rules.RuleTable(
    call_rules.Rules(
        7,
        (ROUTE,),
        (LAKE,),
        (),
        call_rules.ListenerLimits(16_384, 1_000, 3.0, 15.0),
    )
)
LAZY_MODULES = (
    'eelgrasswalk.sidecar.placement',
    'eelgrasswalk.policy.placement.candidates',
    'eelgrasswalk.policy.placement.description',
    'eelgrasswalk.policy.placement.explanation',
)


class ImportTest(unittest.TestCase):
    def test_start_of_a_node_does_not_import_the_page(self) -> None:
        """Every node process would pay for modules that few ever use."""
        code = 'import sys, eelgrasswalk.cli.sidecar; print(*sys.modules)'
        result = subprocess.run(
            [sys.executable, '-c', code],
            check=True,
            capture_output=True,
            text=True,
        )
        imported = result.stdout.split()
        self.assertIn('eelgrasswalk.sidecar.node', imported)
        self.assertEqual([], [m for m in LAZY_MODULES if m in imported])


class UnchangedStateTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.sent: list[object] = []
        self.balancer = spread.LoadAwareBalancer(
            spread.LoadAwareSettings(), data_centre='dc0'
        )
        now = time.monotonic()
        for service in ('leaf', 'twig'):
            upstreams = [
                balance.Upstream(
                    f'{service}{n}', f'dc{n % 2}', service, 4, f'{service}r{n}'
                )
                for n in range(4)
            ]
            self.balancer.replace(service, upstreams, now)
        self.balancer.start('leaf0', now)
        self.balancer.mark_unreachable('leaf2', now)
        self.homes = homes.Homes({'dc0': 'north', 'dc1': 'south'})
        self.quotas = account_quota.AccountQuota(
            'n1',
            list_owners=lambda: ('n1',),
            count_nodes=lambda: 1,
            get_table=lambda: TABLE,
            send=lambda *message: self.sent.append(message),
            relay=types.SimpleNamespace(),  # type: ignore[arg-type]
            is_dead=lambda node_id: False,
            slack=account_rates.Slack(overage=0.1, tokens=20.0, window_s=5.0),
            lower_after_s=1.5,
            source=random.Random(1),
        )
        self.choice = call_rules.WeightedRoundRobin()
        control_plane: typing.Any = types.SimpleNamespace(
            rules=types.SimpleNamespace(get_table=lambda: TABLE),
            config=types.SimpleNamespace(
                node_id='n1', data_centre='dc0', service='front'
            ),
            fresh=types.SimpleNamespace(
                get_age=lambda now: 1.0, is_fresh=lambda now: True
            ),
            homes=self.homes,
            evacuations=types.SimpleNamespace(evacuated=frozenset()),
            platform=types.SimpleNamespace(dialect=dialect.PlatformDialect()),
            confined=quarantine.Quarantine(),
            roster=types.SimpleNamespace(
                roster=types.SimpleNamespace(list_entries=lambda: [])
            ),
        )
        call_path: typing.Any = types.SimpleNamespace(
            directory=types.SimpleNamespace(balancer=self.balancer),
            quotas=self.quotas,
            front=types.SimpleNamespace(_service_choice=self.choice),
        )
        self.page = placement.PlacementPage(
            control_plane, call_path, stopping=False
        )

    def ask(self, key: str) -> tuple[int, dict[str, typing.Any]]:
        request = message.Request(
            'GET',
            '/placement?host=shop.example&path=/pages/1',
            ((b'authorization', b'Bearer ' + key.encode()),),
            b'',
        )
        answer = self.page.answer(request)
        self.assertNotIn(b'key-of', answer.body)
        return answer.status, json.loads(answer.body)

    def read_state(self) -> object:
        owned = vars(self.quotas)['_owned']
        return (
            copy.deepcopy(
                vars(self.balancer)
                | {
                    '_costs': vars(vars(self.balancer)['_costs']),
                    '_route_means': vars(vars(self.balancer)['_route_means']),
                }
            ),
            copy.deepcopy(vars(self.homes)),
            copy.deepcopy(vars(self.choice)),
            {
                name: pickle.dumps(bucket)
                for name, bucket in vars(owned)['_buckets'].items()
            },
            dict(vars(self.quotas)['_owners']),
            list(self.sent),
        )

    async def test_asking_changes_nothing(self) -> None:
        """Guards tokens, shares, the balancer and the cache of homes."""
        await self.quotas.admit(LAKE, 0)
        self.choice.choose(ROUTE, 0.5)
        before = self.read_state()
        state = random.getstate()
        for _ in range(3):
            status, body = self.ask('key-of-lake')
            self.assertEqual(200, status)
            self.assertEqual(403, self.ask('key-of-none')[0])
        self.assertEqual(before, self.read_state())
        self.assertEqual(state, random.getstate())
        found = body['explanation']
        self.assertEqual(['dc0'], found['homes'])
        self.assertGreater(found['rate']['tokens']['value'], 1.0)
        self.assertEqual(
            [('leaf', 0.75), ('twig', 0.25)],
            [(item['service'], item['share']) for item in found['services']],
        )
        self.assertEqual(
            {'outside_homes': 2, 'unreachable': 1},
            found['services'][0]['omitted_by_rule'],
        )


if __name__ == '__main__':
    unittest.main()

import unittest

import anyio

from eelgrasswalk.bench import quota as bench_quota
from eelgrasswalk.bench import quota_fleet
from eelgrasswalk.bench import virtual_time
from eelgrasswalk.document import model
from eelgrasswalk.platform import protocols
from eelgrasswalk.policy import quota
from eelgrasswalk.policy import quota_messages

ACCOUNT = model.ClientAccount('account', 40.0, 40)
SCHEME = quota_fleet.Scheme('slots', 4)


class LosingTable(quota_fleet.Table):
    """Carries out writes, but loses every second answer."""

    async def batch(self, operations):
        outcome = await super().batch(operations)
        if self.writes % 2:
            return protocols.Unknown('lost')
        return outcome


async def admit_many(node, count):
    """Return how many of so many requests at once are admitted."""
    admitted = 0
    for _ in range(count):
        outcome = node.controller.try_admit('account')
        if outcome is None:
            outcome = await node.controller.admit('account', 1e9)
        admitted += isinstance(outcome, quota.Admitted)
    return admitted


def find_owners(fleet):
    """Return the owner of each slot that has one."""
    owners = {}
    for node in fleet.list_serving():
        for index in range(4):
            if node.controller.slots.owns(quota.Slot('account', index)):
                owners[index] = node
    return owners


class ControllerTest(unittest.TestCase):
    def run_fleet(self, scenario):
        async def run():
            fleet = quota_fleet.Fleet(
                SCHEME, (ACCOUNT,), nodes=6, centres=2, seed=1
            )
            self.prepare(fleet)
            for node in list(fleet.nodes.values()):
                await fleet.start_node(node)
            await anyio.sleep(4.0)
            await scenario(fleet)
            fleet.stop()

        virtual_time.run(run)

    def prepare(self, fleet):
        pass

    def test_the_whole_burst_enters_at_one_node(self):
        async def scenario(fleet):
            self.assertEqual(4, len(set(find_owners(fleet).values())))
            start = fleet.loop.time()
            admitted = await admit_many(fleet.nodes['node-3'], 60)
            refilled = 40.0 * (fleet.loop.time() - start)
            self.assertGreaterEqual(admitted, 40)
            self.assertLessEqual(admitted, 40 + refilled)

        self.run_fleet(scenario)

    def test_a_planned_stop_loses_no_tokens(self):
        async def scenario(fleet):
            leaver = find_owners(fleet)[0]
            await leaver.controller.stop()
            leaver.kill()
            await anyio.sleep(1.0)
            self.assertEqual(4, len(find_owners(fleet)))
            other = fleet.list_serving()[0]
            self.assertGreaterEqual(await admit_many(other, 60), 39)

        self.run_fleet(scenario)

    def test_the_standby_takes_over_from_a_dead_owner(self):
        async def scenario(fleet):
            find_owners(fleet)[0].kill()
            await anyio.sleep(0.7)
            self.assertEqual(3, len(find_owners(fleet)))
            await anyio.sleep(1.0)
            self.assertEqual(4, len(find_owners(fleet)))

        self.run_fleet(scenario)

    def test_no_owner_is_ever_without_a_standby(self):
        async def scenario(fleet):
            for row in fleet.rows.scan('quota/').rows:
                record = quota_messages.decode_record(row.value)
                self.assertEqual((1, 0), (record.epoch, record.renewal))
                self.assertIsNotNone(record.standby)

        self.run_fleet(scenario)

    def test_a_paused_owner_has_nothing_when_it_resumes(self):
        async def scenario(fleet):
            owner = find_owners(fleet)[0]
            owner.pause()
            await anyio.sleep(2.0)
            slot = quota.Slot('account', 0)
            self.assertFalse(owner.controller.slots.owns(slot))
            self.assertEqual(4, len(find_owners(fleet)))
            owner.running.set()
            await anyio.sleep(1.0)
            self.assertFalse(owner.controller.slots.owns(slot))

        self.run_fleet(scenario)

    def test_goes_on_without_the_table_and_takes_in_new_nodes(self):
        async def scenario(fleet):
            fleet.set_table_down(True)
            await anyio.sleep(30.0)
            self.assertEqual(4, len(find_owners(fleet)))
            node = fleet.add_node(6)
            node.table.is_down = True
            await fleet.start_node(node)
            await admit_many(node, 5)
            await anyio.sleep(1.0)
            self.assertEqual(5, await admit_many(node, 5))

        self.run_fleet(scenario)

    def test_a_change_of_rate_and_burst_is_applied(self):
        async def scenario(fleet):
            changed = model.ClientAccount('account', 4.0, 8)
            for node in fleet.nodes.values():
                node.controller.replace_accounts((changed,))
            self.assertEqual(8, await admit_many(fleet.nodes['node-1'], 20))

        self.run_fleet(scenario)

    def test_refuses_unknown_accounts(self):
        async def scenario(fleet):
            outcome = fleet.nodes['node-0'].controller.try_admit('other')
            self.assertIsInstance(outcome, quota.Refused)

        self.run_fleet(scenario)


class LostAnswersTest(ControllerTest):
    def prepare(self, fleet):
        for node in fleet.nodes.values():
            node.table = LosingTable(fleet.rows)
            node.controller.slots._table = node.table


class FaultTest(unittest.TestCase):
    def test_no_window_overruns_under_any_fault(self):
        for fault in bench_quota.FAULTS:
            with self.subTest(fault):
                figures = bench_quota.Experiment(
                    bench_quota.MAIN,
                    fault=fault,
                    load=2.0,
                    seconds=6.0,
                    seed=5,
                ).run()
                self.assertEqual(0, figures['overrun_tokens'])

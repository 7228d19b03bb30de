"""Tests of keeping the certainty about the rules young."""

import random
import unittest
import unittest.mock

from eelgrasswalk import ports
from eelgrasswalk.controllers import confirmation
from eelgrasswalk.controllers import feed
from eelgrasswalk.controllers import rules
from eelgrasswalk.policy import freshness
from eelgrasswalk.policy import relay_tree
from tests.controllers import fake_store
from tests.controllers import test_rules

LIMIT_S = 3.0


class ConfirmationTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        self.store = fake_store.FakeStore()
        self.now = 100.0
        self.asked = 0
        self.fresh = freshness.Freshness(LIMIT_S)
        self.keeper = rules.RuleKeeper(
            test_rules.Source(), self.fresh, lambda table: None
        )
        source = random.Random(1)
        self.feed = feed.Feed(
            self.store,
            'op',
            self.keeper,
            wait_s=2.0,
            gather_s=0.0,
            clock=lambda: self.now,
            source=source,
        )
        self.confirmation = confirmation.Confirmation(
            keeper=self.keeper,
            rules_feed=self.feed,
            fresh=self.fresh,
            refresh_policy=freshness.RefreshPolicy(1.5, 1.0, 2.0, 0.0),
            get_place=lambda: relay_tree.Place(False, 'n2', ()),
            ask_peers=self.ask_peers,
            clock=lambda: self.now,
            source=source,
        )
        self.addAsyncCleanup(self.feed.stop)
        self.addAsyncCleanup(self.confirmation.stop)

    def ask_peers(self) -> None:
        self.asked += 1

    async def learn(self, version: int = 7) -> None:
        """Read a version at the store's second 10, this node's 100."""
        row = ports.Row('config', str(version).encode(), 1)
        self.store.reads = [ports.Rows((row,), 1, 10.0)]
        await self.feed.start()
        await fake_store.settle()

    async def test_peer_confirms_the_version_in_force(self) -> None:
        await self.learn()
        self.now = 102.5
        self.confirmation.receive_confirmed(7, 12.0)
        self.assertEqual(0.5, self.fresh.get_age(self.now))

    async def test_message_that_was_held_up_confirms_no_more_than_it_says(
        self,
    ) -> None:
        await self.learn()
        self.now = 130.0
        self.confirmation.receive_confirmed(7, 12.0)
        self.assertFalse(self.fresh.is_fresh(self.now))

    async def test_peer_with_an_older_version_confirms_nothing(self) -> None:
        await self.learn()
        self.now = 102.5
        self.confirmation.receive_confirmed(6, 12.0)
        self.assertEqual(2.5, self.fresh.get_age(self.now))

    async def test_what_a_peer_told_is_told_on(self) -> None:
        await self.learn()
        self.assertEqual((7, 10.0), self.confirmation.get_confirmed())
        self.now = 102.5
        self.confirmation.receive_confirmed(7, 12.0)
        self.assertEqual((7, 12.0), self.confirmation.get_confirmed())

    async def test_new_version_is_never_told_with_an_old_certainty(
        self,
    ) -> None:
        await self.learn()
        self.now = 102.5
        self.confirmation.receive_confirmed(7, 12.0)
        row = ports.Row('config', b'8', 2)
        self.keeper.take_changes(ports.Rows((row,), 2, 11.5), 101.5)
        self.assertEqual((8, 11.5), self.confirmation.get_confirmed())

    async def test_node_asks_the_store_when_peers_are_silent(self) -> None:
        await self.learn()
        self.now = 103.0
        self.store.watches = [ports.Rows((), 1, 13.0)]
        await self.confirmation.start()
        await fake_store.settle()
        self.assertEqual(0.0, self.fresh.get_age(self.now))

    async def test_loss_and_return_of_certainty_are_logged(self) -> None:
        await self.learn()
        self.now = 104.0
        self.store.watches = [ports.Unavailable('silent')]
        with (
            unittest.mock.patch.object(confirmation, 'RETRY_S', 0.0),
            self.assertLogs('eelgrasswalk', 'INFO') as logs,
        ):
            await self.confirmation.start()
            await fake_store.settle()
            self.confirmation.receive_confirmed(7, 13.9)
            await self.confirmation.stop()
            await self.confirmation.start()
            await fake_store.settle()
        self.assertEqual(
            [3008, 3009], [record.__dict__['event'] for record in logs.records]
        )

    async def test_node_that_peers_confirm_asks_nothing(self) -> None:
        await self.learn()
        self.store.watches = [ports.Rows((), 1, 10.9)]
        self.now = 100.9
        await self.confirmation.start()
        await fake_store.settle()
        self.assertEqual(1, len(self.store.watches))

    async def test_node_asks_peers_before_the_store(self) -> None:
        await self.learn()
        self.now = 101.6
        self.store.watches = [ports.Rows((), 1, 11.6)]
        await self.confirmation.start()
        await fake_store.settle()
        self.assertEqual(1, self.asked)
        self.assertEqual(1, len(self.store.watches))

    async def test_node_that_the_store_refuses_asks_peers(self) -> None:
        await self.learn()
        self.now = 103.5
        self.store.watches = [ports.Unavailable('busy')]
        await self.confirmation.start()
        await fake_store.settle()
        self.assertEqual(1, self.asked)

    async def test_store_that_confirms_nothing_is_not_asked_without_pause(
        self,
    ) -> None:
        """It answers, but shows older rules or ones that are unreadable."""
        await self.learn()
        self.now = 103.0
        self.keeper.note_newer(9)
        answers = 50
        self.store.watches = [ports.Rows((), 1, 13.0)] * answers
        await self.confirmation.start()
        await fake_store.settle(200)
        self.assertGreaterEqual(len(self.store.watches), answers - 2)
        self.assertEqual(1, self.asked)

    async def test_newer_version_elsewhere_is_fetched_at_once(self) -> None:
        await self.learn()
        row = ports.Row('config', b'9', 2)
        self.store.watches = [ports.Rows((row,), 2, 10.2)]
        self.now = 100.2
        patch = unittest.mock.patch.object(confirmation, 'NEWER_GRACE_S', 0.0)
        with patch:
            await self.confirmation.start()
            self.confirmation.receive_confirmed(9, 10.1)
            await fake_store.settle()
        table = self.keeper.get_table()
        assert table is not None
        self.assertEqual(9, table.version)

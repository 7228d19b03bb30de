"""Tests of settings that change while a node runs."""

import dataclasses
import unittest
import unittest.mock

from eelgrasswalk import address
from eelgrasswalk import request_log
from eelgrasswalk.policy import log_budget
from eelgrasswalk.sidecar import node
from eelgrasswalk.sidecar import settings
from eelgrasswalk.sidecar import wiring

HERE = address.Address('127.0.0.1', 1)
CONFIG = settings.SidecarSettings(
    node_id='n1',
    ip='127.0.0.1',
    data_centre='erie',
    service='front',
    target=HERE,
    callers=HERE,
    readiness=HERE,
    check_ins=HERE,
    links=HERE,
    admin=HERE,
    store=HERE,
    memory_bytes=100_000_000,
    bounds=settings.Bounds(),
)


class ReloadTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        platform = wiring.Platform(*[unittest.mock.MagicMock()] * 4)
        log = request_log.RequestLog(
            log_budget.LogBudget(log_budget.LogBounds())
        )
        self.node = node.Sidecar(CONFIG, platform, log)
        self.path = unittest.mock.Mock()
        self.node.path = self.path

    def change(
        self, *, bounds: dict[str, float], **fields: object
    ) -> node.Reloaded:
        return self.node.reload(
            dataclasses.replace(
                CONFIG,
                bounds=dataclasses.replace(CONFIG.bounds, **bounds),
                **fields,
            )
        )

    def test_bounds_count_at_once(self) -> None:
        reloaded = self.change(
            bounds={'drain_s': 1.0, 'retry_ratio': 0.1, 'quota_slack': 5.0},
            memory_bytes=50_000_000,
        )
        self.assertEqual((), reloaded.after_restart)
        self.assertEqual(1.0, self.path.gate.drain_s)
        self.assertEqual(0.1, self.path.call_retry_budget.bounds.ratio)
        self.assertEqual(5.0, self.path.quotas.slack.tokens)
        self.assertEqual(
            50_000_000 * wiring.BODY_MEMORY_SHARE,
            self.node._state.bodies.limit,
        )

    def test_keys_count_no_longer_than_they_may_now(self) -> None:
        self.change(bounds={'withdraw_s': 3.0})
        state = self.node._state
        limit_s = 3.0 - wiring.FRESH_MARGIN_S
        self.assertEqual(limit_s, state.fresh.limit_s)
        self.assertLess(
            state.confirmation.refresh_policy.relay_refresh_age_s, limit_s
        )

    def test_places_and_windows_count_after_a_restart(self) -> None:
        reloaded = self.change(
            bounds={'retry_window_s': 20.0}, data_centre='toledo'
        )
        self.assertEqual((), reloaded.applied)
        self.assertEqual(
            ('data_centre', 'retry_window_s'), reloaded.after_restart
        )
        self.assertEqual('erie', self.node.config.data_centre)

    def test_same_settings_change_nothing(self) -> None:
        self.assertEqual(node.Reloaded((), ()), self.node.reload(CONFIG))

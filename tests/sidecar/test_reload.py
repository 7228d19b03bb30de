"""Tests of reloading the settings of a running node."""

import dataclasses
import unittest
import unittest.mock

from eelgrasswalk import address
from eelgrasswalk import request_log
from eelgrasswalk.policy import call_rules
from eelgrasswalk.policy import log_budget
from eelgrasswalk.policy.capacity import cold_start
from eelgrasswalk.sidecar import node
from eelgrasswalk.sidecar import settings
from eelgrasswalk.sidecar import wiring_control

ADDRESS = address.Address('127.0.0.1', 1)
CONFIG = settings.SidecarSettings(
    node_id='n1',
    ip='127.0.0.1',
    data_centre='erie',
    service='front',
    target=ADDRESS,
    callers=ADDRESS,
    readiness=ADDRESS,
    check_ins=ADDRESS,
    links=ADDRESS,
    admin=ADDRESS,
    store=ADDRESS,
    memory_bytes=100_000_000,
    bounds=settings.Bounds(),
)


class ReloadTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self) -> None:
        platform = wiring_control.Platform(*[unittest.mock.MagicMock()] * 4)
        log = request_log.RequestLog(
            log_budget.LogBudget(log_budget.LogBounds())
        )
        self.node = node.Sidecar(CONFIG, platform, log)
        self.call_path = unittest.mock.Mock()
        self.node.call_path = self.call_path

    def reload(
        self, *, bounds: dict[str, float], **fields: object
    ) -> node.ReloadResult:
        return self.node.reload(
            dataclasses.replace(
                CONFIG,
                bounds=dataclasses.replace(CONFIG.bounds, **bounds),
                **fields,
            )
        )

    def test_regions_of_data_centres_apply_at_once(self) -> None:
        """A new zone must not need a restart of all nodes."""
        result = self.reload(bounds={}, regions={'erie': 'north'})
        self.assertEqual(('regions',), result.applied)
        self.assertEqual(
            frozenset(('erie',)),
            self.node._control_plane.homes.find_allowed(
                frozenset(('north',)), frozenset()
            ),
        )

    def test_reloadable_settings_apply_at_once(self) -> None:
        result = self.reload(
            bounds={'drain_s': 1.0, 'retry_ratio': 0.1, 'quota_slack': 5.0},
            memory_bytes=50_000_000,
        )
        self.assertEqual((), result.restart_required)
        self.assertEqual(1.0, self.call_path.gate.drain_s)
        self.assertEqual(0.1, self.call_path.call_retry_budget.bounds.ratio)
        self.assertEqual(5.0, self.call_path.quotas.slack.tokens)
        self.assertEqual(
            50_000_000 * wiring_control.BODY_MEMORY_SHARE,
            self.node._control_plane.bodies.limit,
        )

    def test_bounds_on_clients_apply_at_once(self) -> None:
        result = self.reload(bounds={}, memory_bytes=50_000_000, max_fds=1_200)
        self.assertEqual(('max_fds', 'memory_bytes'), result.applied)
        bounds = self.node._control_plane.clients.bounds
        self.assertEqual(10_000_000, bounds.held_bytes)
        # 200 are for files, and a quarter of the others for the node itself.
        self.assertEqual(750, bounds.connections)

    def test_bound_on_cold_targets_applies_at_once(self) -> None:
        service = call_rules.ServiceRule(
            'front', 10, cold_per_s=5.5, cold_start_s=20.0
        )
        table = unittest.mock.Mock(services={'front': service})
        self.node._control_plane.rules.table = table
        result = self.reload(bounds={'cold_overage': 1.5, 'cold_slack': 8.0})
        self.assertEqual((), result.restart_required)
        change = self.call_path.gate.coldness.change_settings
        change.assert_called_once_with(
            cold_start.ColdSettings(5.5, 20.0, 1.5, 8.0)
        )

    def test_shorter_key_withdrawal_time_shortens_confirmations(self) -> None:
        self.reload(bounds={'withdraw_s': 3.0})
        control_plane = self.node._control_plane
        limit_s = 3.0 - wiring_control.FRESHNESS_MARGIN_S
        self.assertEqual(limit_s, control_plane.fresh.limit_s)
        self.assertLess(
            control_plane.confirmation.refresh_policy.relay_refresh_age_s,
            limit_s,
        )

    def test_identity_and_window_lengths_need_a_restart(self) -> None:
        result = self.reload(
            bounds={'retry_window_s': 20.0}, data_centre='toledo'
        )
        self.assertEqual((), result.applied)
        self.assertEqual(
            ('data_centre', 'retry_window_s'), result.restart_required
        )
        self.assertEqual('erie', self.node.config.data_centre)

    def test_unchanged_settings_are_neither_applied_nor_deferred(self) -> None:
        self.assertEqual(node.ReloadResult((), ()), self.node.reload(CONFIG))

"""Tests of the settings derived from the operators' bounds."""

import unittest

from eelgrasswalk.policy import call_rules
from eelgrasswalk.sidecar import policy_settings
from eelgrasswalk.sidecar import settings


class RefreshPolicyTest(unittest.TestCase):
    def test_nodes_ask_in_time_while_the_store_refuses_the_roots(
        self,
    ) -> None:
        """All three roots are refused just after a confirmation.

        A change is acknowledged at the same moment. Every other node must ask
        the store by itself before the change has to be in force everywhere,
        with a tenth of the time left for the answer.
        """
        for validity_s, apply_s in ((3.75, 2.0), (3.75, 2.5), (8.75, 1.0)):
            policy = policy_settings.build_refresh_policy(
                validity_s, apply_s=apply_s
            )
            for has_children in (False, True):
                age_s = policy.choose_refresh_age(
                    is_root=False, has_children=has_children, random_value=1.0
                )
                self.assertLessEqual(age_s, 0.9 * apply_s)

    def test_roots_and_peers_are_asked_first(self) -> None:
        for validity_s, apply_s in ((3.75, 2.0), (3.75, 9.0), (8.75, 1.0)):
            policy = policy_settings.build_refresh_policy(
                validity_s, apply_s=apply_s
            )
            self.assertLess(
                policy.root_refresh_age_s, policy.peer_refresh_age_s
            )
            self.assertLess(
                policy.peer_refresh_age_s, policy.relay_refresh_age_s
            )


class ColdSettingsTest(unittest.TestCase):
    def test_limit_holds_before_the_rules_are_read(self) -> None:
        """A node restarts beside a cold target, and the rules cannot be read.

        Without a limit, calls that other nodes send would crash the target.
        """
        bounds = settings.Bounds(cold_overage=1.5, cold_slack=8.0)
        limits = policy_settings.build_cold_settings(bounds, None)
        assert limits is not None
        self.assertEqual(1, limits.limit)

    def test_no_limit_without_the_bound_or_without_cold_targets(self) -> None:
        service = call_rules.ServiceRule('front', 10, cold_per_s=5.5)
        bounds = settings.Bounds()
        self.assertIsNone(policy_settings.build_cold_settings(bounds, None))
        self.assertIsNone(policy_settings.build_cold_settings(bounds, service))
        bounds = settings.Bounds(cold_overage=1.5, cold_slack=8.0)
        service = call_rules.ServiceRule('front', 10)
        self.assertIsNone(policy_settings.build_cold_settings(bounds, service))

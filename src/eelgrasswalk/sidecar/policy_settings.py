"""Policy settings derived from the operators' bounds."""

from ..policy import account_rates
from ..policy import call_rules
from ..policy import freshness
from ..policy import retry_budget
from ..policy.capacity import cold_start
from . import settings

# Ages at which a node requests the next confirmation of the rules, as
# fractions of the time for which one is valid. The remainder leaves time to
# retry when the store fails at first.
PEER_REFRESH_FRACTION = 0.38
ROOT_REFRESH_FRACTION = 0.32
RELAY_REFRESH_FRACTION = 0.55
JITTER_FRACTION = 0.15
# The same as fractions of the time within which a new configuration takes
# effect. The store may refuse the root nodes and serve all others, which then
# learn of a change only by asking themselves.
PEER_APPLY_FRACTION = 0.65
ROOT_APPLY_FRACTION = 0.6
RELAY_APPLY_FRACTION = 0.7
JITTER_APPLY_FRACTION = 0.09


def build_refresh_policy(
    validity_s: float, *, apply_s: float
) -> freshness.RefreshPolicy:
    """Return the ages at which nodes have the rules confirmed again.

    Args:
        validity_s: Seconds for which a confirmation is valid.
        apply_s: Seconds within which a new configuration takes effect.

    Returns:
        The policy; its ages are in seconds.
    """
    return freshness.RefreshPolicy(
        peer_refresh_age_s=min(
            PEER_REFRESH_FRACTION * validity_s, PEER_APPLY_FRACTION * apply_s
        ),
        root_refresh_age_s=min(
            ROOT_REFRESH_FRACTION * validity_s, ROOT_APPLY_FRACTION * apply_s
        ),
        relay_refresh_age_s=min(
            RELAY_REFRESH_FRACTION * validity_s,
            RELAY_APPLY_FRACTION * apply_s,
        ),
        jitter_s=min(
            JITTER_FRACTION * validity_s, JITTER_APPLY_FRACTION * apply_s
        ),
    )


def build_retry_bounds(
    bounds: settings.Bounds,
) -> retry_budget.RetryBounds:
    """Return the bound on the retries of all nodes.

    Args:
        bounds: Limits that the operators require the whole system to keep.

    Returns:
        The permitted ratio, window and slack.
    """
    return retry_budget.RetryBounds(
        ratio=bounds.retry_ratio,
        window_s=bounds.retry_window_s,
        slack=bounds.retry_slack,
    )


def build_quota_slack(bounds: settings.Bounds) -> account_rates.Slack:
    """Return the excess over their rates that accounts may get.

    Args:
        bounds: Limits that the operators require the whole system to keep.

    Returns:
        The tolerated overage, slack and window.
    """
    return account_rates.Slack(
        overage=bounds.quota_overage,
        tokens=bounds.quota_slack,
        window_s=bounds.quota_window_s,
    )


def build_cold_settings(
    bounds: settings.Bounds, service: call_rules.ServiceRule | None
) -> cold_start.ColdSettings | None:
    """Return the limits on the calls to cold targets of a service.

    Args:
        bounds: Limits that the operators require the whole system to keep.
        service: The service; None while it is not known, as in a node that
            has started and could not read the rules yet.

    Returns:
        The limits; None if there are none.
    """
    if bounds.cold_overage is None:
        return None
    if service is None:
        return cold_start.ColdSettings(
            per_s=0.0,
            start_s=cold_start.MAX_COLD_S,
            overage=bounds.cold_overage,
            slack=bounds.cold_slack,
        )
    if not service.cold_per_s:
        return None
    return cold_start.ColdSettings(
        per_s=service.cold_per_s,
        start_s=service.cold_start_s,
        overage=bounds.cold_overage,
        slack=bounds.cold_slack,
    )

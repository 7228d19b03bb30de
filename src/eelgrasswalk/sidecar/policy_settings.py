"""Settings of policies that follow from the operators' bounds."""

from ..policy import account_rates
from ..policy import freshness
from ..policy import retry_budget
from . import settings

# Parts of the time for which a confirmation counts after which a node asks
# for the next one; the rest leaves time for a store that fails at first.
PEERS_PART = 0.38
EARLY_PART = 0.32
LATE_PART = 0.55
SPREAD_PART = 0.15


def build_refresh_policy(limit_s: float) -> freshness.RefreshPolicy:
    """Return how old the certainty about the rules may become.

    Args:
        limit_s: Seconds for which a confirmation counts.
    """
    return freshness.RefreshPolicy(
        peer_refresh_age_s=PEERS_PART * limit_s,
        root_refresh_age_s=EARLY_PART * limit_s,
        relay_refresh_age_s=LATE_PART * limit_s,
        jitter_s=SPREAD_PART * limit_s,
    )


def build_retry_bounds(
    bounds: settings.Bounds,
) -> retry_budget.RetryBounds:
    """Return the bound on repeats."""
    return retry_budget.RetryBounds(
        ratio=bounds.retry_ratio,
        window_s=bounds.retry_window_s,
        slack=bounds.retry_slack,
    )


def build_slack(bounds: settings.Bounds) -> account_rates.Slack:
    """Return what accounts may get beyond their rates."""
    return account_rates.Slack(
        overage=bounds.quota_overage,
        tokens=bounds.quota_slack,
        window_s=bounds.quota_window_s,
    )

"""The check of the rule on the rates of tenants."""

import collections.abc

from . import installation
from . import upstream

WINDOW_S = float(installation.BOUNDS['quota_window_s'])


def compute_allowed(rate: float, burst: float) -> float:
    """Return how many requests of a tenant may run in one window."""
    return (rate * WINDOW_S + burst) * (
        1.0 + installation.BOUNDS['quota_overage']
    ) + installation.BOUNDS['quota_slack']


def find_fullest(
    runs: collections.abc.Iterable[upstream.Run],
    sent: collections.abc.Mapping[str, float],
    *,
    since: float = 0.0,
) -> tuple[int, float]:
    """Return the most requests in one window, and when it begins.

    Args:
        runs: Requests that have run, of all upstreams.
        sent: Monotonic time at which each request was sent, by its id.
        since: Time from which on windows are looked at.

    Returns:
        The requests that were both sent and run in the window.
    """
    pairs = sorted((sent[run.request_id], run.at) for run in runs)
    fullest = (0, 0.0)
    for index, (begins_at, _) in enumerate(pairs):
        if begins_at < since:
            continue
        ends_at = begins_at + WINDOW_S
        count = sum(ran_at <= ends_at for _, ran_at in pairs[index:])
        fullest = max(fullest, (count, begins_at))
    return fullest

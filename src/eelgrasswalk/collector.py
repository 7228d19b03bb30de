"""Keeps long collections of garbage out of calls."""

import gc

# Objects before a collection of the youngest, and ratios of the older ones.
THRESHOLDS = (50_000, 20, 50)


def tune_collector() -> None:
    """Collect now, and seldom from now on.

    What has been loaded by now is never garbage, and the objects of a call
    are freed without the collector.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(*THRESHOLDS)

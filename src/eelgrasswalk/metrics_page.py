"""The metrics of a node as text, in the format of Prometheus.

The library is loaded when the page is asked for the first time: most nodes
are never asked, and it takes 10 MB.
"""

import collections.abc
import importlib
import typing

from . import request_log

Gauges: typing.TypeAlias = dict[str, tuple[str, float]]


class MetricsPage:
    """Renders counts when asked.

    Args:
        log: Counts of calls.
        read_gauges: Returns text and value of each gauge by name.
        read_counters: Returns the same of each further counter.
    """

    def __init__(
        self,
        log: request_log.RequestLog,
        read_gauges: typing.Callable[[], Gauges],
        read_counters: typing.Callable[[], Gauges] = dict,
    ) -> None:
        self._log = log
        self._read_gauges = read_gauges
        self._read_counters = read_counters

    def render(self) -> bytes:
        """Return the page."""
        library = importlib.import_module('prometheus_client')
        registry = library.CollectorRegistry()
        registry.register(self)
        page: bytes = library.generate_latest(registry)
        return page

    def collect(self) -> collections.abc.Iterator[typing.Any]:
        """Return the families, as the library asks for them."""
        core = importlib.import_module('prometheus_client.core')
        calls = core.CounterMetricFamily(
            'eelgrasswalk_calls',
            'Calls by hop, service, account and outcome',
            labels=('hop', 'service', 'account', 'outcome', 'reason'),
        )
        for kind, count in self._log.calls.items():
            labels = (
                kind.hop,
                kind.service,
                kind.account,
                kind.outcome,
                kind.reason,
            )
            calls.add_metric(labels, count)
        yield calls
        given_up = core.CounterMetricFamily(
            'eelgrasswalk_answers_given_up',
            'Answers that were longer than the node takes, by target',
            labels=('target', 'reason'),
        )
        for target_id, counts in self._log.given_up.items():
            for reason, count in counts.items():
                given_up.add_metric((target_id, reason), count)
        yield given_up
        ignored = core.CounterMetricFamily(
            'eelgrasswalk_load_reports_ignored',
            'Load reports of the target that were ignored, by cause',
            labels=('cause',),
        )
        for cause, count in self._log.ignored_loads.items():
            ignored.add_metric((cause,), count)
        yield ignored
        latencies = core.HistogramMetricFamily(
            'eelgrasswalk_call_seconds',
            'Seconds from arrival to outcome, by hop',
            labels=('hop',),
        )
        for hop, histogram in self._log.latencies.items():
            latencies.add_metric(
                (hop,), _list_buckets(histogram), histogram.total_s
            )
        yield latencies
        for name, (text, value) in self._read_gauges().items():
            yield core.GaugeMetricFamily(name, text, value)
        for name, (text, value) in self._read_counters().items():
            yield core.CounterMetricFamily(name, text, value)


def _list_buckets(
    histogram: request_log.Histogram,
) -> list[tuple[str, int]]:
    """Return upper bounds and how many calls were at most as long."""
    bounds = [*map(str, request_log.BUCKETS_S), '+Inf']
    total = 0
    buckets = []
    for bound, count in zip(bounds, histogram.counts, strict=True):
        total += count
        buckets.append((bound, total))
    return buckets

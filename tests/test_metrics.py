"""Tests of the metrics."""

import re
import unittest

import opentelemetry.sdk.metrics
import opentelemetry.sdk.metrics.export

from eelgrasswalk import counters
from eelgrasswalk import metrics
from eelgrasswalk.platform import http

KIND = counters.CallKind('caller', 'not-run', 'quota', 1, 'erie')


class MetricsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.reader = opentelemetry.sdk.metrics.export.InMemoryMetricReader()
        provider = opentelemetry.sdk.metrics.MeterProvider(
            metric_readers=[self.reader]
        )
        self.addCleanup(provider.shutdown)
        self.platform: http.Counters | None = http.Counters(reads=3)
        sources = metrics.Sources(
            read_calls=lambda: {KIND: 5},
            read_version=lambda: 7,
            read_members=lambda: {'ready': 2, 'draining': 1},
            read_platform=lambda: self.platform,
        )
        metrics.register_metrics(provider.get_meter(metrics.SCOPE), sources)

    def read_points(self) -> dict[str, list[tuple[object, dict]]]:
        data = self.reader.get_metrics_data()
        assert data is not None
        return {
            metric.name: [
                (point.value, dict(point.attributes))
                for point in metric.data.data_points
            ]
            for metric in data.resource_metrics[0].scope_metrics[0].metrics
        }

    def test_every_metric_is_read(self) -> None:
        points = self.read_points()
        self.assertEqual(set(points), {m.name for m in metrics.METRICS})
        [(count, attributes)] = points['eelgrasswalk.requests']
        self.assertEqual(count, 5)
        self.assertEqual(attributes['eelgrasswalk.importance'], 'high')
        version = points['eelgrasswalk.configuration.version']
        self.assertEqual(version, [(7, {})])

    def test_attributes_are_those_of_the_page(self) -> None:
        points = self.read_points()
        for metric in metrics.METRICS:
            for _, attributes in points[metric.name]:
                self.assertEqual(set(attributes), set(metric.attributes))

    def test_names_follow_the_conventions(self) -> None:
        for metric in metrics.METRICS:
            for name in (metric.name, *metric.attributes):
                self.assertTrue(re.fullmatch(r'[a-z]+(\.[a-z_]+)+', name))

"""OpenTelemetry metrics of a node, read from plain counts when asked."""

import collections.abc
import dataclasses
import importlib
import json
import typing

from opentelemetry import metrics as api
from opentelemetry.sdk import metrics as sdk
from opentelemetry.sdk import resources
from opentelemetry.sdk.metrics import export

from . import counters

EXPORT_INTERVAL_MS = 15_000

Observations: typing.TypeAlias = collections.abc.Iterable[api.Observation]


@dataclasses.dataclass(frozen=True, slots=True)
class Gauge:
    """A value that is read when metrics are collected.

    Args:
        name: Name after OpenTelemetry's conventions.
        unit: Unit after UCUM.
        text: What it counts.
        read: Returns the value.
    """

    name: str
    unit: str
    text: str
    read: typing.Callable[[], float]


class Metrics:
    """All metrics of a node.

    Args:
        node_id: The node.
        counts: Counts of calls.
        gauges: Values read on collection.
        otlp_endpoint: Where OTLP over HTTP is sent; empty for nowhere.
    """

    def __init__(
        self,
        node_id: str,
        counts: counters.Counters,
        gauges: collections.abc.Sequence[Gauge],
        *,
        otlp_endpoint: str = '',
    ) -> None:
        self._counts = counts
        self._reader = export.InMemoryMetricReader()
        readers: list[export.MetricReader] = [self._reader]
        if otlp_endpoint:
            readers.append(_build_otlp_reader(otlp_endpoint))
        resource = resources.Resource.create(
            {'service.name': 'eelgrasswalk', 'service.instance.id': node_id}
        )
        self._provider = sdk.MeterProvider(readers, resource=resource)
        meter = self._provider.get_meter('eelgrasswalk')
        meter.create_observable_counter(
            'eelgrasswalk.calls',
            callbacks=[self._observe_calls],
            unit='{call}',
            description='Calls by listener, verdict, reason and importance',
        )
        for gauge in gauges:
            meter.create_observable_gauge(
                gauge.name,
                callbacks=[_build_callback(gauge)],
                unit=gauge.unit,
                description=gauge.text,
            )

    def collect(self) -> dict[str, typing.Any]:
        """Return all metrics as OpenTelemetry's JSON."""
        data = self._reader.get_metrics_data()
        if data is None:
            return {}
        collected: dict[str, typing.Any] = json.loads(data.to_json())
        return collected

    def stop(self) -> None:
        """Send what is left and stop."""
        self._provider.shutdown()

    def _observe_calls(self, _: api.CallbackOptions) -> Observations:
        for kind, count in self._counts.calls.items():
            yield api.Observation(
                count,
                {
                    'listener': kind.source,
                    'verdict': kind.verdict,
                    'reason': kind.reason,
                    'importance': counters.name_importance(kind.importance),
                },
            )


def _build_callback(
    gauge: Gauge,
) -> typing.Callable[[api.CallbackOptions], Observations]:
    def observe(_: api.CallbackOptions) -> Observations:
        return [api.Observation(gauge.read())]

    return observe


def _build_otlp_reader(endpoint: str) -> export.MetricReader:
    # Imported here because the exporter is an optional dependency.
    exporter = importlib.import_module(
        'opentelemetry.exporter.otlp.proto.http.metric_exporter'
    )
    return export.PeriodicExportingMetricReader(
        exporter.OTLPMetricExporter(endpoint=endpoint),
        export_interval_millis=EXPORT_INTERVAL_MS,
    )

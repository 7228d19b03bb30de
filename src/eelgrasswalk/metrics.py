"""Metrics by OpenTelemetry, read from the node's plain counts."""

import collections.abc
import dataclasses
import enum
import typing

import opentelemetry.metrics
import opentelemetry.sdk.metrics
import opentelemetry.sdk.metrics.export
import opentelemetry.sdk.resources

from . import counters
from .document import model

EXPORT_INTERVAL_MS = 15_000.0
SCOPE = 'eelgrasswalk'

Point: typing.TypeAlias = tuple[int | float, dict[str, str | int]]
Read: typing.TypeAlias = collections.abc.Callable[
    [], collections.abc.Iterable[Point]
]


class Instrument(enum.Enum):
    """Kind of an OpenTelemetry instrument."""

    COUNTER = 'counter'
    UP_DOWN_COUNTER = 'up-down counter'
    GAUGE = 'gauge'


@dataclasses.dataclass(frozen=True, slots=True)
class Metric:
    """A metric, named after OpenTelemetry's conventions.

    Args:
        name: Its name.
        instrument: Kind of its instrument.
        unit: Its unit after UCUM.
        text: What it measures.
        attributes: Names of its attributes.
    """

    name: str
    instrument: Instrument
    unit: str
    text: str
    attributes: tuple[str, ...] = ()


REQUESTS = Metric(
    'eelgrasswalk.requests',
    Instrument.COUNTER,
    '{request}',
    'Requests that the node took from callers and from its target.',
    (
        'eelgrasswalk.source',
        'eelgrasswalk.verdict',
        'eelgrasswalk.reason',
        'eelgrasswalk.importance',
        'eelgrasswalk.account',
    ),
)
CONFIGURATION_VERSION = Metric(
    'eelgrasswalk.configuration.version',
    Instrument.GAUGE,
    '1',
    'Version of the document in force; 0 before the first.',
)
MEMBERS = Metric(
    'eelgrasswalk.members',
    Instrument.UP_DOWN_COUNTER,
    '{node}',
    'Nodes known, by state.',
    ('eelgrasswalk.state',),
)
PLATFORM_OPERATIONS = Metric(
    'eelgrasswalk.platform.operations',
    Instrument.COUNTER,
    '{operation}',
    'Operations sent to the platform, and those that got no answer.',
    ('eelgrasswalk.operation',),
)
METRICS = (
    REQUESTS,
    CONFIGURATION_VERSION,
    MEMBERS,
    PLATFORM_OPERATIONS,
)


class PlatformCounts(typing.Protocol):
    """Counts of the platform's client."""

    reads: int
    writes: int
    hedges: int
    lost_answers: int
    rejections: int


@dataclasses.dataclass(frozen=True, slots=True)
class Sources:
    """Where the metrics are read. All are called from another thread.

    Args:
        read_calls: Returns the counts of calls.
        read_version: Returns the version in force.
        read_members: Returns the number of nodes by state.
        read_platform: Returns the platform client's counts, if there is one.
    """

    read_calls: collections.abc.Callable[
        [], collections.abc.Mapping[counters.CallKind, int]
    ]
    read_version: collections.abc.Callable[[], int]
    read_members: collections.abc.Callable[
        [], collections.abc.Mapping[str, int]
    ]
    read_platform: collections.abc.Callable[[], PlatformCounts | None]


def register_metrics(
    meter: opentelemetry.metrics.Meter, sources: Sources
) -> None:
    """Register every metric on a meter.

    Args:
        meter: The meter.
        sources: Where the metrics are read.
    """
    readers: dict[Metric, Read] = {
        REQUESTS: lambda: _list_calls(sources.read_calls()),
        CONFIGURATION_VERSION: lambda: [(sources.read_version(), {})],
        MEMBERS: lambda: [
            (count, {'eelgrasswalk.state': state})
            for state, count in dict(sources.read_members()).items()
        ],
        PLATFORM_OPERATIONS: lambda: _list_operations(sources.read_platform()),
    }
    for metric, read in readers.items():
        _register(meter, metric, read)


def make_provider(
    exporter: opentelemetry.sdk.metrics.export.MetricExporter,
    attributes: collections.abc.Mapping[str, str],
) -> opentelemetry.sdk.metrics.MeterProvider:
    """Return a provider that exports at a fixed interval.

    Args:
        exporter: Where the metrics go.
        attributes: Attributes of the node, such as `host.name`.
    """
    reader = opentelemetry.sdk.metrics.export.PeriodicExportingMetricReader(
        exporter, export_interval_millis=EXPORT_INTERVAL_MS
    )
    resource = opentelemetry.sdk.resources.Resource.create(
        {'service.name': 'eelgrasswalk-node', **attributes}
    )
    return opentelemetry.sdk.metrics.MeterProvider(
        metric_readers=[reader], resource=resource
    )


def _register(
    meter: opentelemetry.metrics.Meter, metric: Metric, read: Read
) -> None:
    def observe(
        options: opentelemetry.metrics.CallbackOptions,
    ) -> list[opentelemetry.metrics.Observation]:
        return [
            opentelemetry.metrics.Observation(value, attributes)
            for value, attributes in read()
        ]

    create = {
        Instrument.COUNTER: meter.create_observable_counter,
        Instrument.UP_DOWN_COUNTER: meter.create_observable_up_down_counter,
        Instrument.GAUGE: meter.create_observable_gauge,
    }[metric.instrument]
    create(metric.name, [observe], metric.unit, metric.text)


def _list_calls(
    calls: collections.abc.Mapping[counters.CallKind, int],
) -> list[Point]:
    # The event loop goes on counting; copying a dict is one step.
    return [
        (
            count,
            {
                'eelgrasswalk.source': kind.source,
                'eelgrasswalk.verdict': kind.verdict,
                'eelgrasswalk.reason': kind.reason,
                'eelgrasswalk.importance': _name_importance(kind.importance),
                'eelgrasswalk.account': kind.account,
            },
        )
        for kind, count in dict(calls).items()
    ]


def _name_importance(importance: int) -> str:
    if importance < 0:
        return ''
    return model.Importance(importance).name.lower()


def _list_operations(counts: PlatformCounts | None) -> list[Point]:
    if counts is None:
        return []
    values = {
        'read': counts.reads,
        'write': counts.writes,
        'hedge': counts.hedges,
        'lost_answer': counts.lost_answers,
        'rejection': counts.rejections,
    }
    return [
        (count, {'eelgrasswalk.operation': name})
        for name, count in values.items()
    ]

"""Renders the pages of log events and metrics from the code.

python -m eelgrasswalk.operations.catalogue DIRECTORY
"""

import collections.abc
import logging
import pathlib
import sys

from .. import events
from .. import metrics

EVENTS_PAGE = 'events.md'
METRICS_PAGE = 'metrics.md'

_EVENTS_HEAD = """\
# Log events

Every record is one JSON object on standard error, with `time`, `level`,
`node_id`, `event` (the number) and the fields that the event is about. Numbers
are never used again for another event. `eelgrasswalk events NUMBER` shows a
row of this page, which is generated from the code.

| Event | Level | Text | What to do |
| --- | --- | --- | --- |
"""

_METRICS_HEAD = """\
# Metrics

Names, units and instruments follow OpenTelemetry's conventions. Counters run
from the node's start. This page is generated from the code.

| Metric | Instrument | Unit | Measures | Attributes |
| --- | --- | --- | --- | --- |
"""


def render_events(found: collections.abc.Iterable[events.Event]) -> str:
    """Return the page of log events."""
    rows = [
        f'| {event.number} | {logging.getLevelName(event.level).lower()} '
        f'| {event.text} | {event.remedy or "-"} |\n'
        for event in found
    ]
    return _EVENTS_HEAD + ''.join(rows)


def render_metrics(found: collections.abc.Iterable[metrics.Metric]) -> str:
    """Return the page of metrics."""
    rows = []
    for metric in found:
        attributes = ', '.join(f'`{name}`' for name in metric.attributes)
        rows.append(
            f'| `{metric.name}` | {metric.instrument.value} '
            f'| `{metric.unit}` | {metric.text} | {attributes or "-"} |\n'
        )
    return _METRICS_HEAD + ''.join(rows)


def write_pages(directory: pathlib.Path) -> None:
    """Write both pages into a directory."""
    page = render_events(events.list_events())
    (directory / EVENTS_PAGE).write_text(page)
    page = render_metrics(metrics.METRICS)
    (directory / METRICS_PAGE).write_text(page)


if __name__ == '__main__':
    write_pages(pathlib.Path(sys.argv[1]))

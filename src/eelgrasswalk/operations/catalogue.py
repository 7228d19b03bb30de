"""Renders the pages of log events and metrics from the code.

python -m eelgrasswalk.operations.catalogue DIRECTORY
"""

import asyncio
import collections.abc
import logging
import pathlib
import sys
import typing

from .. import counters
from .. import events
from .. import settings
from .. import wiring

EVENTS_PAGE = 'events.md'
METRICS_PAGE = 'metrics.md'

# A node that is built and never started; its addresses are not used.
_SETTINGS = """\
node_id: catalogue
data_centre: none
service: none
mesh_secret: not a secret, never used
target: {address: 127.0.0.1:1}
platform: {url: http://127.0.0.1:1}
"""

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
from the node's start. A node sends them by OTLP over HTTP where its settings
name an `otlp_endpoint`, and shows them as JSON at `/_eelgrasswalk/metrics` of
its administration address. This page is generated from the code.

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


async def render_metrics() -> str:
    """Return the page of metrics, read from a node that is not started."""
    config = settings.parse_settings(_SETTINGS, source='catalogue')
    built = wiring.build_node(config, on_stop_request=lambda: None)
    built.parts.counts.calls[counters.CallKind('', '', '', 0, '')] += 1
    collected = built.collect_metrics()
    [resource] = collected['resource_metrics']
    [scope] = resource['scope_metrics']
    rows = sorted(_format_metric(metric) for metric in scope['metrics'])
    return _METRICS_HEAD + ''.join(rows)


def _format_metric(metric: dict[str, typing.Any]) -> str:
    instrument = 'counter' if metric['data'].get('is_monotonic') else 'gauge'
    names = metric['data']['data_points'][0]['attributes']
    attributes = ', '.join(f'`{name}`' for name in names) or '-'
    return (
        f'| `{metric["name"]}` | {instrument} | `{metric["unit"]}` '
        f'| {metric["description"]} | {attributes} |\n'
    )


def write_pages(directory: pathlib.Path) -> None:
    """Write both pages into a directory."""
    page = render_events(events.list_events())
    (directory / EVENTS_PAGE).write_text(page)
    (directory / METRICS_PAGE).write_text(asyncio.run(render_metrics()))


if __name__ == '__main__':
    write_pages(pathlib.Path(sys.argv[1]))

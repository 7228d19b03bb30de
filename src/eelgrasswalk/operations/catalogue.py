"""Renders the page of log events from the code.

python -m eelgrasswalk.operations.catalogue DIRECTORY
"""

import collections.abc
import logging
import pathlib
import sys

from .. import events

EVENTS_PAGE = 'events.md'

_EVENTS_HEAD = """\
# Log events

Every record is one JSON object on standard error, with `time`, `level`,
`node_id`, `event` (the number) and the fields that the event is about. Numbers
are never used again for another event. `eelgrasswalk events NUMBER` shows a
row of this page, which is generated from the code.

| Event | Level | Text | What to do |
| --- | --- | --- | --- |
"""


def render_events(found: collections.abc.Iterable[events.Event]) -> str:
    """Return the page of log events."""
    rows = [
        f'| {event.number} | {logging.getLevelName(event.level).lower()} '
        f'| {event.text} | {event.remedy or "-"} |\n'
        for event in found
    ]
    return _EVENTS_HEAD + ''.join(rows)


def write_page(directory: pathlib.Path) -> None:
    """Write the page into a directory."""
    page = render_events(events.list_events())
    (directory / EVENTS_PAGE).write_text(page)


if __name__ == '__main__':
    write_page(pathlib.Path(sys.argv[1]))

"""Lines that nodes have written to their logs."""

import collections.abc
import dataclasses
import datetime as dt
import json
import typing


@dataclasses.dataclass(frozen=True, slots=True)
class LogLine:
    """One line of a node's log.

    Args:
        at: Unix seconds by the clock of the node's host.
        node_id: The node.
        event: Number of the event.
        fields: Everything else that the line says.
    """

    at: float
    node_id: str
    event: int
    fields: dict[str, typing.Any]

    @property
    def request_id(self) -> str:
        """The request that the line is about; empty for none."""
        return str(self.fields.get('request', ''))

    def lies_within(self, since: float, until: float) -> bool:
        """Return whether it was written in a span.

        Args:
            since: Unix seconds from which lines count.
            until: Unix seconds before which they do.
        """
        return since <= self.at < until


@dataclasses.dataclass(slots=True)
class Skipped:
    """Counts lines that are no log lines of a node."""

    lines: int = 0


def read_lines(
    texts: collections.abc.Iterable[str], skipped: Skipped
) -> collections.abc.Iterator[LogLine]:
    """Read log lines; what collectors put in front of them is ignored.

    Args:
        texts: Lines of text.
        skipped: Counts those that cannot be read.
    """
    for text in texts:
        line = parse_line(text)
        if line is not None:
            yield line
        elif text.strip():
            skipped.lines += 1


def parse_line(text: str) -> LogLine | None:
    """Return a log line, or None when the text holds none."""
    start = text.find('{')
    if start < 0:
        return None
    try:
        fields = json.loads(text[start:])
        at = dt.datetime.fromisoformat(fields.pop('time')).timestamp()
        node_id = str(fields.pop('node_id'))
        event = int(fields.pop('event'))
    except (ValueError, TypeError, KeyError, AttributeError):
        return None
    return LogLine(at, node_id, event, fields)

"""Recorded traces: their form, and the outcomes stated for them."""

import collections.abc
import dataclasses
import pathlib
import typing

import cattrs
import yaml

Measure = float | int | str | bool
Measures = dict[str, Measure]


class Timed(typing.Protocol):
    """An event that may repeat."""

    @property
    def at(self) -> float:
        """When it first happens, in seconds."""

    @property
    def repeat(self) -> int:
        """How often it happens."""

    @property
    def every_s(self) -> float:
        """Seconds between repetitions."""


Event = typing.TypeVar('Event', bound=Timed)


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """A stated outcome: a measure and what it must be.

    Args:
        measure: Name of the measure.
        equals: The value, or None if only bounds are stated.
        least: Lower bound.
        most: Upper bound.
    """

    measure: str
    equals: Measure | None = None
    least: float | None = None
    most: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Trace:
    """A trace as it stands in its file.

    Args:
        purpose: One sentence.
        subject: Name of the replayer that drives the policy.
        events: What happens; the replayer knows their form.
        outcomes: What must come of it.
        seed: Seed of the random numbers that are passed in.
    """

    purpose: str
    subject: str
    events: tuple[dict[str, typing.Any], ...]
    outcomes: tuple[Outcome, ...]
    seed: int = 1


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """A stated outcome that did not come.

    Args:
        trace: Name of the trace.
        outcome: What was stated.
        found: What was measured, or None for an unknown measure.
    """

    trace: str
    outcome: Outcome
    found: Measure | None


def _keep_scalar(value: typing.Any, _: typing.Any) -> typing.Any:
    return value


def make_converter() -> cattrs.Converter:
    """Return a converter that rejects unknown fields."""
    converter = cattrs.Converter(forbid_extra_keys=True)
    converter.register_structure_hook(Measure, _keep_scalar)
    converter.register_structure_hook(Measure | None, _keep_scalar)
    return converter


CONVERTER = make_converter()


def load_trace(path: pathlib.Path) -> Trace:
    """Load a trace from its file.

    Args:
        path: The file.

    Returns:
        The trace.

    Raises:
        cattrs.BaseValidationError: The file has another form.
    """
    return CONVERTER.structure(yaml.safe_load(path.read_text()), Trace)


def load_events(trace: Trace, kind: type[Event]) -> list[Event]:
    """Return a trace's events as typed messages."""
    return [CONVERTER.structure(event, kind) for event in trace.events]


def expand(
    events: collections.abc.Iterable[Event],
) -> list[tuple[float, int, Event]]:
    """Return each repetition as time, its number and event, in order."""
    expanded = [
        (event.at + number * event.every_s, number, event)
        for event in events
        for number in range(event.repeat)
    ]
    return sorted(expanded, key=lambda item: item[0])


def check_outcomes(
    name: str, trace: Trace, measures: Measures
) -> list[Failure]:
    """Return the stated outcomes that did not come."""
    return [
        Failure(name, outcome, measures.get(outcome.measure))
        for outcome in trace.outcomes
        if not _holds(outcome, measures.get(outcome.measure))
    ]


def _holds(outcome: Outcome, found: Measure | None) -> bool:
    if found is None:
        return False
    if outcome.equals is not None:
        return found == outcome.equals
    if isinstance(found, str):
        return False
    if outcome.least is not None and found < outcome.least:
        return False
    return outcome.most is None or found <= outcome.most

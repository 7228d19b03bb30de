"""Which faults come when, drawn from a seed."""

import dataclasses
import enum
import random
import typing

PAIR_RATIO = 0.4
SHORTEST_UNITS = 0.5
LONGEST_UNITS = 1.5


class Kind(enum.Enum):
    """A kind of fault. The value appears in the result."""

    KILL = 'kill'
    PAUSE = 'pause'
    CUT = 'cut'
    SILENCE = 'silence'
    PLATFORM_CUT = 'platform-cut'
    PLATFORM_SILENCE = 'platform-silence'
    PLATFORM_DOWN = 'platform-down'
    PLATFORM_SLOW = 'platform-slow'
    LOST_ANSWERS = 'lost-answers'
    WITHDRAWAL = 'withdrawal'
    RACE = 'race'
    PLANNED_STOP = 'planned-stop'


WITH_NODE = frozenset(
    {Kind.KILL, Kind.PAUSE, Kind.CUT, Kind.SILENCE, Kind.PLANNED_STOP}
)


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """One fault.

    Args:
        kind: Its kind.
        node: Index of the node that it strikes; None for no single node.
        units: How long it lasts, in units of the run's pace.
    """

    kind: Kind
    node: int | None = None
    units: float = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """Faults that come at once.

    Args:
        faults: One fault or two of different kinds, on different nodes.
    """

    faults: tuple[Fault, ...]


def draw_steps(*, seed: int, steps: int, nodes: int) -> typing.Iterator[Step]:
    """Return the steps of a run; every kind comes before any comes again.

    Args:
        seed: Seed of the random numbers.
        steps: How many steps.
        nodes: Nodes in the mesh, at least two.
    """
    source = random.Random(seed)
    kinds = _draw_kinds(source)
    for _ in range(steps):
        chosen = [next(kinds)]
        if source.random() < PAIR_RATIO:
            chosen.append(next(kind for kind in kinds if kind != chosen[0]))
        places = source.sample(range(nodes), len(chosen))
        yield Step(
            tuple(
                Fault(
                    kind,
                    place if kind in WITH_NODE else None,
                    source.uniform(SHORTEST_UNITS, LONGEST_UNITS),
                )
                for kind, place in zip(chosen, places, strict=True)
            )
        )


def _draw_kinds(source: random.Random) -> typing.Iterator[Kind]:
    while True:
        deck = list(Kind)
        source.shuffle(deck)
        yield from deck

"""The faults of a soak, drawn from a seed; they overlap and come in series."""

import dataclasses
import random

# Limits last for long and need calls that no other fault excuses.
KINDS = (
    'stop',
    'kill',
    'freeze',
    'reload',
    'store-down',
    'store-silent',
    'store-restored',
    'limit',
    'limit',
    'leaving',
    'shed',
    'route',
)
# Part of the time in which faults begin; the rest lets the nodes recover.
ACTIVE_SHARE = 0.8
SERIES_PROBABILITY = 0.3
SERIES_PAUSE_S = 0.4


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """One fault.

    Args:
        at: When it begins, in seconds.
        kind: One of KINDS.
        node: Number of the node or of its target.
        duration_s: How long it lasts.
        figure: Its strength, 0 to 1.
    """

    at: float
    kind: str
    node: int
    duration_s: float
    figure: float


# Most faults of kinds that are drawn apart, and the bounds of their durations.
_APART = (('deadly', 2, (5.0, 10.0)), ('departure', 2, (2.0, 6.0)))
# What else happens beside a departure depends on its figure: beside most of
# them the store fails and the node is killed.
STORE_FAILS_BELOW = 0.8
NODE_ENDS_BELOW = 0.9


def draw_apart(seed: int, *, nodes: int, seconds: float) -> list[Fault]:
    """Return requests that crash targets, and targets that deregister.

    Each kind has a draw of its own, so that a seed keeps the faults that it
    had before the kind was added.

    Args:
        seed: Seed of the draw.
        nodes: Number of nodes.
        seconds: Length of the soak.
    """
    found = []
    for kind, most, duration_s in _APART:
        source = random.Random(f'{kind} {seed}')
        found += [
            Fault(
                at=source.uniform(0.5, ACTIVE_SHARE * seconds),
                kind=kind,
                node=source.randrange(nodes),
                duration_s=source.uniform(*duration_s),
                figure=source.random(),
            )
            for _ in range(source.randint(1, most))
        ]
    return found


def draw_faults(
    seed: int, *, nodes: int, seconds: float, per_s: float
) -> list[Fault]:
    """Return the faults of a soak in order of time.

    Args:
        seed: Seed of the draw.
        nodes: Number of nodes.
        seconds: Length of the soak.
        per_s: Mean number of faults per second.
    """
    source = random.Random(seed)
    found = []
    for _ in range(int(seconds * per_s)):
        at = source.uniform(0.5, ACTIVE_SHARE * seconds)
        kind = source.choice(KINDS)
        length = 3 if source.random() < SERIES_PROBABILITY else 1
        for step in range(length):
            found.append(
                Fault(
                    at=at + step * SERIES_PAUSE_S,
                    kind=kind,
                    node=source.randrange(nodes),
                    duration_s=source.uniform(0.3, 6.0),
                    figure=source.random(),
                )
            )
    return sorted(found, key=lambda fault: fault.at)

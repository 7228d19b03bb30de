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
# Kinds that need what docs/design/target-signals.md adds: targets that turn
# cold, evacuated data centres, answers without a valid status, requests that
# are sent ahead, and reports of load.
SIGNALS = ('cold', 'evacuation', 'invalid-status', 'ahead', 'load')
# The kinds that a soak draws unless it is told otherwise. Each is added once
# the nodes keep its promise.
SIGNALS_IN_FORCE: tuple[str, ...] = SIGNALS
# Part of the time in which faults begin; the rest lets the nodes recover.
ACTIVE_SHARE = 0.8
SERIES_PROBABILITY = 0.3
SERIES_PAUSE_S = 0.4


@dataclasses.dataclass(frozen=True, slots=True)
class Fault:
    """One fault.

    Args:
        at: When it begins, in seconds.
        kind: One of KINDS or SIGNALS, or one that is drawn apart.
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


# Bounds of the number of faults of each kind in a soak, of the share of the
# time in which they begin, and of their durations.
_SIGNAL_BOUNDS = {
    'cold': ((4, 7), (0.0, ACTIVE_SHARE), (2.0, 4.0)),
    # An evacuation has to last beyond its bound, and comes twice.
    'evacuation': ((1, 1), (0.0, 0.15), (2.0, 3.0)),
    'invalid-status': ((2, 3), (0.0, ACTIVE_SHARE), (2.0, 4.0)),
    'ahead': ((2, 3), (0.0, ACTIVE_SHARE), (2.0, 4.0)),
    'load': ((2, 3), (0.0, ACTIVE_SHARE), (2.0, 4.0)),
}


def draw_signals(
    seed: int, *, nodes: int, seconds: float, kinds: tuple[str, ...]
) -> list[Fault]:
    """Return the faults of some kinds of SIGNALS, each from its own draw.

    Args:
        seed: Seed of the draw.
        nodes: Number of nodes.
        seconds: Length of the soak.
        kinds: The kinds.
    """
    found = []
    for kind in kinds:
        source = random.Random(f'{kind} {seed}')
        counts, (first, last), duration_s = _SIGNAL_BOUNDS[kind]
        found += [
            Fault(
                at=0.5 + source.uniform(first, last) * seconds,
                kind=kind,
                node=source.randrange(nodes),
                duration_s=source.uniform(*duration_s),
                figure=source.random(),
            )
            for _ in range(source.randint(*counts))
        ]
    return found


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

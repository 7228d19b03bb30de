"""Decides which connections of clients are closed when they hold too much.

The load that it addresses: crowds of clients that send requests of very many
header lines, leave heads and bodies unfinished, or read their answers slowly
or not at all. Each keeps within the limits of a single request, but together
they fill the memory and the descriptors of a process. A time limit alone does
not help: the crowd is there before it passes, and a client that sends a byte
now and then keeps its connection.

What a connection costs is what it holds, for as long as its present message
has been under way: bytes times seconds. A client that sends whole requests
and reads its answers holds little for a short time, whatever others do.
Connections that hold much are closed first. Otherwise many that have been idle
for long would be closed, to little effect, before a crowd that has just come.
"""

import collections.abc
import dataclasses
import itertools
import typing

from .. import verdict

Key = typing.TypeVar('Key')

# Approximate resident size of a connection without a request; 1,500 idle ones
# took 8 MB.
CONNECTION_BYTES = 6_000
# Objects of a header line beside its text.
HEADER_LINE_BYTES = 200
# Objects of a request that runs or waits, beside its headers and body.
REQUEST_BYTES = 4_000
# Ordinary requests take less than this in headers. Larger ones are refused
# from LARGE_SHARE of the limit on, so that the rest is left to ordinary ones,
# and connections that hold more are the first to be closed.
LARGE_REQUEST_BYTES = 16_000
LARGE_SHARE = 0.75
# Closing goes on until this share of a limit is in use, so that the
# connections are compared once for many that are closed.
TARGET_SHARE = 0.9
# Fewer connections than this are no crowd. The budget of bodies bounds them,
# and a single request within the limits may take a large part of the memory.
MIN_CROWD = 8
# Added to the age, so that the size decides among those that have just begun.
MIN_AGE_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Most that clients may make a process hold.

    Args:
        held_bytes: Bytes of connections, heads, requests and unread answers,
            with the objects that they take; without the bodies that the
            budget of bodies counts.
        connections: Number of open connections.
    """

    held_bytes: int
    connections: int


@dataclasses.dataclass(frozen=True, slots=True)
class Holding(typing.Generic[Key]):
    """What a connection holds that may be closed.

    Args:
        key: Identifies the connection.
        held_bytes: Bytes that closing it sets free.
        age_s: Seconds for which its present message has been under way, or
            for which it has been idle.
    """

    key: Key
    held_bytes: int
    age_s: float


def compute_head_cost(length: int, lines: int) -> int:
    """Return the bytes that a head takes.

    Args:
        length: Length of its text.
        lines: Number of its header lines.
    """
    return length + lines * HEADER_LINE_BYTES


def compute_headers_cost(headers: tuple[tuple[bytes, bytes], ...]) -> int:
    """Return the bytes that header lines take."""
    # No step in Python for a header; this is done for every call and answer.
    length = sum(map(len, itertools.chain.from_iterable(headers)))
    return compute_head_cost(length, len(headers))


def compute_answer_cost(answer: verdict.Response) -> int:
    """Return the bytes that an answer takes."""
    return len(answer.body) + compute_headers_cost(answer.headers)


def compute_excess(used: int, limit: int) -> int:
    """Return how much has to be freed; 0 while the limit is kept."""
    return used - int(limit * TARGET_SHARE) if used > limit else 0


def admits_request(
    cost: int, *, used: int, connections: int, bounds: Bounds
) -> bool:
    """Tell whether a whole request may be held.

    Args:
        cost: Bytes that its head takes.
        used: Bytes that are held already.
        connections: Number of open connections.
        bounds: What is allowed.
    """
    if connections < MIN_CROWD:
        return True
    share = LARGE_SHARE if cost > LARGE_REQUEST_BYTES else 1.0
    return used + cost <= bounds.held_bytes * share


def admits_peer_call(cost: int, *, used: int, limit: int) -> bool:
    """Tell whether a call of another node may be held.

    Many nodes may each hold what their own clients are allowed, and all of it
    for one target.

    Args:
        cost: Bytes that the call takes.
        used: Bytes that calls of other nodes and their answers take already.
        limit: Most bytes that they may take.
    """
    if not used:
        return True
    share = LARGE_SHARE if cost > LARGE_REQUEST_BYTES else 1.0
    return used + cost <= limit * share


def choose_closed(
    holdings: collections.abc.Sequence[Holding[Key]],
    *,
    excess_bytes: int = 0,
    excess_connections: int = 0,
) -> list[Key]:
    """Return the keys of the connections to close, the costliest first.

    Args:
        holdings: Connections that may be closed.
        excess_bytes: Bytes to free.
        excess_connections: Connections to close.
    """
    ranked = sorted(
        holdings,
        key=lambda each: (
            each.held_bytes > LARGE_REQUEST_BYTES,
            each.held_bytes * (each.age_s + MIN_AGE_S),
        ),
        reverse=True,
    )
    chosen: list[Key] = []
    freed = 0
    for each in ranked:
        if freed >= excess_bytes and len(chosen) >= excess_connections:
            break
        chosen.append(each.key)
        freed += each.held_bytes
    return chosen

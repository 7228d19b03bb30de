"""Puts evacuations of data centres in force at this node."""

import typing

from ..policy.placement import evacuation


class Gate(typing.Protocol):
    """The gate of this node's target."""

    def set_evacuated(self, evacuated: bool) -> None:
        """Choose whether calls are refused because of an evacuation."""


class Upstreams(typing.Protocol):
    """The upstreams that calls of this node may go to."""

    def set_evacuated(self, data_centres: frozenset[str]) -> None:
        """Set the data centres whose upstreams are not chosen."""


def _ignore(data_centres: frozenset[str]) -> None:
    """Ignore lifted evacuations."""


def _do_nothing() -> None:
    """Ignore that the evacuation of this node's data centre is lifted."""


class Evacuations:
    """Applies changes of the evacuated data centres in a safe order.

    Args:
        data_centre: Data centre of this node.
        upstreams: The upstreams that calls of this node may go to.

    Attributes:
        on_lifted: Called with the data centres whose evacuation is lifted,
            once their upstreams can be chosen again and before any call is.
        on_own_lifted: Called when that of this node's data centre is lifted,
            before the gate accepts calls.
    """

    def __init__(self, data_centre: str, upstreams: Upstreams) -> None:
        self._data_centre = data_centre
        self._upstreams = upstreams
        self._gate: Gate | None = None
        self._evacuated: frozenset[str] = frozenset()
        self.on_lifted: typing.Callable[[frozenset[str]], None] = _ignore
        self.on_own_lifted: typing.Callable[[], None] = _do_nothing

    @property
    def evacuated(self) -> frozenset[str]:
        """The evacuated data centres."""
        return self._evacuated

    def set_gate(self, gate: Gate) -> None:
        """Set the gate, which may be built after the first changes."""
        self._gate = gate
        gate.set_evacuated(self._data_centre in self._evacuated)

    def apply(self, change: evacuation.Change) -> None:
        """Put a change in force."""
        self._evacuated = change.evacuated
        # Targets may have become cold; this has to be known before the first
        # call.
        if self._data_centre in change.lifted:
            self.on_own_lifted()
        if self._gate is not None:
            self._gate.set_evacuated(self._data_centre in change.evacuated)
        self._upstreams.set_evacuated(change.evacuated)
        if change.lifted:
            self.on_lifted(change.lifted)

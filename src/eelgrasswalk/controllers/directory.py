"""The nodes that this node knows, as its dispatcher needs them."""

import collections.abc
import dataclasses
import math
import time
import typing

from ..policy.placement import balance
from ..policy.placement import evacuation
from ..transport import dialler

STATE_READY = 'ready'
STATE_SUSPECT = 'suspect'


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """A node of the mesh.

    Args:
        node_id: Its id.
        host: Name of its host for operators.
        service: Service of its target.
        data_centre: Its data centre.
        state: starting, ready, draining, suspect or dead.
        links: Where it accepts links.
        admin: Where operators reach it, `IP:port`; empty when unknown.
        config_version: Version in force there, as far as known.
        slots: Calls that its target runs at a time; 0 when not known.
        run_id: Id of the current run of its target; empty when not known.
        cold_until: Monotonic time until which its target is cold, in seconds.
    """

    node_id: str
    host: str
    service: str
    data_centre: str
    state: str
    links: dialler.Address
    admin: str = ''
    config_version: int | None = None
    slots: int = 0
    run_id: str = ''
    cold_until: float = -math.inf


class Balancer(typing.Protocol):
    """Chooses among the upstreams of a service."""

    def replace(
        self,
        service: str,
        upstreams: collections.abc.Sequence[balance.Upstream],
        now: float,
    ) -> None:
        """Set the upstreams of a service."""


BalancerT = typing.TypeVar('BalancerT', bound=Balancer)


class Directory(typing.Generic[BalancerT]):
    """Keeps the balancer's upstreams and the addresses of their nodes.

    Args:
        balancer: Chooses among the ready upstreams.
    """

    def __init__(self, balancer: BalancerT) -> None:
        self.balancer = balancer
        self._peers: dict[str, Peer] = {}
        self._services: set[str] = set()
        self._evacuated: frozenset[str] = frozenset()

    def replace(self, peers: collections.abc.Iterable[Peer]) -> None:
        """Set all known nodes."""
        self._peers = {peer.node_id: peer for peer in peers}
        self._set_upstreams()

    def set_evacuated(self, data_centres: frozenset[str]) -> None:
        """Set the data centres whose upstreams are not chosen."""
        self._evacuated = data_centres
        self._set_upstreams()

    def _set_upstreams(self) -> None:
        ready = self._group(STATE_READY)
        # A suspicion may be false; a suspect is better than nobody.
        suspect = self._group(STATE_SUSPECT)
        self._services |= ready.keys() | suspect.keys()
        now = time.monotonic()
        for service in self._services:
            found = ready.get(service) or suspect.get(service) or []
            self.balancer.replace(service, found, now)

    def find_address(self, node_id: str) -> dialler.Address | None:
        """Return where a node accepts links, or None when it is unknown."""
        peer = self._peers.get(node_id)
        return None if peer is None else peer.links

    def _group(
        self, state: str
    ) -> dict[str, collections.abc.Sequence[balance.Upstream]]:
        groups: dict[str, list[balance.Upstream]] = {}
        for peer in self._peers.values():
            if peer.state == state:
                group = groups.setdefault(peer.service, [])
                group.append(_build_upstream(peer))
        return {
            service: evacuation.keep_remaining(group, self._evacuated)
            for service, group in groups.items()
        }

    def list_peers(self) -> list[Peer]:
        """Return all known nodes."""
        return list(self._peers.values())


def _build_upstream(peer: Peer) -> balance.Upstream:
    return balance.Upstream(
        node_id=peer.node_id,
        data_centre=peer.data_centre,
        service=peer.service,
        slots=peer.slots,
        run_id=peer.run_id,
        cold_until=peer.cold_until,
    )

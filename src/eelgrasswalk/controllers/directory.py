"""The nodes that this node knows, as its dispatcher needs them."""

import asyncio
import collections.abc
import dataclasses

from ..policy import balance
from ..transport import dialler

STATE_READY = 'ready'


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
    """

    node_id: str
    host: str
    service: str
    data_centre: str
    state: str
    links: dialler.Address
    admin: str = ''
    config_version: int = 0


class Directory:
    """Keeps the balancer's upstreams and the addresses of their nodes.

    Args:
        balancer: Chooses among the ready upstreams.
    """

    def __init__(self, balancer: balance.Balancer) -> None:
        self._balancer = balancer
        self._peers: dict[str, Peer] = {}
        self._services: set[str] = set()

    def replace(self, peers: collections.abc.Iterable[Peer]) -> None:
        """Set all known nodes."""
        self._peers = {peer.node_id: peer for peer in peers}
        upstreams: dict[str, list[balance.Upstream]] = {
            service: [] for service in self._services
        }
        for peer in self._peers.values():
            found = upstreams.setdefault(peer.service, [])
            if peer.state == STATE_READY:
                found.append(_build_upstream(peer))
        self._services = set(upstreams)
        now = asyncio.get_running_loop().time()
        for service, found in upstreams.items():
            self._balancer.replace(service, found, now)

    def find_address(self, node_id: str) -> dialler.Address | None:
        """Return where a node accepts links, or None when it is unknown."""
        peer = self._peers.get(node_id)
        return None if peer is None else peer.links

    def list_peers(self) -> list[Peer]:
        """Return all known nodes."""
        return list(self._peers.values())


def _build_upstream(peer: Peer) -> balance.Upstream:
    return balance.Upstream(
        node_id=peer.node_id,
        data_centre=peer.data_centre,
        service=peer.service,
    )

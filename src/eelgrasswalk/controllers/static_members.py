"""Members of a fixed set-up, known from settings alone."""

import typing

from .. import settings
from ..policy import balance
from ..transport import dialler


class StaticMembers:
    """Upstreams and addresses that never change.

    Args:
        members: The nodes.
    """

    def __init__(
        self, members: typing.Sequence[settings.StaticMember]
    ) -> None:
        self._members = {item.node_id: item for item in members}

    def list_upstreams(self) -> dict[str, list[balance.Upstream]]:
        """Return the upstreams of each service."""
        found: dict[str, list[balance.Upstream]] = {}
        for item in self._members.values():
            upstream = balance.Upstream(
                node_id=item.node_id,
                data_centre=item.data_centre,
                service=item.service,
            )
            found.setdefault(item.service, []).append(upstream)
        return found

    def find_address(self, node_id: str) -> dialler.Address | None:
        """Return where a node accepts links."""
        item = self._members.get(node_id)
        if item is None:
            return None
        return dialler.Address(node_id, item.links.host, item.links.port)

"""Carries controllers' messages over the links between nodes."""

import typing

from ..transport import acceptor
from ..transport import dialler

Address: typing.TypeAlias = dialler.Address


class Links(typing.Protocol):
    """The links of a node, and where it finds others."""

    @property
    def acceptor(self) -> acceptor.Acceptor:
        """Links that others have opened."""

    @property
    def dialler(self) -> dialler.Dialler:
        """Links that this node opens."""

    def find_address(self, node_id: str) -> Address | None:
        """Return where a node accepts links, or None."""


class ControlRouter:
    """Hands messages to controllers by topic.

    Attributes:
        links: The links; set once they are built.
    """

    def __init__(self) -> None:
        self.links: Links | None = None
        self._handlers: dict[str, typing.Callable[[str, bytes], None]] = {}

    def send(self, node_id: str, topic: str, payload: bytes) -> None:
        """Send a message on an open link, or on a new one."""
        if self.links is None:
            return
        if self.links.acceptor.send_control(node_id, topic, payload):
            return
        address = self.links.find_address(node_id)
        if address is not None:
            self.links.dialler.send_control(address, topic, payload)

    def announce(self, topic: str, payload: bytes) -> None:
        """Send a message on each link that another node has opened."""
        if self.links is not None:
            self.links.acceptor.announce(topic, payload)

    def register(
        self, topic: str, handler: typing.Callable[[str, bytes], None]
    ) -> None:
        """Hand a topic's messages to a controller."""
        self._handlers[topic] = handler

    def receive(self, node_id: str, topic: str, payload: bytes) -> None:
        """Take one message; an unknown topic is of another release."""
        handler = self._handlers.get(topic)
        if handler is not None:
            handler(node_id, payload)

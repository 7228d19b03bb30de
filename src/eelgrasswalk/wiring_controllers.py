"""Builds the controllers that need the platform or other nodes."""

import collections.abc
import contextlib
import dataclasses
import random
import time
import typing

import httpx

from . import node
from . import settings
from .controllers import claim_store
from .controllers import claim_writer
from .controllers import configuration
from .controllers import configuration_messages
from .controllers import directory
from .controllers import idempotency
from .controllers import membership
from .controllers import quota
from .controllers import quota_entry
from .document import model
from .platform import http
from .policy import member
from .policy import quota_messages
from .policy.placement import balance
from .transport import dialler
from .transport import link

QUOTA_TOPIC = 'quota'

SendControl: typing.TypeAlias = collections.abc.Callable[
    [str, str, bytes], None
]
Register: typing.TypeAlias = collections.abc.Callable[
    [str, collections.abc.Callable[[str, bytes], None]], None
]


@dataclasses.dataclass(frozen=True, slots=True)
class Needs:
    """What the controllers need of the rest of the node.

    Args:
        config: The node's settings.
        identity: The node.
        book: Takes the members.
        send: Sends a message on a topic to a node.
        register: Names who takes a topic's messages.
        source: Random numbers.
    """

    config: settings.Settings
    identity: link.Identity
    book: directory.Directory[balance.Balancer]
    send: SendControl
    register: Register
    source: random.Random


class Controllers:
    """The controllers of one node, in the order of their start.

    Args:
        needs: What they need of the rest of the node.
        platform: The platform's service.
    """

    def __init__(self, needs: Needs, platform: settings.Platform) -> None:
        self._needs = needs
        self._client = httpx.AsyncClient(
            base_url=platform.url, trust_env=False
        )
        self._services = self._build_services(
            platform, writes_per_s=platform.writes_per_s
        )
        self._claim_services = self._build_services(
            platform, writes_per_s=platform.claim_writes_per_s
        )
        self._node: node.Node | None = None
        self._membership = self._build_membership()
        self._configuration = configuration.ConfigurationController(
            self._services,
            self._services,
            apply=self._apply,
            send=needs.send,
            list_peers=self._list_peers,
            source=needs.source,
        )
        self.quota = self._build_quota()
        self.claims = self._build_claims()
        needs.register(
            configuration_messages.TOPIC, self._configuration.receive
        )
        needs.register(QUOTA_TOPIC, self._receive_quota)

    def attach(self, built: node.Node) -> None:
        """Let the node own the controllers."""
        self._node = built
        built.controllers.append(self)

    # node.Controller

    async def start(self) -> None:
        """Join the mesh, then take the configuration, then own quotas."""
        assert self._node is not None
        advertised = self._needs.config.advertised_links
        self._membership.set_ports(
            link_port=(
                advertised.port if advertised else self._node.link_port
            ),
            admin_port=self._node.admin_port,
        )
        self._membership.subscribe_changes(self._publish_members)
        self._membership.subscribe_versions(
            self._configuration.observe_peer_version
        )
        self._membership.subscribe_heard(
            self._configuration.observe_peer_version
        )
        await self._membership.start()
        await self._configuration.start()
        await self.quota.start()

    def announce_ready(self) -> None:
        """Tell others that the node takes calls."""
        self._membership.set_state(member.MemberState.READY)
        self._publish_members()

    def announce_unready(self) -> None:
        """Tell others that the node takes no calls for now."""
        self._membership.set_state(member.MemberState.STARTING)
        self._publish_members()

    async def announce_stop(self) -> None:
        """Tell others that the node takes no new work."""
        await self._membership.announce_stop()
        self._publish_members()

    async def stop(self) -> None:
        """Settle claims, release quotas and leave the mesh."""
        await self.claims.stop()
        await self.quota.stop()
        await self._configuration.stop()
        await self._membership.stop()
        with contextlib.suppress(httpx.HTTPError):
            await self._client.aclose()

    def describe(self) -> dict[str, typing.Any]:
        """Return what the status page shows of the controllers."""
        return {
            **self._membership.describe(),
            'configuration': dataclasses.asdict(
                self._configuration.get_state()
            ),
            'platform': dataclasses.asdict(self._services.counters),
            'claims': dataclasses.asdict(self._claim_services.counters),
            'quotas': {'slots_owned': self.quota.slots.count_owned()},
        }

    def allows_keys(self) -> bool:
        """Tell whether requests with keys may run."""
        return self._configuration.allows_keys()

    # Parts

    def _build_services(
        self, platform: settings.Platform, *, writes_per_s: float
    ) -> http.HttpPlatform:
        return http.HttpPlatform(
            self._client,
            options=http.Options(
                reads_per_s=platform.reads_per_s, writes_per_s=writes_per_s
            ),
            source=self._needs.source,
        )

    def _build_membership(self) -> membership.Membership:
        config = self._needs.config
        local_member = member.Member(
            node_id=config.node_id,
            ip=config.listen.gossip.host,
            udp_port=config.listen.gossip.port,
            link_port=0,
            service=config.service,
            slots=0,
            data_centre=config.data_centre,
            state=member.MemberState.STARTING,
            incarnation=member.Incarnation(
                self._needs.identity.incarnation // 1_000_000
            ),
            host=config.host,
        )
        return membership.Membership(
            local_member,
            secret=config.mesh_secret.encode(),
            seeds=[
                member.Address(seed.host, seed.port) for seed in config.seeds
            ],
            table=self._services,
            rng=self._needs.source,
        )

    def _build_quota(self) -> quota.QuotaController:
        return quota.QuotaController(
            node_id=self._needs.identity.node_id,
            incarnation=self._needs.identity.incarnation,
            data_centre=self._needs.config.data_centre,
            send=self._send_quota,
            table=self._services,
            members=self._list_live,
            source=self._needs.source,
        )

    def _build_claims(self) -> idempotency.Claims:
        store = claim_store.ClaimStore(
            self._claim_services, self._claim_services, now=time.time
        )
        return idempotency.Claims(store, claim_writer.ClaimWriter(store))

    # Configuration

    def _apply(self, document: model.Document, version: int) -> None:
        assert self._node is not None
        self._node.apply_document(document, version)
        self.quota.replace_accounts(document.accounts)
        self._membership.advertise_config_version(version)
        for service in document.services:
            if service.name == self._needs.config.service:
                self._membership.set_slots(service.slots)

    def _list_peers(self) -> list[str]:
        own = self._needs.identity.node_id
        return [
            item.node_id
            for item in self._membership.list_members()
            if item.node_id != own
        ]

    # Quotas

    def _list_live(self) -> list[quota_entry.Member]:
        return [
            quota_entry.Member(item.node_id, item.data_centre)
            for item in self._membership.list_members()
            if item.state is member.MemberState.READY
        ]

    def _send_quota(
        self, node_id: str, message: quota_messages.Message
    ) -> None:
        self._needs.send(node_id, QUOTA_TOPIC, quota_messages.encode(message))

    def _receive_quota(self, node_id: str, payload: bytes) -> None:
        try:
            message = quota_messages.decode(payload)
        except quota_messages.MessageError:
            return
        self.quota.on_message(node_id, message)

    # Members

    def _publish_members(self) -> None:
        self._needs.book.replace(
            map(_build_peer, self._membership.list_members())
        )


def _build_peer(item: member.Member) -> directory.Peer:
    state = item.state.name.lower()
    if item.health is not member.Health.ALIVE:
        state = item.health.name.lower()
    return directory.Peer(
        node_id=item.node_id,
        host=item.host or item.node_id,
        service=item.service,
        data_centre=item.data_centre,
        state=state,
        links=dialler.Address(item.node_id, item.ip, item.link_port),
        admin=f'{item.ip}:{item.admin_port}',
    )

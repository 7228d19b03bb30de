"""One quota slot as a node sees it, and what the parts of a node share."""

import dataclasses
import math
import typing

from ..policy import lease
from ..policy import lease_participant
from ..policy import quota
from ..policy import quota_messages
from ..policy import quota_owner

KEY_PREFIX = 'quota/'


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """A live node.

    Args:
        node_id: Its name.
        data_centre: Its data centre.
    """

    node_id: str
    data_centre: str


Send: typing.TypeAlias = typing.Callable[[str, quota_messages.Message], None]
Members: typing.TypeAlias = typing.Callable[[], typing.Sequence[Member]]


class Entry:
    """One slot as this node sees it.

    Args:
        slot: The slot.
        process: This process.
        timing: How long leases last.
    """

    def __init__(
        self, slot: quota.Slot, process: lease.Process, timing: lease.Timing
    ) -> None:
        self.slot = slot
        self.participant: lease_participant.Participant[quota.Handover] = (
            lease_participant.Participant(process, timing)
        )
        self.owner: quota_owner.Owner | None = None
        self.version: str | None = None
        self.read_at = math.inf
        self.write_at = -math.inf
        self.is_doubtful = False
        self.claimed_at = -math.inf
        self.promised_at = -math.inf
        self.promised_by: lease.Process | None = None
        self.ranks: list[str] = []
        self.probed_at = math.inf

    @property
    def key(self) -> str:
        """Key of the slot's row."""
        return f'{KEY_PREFIX}{self.slot.account}/{self.slot.index}'

    def note_promise(self, standby: lease.Process, asked_at: float) -> None:
        """Note a standby's promise.

        Args:
            standby: The standby.
            asked_at: When the promise was asked for, in seconds.
        """
        if self.promised_by != standby:
            self.promised_by = standby
            self.promised_at = -math.inf
        self.promised_at = max(self.promised_at, asked_at)

    def compute_expiry(self) -> float:
        """Return until when this node may grant tokens, in seconds."""
        record = self.participant.record
        asked_at = -math.inf
        if record is not None and record.standby == self.promised_by:
            asked_at = self.promised_at
        return self.participant.compute_expiry(asked_at)

    def locate(self) -> quota_messages.Location:
        """Return where the slot is, as far as this node knows."""
        record = self.participant.record
        if record is None:
            return quota_messages.Location(self.slot, 0, '', '')
        owner, standby = record.owner, record.standby
        return quota_messages.Location(
            self.slot,
            record.epoch,
            owner.node_id if owner else '',
            standby.node_id if standby else '',
        )


Find: typing.TypeAlias = typing.Callable[[quota.Slot], Entry | None]

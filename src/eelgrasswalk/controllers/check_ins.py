"""Hears the target beside the node and tells the others of it."""

import enum
import typing

from .. import events
from .. import ports
from .. import verdict
from ..policy import roster
from ..policy import target_lifecycle
from ..transport import message
from . import roster as roster_keeper

# An acknowledged drain must outlast this process, so the store is given
# this long to take it; check-ins have to be acknowledged within a second.
ACK_WAIT_S = 0.6


class Source(enum.Enum):
    """What a state of the target was learned from, for the log."""

    CHECK_IN = 'check-in'
    DEPARTURE = 'departure'
    ANSWER = 'answer'
    STORE = 'store'


class Gate(typing.Protocol):
    """What admits calls to the target."""

    def set_target(self, target_id: str, slots: int, *, run_id: str) -> None:
        """Deliver calls to this target from now on."""

    def start_draining(self) -> None:
        """Start to drain the target."""


class CheckInKeeper:
    """Answers check-ins.

    Args:
        form: Reads check-ins.
        life: The lifetime that this node serves.
        keeper: Tells the others.
        gate: Admits calls to the target.
        clock: Monotonic seconds.
    """

    def __init__(
        self,
        form: ports.CheckInFormat,
        life: target_lifecycle.TargetLifecycle,
        keeper: roster_keeper.RosterKeeper,
        gate: Gate,
        *,
        clock: typing.Callable[[], float],
    ) -> None:
        self._form = form
        self._life = life
        self._keeper = keeper
        self._gate = gate
        self._clock = clock

    async def handle(self, request: message.Request) -> verdict.Response:
        """Answer one check-in."""
        item = self._form.decode(request)
        if isinstance(item, ports.Unreadable):
            events.log(events.CHECK_IN_REJECTED, detail=item.detail)
            return verdict.Response(400, (), b'')
        if isinstance(item, ports.Departure):
            source = Source.DEPARTURE
            change = self._life.deregister(item.target_id, self._clock())
        else:
            source = Source.CHECK_IN
            change = self._life.observe(_build_report(item), self._clock())
        if change in (
            target_lifecycle.Change.ARRIVED,
            target_lifecycle.Change.LEAVING,
        ):
            self._apply(source)
        if self._life.leaving_since is not None:
            # An answer of the target may have begun the drain before.
            is_written = await self._keeper.wait_written(ACK_WAIT_S)
            if change is target_lifecycle.Change.LEAVING:
                events.log(
                    events.LEAVING_ACKNOWLEDGED,
                    target=item.target_id,
                    is_written=is_written,
                )
        return self._form.acknowledge()

    def restore(self, entry: roster.Entry) -> None:
        """Go by what an earlier process of this node has said."""
        if self._life.report is not None or not entry.target_id:
            return
        report = target_lifecycle.InstanceReport(
            target_id=entry.target_id,
            born_ms=entry.born_ms,
            sequence=-1,
            slots=entry.slots,
            draining=entry.state is not roster.TargetState.READY,
        )
        if report.draining:
            self._life.observe(report, self._clock())
        else:
            self._life.restore(report)
        self._apply(Source.STORE)

    def note_leaving(self, target_id: str) -> None:
        """Begin the drain of a target that said in an answer that it leaves.

        Args:
            target_id: Id of the target.
        """
        change = self._life.deregister(target_id, self._clock())
        if change is target_lifecycle.Change.LEAVING:
            self._apply(Source.ANSWER)

    def _apply(self, source: Source) -> None:
        report = self._life.report
        assert report is not None
        if self._life.is_ready:
            self._gate.set_target(
                report.target_id, report.slots, run_id=report.run_id
            )
            state = roster.TargetState.READY
        else:
            self._gate.start_draining()
            state = roster.TargetState.DRAINING
        events.log(
            events.TARGET_CHANGED,
            target=report.target_id,
            state=state.value,
            source=source.value,
            sequence=report.sequence,
            born_ms=report.born_ms,
        )
        self._keeper.change(
            state=state,
            target_id=report.target_id,
            slots=report.slots,
            born_ms=report.born_ms,
        )


def _build_report(item: ports.CheckIn) -> target_lifecycle.InstanceReport:
    return target_lifecycle.InstanceReport(
        target_id=item.target_id,
        born_ms=item.born_ms,
        sequence=item.sequence,
        slots=item.slots,
        draining=item.draining,
    )

"""Hears the target beside the node and tells the others of it."""

import asyncio
import contextlib
import enum
import typing

from .. import events
from .. import ports
from .. import verdict
from ..policy import roster
from ..policy import target_lifecycle
from ..transport import message
from . import roster as roster_keeper
from . import target_probe

# Other nodes stop to send calls once the store has a drain, so it is given
# this long to take it; check-ins have to be acknowledged within a second.
ACK_WAIT_S = 0.6
# Pause after the first health check of a target that is not confirmed yet; the
# path may be known a moment later. It doubles, as a busy target may turn some
# away, and ends with the target's next check-in.
FIRST_PROBE_PAUSE_S = 0.03
MAX_PROBES = 6


class Source(enum.Enum):
    """What a state of the target was learned from, for the log."""

    CHECK_IN = 'check-in'
    DEPARTURE = 'departure'
    ANSWER = 'answer'
    HEALTH_CHECK = 'health check'
    STORE = 'store'


class Gate(typing.Protocol):
    """What admits calls to the target."""

    def set_target(self, target_id: str, slots: int, *, run_id: str) -> None:
        """Deliver calls to this target from now on."""

    def start_draining(self) -> None:
        """Start to drain the target."""

    def announce_cold(self, run_id: str, cold_s: float | None) -> None:
        """Take how long a run of the target says that it remains cold."""


class Probe(typing.Protocol):
    """Asks the target for its health."""

    async def ask(self, target_id: str) -> target_probe.HealthReport | None:
        """Return what the target responds; None without a response."""


class CheckInKeeper:
    """Answers check-ins.

    Args:
        form: Reads check-ins.
        life: The lifetime that this node serves.
        keeper: Tells the others.
        gate: Admits calls to the target.
        probe: Confirms a target that this process has not known.
        clock: Monotonic seconds.
    """

    def __init__(
        self,
        form: ports.CheckInFormat,
        life: target_lifecycle.TargetLifecycle,
        keeper: roster_keeper.RosterKeeper,
        gate: Gate,
        probe: Probe,
        *,
        clock: typing.Callable[[], float],
    ) -> None:
        self._form = form
        self._life = life
        self._keeper = keeper
        self._gate = gate
        self._probe = probe
        self._clock = clock
        self._probing: asyncio.Task[None] | None = None
        # What the gate's target was when it was set.
        self._served: target_lifecycle.InstanceReport | None = None

    async def stop(self) -> None:
        """Stop to probe the target."""
        if self._probing is not None:
            self._probing.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await self._probing

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
        self._handle_change(change, source)
        if isinstance(item, ports.CheckIn):
            self._announce_cold(item, change)
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

    def _announce_cold(
        self, item: ports.CheckIn, change: target_lifecycle.Change
    ) -> None:
        """Tell the gate of coldness, unless of another run or too old."""
        served = self._served
        if change is target_lifecycle.Change.STALE or served is None:
            return
        # The start of the run may not have been known when it was set.
        is_served = item.target_id == served.target_id and (
            item.born_ms == served.born_ms or not served.born_ms
        )
        if is_served:
            self._gate.announce_cold(served.run_id, item.cold_s)

    def restore(self, entry: roster.Entry) -> None:
        """Go by what an earlier process of this node has said."""
        if self._life.report is not None or not entry.target_id:
            return
        report = target_lifecycle.InstanceReport(
            target_id=entry.target_id,
            born_ms=entry.born_ms,
            sequence=target_lifecycle.STORED_SEQUENCE,
            slots=entry.slots,
            draining=entry.state is not roster.TargetState.READY,
        )
        change = self._life.restore(report, self._clock())
        self._handle_change(change, Source.STORE)

    def note_leaving(self, target_id: str) -> None:
        """Begin the drain of a target that said in an answer that it leaves.

        Args:
            target_id: Id of the target.
        """
        change = self._life.deregister(target_id, self._clock())
        self._handle_change(change, Source.ANSWER)

    def _handle_change(
        self, change: target_lifecycle.Change, source: Source
    ) -> None:
        if change in (
            target_lifecycle.Change.ARRIVED,
            target_lifecycle.Change.LEAVING,
        ):
            self._apply(source)
        elif change is target_lifecycle.Change.UNCONFIRMED:
            self._log_state('unconfirmed', source)
            if self._probing is None or self._probing.done():
                self._probing = asyncio.get_running_loop().create_task(
                    self._confirm()
                )

    async def _confirm(self) -> None:
        """Probe the target until it is confirmed."""
        pause_s = FIRST_PROBE_PAUSE_S
        for _ in range(MAX_PROBES):
            report = self._life.report
            run_id = self._life.unconfirmed_run
            if report is None or not run_id:
                return
            health = await self._probe.ask(report.target_id)
            if health is not None and health.is_serving:
                # Another run may have begun meanwhile; it is asked next.
                change = self._life.confirm(run_id)
                self._handle_change(change, Source.HEALTH_CHECK)
            await asyncio.sleep(pause_s)
            pause_s *= 2

    def _apply(self, source: Source) -> None:
        report = self._life.report
        assert report is not None
        if self._life.is_ready:
            self._served = report
            self._gate.set_target(
                report.target_id, report.slots, run_id=report.run_id
            )
            state = roster.TargetState.READY
        else:
            self._gate.start_draining()
            state = roster.TargetState.DRAINING
        self._log_state(state.value, source)
        self._keeper.change(
            state=state,
            target_id=report.target_id,
            slots=report.slots,
            born_ms=report.born_ms,
        )

    def _log_state(self, state: str, source: Source) -> None:
        report = self._life.report
        assert report is not None
        events.log(
            events.TARGET_CHANGED,
            target=report.target_id,
            state=state,
            source=source.value,
            sequence=report.sequence,
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

"""Shares crashes and quarantined requests among the nodes of a service."""

import asyncio
import collections.abc
import random
import typing

from .. import clock
from .. import events
from .. import ports
from ..filters import isolation
from ..policy import dissemination
from ..policy import quarantine
from . import background
from . import quarantine_messages as messages

TABLE = 'quarantine'
TOPIC = 'crash'
# Cleared suspects are reported together, as many are cleared after a crash.
GATHER_S = 0.05
FIRST_PAUSE_S = 0.05
LONGEST_PAUSE_S = 1.0
# The node that finds a request guilty writes the record. If the store has not
# got it after this time, one of those that were told writes it.
MIN_WRITE_DELAY_S = 1.0
MAX_WRITE_DELAY_S = 4.0


class Listener(typing.Protocol):
    """Acts upon what other nodes and the store tell."""

    def receive_crash(self, crash: isolation.Crash) -> None:
        """Handle a crash of another target of the service."""

    def receive_running(
        self, node_id: str, digests: collections.abc.Iterable[bytes]
    ) -> None:
        """Handle that suspects run at another target."""

    def receive_cleared(self, digest: bytes) -> None:
        """Handle that a suspect has got an answer."""

    def receive_record(self, record: quarantine.Record) -> None:
        """Handle a quarantine."""


class SendControl(typing.Protocol):
    """Sends a controller's message to a node."""

    def __call__(self, node_id: str, topic: str, payload: bytes) -> None:
        """Send one message."""


class QuarantineKeeper:
    """Tells other nodes of crashes, and keeps quarantines in the store.

    Nodes of the same service are told directly. The store's row of the
    service serves nodes that were out of reach or have started since.

    Args:
        node_id: This node.
        service: Service of its target.
        confined: Requests that are refused.
        store: Holds a row for each service.
        list_group: Returns the nodes of the service.
        send: Sends messages to other nodes.
        source: Random number generator, to spread writes.

    Attributes:
        listener: Acts upon what is received; None until it is built.
    """

    def __init__(
        self,
        *,
        node_id: str,
        service: str,
        confined: quarantine.Quarantine,
        store: ports.RowStore,
        list_group: typing.Callable[[], collections.abc.Iterable[str]],
        send: SendControl,
        source: random.Random,
    ) -> None:
        self.listener: Listener | None = None
        self._node_id = node_id
        self._service = service
        self._quarantine = confined
        self._store = store
        self._list_group = list_group
        self._send = send
        self._random = source
        self._row_version = 0
        self._stored: dict[bytes, int] = {}
        self._cleared: set[bytes] = set()
        self._gathering: asyncio.TimerHandle | None = None
        self._check: asyncio.TimerHandle | None = None
        self._changed = asyncio.Event()
        self._work = background.Background(self._run)

    async def start(self) -> None:
        """Start to write changed records."""
        await self._work.start()

    async def stop(self) -> None:
        """Stop writing."""
        for timer in (self._gathering, self._check):
            if timer is not None:
                timer.cancel()
        await self._work.stop()

    # isolation.Reporter

    def report_crash(self, crash: isolation.Crash) -> None:
        """Tell of a crash of this node's target."""
        record = crash.record
        if record is not None:
            self._changed.set()
        self._spread(
            messages.CrashNotice(
                self._service,
                self._node_id,
                dissemination.MAX_HOPS,
                crash.run_id,
                crash.digests,
                None if record is None else messages.build_fields(record),
            )
        )

    def report_running(self, digests: collections.abc.Sequence[bytes]) -> None:
        """Tell that suspects run at this node's target."""
        self._spread(
            messages.RunningNotice(
                self._service,
                self._node_id,
                dissemination.MAX_HOPS,
                tuple(digests[: messages.MAX_DIGESTS]),
            )
        )

    def report_cleared(self, digest: bytes) -> None:
        """Tell that a suspect has got an answer."""
        self._cleared.add(digest)
        if self._gathering is None:
            self._gathering = asyncio.get_running_loop().call_later(
                GATHER_S, self._send_cleared
            )

    def report_record(self, record: quarantine.Record) -> None:
        """Tell that a quarantine has changed."""
        self._changed.set()
        self._spread(
            messages.RecordNotice(
                self._service,
                self._node_id,
                dissemination.MAX_HOPS,
                messages.build_fields(record),
            )
        )

    def _send_cleared(self) -> None:
        self._gathering = None
        cleared = sorted(self._cleared)[: messages.MAX_DIGESTS]
        self._cleared.clear()
        self._spread(
            messages.ClearedNotice(
                self._service,
                self._node_id,
                dissemination.MAX_HOPS,
                tuple(cleared),
            )
        )

    def _spread(self, notice: messages.Notice) -> None:
        if notice.hops <= 0:
            return
        payload = messages.encode_notice(notice)
        for child in dissemination.list_children(
            notice.origin, self._node_id, self._list_group()
        ):
            self._send(child, TOPIC, payload)

    # Messages

    def receive(self, node_id: str, payload: bytes) -> None:
        """Handle a message of another node, and pass it on."""
        try:
            notice = messages.decode_notice(payload)
        except ValueError as error:
            events.log(events.NEWS_REJECTED, peer=node_id, detail=str(error))
            return
        if notice.service != self._service or notice.origin == self._node_id:
            return
        self._spread(messages.pass_on(notice))
        if isinstance(notice, messages.ClearedNotice):
            self._take_cleared(notice)
        elif isinstance(notice, messages.RecordNotice):
            self._take_record(messages.build_record(notice.record))
        elif isinstance(notice, messages.RunningNotice):
            self._take_running(notice)
        else:
            self._take_crash(notice)

    def _take_cleared(self, notice: messages.ClearedNotice) -> None:
        if self.listener is not None:
            for digest in notice.digests:
                self.listener.receive_cleared(digest)

    def _take_running(self, notice: messages.RunningNotice) -> None:
        if self.listener is not None:
            self.listener.receive_running(notice.origin, notice.digests)

    def _take_crash(self, notice: messages.CrashNotice) -> None:
        record = None
        if notice.record is not None:
            record = messages.build_record(notice.record)
            self._schedule_check()
        if self.listener is not None:
            self.listener.receive_crash(
                isolation.Crash(
                    notice.origin, notice.run_id, notice.digests, record
                )
            )
        elif record is not None:
            self._take_record(record)

    def _take_record(self, record: quarantine.Record) -> None:
        if self.listener is not None:
            self.listener.receive_record(record)
        else:
            self._quarantine.merge(record, clock.read_boot_time())
        self._schedule_check()

    # feed.Follower

    def take_all(self, rows: ports.Rows, true_at: float) -> None:
        """Handle all rows of the table."""
        self._row_version = 0
        self._stored.clear()
        self._take_rows(rows)
        if self._list_unwritten():
            # A restored store may have lost them.
            self._schedule_check()

    def take_changes(self, rows: ports.Rows, true_at: float) -> None:
        """Handle changed rows."""
        self._take_rows(rows)

    def _take_rows(self, rows: ports.Rows) -> None:
        for row in rows.rows:
            if row.key == self._service:
                self._take_row(row)

    def _take_row(self, row: ports.Row) -> None:
        self._row_version = row.version
        self._stored.clear()
        if row.value is None:
            self._row_version = 0
            return
        try:
            records = messages.decode_records(row.value)
        except ValueError as error:
            events.log(
                events.QUARANTINE_REJECTED, row=row.key, detail=str(error)
            )
            return
        for record in records:
            self._stored[record.digest] = record.revision
            if self.listener is not None:
                self.listener.receive_record(record)
            else:
                self._quarantine.merge(record, clock.read_boot_time())

    # Writing

    def _list_unwritten(self) -> list[quarantine.Record]:
        return [
            record
            for record in self._quarantine.list_records()
            if self._stored.get(record.digest, 0) < record.revision
        ]

    def _schedule_check(self) -> None:
        if self._check is None:
            span_s = MAX_WRITE_DELAY_S - MIN_WRITE_DELAY_S
            self._check = asyncio.get_running_loop().call_later(
                MIN_WRITE_DELAY_S + span_s * self._random.random(),
                self._check_written,
            )

    def _check_written(self) -> None:
        self._check = None
        if self._list_unwritten():
            self._changed.set()

    async def _run(self) -> None:
        pause_s = FIRST_PAUSE_S
        while True:
            await self._changed.wait()
            self._changed.clear()
            if not self._list_unwritten() or await self._write():
                pause_s = FIRST_PAUSE_S
                continue
            self._changed.set()
            await asyncio.sleep(pause_s)
            pause_s = min(LONGEST_PAUSE_S, 2 * pause_s)

    async def _write(self) -> bool:
        records = self._quarantine.list_records()
        outcome = await self._store.put(
            TABLE,
            self._service,
            messages.encode_records(records),
            expected=self._row_version,
        )
        if isinstance(outcome, ports.Conflict):
            if outcome.row is None:
                self._row_version = 0
            else:
                self._take_row(outcome.row)
            return False
        if not isinstance(outcome, ports.Written):
            return False
        self._row_version = outcome.version
        self._stored = {record.digest: record.revision for record in records}
        return True

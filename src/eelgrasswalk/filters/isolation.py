"""Keeps requests that crash targets away from this node's target."""

import asyncio
import collections
import collections.abc
import contextlib
import dataclasses
import time
import typing

import xxhash

from .. import clock
from .. import events
from .. import verdict
from ..policy import isolation_queue
from ..policy import quarantine
from ..policy import suspects
from ..transport import frames
from . import deliveries
from . import identity

# Requests of a crash that other nodes are told of: the newest.
MAX_REPORTED = 256
# Runs that are known to have ended, and suspects that run elsewhere; the first
# are forgotten.
MAX_ENDED = 1024
MAX_RUNNING = 1024
# Longest time by which a retry may be ahead of the report of the crash that it
# is for: a new link takes a few round trips.
REPORT_WAIT_S = 0.03
# Retry-after, before jitter, of a suspect that could not be run apart in time.
RETRY_AFTER_S = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Upstream:
    """A node whose target serves the same service.

    Args:
        node_id: Id of the node.
        run_id: Id of the current run of its target.
        data_centre: Data centre of the node.
    """

    node_id: str
    run_id: str
    data_centre: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """A crash of a target of the service.

    Args:
        node_id: Node beside the target.
        run_id: Id of the run that has ended.
        digests: Digests of the requests that it ran.
        record: Quarantine of the request that has caused it, if one has.
    """

    node_id: str
    run_id: str
    digests: tuple[bytes, ...]
    record: quarantine.Record | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Pass:
    """Permission to run a call.

    Args:
        digest: Digest of its request; None while nothing is suspected.
        ticket: Its place in the queue of suspects; None if it is no suspect.
    """

    digest: bytes | None = None
    ticket: isolation_queue.Ticket | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Refused:
    """A call that may not run here now.

    Args:
        outcome: The verdict.
        run_at: Node at which it may run; empty if there is none.
    """

    outcome: verdict.NotRun
    run_at: str = ''


class Reporter(typing.Protocol):
    """Tells the other nodes of the service."""

    def report_crash(self, crash: Crash) -> None:
        """Tell of a crash of this node's target."""

    def report_running(self, digests: collections.abc.Sequence[bytes]) -> None:
        """Tell that suspects run at this node's target."""

    def report_cleared(self, digest: bytes) -> None:
        """Tell that a suspect has got an answer."""

    def report_record(self, record: quarantine.Record) -> None:
        """Tell that a quarantine has changed."""


Decision: typing.TypeAlias = Pass | Refused
_FREE = Pass()
_NO_HISTORY = frames.CallHistory()


class Isolation:
    """Decides which calls run at this node's target, after crashes.

    A suspect runs at one target of the service at a time, which all nodes
    choose alike by its digest, and apart from other suspects there.

    Args:
        node_id: This node.
        known: Crashes of the service's targets, and the suspects.
        confined: Requests that are refused.
        running: Calls that the target is running.
        list_upstreams: Returns the nodes whose targets are ready.
        reporter: Tells the other nodes.
    """

    def __init__(
        self,
        *,
        node_id: str,
        known: suspects.Suspects,
        confined: quarantine.Quarantine,
        running: deliveries.Deliveries,
        list_upstreams: typing.Callable[
            [], collections.abc.Iterable[Upstream]
        ],
        reporter: Reporter,
    ) -> None:
        self._node_id = node_id
        self._suspects = known
        self._quarantine = confined
        self._running = running
        self._list_upstreams = list_upstreams
        self._reporter = reporter
        self._queue = isolation_queue.IsolationQueue(self._is_prime)
        self._waiting: dict[int, asyncio.Future[Decision]] = {}
        # Set when the report of a crash arrives, and replaced.
        self._news = asyncio.Event()
        # Suspects that ran before they were known as such.
        self._adopted: dict[bytes, isolation_queue.Ticket] = {}
        # Nodes at whose targets suspects run, or ran last.
        self._running_at: collections.OrderedDict[bytes, str] = (
            collections.OrderedDict()
        )
        # Runs that are known to have ended, by the node beside the target.
        self._ended: collections.OrderedDict[str, str] = (
            collections.OrderedDict()
        )

    async def enter(self, call: frames.Call, *, wait_s: float) -> Decision:
        """Wait until a call may run here, or refuse it.

        Args:
            call: The call.
            wait_s: Longest time that it may wait.
        """
        ended_runs = call.history.ended_runs if call.history else ()
        if not (self._suspects or self._quarantine or ended_runs):
            return _FREE
        digest = identity.compute_digest(call.request, call.context.account)
        await self._await_reports(ended_runs)
        for run_id in ended_runs:
            self._suspects.record_crash(
                run_id, (digest,), time.monotonic(), is_report=False
            )
        decision = self._decide(digest, call)
        if decision is not None:
            return decision
        return await self._wait(self._queue.enter(digest), wait_s)

    def leave(
        self, call: frames.Call, allowed: Pass, outcome: verdict.Verdict | None
    ) -> None:
        """Record how a call ended; None for a caller that has left."""
        ticket = allowed.ticket or self._adopted.pop(call.attempt, None)
        if ticket is not None:
            self._queue.leave(ticket)
        if isinstance(outcome, verdict.Answered) and self._record_answer(
            call, allowed
        ):
            self._advance()
        elif ticket is not None:
            self._start_waiting()

    def handle_crash(
        self,
        run_id: str,
        started: collections.abc.Sequence[deliveries.Started],
    ) -> None:
        """Handle a crash of this node's target.

        Args:
            run_id: Id of the run that has ended.
            started: Requests that it ran, the oldest first.
        """
        subjects = {
            each.digest: each.subject for each in started[-MAX_REPORTED:]
        }
        suspected = [digest for digest in subjects if self._is_held(digest)]
        changed = self._confirm_known(subjects)
        self._suspects.record_crash(run_id, subjects, time.monotonic())
        for record in changed:
            self._suspects.explain(record.digest)
        self._record_ended(self._node_id, run_id)
        changed += self._withdraw_doubtful(subjects)
        guilty = None
        is_alone = len(subjects) == 1
        if (
            len(suspected) == 1
            and not changed
            and (is_alone or self._began_as_suspect(suspected[0]))
        ):
            guilty = self._judge(suspected[0], subjects[suspected[0]])
        self._reporter.report_crash(
            Crash(self._node_id, run_id, tuple(subjects), guilty)
        )
        for record in changed:
            self._reporter.report_record(record)
        self._refuse_waiting()

    def receive_crash(self, crash: Crash) -> None:
        """Handle a crash of another target of the service."""
        self._record_ended(crash.node_id, crash.run_id)
        self._suspects.record_crash(
            crash.run_id, crash.digests, time.monotonic()
        )
        self._news.set()
        self._news = asyncio.Event()
        self._withdraw_doubtful(crash.digests)
        if crash.record is not None:
            self.receive_record(crash.record)
        self._adopt_running()
        self._advance()

    def receive_running(
        self, node_id: str, digests: collections.abc.Iterable[bytes]
    ) -> None:
        """Handle that suspects run at a target of the service."""
        for digest in digests:
            self._running_at[digest] = node_id
            self._running_at.move_to_end(digest)
            if len(self._running_at) > MAX_RUNNING:
                self._running_at.popitem(last=False)

    def _report_running(
        self, digests: collections.abc.Sequence[bytes]
    ) -> None:
        if digests:
            self.receive_running(self._node_id, digests)
            self._reporter.report_running(digests)

    def receive_cleared(self, digest: bytes) -> None:
        """Handle that a suspect has got an answer at another target."""
        if self._suspects.clear(digest):
            self._advance()

    def receive_record(self, record: quarantine.Record) -> None:
        """Handle a quarantine that another node or the store tells of."""
        if not self._quarantine.merge(record, clock.read_boot_time()):
            return
        events.log(events.QUARANTINE_CHANGED, **_describe_record(record))
        if record.lifted:
            self._suspects.clear(record.digest)
        else:
            self._suspects.explain(record.digest)
        self._advance()

    # Decisions

    def _decide(self, digest: bytes, call: frames.Call) -> Decision | None:
        """Return the decision on a call, or None if it has to queue."""
        if self._is_refused(digest):
            return _refuse_confined()
        if not self._is_held(digest):
            return Pass(digest)
        home = self._find_home(digest, call.history or _NO_HISTORY)
        return None if home == self._node_id else _direct(home)

    def _find_confinement(self, digest: bytes) -> quarantine.Standing:
        return self._quarantine.find_standing(digest, clock.read_boot_time())

    def _is_refused(self, digest: bytes) -> bool:
        standing = self._find_confinement(digest)
        return standing is quarantine.Standing.REFUSED

    def _is_held(self, digest: bytes) -> bool:
        """Return whether a request may run only apart, or not at all."""
        return (
            self._suspects.find_standing(digest) is not suspects.Standing.CLEAR
            or self._find_confinement(digest) is not quarantine.Standing.FREE
        )

    def _is_prime(self, digest: bytes) -> bool:
        standing = self._suspects.find_standing(digest)
        return (
            standing is suspects.Standing.PRIME
            or self._find_confinement(digest) is quarantine.Standing.TRIAL
        )

    def _find_home(self, digest: bytes, history: frames.CallHistory) -> str:
        """Return the node at which a suspect may run; empty if none may.

        A run that has begun can't be undone: closing its connection does not
        keep a deadly request from crashing the target. So it runs nowhere
        else before that one has ended.
        """
        found = [
            upstream.node_id
            for upstream in self._list_upstreams()
            if self._ended.get(upstream.node_id) != upstream.run_id
            and upstream.node_id not in history.unreachable
            and (
                not history.data_centres
                or upstream.data_centre in history.data_centres
            )
        ]
        running_at = self._running_at.get(digest)
        if running_at in found:
            return running_at
        return max(found, default='', key=lambda name: _rank(digest, name))

    def _began_as_suspect(self, digest: bytes) -> bool:
        """Return whether a run of a suspect began after it was suspected.

        An earlier run says little of what ran beside it: targets that end
        together, under a request that many callers send, would be put down to
        that one.
        """
        return all(
            ticket.digest != digest for ticket in self._adopted.values()
        )

    def _judge(
        self, digest: bytes, subject: quarantine.Subject
    ) -> quarantine.Record | None:
        """Return the quarantine of a suspect that ran apart at a crash."""
        is_trial = self._find_confinement(digest) is quarantine.Standing.TRIAL
        if not is_trial and not self._suspects.is_guilty(
            digest, time.monotonic()
        ):
            return None
        record = self._quarantine.confine(
            digest,
            subject,
            crashes=self._suspects.count_crashes(digest),
            since_ms=time.time_ns() // 1_000_000,
            now=clock.read_boot_time(),
        )
        events.log(events.QUARANTINE_CHANGED, **_describe_record(record))
        self._suspects.explain(digest)
        return record

    def _confirm_known(
        self, digests: collections.abc.Iterable[bytes]
    ) -> list[quarantine.Record]:
        """Count a crash under requests that are refused already.

        Runs that had begun before the verdict go on.

        Args:
            digests: Digests of the requests that ran at the crash.
        """
        now = clock.read_boot_time()
        confirmed = []
        for digest in digests:
            if not self._is_refused(digest):
                continue
            record = self._quarantine.confirm(digest, now)
            if record is not None:
                events.log(
                    events.QUARANTINE_CHANGED, **_describe_record(record)
                )
                confirmed.append(record)
        return confirmed

    def _withdraw_doubtful(
        self, digests: collections.abc.Container[bytes]
    ) -> list[quarantine.Record]:
        """Withdraw verdicts after a crash that they do not explain.

        Args:
            digests: Digests of the requests that ran at the crash.
        """
        now = clock.read_boot_time()
        withdrawn = []
        for record in self._quarantine.list_uncertain(now):
            if record.digest in digests:
                continue
            lifted = record.build_lifted()
            self._quarantine.merge(lifted, now)
            self._suspects.reopen(record.digest)
            events.log(events.QUARANTINE_CHANGED, **_describe_record(lifted))
            withdrawn.append(lifted)
        return withdrawn

    def _record_answer(self, call: frames.Call, allowed: Pass) -> bool:
        """Clear the request of a call, and return whether that was needed."""
        if not (self._suspects or self._quarantine):
            return False
        # The call may have begun before there were any suspects.
        digest = allowed.digest or identity.compute_digest(
            call.request, call.context.account
        )
        was_suspect = self._suspects.clear(digest)
        if was_suspect:
            self._reporter.report_cleared(digest)
        record = self._quarantine.find(digest)
        if record is None or record.lifted:
            return was_suspect
        lifted = record.build_lifted()
        self._quarantine.merge(lifted, clock.read_boot_time())
        events.log(events.QUARANTINE_CHANGED, **_describe_record(lifted))
        self._reporter.report_record(lifted)
        return True

    def _adopt_running(self) -> None:
        """Queue no suspect beside those that run here already."""
        adopted = []
        for call in self._running.list_calls():
            digest = identity.compute_digest(
                call.request, call.context.account
            )
            if not self._is_held(digest):
                continue
            ticket = self._queue.adopt(digest)
            if ticket is not None:
                self._adopted[call.attempt] = ticket
                adopted.append(digest)
        self._report_running(adopted)

    def _record_ended(self, node_id: str, run_id: str) -> None:
        self._ended[node_id] = run_id
        self._ended.move_to_end(node_id)
        if len(self._ended) > MAX_ENDED:
            self._ended.popitem(last=False)

    # Waiting

    async def _await_reports(
        self, run_ids: collections.abc.Sequence[str]
    ) -> None:
        """Wait a little for the reports of crashes that a call tells of.

        It must not start beside the request that has caused them, which may
        run here already.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(REPORT_WAIT_S):
                while not all(map(self._suspects.is_reported, run_ids)):
                    await self._news.wait()

    async def _wait(
        self, ticket: isolation_queue.Ticket, wait_s: float
    ) -> Decision:
        future = asyncio.get_running_loop().create_future()
        self._waiting[ticket.number] = future
        self._start_waiting()
        try:
            async with asyncio.timeout(wait_s):
                decision: Decision = await future
                return decision
        except TimeoutError:
            self._withdraw(ticket)
            return Refused(
                verdict.NotRun(
                    verdict.Reason.ISOLATED, retry_after_s=RETRY_AFTER_S
                )
            )
        except asyncio.CancelledError:
            self._withdraw(ticket)
            raise

    def _withdraw(self, ticket: isolation_queue.Ticket) -> None:
        self._waiting.pop(ticket.number, None)
        self._queue.leave(ticket)
        self._start_waiting()

    def _advance(self) -> None:
        """Decide on waiting calls again after the suspects have changed."""
        for ticket in self._queue.list_waiting():
            if self._is_refused(ticket.digest):
                self._release(ticket, _refuse_confined())
            elif not self._is_held(ticket.digest):
                self._release(ticket, Pass(ticket.digest))
        self._start_waiting()

    def _start_waiting(self) -> None:
        started = self._queue.start()
        self._report_running([ticket.digest for ticket in started])
        for ticket in started:
            self._settle(ticket, Pass(ticket.digest, ticket))

    def _refuse_waiting(self) -> None:
        """Direct waiting calls to other nodes, as the target is down."""
        for ticket in self._queue.list_waiting():
            if self._is_refused(ticket.digest):
                self._release(ticket, _refuse_confined())
                continue
            home = self._find_home(ticket.digest, _NO_HISTORY)
            self._release(ticket, _direct(home))

    def _release(
        self, ticket: isolation_queue.Ticket, decision: Decision
    ) -> None:
        self._queue.leave(ticket)
        self._settle(ticket, decision)

    def _settle(
        self, ticket: isolation_queue.Ticket, decision: Decision
    ) -> None:
        future = self._waiting.pop(ticket.number, None)
        if future is not None and not future.done():
            future.set_result(decision)


def _describe_record(record: quarantine.Record) -> dict[str, typing.Any]:
    """Return the fields of a record for the log."""
    return {
        'digest': record.digest.hex(),
        'method': record.subject.method,
        'path': record.subject.target,
        'account': record.subject.account,
        'crashes': record.crashes,
        'tries': record.tries,
        'revision': record.revision,
        'lifted': record.lifted,
    }


def _direct(home: str) -> Refused:
    """Refuse a suspect that may run at another node, or at none."""
    return Refused(
        verdict.NotRun(
            verdict.Reason.ISOLATED,
            retry_after_s=RETRY_AFTER_S,
            retry_elsewhere=bool(home),
        ),
        run_at=home,
    )


def _refuse_confined() -> Refused:
    return Refused(verdict.NotRun(verdict.Reason.QUARANTINED))


def _rank(digest: bytes, node_id: str) -> int:
    return xxhash.xxh3_64_intdigest(digest + node_id.encode())

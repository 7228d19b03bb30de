"""One line for each decision on a call, and the counts behind metrics."""

import collections
import dataclasses
import time
import typing

from . import events
from . import verdict
from .policy import log_budget

# Upper bounds of latency buckets in seconds; the last one has none.
BUCKETS_S = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
)


# Targets whose answers are counted; the oldest are forgotten.
MAX_TARGETS = 64


class CallKind(typing.NamedTuple):
    """What calls are counted by; hashed for each of them.

    Args:
        hop: `entry` for the caller's node, `gate` for the target's.
        service: The service that was called.
        account: Client account; empty on an open route.
        outcome: `answered`, `not-run` or `may-have-run`.
        reason: Why there is no answer, or the status of the answer.
    """

    hop: str
    service: str
    account: str
    outcome: str
    reason: str


@dataclasses.dataclass(slots=True)
class Histogram:
    """Latencies in buckets.

    Args:
        counts: Calls in each bucket; the last one has no upper bound.
        total_s: Sum of all latencies.
    """

    counts: list[int] = dataclasses.field(
        default_factory=lambda: [0] * (len(BUCKETS_S) + 1)
    )
    total_s: float = 0.0

    def observe(self, seconds: float) -> None:
        """Count one call."""
        self.total_s += seconds
        for index, bound in enumerate(BUCKETS_S):
            if seconds <= bound:
                self.counts[index] += 1
                return
        self.counts[-1] += 1


class RequestLog:
    """Writes lines within a budget and counts everything.

    Args:
        budget: Decides which lines are written.

    Attributes:
        calls: Calls by what they are counted by.
        latencies: Latencies by hop.
        given_up: Answers that were given up, by target and reason.
        ignored_loads: Load reports that were ignored, by cause.
    """

    def __init__(self, budget: log_budget.LogBudget) -> None:
        self.calls: collections.Counter[CallKind] = collections.Counter()
        self.latencies: dict[str, Histogram] = {}
        self.given_up: dict[str, collections.Counter[str]] = {}
        self.ignored_loads: collections.Counter[str] = collections.Counter()
        self._budget = budget

    def count_given_up(self, target_id: str, reason: verdict.Reason) -> None:
        """Count an answer that was too large.

        Args:
            target_id: Id of the target that sent it.
            reason: Why it was given up.
        """
        counts = self.given_up.setdefault(target_id, collections.Counter())
        counts[reason.value] += 1
        if len(self.given_up) > MAX_TARGETS:
            del self.given_up[next(iter(self.given_up))]

    def count_ignored_load(self, cause: str) -> None:
        """Count a load report of the target that is ignored."""
        self.ignored_loads[cause] += 1

    def record(
        self,
        event: events.Event,
        outcome: verdict.Verdict,
        *,
        hop: str,
        service: str,
        account: str,
        latency_s: float,
        describe: typing.Callable[[], dict[str, typing.Any]],
    ) -> None:
        """Count a call and write its line if the budget allows.

        Args:
            event: Kind of the line.
            outcome: What became of the call.
            hop: `entry` or `gate`.
            service: The service that was called.
            account: Client account; empty on an open route.
            latency_s: Seconds from arrival to outcome.
            describe: Returns what decided; called only for a line.
        """
        name, reason = _name_outcome(outcome)
        self.calls[CallKind(hop, service, account, name, reason)] += 1
        histogram = self.latencies.get(hop)
        if histogram is None:
            histogram = self.latencies[hop] = Histogram()
        histogram.observe(latency_s)
        category = log_budget.LineCategory.FAILURE
        if name == 'answered' and reason < '500':
            category = log_budget.LineCategory.ROUTINE
        now = time.monotonic()
        if not self._budget.admit(category, now):
            return
        fields = describe()
        omitted = self._budget.take_omitted(now)
        if omitted:
            fields['omitted'] = omitted
        events.log_counted(
            event,
            service=service,
            account=account,
            outcome=name,
            reason=reason,
            latency_ms=round(latency_s * 1000.0, 1),
            **fields,
        )


def _name_outcome(outcome: verdict.Verdict) -> tuple[str, str]:
    if isinstance(outcome, verdict.Answered):
        return 'answered', str(outcome.response.status)
    if isinstance(outcome, verdict.NotRun):
        return 'not-run', outcome.reason.value
    return 'may-have-run', outcome.reason.value

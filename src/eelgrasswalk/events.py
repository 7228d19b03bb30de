"""Numbered log events, written as JSON."""

import dataclasses
import logging
import sys
import time
import typing

import pythonjsonlogger.json

from .policy import log_budget

_LOGGER = logging.getLogger('eelgrasswalk')
_COUNTED = 'counted'


class Stream(typing.Protocol):
    """Where lines are written."""

    def write(self, text: str, /) -> int:
        """Take a line."""

    def flush(self) -> None:
        """Write what was taken."""


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """A kind of log record.

    Args:
        number: Its number, never used again for another kind.
        level: Level of the logging module.
        text: What has happened; the fields of a record say to what.
        remedy: What an operator can do about it; empty when nothing is due.
    """

    number: int
    level: int
    text: str
    remedy: str = ''


NODE_STARTED = Event(1001, logging.INFO, 'node started')
NODE_DRAINING = Event(1002, logging.INFO, 'node draining')
NODE_STOPPED = Event(1003, logging.INFO, 'node stopped')
SETTINGS_CHANGED = Event(1005, logging.INFO, 'settings were read again')
SETTINGS_REJECTED = Event(
    1006,
    logging.ERROR,
    'settings cannot be used; the old ones hold',
    'mend the field that the record names',
)
CLIENTS_SHED = Event(
    1007,
    logging.WARNING,
    'clients hold too much; connections were closed or refused',
    'look for clients that send unfinished requests or read slowly; if they '
    'are wanted, raise limits.memory_mb or limits.max_fds',
)
DRAIN_TIMED_OUT = Event(
    1004,
    logging.WARNING,
    'planned stop cut calls that ran for too long',
    'raise limits.drain_s above the longest deadline of a route',
)
LINK_OPENED = Event(2001, logging.INFO, 'link opened')
LINK_LOST = Event(
    2002,
    logging.WARNING,
    'upstream could not be reached by its link',
    'look for lost connections between the two hosts',
)
NODE_GONE = Event(
    2003,
    logging.WARNING,
    'node is taken for gone: it could not be reached for long',
    'look at its host; it comes back by itself when it is reached again',
)
CONFIGURATION_APPLIED = Event(3001, logging.INFO, 'configuration in force')
CONFIGURATION_REJECTED = Event(
    3002,
    logging.ERROR,
    'configuration could not be read',
    'validate the document with the same release as the node',
)
STORE_LOST = Event(
    3003,
    logging.WARNING,
    'store does not answer',
    'look after the platform; keys stop to count before withdrawals could '
    'be missed',
)
STORE_BACK = Event(3004, logging.INFO, 'store answers again')
HISTORY_GONE = Event(
    3005, logging.INFO, 'store has dropped its history; reading everything'
)
ENTRY_REJECTED = Event(
    3006,
    logging.WARNING,
    'entry of a node cannot be read',
    'look for another writer of the table of nodes',
)
CHECK_IN_REJECTED = Event(
    3007,
    logging.WARNING,
    'check-in of a target cannot be read',
    'look at what the target beside the node sends',
)
RULES_UNCERTAIN = Event(
    3008,
    logging.WARNING,
    'keys do not count: the rules were not confirmed in time',
    'look after the platform and the links to other nodes; requests with '
    'keys are refused as not run until the rules are confirmed',
)
RULES_CERTAIN = Event(3009, logging.INFO, 'keys count again')
RULES_OUTDATED = Event(
    3010, logging.INFO, 'another node has newer rules; asking the store'
)
NEWS_REJECTED = Event(
    3011,
    logging.WARNING,
    "another node's message cannot be read and is dropped",
    'look for a node of another release',
)
STORE_RESTORED = Event(
    3012,
    logging.WARNING,
    'store has come back from a copy; what it lost is written again',
    'changes of the last seconds before it went away may be missing until '
    'operators have repeated them',
)
RULES_BEHIND = Event(
    3013,
    logging.WARNING,
    'store shows an older configuration than the one in force',
    'the newer one stays in force; look whether it is in the store again',
)
SECRET_WRITTEN_AGAIN = Event(
    3014,
    logging.INFO,
    'store had lost the secret of the mesh; it is written again',
)
SECRET_DIFFERS = Event(
    3015,
    logging.ERROR,
    'store holds another secret of the mesh than this node',
    'restart this node, so that it can open links to nodes that have started '
    'since',
)
CLAIM_LOCAL = Event(
    3101,
    logging.WARNING,
    'request run without a claim in the table',
    'look after the platform; this route goes on without it',
)
OWNER_SILENT = Event(
    3102,
    logging.WARNING,
    "owner of an account's rate does not answer; using the node's own share",
    'look at the node that owns the account and at the links to it',
)
TARGET_UNREACHABLE = Event(
    4001,
    logging.WARNING,
    'target unreachable',
    'check that the target listens at the address in the settings',
)
TARGET_UNUSABLE = Event(
    4002,
    logging.WARNING,
    'target fails its health checks and answers no call',
    'look at the target; the node takes no calls for it meanwhile',
)
TARGET_USABLE = Event(4003, logging.INFO, 'target is healthy again')
TARGET_CHANGED = Event(4004, logging.INFO, 'target has changed its state')
TARGET_LIMIT_CHANGED = Event(
    4005, logging.INFO, 'target has changed the call rate that it accepts'
)
TARGET_LEAVING = Event(
    4006, logging.INFO, 'target says in an answer that it is leaving'
)
TARGET_CRASHED = Event(
    4007,
    logging.WARNING,
    'target has ended while it ran calls',
    'look at the target; a digest that several of these lines share is of a '
    'request that may crash it',
)
QUARANTINE_CHANGED = Event(
    4008,
    logging.WARNING,
    'quarantine of a request that crashes its targets has changed',
    'mend the service; when the request is wanted again before it is tried, '
    'lift its quarantine',
)
LEAVING_ACKNOWLEDGED = Event(
    4009, logging.INFO, 'departure of the target is acknowledged'
)
ANSWER_GIVEN_UP = Event(
    4010,
    logging.WARNING,
    'answer of the target was given up: it is longer than the node takes',
    'look at what the target sends; while its answers use up the memory for '
    'bodies, calls are refused',
)
LOAD_REPORT_IGNORED = Event(
    4020,
    logging.WARNING,
    'target reports a load that cannot be right; such reports are ignored',
    'look at the load that the target reports in its answers',
)
TARGET_COLD = Event(
    4021,
    logging.INFO,
    'target is or may be cold; the rate of its calls is limited',
)
TARGET_WARM = Event(4022, logging.INFO, 'target is no longer taken for cold')
QUARANTINE_REJECTED = Event(
    3016,
    logging.WARNING,
    'quarantined requests in the store cannot be read',
    'look for another writer of the table of quarantines',
)
EVACUATION_CHANGED = Event(
    3017, logging.INFO, 'evacuated data centres have changed'
)
REQUEST_FAILED = Event(
    5001,
    logging.ERROR,
    'request failed inside the node',
    'report the traceback to the developers',
)


BACKGROUND_FAILED = Event(
    5004,
    logging.ERROR,
    'background work of the node failed and begins again',
    'report the traceback to the developers',
)
CALL_ENDED = Event(
    5002, logging.INFO, 'call has ended at the node where it began'
)
ATTEMPT_ENDED = Event(
    5003, logging.INFO, 'attempt has ended at the node of its target'
)


class _BoundedLines(logging.Filter):
    """Lets through as many records as the budget allows.

    The first record after some were left out says how many.
    """

    def __init__(self, budget: log_budget.LogBudget) -> None:
        super().__init__()
        self._budget = budget

    def filter(self, record: logging.LogRecord) -> bool:
        if record.__dict__.pop(_COUNTED, False):
            return True
        now = time.monotonic()
        if not self._budget.admit(log_budget.LineCategory.BELIEF, now):
            return False
        omitted = self._budget.take_omitted(now)
        if omitted:
            record.omitted = omitted
        return True


def configure_logging(
    level: str,
    *,
    node_id: str,
    stream: Stream | None = None,
    budget: log_budget.LogBudget | None = None,
) -> None:
    """Write every record as one JSON object a line.

    Args:
        level: Least level that is written.
        node_id: Stands in every record.
        stream: Where to; standard error when left out.
        budget: Bounds the number of records; no bound when left out.
    """
    handler = logging.StreamHandler(sys.stderr if stream is None else stream)
    handler.setFormatter(
        pythonjsonlogger.json.JsonFormatter(
            '%(levelname)s %(message)s',
            rename_fields={'levelname': 'level'},
            timestamp='time',
            static_fields={'node_id': node_id},
        )
    )
    if budget is not None:
        handler.addFilter(_BoundedLines(budget))
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(logging.WARNING)
    _LOGGER.setLevel(level.upper())


def log(event: Event, **fields: typing.Any) -> None:
    """Write one record of an event."""
    if _LOGGER.isEnabledFor(event.level):
        fields['event'] = event.number
        _LOGGER.log(event.level, event.text, extra=fields)


def log_counted(event: Event, **fields: typing.Any) -> None:
    """Write one record for which the budget has been asked already."""
    fields[_COUNTED] = True
    log(event, **fields)


def list_events() -> tuple[Event, ...]:
    """Return every event, in the order of their numbers."""
    found = [item for item in globals().values() if isinstance(item, Event)]
    return tuple(sorted(found, key=lambda item: item.number))

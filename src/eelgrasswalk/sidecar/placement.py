"""Answers where a request would go, on the metrics address of a node."""

import dataclasses
import time
import typing
import urllib.parse

import msgspec

from .. import clock
from .. import verdict
from ..filters import identity
from ..policy import call_rules
from ..policy import quarantine
from ..policy.placement import candidates
from ..policy.placement import description
from ..policy.placement import explanation
from ..transport import message
from . import wiring
from . import wiring_control

MAX_FIELDS = 8
# Format of the answer, by which clients recognise it.
FORMAT = 1
_HEADERS = ((b'content-type', b'application/json'),)
_STATUSES = {
    explanation.Problem.UNKNOWN_ROUTE: 404,
    explanation.Problem.MISSING_KEY: 401,
    explanation.Problem.UNKNOWN_KEY: 403,
    explanation.Problem.NOT_READY: 503,
    explanation.Problem.BAD_QUESTION: 400,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Question:
    """The request that is asked about.

    Args:
        hostname: Host name that it is addressed to.
        target: Its path, possibly with a query.
        method: Its method.
        key: Its API key; None without one.
    """

    hostname: str
    target: str
    method: str
    key: bytes | None = dataclasses.field(repr=False)

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition('?')[0]


class PlacementPage:
    """Builds the answers from the components of a node, without changes.

    Args:
        control_plane: Components that follow the rules and the other nodes.
        call_path: Components that calls pass through; None before they are
            built.
        stopping: Whether the node is stopping.
    """

    def __init__(
        self,
        control_plane: wiring_control.ControlPlane,
        call_path: wiring.CallPath | None,
        *,
        stopping: bool,
    ) -> None:
        self._control_plane = control_plane
        self._call_path = call_path
        self._stopping = stopping

    def answer(self, request: message.Request) -> verdict.Response:
        """Answer a question."""
        found = self._explain(request)
        if isinstance(found, explanation.Refused):
            body: dict[str, typing.Any] = {
                'error': found.problem.value,
                'detail': found.detail,
            }
            status = _STATUSES[found.problem]
        else:
            body = {'explanation': found}
            status = 200
        content = msgspec.json.encode({'format': FORMAT, **body})
        return verdict.Response(status, _HEADERS, content)

    def _explain(
        self, request: message.Request
    ) -> explanation.Explanation | explanation.Refused:
        question = self._read_question(request)
        if isinstance(question, explanation.Refused):
            return question
        control_plane = self._control_plane
        table = control_plane.rules.get_table()
        call_path = self._call_path
        if table is None or call_path is None:
            return explanation.Refused(
                explanation.Problem.NOT_READY,
                'The node has just started and does not know the rules and '
                'the other nodes yet.',
            )
        admission = explanation.find_admission(
            table, question.hostname, question.path, question.key
        )
        if isinstance(admission, explanation.Refused):
            return admission
        route, account = admission.route, admission.account
        boot_s = clock.read_boot_time()
        age_s = control_plane.fresh.get_age(boot_s)
        homes = control_plane.homes.read_allowed(
            route.regions, frozenset() if account is None else account.regions
        )
        name = '' if account is None else account.name
        return explanation.explain(
            admission,
            node_id=control_plane.config.node_id,
            data_centre=control_plane.config.data_centre,
            rules=explanation.RulesState(
                table.version,
                # Before the first confirmation the age is infinite.
                age_s if age_s < float('inf') else None,
                control_plane.fresh.is_fresh(boot_s),
            ),
            rate=_read_rate(call_path, account),
            homes=homes,
            evacuated=control_plane.evacuations.evacuated,
            describe=lambda service, max_listed: self._describe(
                call_path, service, route, homes, question, name, max_listed
            ),
        )

    def _read_question(
        self, request: message.Request
    ) -> Question | explanation.Refused:
        query = request.target.partition('?')[2]
        try:
            fields = dict(
                urllib.parse.parse_qsl(
                    query,
                    keep_blank_values=True,
                    errors='strict',
                    max_num_fields=MAX_FIELDS,
                )
            )
            host = fields.get('host', '').encode('latin-1')
        except ValueError:
            return _refuse_question('The question cannot be read.')
        target = fields.get('path', '')
        if request.method != 'GET' or not host or not target.startswith('/'):
            return _refuse_question(
                'Ask GET /placement?host=HOST&path=/PATH&method=METHOD.'
            )
        # The first header of a name counts: the host of the question instead
        # of the node's own.
        head = self._control_plane.platform.dialect.read_head(
            ((b'host', host), *request.headers)
        )
        method = fields.get('method', 'GET').upper()
        return Question(head.hostname, target, method, head.key)

    def _describe(
        self,
        call_path: wiring.CallPath,
        service: str,
        route: call_rules.RouteRule,
        homes: frozenset[str] | None,
        question: Question,
        account: str,
        max_listed: int,
    ) -> explanation.ServiceKnowledge:
        described = description.describe(
            call_path.directory.balancer,
            service,
            time.monotonic(),
            max_listed=max_listed,
            data_centres=homes,
            route=route.name,
        )
        is_own = service == self._control_plane.config.service
        own_target = None
        standing = explanation.Quarantine(False)
        if is_own:
            own_target = self._describe_own_target(call_path, route)
            standing = _read_quarantine(
                self._control_plane.confined, question, account
            )
        return explanation.ServiceKnowledge(
            described,
            self._list_absent(service, described),
            standing,
            own_target,
        )

    def _list_absent(
        self, service: str, described: candidates.Description
    ) -> list[explanation.Absent]:
        evacuated = self._control_plane.evacuations.evacuated
        return [
            explanation.Absent(
                entry.node_id,
                entry.data_centre,
                candidates.Exclusion.EVACUATED
                if entry.is_usable and entry.data_centre in evacuated
                else candidates.Exclusion.NOT_READY,
                'stopping' if entry.stopping else entry.state.value,
            )
            for entry in self._control_plane.roster.roster.list_entries()
            if entry.service == service
            and entry.node_id not in described.node_ids
        ]

    def _describe_own_target(
        self, call_path: wiring.CallPath, route: call_rules.RouteRule
    ) -> explanation.OwnTarget:
        policy = call_path.admitter.policy
        config = self._control_plane.config
        report = call_path.gate.loads.find()
        slowdown = candidates.Figure(None, call_path.gate.loads.measure_age())
        if report is not None:
            slowdown = candidates.Figure(report.report.slowdown, report.age_s)
        busy = policy.in_flight + policy.queued
        return explanation.OwnTarget(
            running=candidates.Figure(policy.in_flight, 0.0),
            queued=candidates.Figure(policy.queued, 0.0),
            limit=candidates.Figure(policy.limit, 0.0),
            load=candidates.Figure(busy / policy.limit, 0.0),
            service_s=candidates.Figure(
                policy.estimate_service(route.name) or None
            ),
            cold_left_s=candidates.Figure(
                policy.cold.compute_left(time.monotonic()), 0.0
            ),
            slowdown=slowdown,
            is_evacuated=config.data_centre
            in self._control_plane.evacuations.evacuated,
            is_stopping=self._stopping,
        )


def _refuse_question(detail: str) -> explanation.Refused:
    return explanation.Refused(explanation.Problem.BAD_QUESTION, detail)


def _read_rate(
    call_path: wiring.CallPath, account: call_rules.AccountRule | None
) -> explanation.Rate | None:
    if account is None:
        return None
    view = call_path.quotas.read(account)
    is_near: bool | None = None
    if view.rate <= 0.0:
        is_near = False
    elif view.tokens is not None:
        is_near = view.tokens < 1.0
    return explanation.Rate(
        rate=view.rate,
        burst=view.burst,
        owner=view.owner,
        tokens=candidates.Figure(
            view.tokens, None if view.tokens is None else 0.0
        ),
        is_near=is_near,
        detail=view.detail,
    )


def _read_quarantine(
    confined: quarantine.Quarantine, question: Question, account: str
) -> explanation.Quarantine:
    request = message.Request(
        question.method,
        question.target,
        ((b'host', question.hostname.encode('latin-1', 'replace')),),
        b'',
    )
    digest = identity.compute_digest(request, account)
    standing = confined.find_standing(digest, clock.read_boot_time())
    subject = quarantine.Subject(question.method, question.target, account)
    records = sum(
        record.subject == subject and not record.lifted
        for record in confined.list_records()
    )
    return explanation.Quarantine(True, standing.value, records)

"""Tests that every check of the soak can fail, and excuses what it should."""

import unittest

from eelgrasswalk.bench import soak_checks


def build_call(
    request_id: str = 'r',
    *,
    node: int = 0,
    path: str = '/back/safe/',
    unsafe: bool = False,
    at: float = 0.0,
    status: int = 200,
    is_own: bool = True,
    calls_per_s: float | None = None,
    leaving: bool = False,
) -> soak_checks.Call:
    return soak_checks.Call(
        request_id=request_id,
        node=node,
        path=path,
        unsafe=unsafe,
        sent_at=at,
        ended_at=at,
        status=status,
        is_own=is_own,
        target_id='i-1',
        calls_per_s=calls_per_s,
        leaving=leaving,
    )


def build_run(
    request_id: str = 'r', *, node: int = 0, path: str = '', at: float = 0.0
) -> soak_checks.Run:
    return soak_checks.Run(request_id, 'i-1', node, at, True, path)


class SoakChecksTest(unittest.TestCase):
    def setUp(self) -> None:
        self.record = soak_checks.Record()

    def list_promises(self) -> list[str]:
        return [item.promise for item in soak_checks.check_all(self.record)]

    def test_answer_of_another_request(self) -> None:
        self.record.calls.append(build_call(is_own=False))
        self.assertEqual(['mixed'], self.list_promises())

    def test_second_run_of_an_unsafe_call(self) -> None:
        self.record.calls.append(build_call(unsafe=True))
        self.record.runs += [build_run(), build_run()]
        self.assertEqual(['twice'], self.list_promises())

    def test_refusal_of_a_call_that_has_run(self) -> None:
        self.record.calls.append(build_call(unsafe=True, status=503))
        self.record.runs.append(build_run())
        self.assertEqual(['refused'], self.list_promises())

    def test_late_call_to_a_target_that_has_departed(self) -> None:
        """Nothing excuses it, not even a restart of its node."""
        self.record.departures.append(soak_checks.Span('i-1', 1.0))
        self.record.node_faults.append(soak_checks.Span('0', 1.0, 9.0))
        self.record.calls.append(build_call())
        self.record.runs.append(build_run(at=3.4))
        self.assertEqual([], self.list_promises())
        self.record.runs.append(build_run(at=3.6))
        self.assertEqual(['drain'], self.list_promises())

    def fill_limit(self) -> None:
        self.record.limits.append(soak_checks.Span('i-1', 0.0, 20.0, 2.0))
        self.record.calls.append(build_call(at=0.1, calls_per_s=2.0))
        self.record.runs += [
            build_run(f'r{number}', at=5.0 + number * 0.1)
            for number in range(20)
        ]

    def test_calls_beyond_a_limit(self) -> None:
        self.fill_limit()
        self.assertEqual(['limit'], self.list_promises())

    def test_restart_excuses_calls_beyond_a_limit(self) -> None:
        self.fill_limit()
        self.record.node_faults.append(soak_checks.Span('0', 3.0, 4.0))
        self.assertEqual([], self.list_promises())

    def test_late_call_to_a_target_that_leaves(self) -> None:
        self.record.calls += [
            build_call('a', at=1.0, leaving=True),
            build_call('b', at=3.5),
        ]
        self.record.runs.append(build_run('b', at=3.6))
        self.assertEqual(['drain'], self.list_promises())
        self.record.node_faults.append(soak_checks.Span('0', 2.0, 2.5))
        self.assertEqual([], self.list_promises())

    def test_route_that_is_not_in_force_in_time(self) -> None:
        self.record.routes.append(soak_checks.Span('/new/', 10.0))
        self.record.calls.append(build_call(path='/new/', at=13.0, status=404))
        self.assertEqual(['config'], self.list_promises())
        self.record.store_faults.append(soak_checks.Span('store', 8.0, 9.0))
        self.assertEqual([], self.list_promises())

    def test_rules_that_go_back(self) -> None:
        self.record.routes.append(soak_checks.Span('/new/', 10.0))
        self.record.calls += [
            build_call(path='/new/', at=10.2),
            build_call(path='/new/', at=11.0, status=404),
        ]
        self.record.store_faults.append(soak_checks.Span('store', 8.0, 9.0))
        self.assertEqual(['config'], self.list_promises())

    def test_late_tries_of_a_request_that_crashes_its_targets(self) -> None:
        path = '/back/safe/deadly'
        self.record.crashes += [
            soak_checks.Span(path, at) for at in (1.0, 1.1, 1.2)
        ]
        for number in range(soak_checks.DEADLY_TRIES):
            self.record.runs.append(
                build_run(str(number), path=path, at=5.0 + number)
            )
        self.assertEqual([], self.list_promises())
        self.record.runs.append(build_run('late', path=path, at=9.0))
        self.assertEqual(['budget'], self.list_promises())
        self.record.node_faults.append(soak_checks.Span('0', 6.5, 7.0))
        self.assertEqual([], self.list_promises())

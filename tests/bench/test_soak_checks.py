"""Tests that every check of the soak can fail, and excuses what it should."""

import typing
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
    ended_at: float | None = None,
    **more: bool,
) -> soak_checks.Call:
    return soak_checks.Call(
        request_id=request_id,
        node=node,
        path=path,
        unsafe=unsafe,
        sent_at=at,
        ended_at=at if ended_at is None else ended_at,
        status=status,
        is_own=is_own,
        target_id='i-1',
        calls_per_s=calls_per_s,
        leaving=leaving,
        **more,
    )


def build_run(
    request_id: str = 'r',
    *,
    node: int = 0,
    path: str = '',
    at: float = 0.0,
    **more: typing.Any,
) -> soak_checks.Run:
    return soak_checks.Run(request_id, 'i-1', node, at, True, path, **more)


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

    def fill_cold(self, count: int, *, at: float = 5.0) -> None:
        self.record.cold.append(soak_checks.Span('i-1', 4.0, 8.0, 16.25))
        self.record.runs += [
            build_run(f'c{number}', at=at + number * 0.05)
            for number in range(count)
        ]

    def test_calls_beyond_what_a_cold_target_takes(self) -> None:
        """Neither a restart of a node nor an outage excuses them."""
        self.fill_cold(16)
        self.assertEqual([], self.list_promises())
        self.record.runs.append(build_run('last', at=5.9))
        self.assertEqual(['cold'], self.list_promises())
        self.record.node_faults.append(soak_checks.Span('0', 3.0, 9.0))
        self.record.store_faults.append(soak_checks.Span('store', 3.0, 9.0))
        self.assertEqual(['cold'], self.list_promises())

    def test_any_second_counts_for_a_cold_target(self) -> None:
        """Seconds of a clock would hide a burst on their border."""
        self.fill_cold(17, at=5.6)
        self.assertEqual(['cold'], self.list_promises())

    def test_warm_target_takes_any_number_of_calls(self) -> None:
        self.fill_cold(17, at=8.0)
        self.assertEqual([], self.list_promises())

    def test_refusals_of_an_earlier_run_do_not_count(self) -> None:
        self.fill_cold(16)
        self.record.runs.append(build_run('f', at=5.5, is_fenced=True))
        self.assertEqual([], self.list_promises())

    def test_stall_of_the_soak_excuses_calls_to_a_cold_target(self) -> None:
        """Calls that were read late seem to have come at once."""
        self.fill_cold(17)
        self.record.stalls.append(soak_checks.Span('soak', 4.0, 5.05))
        self.assertEqual([], self.list_promises())

    def evacuate(self, *, at: float, node: int = 0, gate: int = 1) -> None:
        self.record.evacuations.append(
            soak_checks.Span('dc-1', 10.0, 30.0, 5.0)
        )
        self.record.runs.append(
            build_run(node=node, gate=gate, at=at, data_centre='dc-1')
        )

    def test_late_call_to_an_evacuated_data_centre(self) -> None:
        self.evacuate(at=15.6)
        self.assertEqual(['evacuation'], self.list_promises())

    def test_calls_outside_the_bounds_of_an_evacuation(self) -> None:
        for at in (9.0, 15.4, 30.1):
            self.evacuate(at=at)
        self.record.runs.append(build_run(at=20.0, data_centre='dc-0'))
        self.assertEqual([], self.list_promises())

    def test_impaired_store_extends_the_bound_of_an_evacuation(self) -> None:
        self.record.store_faults.append(soak_checks.Span('store', 11.0, 12.0))
        self.evacuate(at=20.4)
        self.assertEqual([], self.list_promises())
        self.record.runs.append(build_run(at=20.6, data_centre='dc-1'))
        self.assertEqual(['evacuation'], self.list_promises())

    def test_later_outage_does_not_extend_an_evacuation(self) -> None:
        self.record.store_faults.append(soak_checks.Span('store', 15.6, 20.0))
        self.evacuate(at=17.0)
        self.assertEqual(['evacuation'], self.list_promises())

    def test_restarts_at_both_ends_excuse_a_call_in_an_evacuation(
        self,
    ) -> None:
        """One node in touch is enough to keep the call away."""
        self.evacuate(at=20.0)
        self.record.node_faults.append(soak_checks.Span('1', 18.0, 19.0))
        self.assertEqual(['evacuation'], self.list_promises())
        self.record.node_faults.append(soak_checks.Span('0', 18.0, 19.0))
        self.assertEqual([], self.list_promises())

    def test_answers_sent_ahead_in_another_order(self) -> None:
        self.record.calls.append(build_call(is_own=False, is_ahead=True))
        self.assertEqual(['order'], self.list_promises())

    def test_bad_request_for_the_number_sent_ahead(self) -> None:
        self.record.calls.append(build_call(status=400, is_ahead=True))
        self.assertEqual(['ahead'], self.list_promises())

    def test_request_forwarded_behind_a_close(self) -> None:
        """Its caller takes it for unread and sends it again."""
        self.record.calls.append(
            build_call(
                status=0, has_answer=False, is_ahead=True, is_behind_close=True
            )
        )
        self.assertEqual([], self.list_promises())
        self.record.runs.append(build_run())
        self.assertEqual(['ahead'], self.list_promises())

    def test_number_that_is_no_status_at_a_client(self) -> None:
        for status in (0, 99, 600, 999):
            self.record.calls.append(build_call(status=status))
        self.assertEqual(['status'] * 4, self.list_promises())

    def test_call_without_an_answer_has_no_invalid_status(self) -> None:
        self.record.calls.append(build_call(status=0, has_answer=False))
        self.assertEqual([], self.list_promises())

    def fill_invalid(self, status: int, *, ended_at: float) -> None:
        self.record.calls.append(
            build_call(unsafe=True, status=status, at=9.9, ended_at=ended_at)
        )
        self.record.runs.append(build_run(at=10.0, invalid_at=10.0))

    def test_call_held_after_an_invalid_status(self) -> None:
        """Numbers below 200 were taken for interim answers."""
        self.fill_invalid(502, ended_at=12.0)
        self.assertEqual(['status'], self.list_promises())
        self.record.node_faults.append(soak_checks.Span('0', 9.0, 10.0))
        self.assertEqual([], self.list_promises())

    def test_other_answer_than_502_after_an_invalid_status(self) -> None:
        self.fill_invalid(200, ended_at=10.1)
        self.assertEqual(['status'], self.list_promises())

    def test_bad_gateway_after_an_invalid_status(self) -> None:
        self.fill_invalid(502, ended_at=10.1)
        self.assertEqual([], self.list_promises())

"""A short run of mixed faults over a small mesh, by counts of requests."""

import unittest

from eelgrasswalk.bench import chaos_checks
from eelgrasswalk.bench import chaos_faults
from eelgrasswalk.bench import chaos_run
from eelgrasswalk.bench import chaos_schedule as schedule

SEED = 11
NODES = 6
REQUESTS_PER_UNIT = 120
KIND = schedule.Kind


def make_step(*faults: tuple[schedule.Kind, int | None]) -> schedule.Step:
    return schedule.Step(
        tuple(schedule.Fault(kind, node) for kind, node in faults)
    )


STEPS = (
    make_step((KIND.CUT, 1), (KIND.LOST_ANSWERS, None)),
    make_step((KIND.WITHDRAWAL, None), (KIND.SILENCE, 4)),
    make_step((KIND.PAUSE, 2), (KIND.RACE, None)),
    make_step((KIND.PLATFORM_SILENCE, None)),
    make_step((KIND.KILL, 5), (KIND.PLATFORM_SLOW, None)),
    make_step((KIND.PLANNED_STOP, 0)),
    make_step((KIND.PLATFORM_DOWN, None), (KIND.CUT, 4)),
    make_step((KIND.WITHDRAWAL, None), (KIND.PLATFORM_CUT, None)),
)


class ChaosTest(unittest.TestCase):
    def test_every_promise_holds(self) -> None:
        plan = chaos_run.Plan(
            seed=SEED,
            nodes=NODES,
            steps=STEPS,
            make_pace=lambda load: chaos_faults.CountPace(
                load, REQUESTS_PER_UNIT
            ),
        )
        evidence = chaos_run.run(plan)
        self.assertEqual([], chaos_checks.find_violations(evidence))
        statuses = [each.status for each in evidence.attempts]
        self.assertGreater(statuses.count(200), len(statuses) // 4)
        self.assertEqual(1, len(evidence.stops))
        self.assertGreater(len(evidence.withdrawals), 0)

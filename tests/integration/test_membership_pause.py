import unittest

from eelgrasswalk.bench import control_members

PACE = 0.5
IN_EACH = 4
PROCESSES = 3
ALL = IN_EACH * PROCESSES


class TestPausedProcess(unittest.TestCase):
    """Real processes, one of which is stopped and goes on later."""

    def setUp(self):
        self.workers = [
            control_members.WorkerProcess(
                IN_EACH * index, IN_EACH, f'dc-{index}', seed=1, pace=PACE
            )
            for index in range(PROCESSES)
        ]
        for worker in self.workers:
            self.addCleanup(worker.kill)
        for worker in self.workers:
            worker.read_members()
        members = [item for each in self.workers for item in each.members]
        for worker in self.workers:
            worker.ask('know', members=members)

    def _wait(self, worker, alive):
        """Ask until each member of a process believes so many alive."""
        while worker.ask('describe')['alive'] != alive:
            pass

    def test_paused_members_rejoin_and_nobody_else_dies(self):
        paused, *others = self.workers
        paused.pause()
        for worker in others:
            while worker.ask('describe')['present'] != ALL - IN_EACH:
                pass
        paused.resume()
        for worker in self.workers:
            self._wait(worker, ALL)
        names = {f'host-{item["number"]:04}' for item in paused.members}
        for worker in others:
            ever_dead = worker.ask('describe')['ever_dead']
            self.assertEqual(names, set(ever_dead))
        # Members of the paused process hear of each other's death from
        # those that went on, but believe nobody else dead.
        self.assertLessEqual(set(paused.ask('describe')['ever_dead']), names)


if __name__ == '__main__':
    unittest.main()

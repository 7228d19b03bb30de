"""The fields that every experiment's JSON object carries."""

import dataclasses
import os
import subprocess
import time


@dataclasses.dataclass(frozen=True, slots=True)
class Machine:
    """Where an experiment ran.

    Args:
        cores: Processor cores.
        load: Load average over one minute before the start.
    """

    cores: int
    load: float


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """What every experiment reports.

    Args:
        bench: Name of the experiment.
        seed: Seed of its random numbers.
        commit: Commit of the code, or None outside a repository.
        seconds: Seconds that it took.
        machine: Where it ran.
    """

    bench: str
    seed: int
    commit: str | None
    seconds: float
    machine: Machine


class Recorder:
    """Takes the time and the load from the start of an experiment."""

    def __init__(self, bench: str, seed: int) -> None:
        self._bench = bench
        self._seed = seed
        self._started_at = time.monotonic()
        cores = os.cpu_count() or 1
        self._machine = Machine(cores, os.getloadavg()[0])

    def finish(self) -> Record:
        """Return the record of an experiment that has ended."""
        seconds = time.monotonic() - self._started_at
        return Record(
            self._bench,
            self._seed,
            _find_commit(),
            round(seconds, 3),
            self._machine,
        )


def _find_commit() -> str | None:
    command = ['git', 'rev-parse', '--short=12', 'HEAD']
    directory = os.path.dirname(os.path.abspath(__file__))
    try:
        found = subprocess.run(
            command, capture_output=True, check=True, cwd=directory, text=True
        )
    except (OSError, subprocess.CalledProcessError):
        return None
    return found.stdout.strip()

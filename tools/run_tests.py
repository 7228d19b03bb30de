"""Run every test module, several side by side, and count the tests.

A failure listed in KNOWN-RED.txt is printed and not counted as failed.
"""

import argparse
import concurrent.futures
import dataclasses
import io
import multiprocessing
import pathlib
import sys
import time
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / 'KNOWN-RED.txt'
WORKERS = 4
# Modules that measure processes under load run after the others, one at a
# time.
ALONE_SUFFIX = '_crowds'
SLOWEST_SHOWN = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """What running one module gave.

    Args:
        module: Its name.
        run: Tests that ran.
        skipped: Tests that were skipped.
        broken: Ids of the tests that failed.
        report: The runner's text.
        seconds: How long it took.
    """

    module: str
    run: int
    skipped: int
    broken: tuple[str, ...]
    report: str
    seconds: float


def read_known_red() -> frozenset[str]:
    """Return the ids of the tests that are known to fail."""
    if not KNOWN_RED.exists():
        return frozenset()
    ids = []
    for line in KNOWN_RED.read_text().splitlines():
        if line.startswith('test: '):
            ids.append(line.removeprefix('test: ').strip())
    return frozenset(ids)


def list_modules() -> list[str]:
    """Return the names of all test modules, those with processes first."""
    paths = sorted((ROOT / 'tests').rglob('test_*.py'))
    names = [
        '.'.join(path.relative_to(ROOT).with_suffix('').parts)
        for path in paths
    ]
    return sorted(names, key=lambda name: '.integration.' not in name)


def run_module(name: str) -> Outcome:
    """Run one module's tests."""
    sys.path.insert(0, str(ROOT))
    started = time.monotonic()
    stream = io.StringIO()
    suite = unittest.defaultTestLoader.loadTestsFromName(name)
    runner = unittest.TextTestRunner(stream, verbosity=0, warnings='default')
    result = runner.run(suite)
    broken = tuple(test.id() for test, _ in result.failures + result.errors)
    return Outcome(
        module=name,
        run=result.testsRun,
        skipped=len(result.skipped),
        broken=broken,
        report=stream.getvalue(),
        seconds=time.monotonic() - started,
    )


def run_all(names: list[str], workers: int) -> list[Outcome]:
    """Run modules in processes of their own and report each failure."""
    outcomes = []
    context = multiprocessing.get_context('spawn')
    with concurrent.futures.ProcessPoolExecutor(
        workers, mp_context=context
    ) as pool:
        for outcome in pool.map(run_module, names):
            outcomes.append(outcome)
            if outcome.broken:
                print(outcome.report, flush=True)
    return outcomes


def main() -> int:
    """Run the tests and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('names', nargs='*', help='Test modules.')
    parser.add_argument('--workers', type=int, default=WORKERS)
    options = parser.parse_args()
    names = options.names or list_modules()
    alone = [name for name in names if name.endswith(ALONE_SUFFIX)]
    outcomes = run_all(
        [name for name in names if name not in alone], options.workers
    )
    outcomes += run_all(alone, 1)
    slowest = sorted(outcomes, key=lambda item: -item.seconds)
    for item in slowest[:SLOWEST_SHOWN]:
        print(f'{item.seconds:6.1f} s {item.module}')
    known = read_known_red()
    broken = [name for item in outcomes for name in item.broken]
    failed = [name for name in broken if name not in known]
    for name in broken:
        print(f'{"failed" if name in failed else "known red"}: {name}')
    run = sum(item.run for item in outcomes)
    skipped = sum(item.skipped for item in outcomes)
    passed = run - skipped - len(broken)
    print(f'{passed} passed, {len(failed)} failed')
    return 1 if failed or passed == 0 else 0


if __name__ == '__main__':
    sys.exit(main())

"""Run every test and end with one line that counts them.

A failure listed in KNOWN-RED.txt is printed and not counted as failed.
"""

import argparse
import pathlib
import sys
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / 'KNOWN-RED.txt'


def read_known_red() -> frozenset[str]:
    """Return the ids of the tests that are known to fail."""
    if not KNOWN_RED.exists():
        return frozenset()
    ids = []
    for line in KNOWN_RED.read_text().splitlines():
        if line.startswith('test: '):
            ids.append(line.removeprefix('test: ').strip())
    return frozenset(ids)


def load_tests(names: list[str]) -> unittest.TestSuite:
    """Load the named tests, or all of them."""
    loader = unittest.TestLoader()
    if names:
        return loader.loadTestsFromNames(names)
    return loader.discover(str(ROOT / 'tests'), top_level_dir=str(ROOT))


def main() -> int:
    """Run the tests and return the exit code."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('names', nargs='*')
    parser.add_argument('--verbose', action='store_true')
    options = parser.parse_args()
    sys.path.insert(0, str(ROOT))
    suite = load_tests(options.names)
    runner = unittest.TextTestRunner(verbosity=2 if options.verbose else 1)
    result = runner.run(suite)
    known = read_known_red()
    broken = [test.id() for test, _ in result.failures + result.errors]
    failed = [name for name in broken if name not in known]
    for name in broken:
        if name in known:
            print(f'known red: {name}')
    skipped = len(result.skipped)
    passed = result.testsRun - len(broken) - skipped
    print(f'{passed} passed, {len(failed)} failed')
    return 1 if failed or passed == 0 else 0


if __name__ == '__main__':
    sys.exit(main())

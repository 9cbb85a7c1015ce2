"""Runs every test and prints 'N passed, N failed' as the last line.

Tests listed in KNOWN-RED.txt run too; if they fail, their names are printed
but they do not fail the run.
"""

import sys
import unittest
from pathlib import Path

from hypothesis import settings

_ROOT = Path(__file__).resolve().parent.parent
_KNOWN_RED = _ROOT / 'KNOWN-RED.txt'


def _known_red_tests() -> frozenset[str]:
    if not _KNOWN_RED.exists():
        return frozenset()
    lines = _KNOWN_RED.read_text(encoding='utf-8').splitlines()
    return frozenset(
        line.split()[1] for line in lines if line.startswith('test: ')
    )


def _failed_names(outcome: unittest.TestResult) -> frozenset[str]:
    failures = (*outcome.failures, *outcome.errors)
    names = {_test_name(case) for case, _trace in failures}
    names.update(_test_name(case) for case in outcome.unexpectedSuccesses)
    return frozenset(names)


def _test_name(case: unittest.TestCase) -> str:
    # A failed subTest is reported as a wrapper around its test case.
    return getattr(case, 'test_case', case).id()


def main() -> int:
    """Run the tests below this folder; return the exit code."""
    # Every run has to try the same examples. `python -m unittest` tries new
    # ones each time, which is how faults are found.
    settings.register_profile('repeatable', derandomize=True)
    settings.load_profile('repeatable')
    suite = unittest.defaultTestLoader.discover(
        str(_ROOT / 'tests'),
        top_level_dir=str(_ROOT),
    )
    outcome = unittest.TextTestRunner(verbosity=1).run(suite)
    failed = _failed_names(outcome)
    known_red = failed & _known_red_tests()
    for name in sorted(known_red):
        print(f'known red, see KNOWN-RED.txt: {name}')
    sys.stdout.flush()
    unexpected_count = len(failed - known_red)
    passed_count = outcome.testsRun - len(failed)
    print(f'{passed_count} passed, {unexpected_count} failed')
    return 1 if unexpected_count or not passed_count else 0


if __name__ == '__main__':
    sys.exit(main())

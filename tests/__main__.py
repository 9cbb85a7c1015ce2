"""Runs every test and prints 'N passed, N failed' as the last line.

Tests named in KNOWN-RED.txt are run and printed, but do not fail the run.
"""

import sys
import unittest
from pathlib import Path

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
    broken = (*outcome.failures, *outcome.errors)
    names = {_test_name(case) for case, _trace in broken}
    names.update(_test_name(case) for case in outcome.unexpectedSuccesses)
    return frozenset(names)


def _test_name(case: unittest.TestCase) -> str:
    # A failing subTest reports a wrapper around the test it belongs to.
    return getattr(case, 'test_case', case).id()


def main() -> int:
    """Run the tests below this folder; return the exit code."""
    suite = unittest.defaultTestLoader.discover(
        str(_ROOT / 'tests'),
        top_level_dir=str(_ROOT),
    )
    outcome = unittest.TextTestRunner(verbosity=1).run(suite)
    failed = _failed_names(outcome)
    known = failed & _known_red_tests()
    for name in sorted(known):
        print(f'known red, see KNOWN-RED.txt: {name}')
    sys.stdout.flush()
    unexpected = len(failed - known)
    passed = outcome.testsRun - len(failed)
    print(f'{passed} passed, {unexpected} failed')
    return 1 if unexpected or not passed else 0


if __name__ == '__main__':
    sys.exit(main())

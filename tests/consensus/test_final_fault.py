"""Tests that a cluster survives its final fault after random days."""

import unittest

from tests.consensus.simulated_days import play_days

_SEEDS = range(1, 17)
"""``python -m tests.consensus.simulated_days`` plays more."""


class FinalFaultTest(unittest.TestCase):
    """Guards against acknowledged commands that no leader can serve again.

    That comes about when a voter set contains disks that were lost long ago, as
    the disks that are to replace them do not become voters. The loss of two
    more then leaves no majority.
    """

    def test_random_days(self) -> None:
        """After each day a leader is elected and serves all commands.

        Whenever faults have ended for a while, all voters are present.
        """
        failures: list[str] = []
        play_days(_SEEDS, failures.append)
        self.assertEqual('\n'.join(failures), '')

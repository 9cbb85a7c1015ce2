"""The recovery benchmark runs, and small states recover in time."""

import unittest
from pathlib import Path
from tempfile import TemporaryDirectory

from plantainstand_bench._recovery_benchmark import measure_recovery

_START_LIMIT_MS = 3000
"""Time from a start to ready that the operators ask for."""

_RECOVERY_LIMIT_MS = 15_000
"""Time after which service must have recovered from any loss."""


class RecoveryTests(unittest.TestCase):
    """Lost VMs and disks must not leave the control VMs stuck."""

    def test_recovers_in_time(self) -> None:
        """Each loss is repaired within the operators' bounds."""
        with TemporaryDirectory() as folder:
            figures = dict(measure_recovery(Path(folder), (2,)))
        self.assertLess(
            figures.pop('entry_start_to_ready_ms_2_vms'),
            _START_LIMIT_MS,
        )
        self.assertEqual(len(figures), 3)
        self.assertLess(max(figures.values()), _RECOVERY_LIMIT_MS)

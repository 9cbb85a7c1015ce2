"""A deployment of real daemons keeps its guarantees under faults."""

import json
import sys
import tempfile
import unittest
from pathlib import Path

from plantainstand_bench import load_main

_FOLDER = Path(__file__).parent
_BIN = Path(sys.executable).parent


class DeploymentTest(unittest.TestCase):
    """Guards against guarantees that hold per component but not end to end."""

    def test_guarantees_hold_under_faults(self) -> None:
        """VMs are killed, paused and stopped; targets give wrong answers.

        The load tool compares the outcomes that callers received with the
        targets' journals and exits with 1 if a guarantee was violated.
        """
        with tempfile.TemporaryDirectory() as folder:
            exit_code = load_main(
                (
                    *('--deployment', str(_FOLDER / 'deployment.jsonc')),
                    *('--faults', str(_FOLDER / 'faults.jsonc')),
                    *('--out', folder),
                    *('--seed', '1'),
                    *('--daemon', str(_BIN / 'plantainstandd')),
                    *('--control', str(_BIN / 'plantainstandctl')),
                ),
            )
            report = json.loads((Path(folder) / 'report.json').read_text())
        self.assertEqual(exit_code, 0, report)

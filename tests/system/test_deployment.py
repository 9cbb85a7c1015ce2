"""A deployment of real processes keeps its promises under faults."""

import json
import sys
import tempfile
import unittest
from pathlib import Path

from plantainstand_bench import load_main

_FOLDER = Path(__file__).parent
_BIN = Path(sys.executable).parent


class DeploymentTest(unittest.TestCase):
    """Guards against promises that hold in parts but not in the whole."""

    def test_faults(self) -> None:
        """Kills, a freeze, a lost disk, drains and lying targets.

        The tool compares what callers were told with the targets' journals
        and exits with 1 if a promise was broken.
        """
        with tempfile.TemporaryDirectory() as folder:
            code = load_main(
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
        self.assertEqual(code, 0, report)

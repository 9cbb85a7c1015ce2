"""Where the programs of a soak find their packages."""

import os
import sys
from contextlib import AbstractContextManager
from pathlib import Path
from unittest.mock import patch


def installed_packages() -> AbstractContextManager[object]:
    """Start programs with the interpreter that runs the tests.

    A clean checkout has no build of the deploy file yet.
    """
    folder = Path(sys.executable).parent
    return patch.dict(os.environ, PATH=f'{folder}:{os.environ["PATH"]}')

"""Tests of the platform adapter, which is not an installed package."""

import sys
from pathlib import Path

sys.path.append(str(Path(__file__).resolve().parents[2] / 'platform'))

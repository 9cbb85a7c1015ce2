"""Deterministic request ids."""

import uuid
from datetime import datetime

from plantainstand_core import RequestId

_VERSION = 0x7000 << 64
_VARIANT = 0x8000 << 48
_TIME_SHIFT = 80


def uuid7(moment: datetime, number: int) -> RequestId:
    """Build a UUID of version 7 from a time and a number."""
    milliseconds = int(moment.timestamp() * 1000)
    bits = milliseconds << _TIME_SHIFT | _VERSION | _VARIANT | number
    return RequestId(str(uuid.UUID(int=bits)))

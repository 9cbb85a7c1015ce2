"""What a process takes beside what it counts for its clients."""

import os
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

USABLE_FRACTION = 15 / 16
"""Part of the process's memory that is used; the rest is for what is taken
between two checks."""

LEAST_FRACTION = 1 / 8
"""Least part of the process's memory that is used as a budget, so that a
process that is large itself still serves small requests."""

_STATM = Path('/proc/self/statm')
_PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')


@dataclass(frozen=True, slots=True)
class ProcessMemory:
    """Memory of a process, which its clients get a part of."""

    memory_bytes: int
    """What the process may take."""

    resident_bytes: Callable[[], int]
    """Returns what it takes now."""

    @property
    def least_limit(self) -> int:
        """What clients may take at least."""
        return int(self.memory_bytes * LEAST_FRACTION)

    def limit_beside(self, counted_bytes: int) -> int:
        """Return what clients may take beside all that is not counted.

        That is the state of the process, and memory that was freed and not
        returned to the system: what small objects took is not used for bodies
        again, and the reverse.
        """
        uncounted_bytes = self.resident_bytes() - counted_bytes
        usable = int(self.memory_bytes * USABLE_FRACTION)
        return max(usable - uncounted_bytes, self.least_limit)


def own_resident_bytes() -> int:
    """Return the resident memory of this process."""
    pages = _STATM.read_text(encoding='ascii').split()[1]
    return int(pages) * _PAGE_BYTES

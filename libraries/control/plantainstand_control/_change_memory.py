"""Memory that changes of the operator take while they are executed."""

from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from types import MappingProxyType

import structlog

_log = structlog.get_logger()

SEPARATOR_COSTS: Mapping[bytes, int] = MappingProxyType(
    {b',': 80, b':': 40, b'[': 64, b'{': 160}
)
"""Bytes that the value behind, or the container that begins, takes at most: a
string of one letter in a list takes 72, an object with one key 272."""

MEMORY_FRACTION = 1 / 3
"""Part of the memory that the decoded changes may take together. The longest
change, a 32nd of the memory, takes two sevenths if it consists of routes."""


def decoded_bytes(document: bytes) -> int:
    """Return a bound of what a JSON document takes once it is decoded.

    Each value but the first is preceded by a separator, so a document of very
    short values takes many times its length.
    """
    costs = (
        document.count(separator) * cost
        for separator, cost in SEPARATOR_COSTS.items()
    )
    return len(document) + sum(costs)


class ChangeMemory:
    """Bounds what the changes that are executed at the same time take."""

    def __init__(self, memory_bytes: int):
        """Allow a part of the memory of the process."""
        self.limit = int(memory_bytes * MEMORY_FRACTION)
        self._held_bytes = 0

    @contextmanager
    def hold(self, size: int) -> Iterator[bool]:
        """Hold ``size`` bytes; yield False if there is no room for them now."""
        if self._held_bytes + size > self.limit:
            _log.warning(
                'change refused for memory',
                size=size,
                held_bytes=self._held_bytes,
                limit=self.limit,
            )
            yield False
            return
        self._held_bytes += size
        try:
            yield True
        finally:
            self._held_bytes -= size

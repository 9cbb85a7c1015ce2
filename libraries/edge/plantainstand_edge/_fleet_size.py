"""How many entry VMs share what is limited for all of them."""

from plantainstand_core import VmId

UNKNOWN_ENTRY_COUNT = 400
"""Assumed before a control VM has said how many there are: more than run
today, so that the sum stays within a limit."""


class FleetSize:
    """Largest count that a connected control VM has stated."""

    def __init__(self) -> None:
        """Start without a statement."""
        self._counts: dict[VmId, int] = {}

    @property
    def entry_count(self) -> int:
        """Number of entry VMs to share with."""
        return max(self._counts.values(), default=UNKNOWN_ENTRY_COUNT)

    def note(self, source: VmId, entry_count: int) -> None:
        """Take a control VM's count."""
        self._counts[source] = max(1, entry_count)

    def forget(self, source: VmId) -> None:
        """Drop a count, unless it is the last one known."""
        if len(self._counts) > 1:
            self._counts.pop(source, None)

"""Number of entry VMs that share limits which hold for all together."""

from plantainstand_core import VmId

ASSUMED_ENTRY_COUNT = 400
"""Number assumed before a control VM has reported one: above that of today's
deployments, so that the shares of all entry VMs stay within each limit."""


class FleetSize:
    """Largest number of entry VMs that a connected control VM reports."""

    def __init__(self) -> None:
        """Create a size without reported numbers."""
        self._counts: dict[VmId, int] = {}

    @property
    def entry_count(self) -> int:
        """Number of entry VMs that share a limit, this one included."""
        return max(self._counts.values(), default=ASSUMED_ENTRY_COUNT)

    def record(self, source: VmId, entry_count: int) -> None:
        """Record the number that the control VM ``source`` reports."""
        self._counts[source] = max(1, entry_count)

    def remove_source(self, source: VmId) -> None:
        """Drop a control VM's number, unless no other is known."""
        if len(self._counts) > 1:
            self._counts.pop(source, None)

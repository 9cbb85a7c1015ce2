"""Number of entry VMs that share limits which hold for all together."""

import structlog
from plantainstand_core import VmId
from plantainstand_placement import FleetPosition

_log = structlog.get_logger()

ASSUMED_ENTRY_COUNT = 400
"""Number assumed before a control VM has reported one: above that of today's
deployments, so that the shares of all entry VMs stay within each limit."""


class FleetSize:
    """Largest number of entry VMs that a connected control VM reports."""

    def __init__(self) -> None:
        """Create a size without reported numbers."""
        self._reports: dict[VmId, FleetPosition] = {}

    @property
    def place(self) -> FleetPosition:
        """Numbers by which this VM takes its share of limits."""
        return max(
            self._reports.values(),
            key=lambda report: report.entry_count,
            default=FleetPosition(ASSUMED_ENTRY_COUNT),
        )

    @property
    def entry_count(self) -> int:
        """Number of entry VMs that share a limit, this one included."""
        return self.place.entry_count

    @property
    def position(self) -> int | None:
        """Position of this VM among these, from 0, if known."""
        return self.place.position

    def record(
        self,
        source: VmId,
        entry_count: int,
        position: int | None = None,
        region_count: int | None = None,
        region_position: int | None = None,
    ) -> None:
        """Record what the control VM ``source`` reports."""
        before = self.place
        self._reports[source] = FleetPosition(
            max(1, entry_count), position, region_count, region_position
        )
        self._log_change(before, source)

    def remove_source(self, source: VmId) -> None:
        """Drop a control VM's report, unless no other is known."""
        before = self.place
        if len(self._reports) > 1:
            self._reports.pop(source, None)
        self._log_change(before, source)

    def _log_change(self, before: FleetPosition, source: VmId) -> None:
        place = self.place
        if place != before:
            _log.info(
                'number of entry VMs changed',
                entry_count=place.entry_count,
                entry_position=place.position,
                control=source,
            )

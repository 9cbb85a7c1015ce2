"""Loads of targets that the leader of the log passes on to entry VMs."""

import msgspec
from plantainstand_core import Clock
from plantainstand_fleet import (
    EntryReport,
    LoadUpdate,
    NewestLoads,
    encode_fleet_message,
)
from plantainstand_links import Link

MAX_UNSENT_BYTES = 64 * 1024
"""Unread bytes on a link above which it gets no update: the loads would be too
old when they are read, and delay changes of the desired state."""


class LoadExchange:
    """Newest loads that entry VMs reported to this control VM.

    Entry VMs report to all control VMs to which they are linked, so control VMs
    do not pass loads on to each other.
    """

    def __init__(self, clock: Clock):
        """Start without loads."""
        self._clock = clock
        self._newest = NewestLoads()
        self._receivers: set[Link] = set()

    def record_report(self, link: Link, report: EntryReport) -> EntryReport:
        """Record the loads of a report; return what is to be passed on.

        Limits and loads are new in nearly each report, which would therefore be
        passed on each time. A sender without loads does not know updates.
        """
        if report.loads is not None:
            self._receivers.add(link)
            self._newest.merge(report.loads, self._clock.monotonic())
        return msgspec.structs.replace(report, limits=(), loads=None)

    def send(self, *, leads: bool) -> None:
        """Send the loads that changed, if this control VM leads the log."""
        if not leads:
            return
        loads = self._newest.take_changed(self._clock.monotonic())
        if not loads:
            return
        frame = encode_fleet_message(LoadUpdate(loads))
        for link in self._receivers:
            if link.unsent_bytes <= MAX_UNSENT_BYTES:
                link.send(frame)

    def forget(self, link: Link) -> None:
        """Forget a link that was closed."""
        self._receivers.discard(link)

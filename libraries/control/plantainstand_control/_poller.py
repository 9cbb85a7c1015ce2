"""Reads the platform's list of targets."""

import asyncio
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from datetime import timedelta

import msgspec
import structlog
from plantainstand_core import Clock
from plantainstand_fleet import (
    TargetEntry,
    TargetListing,
    TargetUpdate,
)
from result import Err, Result

_log = structlog.get_logger()

READ_INTERVAL = timedelta(seconds=1)
"""Interval between two readings of the VM whose turn it is: a third of the
time in which a leaving target must get nothing more."""

TAKEOVER_DELAY = timedelta(milliseconds=500)
"""Further age of the list at which the next VM reads it too: a reading of
several pages from another region, and the way to the other VMs."""

TURN_SPACING = timedelta(milliseconds=200)
"""Time between the turns of the VMs after that one."""

MAX_SPACED_TURNS = 2
"""Turns that are spaced. All further VMs follow together, so that each of them
alone still notices a leaving target in time."""

DUE_CHECK_INTERVAL = timedelta(milliseconds=100)
"""How often it is looked whether a reading is due; a VM that becomes the
leader begins at once."""

COLD_TIME_TOLERANCE = timedelta(milliseconds=300)
"""Later end of a target's cold time that is told to other VMs; readings of
the same time differ by the way to the list and back."""

RATE_SHARE = 0.5
"""Part of the allowed calls that is used, since several VMs may read."""


@dataclass(frozen=True)
class ListProblem:
    """Why the list could not be read."""

    description: str
    """What happened, in one sentence."""


@dataclass(frozen=True)
class TargetList:
    """The whole list."""

    entries: Sequence[TargetEntry]
    calls: int
    """Calls that it took, one a page."""


ListReader = Callable[[], Awaitable[Result[TargetList, ListProblem]]]


@dataclass(frozen=True)
class ListReceivers:
    """Who is told of readings."""

    publish: Callable[[TargetUpdate], None]
    """Given each difference, whoever has read it."""

    share: Callable[[TargetUpdate], None]
    """Given what this VM has read itself, for the other control VMs."""


class ListPoller:
    """Keeps the newest list, read by this VM or by another control VM.

    One VM reads at a time and tells the others. Those read themselves, one
    after the other, once the list has become too old.
    """

    def __init__(
        self,
        read: ListReader,
        turn: Callable[[], int],
        receivers: ListReceivers,
        clock: Clock,
        calls_per_second: float,
    ):
        """``turn`` is 0 for the VM that reads, and counts the others."""
        self._read = read
        self._turn = turn
        self._receivers = receivers
        self._clock = clock
        self._calls_per_second = calls_per_second
        self._listing = TargetListing()
        self._tried_at = clock.monotonic() - READ_INTERVAL
        self._calls = 1
        self._reachable = True
        self._others_complete = False

    def full_update(self) -> TargetUpdate | None:
        """Return the whole list, if it was ever read."""
        if not self._listing.is_complete:
            return None
        age = self._clock.monotonic() - self._listing.seen_at
        return TargetUpdate(
            full=True,
            updated=tuple(self._listing.snapshot()),
            removed=(),
            age_seconds=age.total_seconds(),
        )

    def opening_messages(self) -> Sequence[TargetUpdate]:
        """Return what another VM is sent first."""
        full = self.full_update()
        return () if full is None else (full,)

    def adopt(self, listing: TargetListing) -> None:
        """Take what another control VM has read, if it is newer."""
        newer = listing.seen_at > self._listing.seen_at
        if newer and listing.is_complete:
            # Differences to this list mean nothing to the other VMs.
            self._others_complete = False
            self._take(listing.snapshot(), listing.seen_at)

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            now = self._clock.monotonic()
            newest = max(self._listing.seen_at, self._tried_at)
            if now - newest >= self._interval():
                self._tried_at = now
                await self._read_once(now)
            await asyncio.sleep(DUE_CHECK_INTERVAL.total_seconds())

    def _interval(self) -> timedelta:
        calls = self._calls_per_second * RATE_SHARE
        usual = max(READ_INTERVAL, timedelta(seconds=self._calls / calls))
        turn = self._turn()
        if not turn:
            return usual
        spaced_turns = min(turn - 1, MAX_SPACED_TURNS)
        return usual + TAKEOVER_DELAY + TURN_SPACING * spaced_turns

    async def _read_once(self, began: timedelta) -> None:
        outcome = await self._read()
        if isinstance(outcome, Err):
            self._note_reachable(outcome.err_value.description)
            return
        self._note_reachable(None)
        self._calls = outcome.ok_value.calls
        update = self._take(outcome.ok_value.entries, began)
        self._share(update)

    def _take(
        self,
        listed: Sequence[TargetEntry],
        began: timedelta,
    ) -> TargetUpdate:
        names = {entry.target for entry in listed}
        changed = tuple(
            entry for entry in listed if self._is_changed(entry, began)
        )
        gone = tuple(self._listing.entries.keys() - names)
        if changed or gone:
            _log.info(
                'target list changed',
                changed=[(each.target, each.draining) for each in changed[:8]],
                changed_count=len(changed),
                gone=list(gone[:8]),
            )
        now = self._clock.monotonic()
        update = TargetUpdate(
            full=not self._listing.is_complete,
            updated=changed,
            removed=gone,
            age_seconds=(now - began).total_seconds(),
        )
        self._listing.apply(update, now)
        self._receivers.publish(update)
        return update

    def _is_changed(self, entry: TargetEntry, seen_at: timedelta) -> bool:
        """Tell whether an entry says something new.

        The remaining cold time of each cold target is another in each
        reading; as long as it only runs down, nobody needs to be told.
        """
        known = self._listing.entries.get(entry.target)
        if known != msgspec.structs.replace(entry, cold_seconds=0):
            return True
        if entry.cold_seconds <= 0:
            return False
        cold_until = seen_at + timedelta(seconds=entry.cold_seconds)
        known_until = self._listing.cold_until.get(entry.target, seen_at)
        return cold_until > known_until + COLD_TIME_TOLERANCE

    def _share(self, update: TargetUpdate) -> None:
        full = self.full_update()
        if self._others_complete or full is None:
            self._receivers.share(update)
        else:
            self._receivers.share(full)
            self._others_complete = True

    def _note_reachable(self, problem: str | None) -> None:
        reachable = problem is None
        if reachable != self._reachable:
            self._reachable = reachable
            event = 'target list readable again'
            if problem is not None:
                event = 'target list unreadable'
            _log.warning(event, problem=problem)

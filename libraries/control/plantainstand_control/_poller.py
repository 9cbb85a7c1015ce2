"""Polling of the platform's list of targets."""

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
"""Interval between two readings by the VM of rank 0: a third of the time after
which a leaving target must get no more requests."""

TAKEOVER_DELAY = timedelta(milliseconds=500)
"""Additional age of the list after which the VM of rank 1 reads it too. Covers
the reading of several pages from another region and the transfer of the result
to the other VMs."""

READER_RANK_SPACING = timedelta(milliseconds=200)
"""Additional delay of each further rank."""

MAX_SPACED_RANKS = 2
"""Number of ranks after rank 1 with a delay of their own. All higher ranks have
the delay of the last of them, so that any VM alone still notices a leaving
target in time."""

DUE_CHECK_INTERVAL = timedelta(milliseconds=100)
"""Interval between two checks whether a reading is due. Bounds the delay until
a VM that becomes the leader starts to read."""

COLD_TIME_TOLERANCE = timedelta(milliseconds=300)
"""Delay of the end of a target's cold time above which the change is sent to
other VMs. Smaller differences come from the round trip time to the list."""

CALL_RATE_FRACTION = 0.5
"""Part of the permitted call rate that one VM uses, as several VMs may read."""


@dataclass(frozen=True)
class ListProblem:
    """Reason why the list could not be read."""

    description: str
    """One sentence for the log."""


@dataclass(frozen=True)
class TargetList:
    """A complete reading of the list."""

    entries: Sequence[TargetEntry]
    calls: int
    """Number of calls that the reading took, one for each page."""


ListReader = Callable[[], Awaitable[Result[TargetList, ListProblem]]]


@dataclass(frozen=True)
class ListReceivers:
    """Callbacks that receive the results of readings."""

    publish: Callable[[TargetUpdate], None]
    """Receives each difference, whichever control VM read the list."""

    share: Callable[[TargetUpdate], None]
    """Receives what this VM has read itself, for the other control VMs."""


class ListPoller:
    """Keeps the newest list, read by this VM or by another control VM.

    Normally only the VM of rank 0 reads the list and sends it to the others.
    When the list becomes too old, the VMs of higher ranks start to read it
    too, in the order of their ranks.
    """

    def __init__(
        self,
        read: ListReader,
        reader_rank: Callable[[], int],
        receivers: ListReceivers,
        clock: Clock,
        calls_per_second: float,
    ):
        """Read with ``read``, paced by the rank that ``reader_rank`` returns.

        ``calls_per_second`` is the call rate permitted for all VMs together.
        """
        self._read = read
        self._reader_rank = reader_rank
        self._receivers = receivers
        self._clock = clock
        self._calls_per_second = calls_per_second
        self._listing = TargetListing()
        self._last_attempt_at = clock.monotonic() - READ_INTERVAL
        self._calls_per_reading = 1
        self._is_readable = True
        self._peers_have_full_list = False

    def full_update(self) -> TargetUpdate | None:
        """Return the whole list, or None if it was never read."""
        if not self._listing.is_complete:
            return None
        age = self._clock.monotonic() - self._listing.seen_at
        return TargetUpdate(
            full=True,
            updated=tuple(self._listing.snapshot()),
            removed=(),
            age_seconds=age.total_seconds(),
        )

    def initial_messages(self) -> Sequence[TargetUpdate]:
        """Return what is sent first to another control VM."""
        full = self.full_update()
        return () if full is None else (full,)

    def adopt_if_newer(self, listing: TargetListing) -> None:
        """Replace the list by that of another control VM, if newer."""
        is_newer = listing.seen_at > self._listing.seen_at
        if is_newer and listing.is_complete:
            # The other control VMs may lack this list, so the next reading of
            # this VM is shared whole and not as a difference to it.
            self._peers_have_full_list = False
            self._apply_reading(listing.snapshot(), listing.seen_at)

    async def run(self) -> None:
        """Read the list whenever a reading is due, until cancelled."""
        while True:
            now = self._clock.monotonic()
            last_reading_at = max(self._listing.seen_at, self._last_attempt_at)
            if now - last_reading_at >= self._interval():
                self._last_attempt_at = now
                await self._read_once(now)
            await asyncio.sleep(DUE_CHECK_INTERVAL.total_seconds())

    def _interval(self) -> timedelta:
        calls = self._calls_per_second * CALL_RATE_FRACTION
        rank_zero_interval = max(
            READ_INTERVAL, timedelta(seconds=self._calls_per_reading / calls)
        )
        rank = self._reader_rank()
        if not rank:
            return rank_zero_interval
        spaced_ranks = min(rank - 1, MAX_SPACED_RANKS)
        return (
            rank_zero_interval
            + TAKEOVER_DELAY
            + READER_RANK_SPACING * spaced_ranks
        )

    async def _read_once(self, started_at: timedelta) -> None:
        try:
            outcome = await self._read()
        except Exception as fault:
            # The reading has to go on, whatever another program has listed.
            _log.exception('reader of the target list failed')
            outcome = Err(ListProblem(repr(fault)))
        if isinstance(outcome, Err):
            self._record_readability(outcome.err_value.description)
            return
        self._record_readability(None)
        self._calls_per_reading = outcome.ok_value.calls
        if started_at < self._listing.seen_at:
            # Another control VM has read the list since.
            return
        update = self._apply_reading(outcome.ok_value.entries, started_at)
        self._share(update)

    def _apply_reading(
        self,
        listed: Sequence[TargetEntry],
        started_at: timedelta,
    ) -> TargetUpdate:
        listed_targets = {entry.target for entry in listed}
        changed = tuple(
            entry for entry in listed if self._is_changed(entry, started_at)
        )
        gone = tuple(self._listing.entries.keys() - listed_targets)
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
            age_seconds=(now - started_at).total_seconds(),
        )
        self._listing.apply(update, now)
        self._receivers.publish(update)
        return update

    def _is_changed(self, entry: TargetEntry, seen_at: timedelta) -> bool:
        """Return whether an entry differs from the known one.

        The remaining cold time of a cold target decreases with each reading.
        A decrease alone is no change, so it is not sent to other VMs.
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
        if self._peers_have_full_list or full is None:
            self._receivers.share(update)
        else:
            self._receivers.share(full)
            self._peers_have_full_list = True

    def _record_readability(self, problem: str | None) -> None:
        is_readable = problem is None
        if is_readable != self._is_readable:
            self._is_readable = is_readable
            event = 'target list could be read again'
            if problem is not None:
                event = 'target list could not be read'
            _log.warning(event, problem=problem)

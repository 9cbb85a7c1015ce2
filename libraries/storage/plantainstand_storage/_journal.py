"""Append-only journal of checksummed records, stored as segment files."""

from collections.abc import Callable, Sequence
from pathlib import Path
from typing import TypeVar

from plantainstand_core import LogIndex
from result import Err, Ok, Result

from plantainstand_storage._file_system import FileSystem, LocalFileSystem
from plantainstand_storage._problems import (
    CorruptionError,
    StorageProblem,
    StorageProblemKind,
    capture_errors,
)
from plantainstand_storage._records import SegmentOrigin
from plantainstand_storage._recovery import (
    RecoveredJournal,
    TornTail,
    recover_journal,
)
from plantainstand_storage._segment import Segment

ValueT = TypeVar('ValueT')

SEGMENT_BYTES = 1 << 24
"""Length (16 MiB) from which on a segment is full and a new one is created."""

_FIRST_INDEX = 1


class Journal:
    """Records with consecutive indexes that survive a crash once synced.

    Not safe for concurrent use: the class has no lock.
    """

    def __init__(
        self,
        file_system: FileSystem,
        folder: Path,
        recovered: RecoveredJournal,
        segment_bytes: int,
    ):
        """Use a recovered folder; callers use :meth:`open` instead."""
        self._file_system = file_system
        self._folder = folder
        self._segments = recovered.segments
        self._torn_tail = recovered.torn_tail
        self._segment_bytes = segment_bytes
        self._has_unsynced_records = False
        self._failure: StorageProblem | None = None

    @property
    def first_index(self) -> LogIndex:
        """Index of the oldest record; that of the next record if empty."""
        return LogIndex(self._segments[0].first_index)

    @property
    def last_index(self) -> LogIndex:
        """Index of the newest record; ``first_index - 1`` if empty."""
        return LogIndex(self._segments[-1].next_index - 1)

    @property
    def torn_tail(self) -> TornTail | None:
        """Torn tail that was removed when the journal was opened."""
        return self._torn_tail

    @classmethod
    def open(
        cls,
        folder: Path,
        file_system: FileSystem | None = None,
        segment_bytes: int = SEGMENT_BYTES,
        *,
        create: bool = True,
    ) -> 'Result[Journal, StorageProblem]':
        """Open the journal in ``folder`` and check every record.

        A missing or empty folder becomes an empty journal; without ``create``
        it is a ``CORRUPT`` problem. A torn tail of the newest segment is
        removed and reported as :attr:`torn_tail`; any other damage is a
        ``CORRUPT`` problem.
        """
        files = file_system or LocalFileSystem()
        return capture_errors(
            folder,
            lambda: _recover_or_create(files, folder, create=create),
        ).map(
            lambda recovered: cls(files, folder, recovered, segment_bytes),
        )

    def append(
        self,
        records: Sequence[bytes],
    ) -> Result[LogIndex, StorageProblem]:
        """Append records and return the index of the last one.

        The records are durable after the next :meth:`sync`. After a
        ``DISK_FULL`` problem none of the records is stored and the journal
        remains usable.
        """
        if self._failure is not None:
            return Err(_failed_before(self._failure))
        rotated = self._rotate()
        if isinstance(rotated, Err):
            return rotated
        self._has_unsynced_records = True
        newest = self._segments[-1]
        length = newest.length
        written = capture_errors(newest.path, lambda: newest.append(records))
        if written.is_err():
            # The next record must not follow a partial one.
            self._run_unless_failed(lambda: newest.truncate(length))
        return written.map(lambda _none: self.last_index)

    def sync(self) -> Result[None, StorageProblem]:
        """Make every appended record durable.

        A failed sync leaves the state of the disk unknown, so the journal
        refuses all later writes and syncs.
        """
        if self._failure is None and not self._has_unsynced_records:
            return Ok(None)
        return self._run_unless_failed(self._sync_newest)

    def read(self, index: LogIndex) -> Result[bytes, StorageProblem]:
        """Return a record after verifying its checksum again.

        An index that is not in the journal is a programming error and raises
        :exc:`IndexError`.
        """
        matching = [
            segment
            for segment in self._segments
            if segment.first_index <= index < segment.next_index
        ]
        return capture_errors(self._folder, lambda: matching[0].read(index))

    def read_each(
        self,
        first: LogIndex,
        receive: Callable[[bytes], None],
    ) -> Result[None, StorageProblem]:
        """Call ``receive`` with each record from ``first`` on, verified again.

        One file of the journal is in memory at a time.
        """
        return capture_errors(
            self._folder,
            lambda: _read_each(self._segments, first, receive),
        )

    @property
    def stored_bytes(self) -> int:
        """Length of all files of the journal."""
        return sum(segment.length for segment in tuple(self._segments))

    def truncate_from(self, index: LogIndex) -> Result[None, StorageProblem]:
        """Remove the records from ``index`` on; durable on return."""
        return self._run_unless_failed(lambda: _truncate(self._segments, index))

    def discard_through(self, index: LogIndex) -> Result[None, StorageProblem]:
        """Remove records that a snapshot at ``index`` replaces.

        Whole segments are removed, so :attr:`first_index` may remain lower.
        From :attr:`last_index` on everything is removed and the next record
        gets the index after ``index``. Durable on return.
        """
        return self._run_unless_failed(lambda: self._discard(index))

    def close(self) -> None:
        """Close the files without a sync."""
        for segment in self._segments:
            segment.close()

    def _run_unless_failed(
        self,
        action: Callable[[], ValueT],
    ) -> Result[ValueT, StorageProblem]:
        if self._failure is not None:
            return Err(_failed_before(self._failure))
        outcome = capture_errors(self._folder, action)
        if isinstance(outcome, Err):
            self._failure = outcome.err_value
        return outcome

    def _rotate(self) -> Result[None, StorageProblem]:
        newest = self._segments[-1]
        if newest.length < self._segment_bytes:
            return Ok(None)
        # Recovery accepts a torn tail in the newest segment only.
        synced = self._run_unless_failed(newest.sync)
        if synced.is_err():
            return synced
        newest.close()
        return capture_errors(
            self._folder,
            lambda: self._add_segment(
                newest.next_index, SegmentOrigin.CONTINUES
            ),
        )

    def _add_segment(self, first_index: int, origin: SegmentOrigin) -> None:
        segment = Segment.create(
            self._file_system,
            self._folder,
            first_index,
            origin,
        )
        self._segments.append(segment)

    def _sync_newest(self) -> None:
        newest = self._segments[-1]
        newest.sync()
        self._has_unsynced_records = False
        length = newest.length
        mark_written = capture_errors(newest.path, newest.write_sync_mark)
        if mark_written.is_err():
            newest.truncate(length)

    def _discard(self, index: LogIndex) -> None:
        newest = self._segments[-1]
        if index >= newest.next_index:
            newest.sync()
            self._add_segment(index + 1, SegmentOrigin.STARTS_OVER)
        elif index == self.last_index and index >= newest.first_index:
            newest.sync()
            self._add_segment(index + 1, SegmentOrigin.CONTINUES)
        # Oldest first, so that a crash leaves no gap between segments.
        while len(self._segments) > 1 and self._segments[1].first_index <= (
            index + 1
        ):
            self._segments.pop(0).remove()


def _read_each(
    segments: Sequence[Segment],
    first: LogIndex,
    receive: Callable[[bytes], None],
) -> None:
    for segment in segments:
        for record in segment.read_from(first):
            receive(record)


def _truncate(segments: list[Segment], index: LogIndex) -> None:
    # Newest first, so that a crash leaves no gap between segments.
    while index <= segments[-1].first_index and len(segments) > 1:
        segments.pop().remove()
    segments[-1].truncate_from(index)


def _recover_or_create(
    file_system: FileSystem,
    folder: Path,
    *,
    create: bool,
) -> RecoveredJournal:
    file_system.make_folder(folder)
    recovered = recover_journal(file_system, folder)
    if not recovered.segments:
        if not create:
            raise CorruptionError(folder, 'the journal is missing')
        segment = Segment.create(
            file_system,
            folder,
            _FIRST_INDEX,
            SegmentOrigin.CONTINUES,
        )
        recovered.segments.append(segment)
    return recovered


def _failed_before(cause: StorageProblem) -> StorageProblem:
    return StorageProblem(
        StorageProblemKind.FAILED_BEFORE,
        cause.path,
        f'an earlier journal operation failed: {cause.message}',
    )

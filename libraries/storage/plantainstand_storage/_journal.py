"""Append-only journal of checksummed records in a folder of segments."""

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
    catching,
)
from plantainstand_storage._records import Origin
from plantainstand_storage._recovery import Recovered, TornTail, recover
from plantainstand_storage._segment import Segment

ValueT = TypeVar('ValueT')

SEGMENT_BYTES = 1 << 24
"""Length (16 MiB) from which on a new segment is started."""

_FIRST_INDEX = 1


class Journal:
    """Numbered records that survive a crash once they are synced.

    One caller at a time; the class does not lock.
    """

    def __init__(
        self,
        file_system: FileSystem,
        folder: Path,
        recovered: Recovered,
        segment_bytes: int,
    ):
        """Continue a recovered folder; use :meth:`open` instead."""
        self._file_system = file_system
        self._folder = folder
        self._segments = recovered.segments
        self._torn_tail = recovered.torn_tail
        self._segment_bytes = segment_bytes
        self._unsynced = False
        self._failure: StorageProblem | None = None

    @property
    def first_index(self) -> LogIndex:
        """Index of the oldest record, or of the next one if empty."""
        return LogIndex(self._segments[0].first_index)

    @property
    def last_index(self) -> LogIndex:
        """Index of the newest record; ``first_index - 1`` if empty."""
        return LogIndex(self._segments[-1].next_index - 1)

    @property
    def torn_tail(self) -> TornTail | None:
        """What was cut when the journal was opened."""
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
        """Check every record of ``folder``; create the folder if missing.

        Without ``create`` an empty or missing folder is a ``CORRUPT`` problem.
        A torn tail of the newest segment is cut and reported as
        :attr:`torn_tail`; other damage is a ``CORRUPT`` problem.
        """
        files = file_system or LocalFileSystem()
        return catching(
            folder,
            lambda: _recover_or_create(files, folder, create=create),
        ).map(
            lambda recovered: cls(files, folder, recovered, segment_bytes),
        )

    def append(
        self,
        records: Sequence[bytes],
    ) -> Result[LogIndex, StorageProblem]:
        """Write records and return the index of the last one.

        They are durable after the next :meth:`sync`. With a ``DISK_FULL``
        problem none of them is stored and the journal remains usable.
        """
        if self._failure is not None:
            return Err(_failed_before(self._failure))
        rotated = self._rotate()
        if isinstance(rotated, Err):
            return rotated
        self._unsynced = True
        newest = self._segments[-1]
        length = newest.length
        written = catching(newest.path, lambda: newest.append(records))
        if written.is_err():
            # Without the cut, the next record would follow a partial one.
            self._guard(lambda: newest.cut(length))
        return written.map(lambda _none: self.last_index)

    def sync(self) -> Result[None, StorageProblem]:
        """Make every appended record durable.

        A failed sync leaves the state of the disk unknown, so the journal
        refuses everything after it.
        """
        if self._failure is None and not self._unsynced:
            return Ok(None)
        return self._guard(self._sync_newest)

    def read(self, index: LogIndex) -> Result[bytes, StorageProblem]:
        """Return a record after checking it again.

        An index outside of the journal is a programming error.
        """
        holding = [
            segment
            for segment in self._segments
            if segment.first_index <= index < segment.next_index
        ]
        return catching(self._folder, lambda: holding[0].read(index))

    def read_all(self) -> Result[Sequence[bytes], StorageProblem]:
        """Return every record, checked again, from ``first_index`` on."""
        return catching(
            self._folder,
            lambda: [
                record
                for segment in self._segments
                for record in segment.read_all()
            ],
        )

    def truncate_from(self, index: LogIndex) -> Result[None, StorageProblem]:
        """Remove the records from ``index`` on; durable on return."""
        return self._guard(lambda: self._truncate(index))

    def discard_through(self, index: LogIndex) -> Result[None, StorageProblem]:
        """Remove records that a snapshot at ``index`` replaces.

        Whole segments are removed, so :attr:`first_index` may remain lower.
        From :attr:`last_index` on everything is removed and the next record
        gets the index after ``index``. Durable on return.
        """
        return self._guard(lambda: self._discard(index))

    def close(self) -> None:
        """Close the files without a sync."""
        for segment in self._segments:
            segment.close()

    def _guard(
        self,
        action: Callable[[], ValueT],
    ) -> Result[ValueT, StorageProblem]:
        if self._failure is not None:
            return Err(_failed_before(self._failure))
        outcome = catching(self._folder, action)
        if isinstance(outcome, Err):
            self._failure = outcome.err_value
        return outcome

    def _rotate(self) -> Result[None, StorageProblem]:
        newest = self._segments[-1]
        if newest.length < self._segment_bytes:
            return Ok(None)
        # Only the newest segment may have a torn tail.
        synced = self._guard(newest.sync)
        if synced.is_err():
            return synced
        newest.close()
        return catching(
            self._folder,
            lambda: self._add_segment(newest.next_index, Origin.CONTINUES),
        )

    def _add_segment(self, first_index: int, origin: Origin) -> None:
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
        self._unsynced = False
        length = newest.length
        marked = catching(newest.path, newest.write_sync_mark)
        if marked.is_err():
            newest.cut(length)

    def _truncate(self, index: LogIndex) -> None:
        # Newest first, so that a crash leaves no gap.
        while (
            index <= self._segments[-1].first_index and len(self._segments) > 1
        ):
            self._segments.pop().remove()
        self._segments[-1].truncate_from(index)

    def _discard(self, index: LogIndex) -> None:
        newest = self._segments[-1]
        if index >= newest.next_index:
            newest.sync()
            self._add_segment(index + 1, Origin.STARTS_OVER)
        elif index == self.last_index and index >= newest.first_index:
            newest.sync()
            self._add_segment(index + 1, Origin.CONTINUES)
        # Oldest first, so that a crash leaves no gap.
        while len(self._segments) > 1 and self._segments[1].first_index <= (
            index + 1
        ):
            self._segments.pop(0).remove()


def _recover_or_create(
    file_system: FileSystem,
    folder: Path,
    *,
    create: bool,
) -> Recovered:
    file_system.make_folder(folder)
    recovered = recover(file_system, folder)
    if not recovered.segments:
        if not create:
            raise CorruptionError(folder, 'the journal is missing')
        segment = Segment.create(
            file_system,
            folder,
            _FIRST_INDEX,
            Origin.CONTINUES,
        )
        recovered.segments.append(segment)
    return recovered


def _failed_before(cause: StorageProblem) -> StorageProblem:
    return StorageProblem(
        StorageProblemKind.FAILED_BEFORE,
        cause.path,
        f'the journal failed before: {cause.message}',
    )

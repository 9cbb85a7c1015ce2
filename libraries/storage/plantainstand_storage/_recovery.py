"""Recovery of a journal folder when it is opened."""

from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from plantainstand_storage._file_system import FileSystem
from plantainstand_storage._problems import CorruptionError
from plantainstand_storage._records import (
    SegmentOrigin,
    SegmentScan,
    contains_record,
    decode_segment_header,
    scan_records,
)
from plantainstand_storage._segment import (
    Segment,
    segment_first_indexes,
    segment_path,
)


@dataclass(frozen=True)
class TornTail:
    """Bytes left by a write that was interrupted before its sync."""

    path: Path
    """File from which the bytes were removed."""

    offset: int
    """Length of the file without the bytes."""

    removed_bytes: int
    """Number of bytes that were removed."""


@dataclass(frozen=True)
class RecoveredJournal:
    """Valid segments of a folder, and the torn tail that was removed."""

    segments: list[Segment]
    torn_tail: TornTail | None


def recover_journal(file_system: FileSystem, folder: Path) -> RecoveredJournal:
    """Check every segment and remove a torn tail of the newest one.

    Raises CorruptionError for any other damage.
    """
    indexes = segment_first_indexes(file_system.list_names(folder))
    recovered = RecoveredJournal([], None)
    for first_index in indexes:
        path = segment_path(folder, first_index)
        torn_tail = _recover_segment(
            file_system,
            path,
            first_index,
            recovered.segments,
            is_newest=first_index == indexes[-1],
        )
        recovered = RecoveredJournal(recovered.segments, torn_tail)
    return recovered


def _recover_segment(
    file_system: FileSystem,
    path: Path,
    first_index: int,
    earlier: list[Segment],
    *,
    is_newest: bool,
) -> TornTail | None:
    content = file_system.read(path)
    origin = decode_segment_header(content, first_index)
    if origin is None:
        torn_tail = _check_torn_header(path, content, first_index, is_newest)
        file_system.remove(path)
        file_system.sync_folder(path.parent)
        return torn_tail
    if origin == SegmentOrigin.STARTS_OVER:
        _remove_all(earlier)
    _check_sequence(earlier, path, first_index)
    scan = scan_records(content, first_index)
    segment = Segment(file_system, path, first_index, scan.offsets, scan.end)
    earlier.append(segment)
    return _remove_torn_tail(segment, scan, len(content), is_newest)


def _check_torn_header(
    path: Path,
    content: bytes,
    first_index: int,
    is_newest: bool,
) -> TornTail:
    # Records are written only after the header was synced, so a damaged header
    # before a valid record is not the result of an interrupted write.
    if not is_newest or contains_record(content, first_index):
        raise CorruptionError(path, 'the segment header is damaged')
    return TornTail(path, 0, len(content))


def _remove_all(obsolete: list[Segment]) -> None:
    for segment in obsolete:
        segment.remove()
    obsolete.clear()


def _check_sequence(
    earlier: Sequence[Segment],
    path: Path,
    first_index: int,
) -> None:
    expected = earlier[-1].next_index if earlier else first_index
    if first_index != expected:
        raise CorruptionError(
            path,
            f'entries {expected} to {first_index - 1} are missing',
        )


def _remove_torn_tail(
    segment: Segment,
    scan: SegmentScan,
    length: int,
    is_newest: bool,
) -> TornTail | None:
    if scan.end == length:
        return None
    if not is_newest or scan.has_synced_damage:
        raise CorruptionError(
            segment.path,
            f'a synced record at offset {scan.end} is damaged',
        )
    segment.truncate(scan.end)
    return TornTail(segment.path, scan.end, length - scan.end)

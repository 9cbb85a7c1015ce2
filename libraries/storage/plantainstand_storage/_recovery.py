"""Reading a journal folder at start: what is valid, torn or corrupt."""

from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from plantainstand_storage._file_system import FileSystem
from plantainstand_storage._problems import CorruptionError
from plantainstand_storage._records import (
    Origin,
    Scan,
    decode_segment_header,
    holds_any_record,
    scan_records,
)
from plantainstand_storage._segment import (
    Segment,
    segment_indexes,
    segment_path,
)


@dataclass(frozen=True)
class TornTail:
    """Remains of a write that was interrupted before its sync."""

    path: Path
    """File that was cut."""

    offset: int
    """Length of the file after the cut."""

    removed_bytes: int
    """Bytes that were cut off."""


@dataclass(frozen=True)
class Recovered:
    """Valid content of a folder."""

    segments: list[Segment]
    torn_tail: TornTail | None


def recover(file_system: FileSystem, folder: Path) -> Recovered:
    """Check every segment; cut a torn tail of the newest one.

    Raises CorruptionError for damage anywhere else.
    """
    indexes = segment_indexes(file_system.names(folder))
    recovered = Recovered([], None)
    for first_index in indexes:
        path = segment_path(folder, first_index)
        torn_tail = _recover_segment(
            file_system,
            path,
            first_index,
            recovered.segments,
            newest=first_index == indexes[-1],
        )
        recovered = Recovered(recovered.segments, torn_tail)
    return recovered


def _recover_segment(
    file_system: FileSystem,
    path: Path,
    first_index: int,
    earlier: list[Segment],
    *,
    newest: bool,
) -> TornTail | None:
    content = file_system.read(path)
    origin = decode_segment_header(content, first_index)
    if origin is None:
        torn_tail = _torn_header(path, content, first_index, newest)
        file_system.remove(path)
        file_system.sync_folder(path.parent)
        return torn_tail
    if origin == Origin.STARTS_OVER:
        _remove_all(earlier)
    _check_sequence(earlier, path, first_index)
    scan = scan_records(content, first_index)
    segment = Segment(file_system, path, first_index, scan.offsets, scan.end)
    earlier.append(segment)
    return _cut_torn_tail(segment, scan, len(content), newest)


def _torn_header(
    path: Path,
    content: bytes,
    first_index: int,
    newest: bool,
) -> TornTail:
    # A segment gets records only after its header was synced.
    if not newest or holds_any_record(content, first_index):
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


def _cut_torn_tail(
    segment: Segment,
    scan: Scan,
    length: int,
    newest: bool,
) -> TornTail | None:
    if scan.end == length:
        return None
    if not newest or scan.synced_damage:
        raise CorruptionError(
            segment.path,
            f'a synced record at offset {scan.end} is damaged',
        )
    segment.cut(scan.end)
    return TornTail(segment.path, scan.end, length - scan.end)

"""Segment file of a journal."""

from array import array
from collections.abc import Iterator, Sequence
from pathlib import Path

from plantainstand_storage._file_system import AppendFile, FileSystem
from plantainstand_storage._problems import CorruptionError
from plantainstand_storage._records import (
    Record,
    RecordKind,
    SegmentOrigin,
    decode_record,
    encode_record,
    encode_segment_header,
)

_SUFFIX = '.journal'
_NAME_DIGITS = 20


def segment_path(folder: Path, first_index: int) -> Path:
    """Return the path of the segment that starts at ``first_index``."""
    return folder / f'{first_index:0{_NAME_DIGITS}}{_SUFFIX}'


def segment_first_indexes(names: Sequence[str]) -> Sequence[int]:
    """Return the first index of each segment file in ``names``, sorted."""
    return sorted(
        int(name.removesuffix(_SUFFIX))
        for name in names
        if name.endswith(_SUFFIX)
    )


class Segment:
    """Append-only file with the entries from ``first_index`` on."""

    def __init__(
        self,
        file_system: FileSystem,
        path: Path,
        first_index: int,
        offsets: 'array[int]',
        length: int,
    ):
        """Use a file whose records have been checked."""
        self._file_system = file_system
        self._offsets = offsets
        self._file: AppendFile | None = None
        self.path = path
        self.first_index = first_index
        self.length = length

    @property
    def next_index(self) -> int:
        """Index of the next entry to be appended."""
        return self.first_index + len(self._offsets)

    @classmethod
    def create(
        cls,
        file_system: FileSystem,
        folder: Path,
        first_index: int,
        origin: SegmentOrigin,
    ) -> 'Segment':
        """Create an empty segment; it is durable on return."""
        path = segment_path(folder, first_index)
        segment = cls(file_system, path, first_index, array('Q'), 0)
        try:
            segment.write_header(origin)
        except OSError:
            # Without the incomplete file, the journal remains usable on a full
            # disk.
            segment.remove()
            raise
        file_system.sync_folder(folder)
        return segment

    def write_header(self, origin: SegmentOrigin) -> None:
        """Replace the content of the file with a header, durably."""
        self.truncate(0)
        self.write(encode_segment_header(origin, self.first_index))
        self.sync()

    def append(self, payloads: Sequence[bytes]) -> None:
        """Append entries; on an error none of them is in the segment."""
        offset = self.length
        offsets = array('Q')
        parts = []
        for position, payload in enumerate(payloads, self.next_index):
            record = Record(RecordKind.ENTRY, position, payload)
            parts.append(encode_record(record, self.first_index, offset))
            offsets.append(offset)
            offset += record.size
        self.write(b''.join(parts))
        self._offsets.extend(offsets)

    def write_sync_mark(self) -> None:
        """Append a mark that all entries are synced.

        The mark itself does not have to be synced.
        """
        mark = Record(RecordKind.SYNC_MARK, self.next_index - 1, b'')
        self.write(encode_record(mark, self.first_index, self.length))

    def write(self, payload: bytes) -> None:
        """Append bytes; the length changes only if all are written."""
        self._opened_file().write(payload)
        self.length += len(payload)

    def sync(self) -> None:
        """Make all written bytes durable."""
        self._opened_file().sync()

    def truncate(self, length: int) -> None:
        """Shorten the file to ``length`` bytes, durably."""
        self._opened_file().truncate(length)
        self._opened_file().sync()
        self.length = length

    def truncate_from(self, index: int) -> None:
        """Remove the entries from ``index`` on, durably."""
        kept = index - self.first_index
        if kept < len(self._offsets):
            self.truncate(self._offsets[kept])
            self._offsets = self._offsets[:kept]

    def read(self, index: int) -> bytes:
        """Return the payload of an entry after verifying its checksum."""
        position = index - self.first_index
        start = self._offsets[position]
        end = self.length
        if position + 1 < len(self._offsets):
            end = self._offsets[position + 1]
        content = self._file_system.read_range(self.path, start, end - start)
        record = decode_record(content, 0, self.first_index, start)
        return self._verified_payload(record, index, start)

    def read_from(self, first: int) -> Iterator[bytes]:
        """Yield the payloads from an index on, verified.

        The file is read once; payloads are copied one at a time.
        """
        skipped = max(first - self.first_index, 0)
        if skipped >= len(self._offsets):
            return
        content = self._file_system.read(self.path)
        for index in range(self.first_index + skipped, self.next_index):
            offset = self._offsets[index - self.first_index]
            record = decode_record(content, offset, self.first_index)
            yield self._verified_payload(record, index, offset)

    def close(self) -> None:
        """Close the file if it is open."""
        if self._file is not None:
            self._file.close()
            self._file = None

    def remove(self) -> None:
        """Delete the file, durably."""
        self.close()
        self._file_system.remove(self.path)
        self._file_system.sync_folder(self.path.parent)

    def _verified_payload(
        self,
        record: Record | None,
        index: int,
        offset: int,
    ) -> bytes:
        if record is None or record.index != index:
            raise CorruptionError(
                self.path,
                f'entry {index} at offset {offset} is damaged',
            )
        return record.payload

    def _opened_file(self) -> AppendFile:
        if self._file is None:
            self._file = self._file_system.open_append(self.path)
        return self._file

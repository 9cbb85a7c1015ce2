"""Binary format of journal segments.

A segment starts with a header: magic number, origin, index of its first
record, checksum. Records follow: magic number, kind, payload length, index,
checksum, payload. The checksum of a record is seeded with the first index of
the segment and the offset of the record. Thus a record is valid only where it
was written, and bytes of a payload are never taken for a journal record.
"""

import struct
from array import array
from dataclasses import dataclass, field
from enum import Enum

import xxhash

_SEGMENT_MAGIC = b'PLJS\x00\x01\r\n'
_RECORD_MAGIC = b'\xf1PLr'
_SEGMENT_FIELDS = struct.Struct('>8sBQ')
_RECORD_FIELDS = struct.Struct('>4sBIQ')
_CHECKSUM = struct.Struct('>Q')
_SEED_BITS = 64
_SEED_MASK = (1 << _SEED_BITS) - 1
_SEED_SHIFT_BITS = 32

SEGMENT_HEADER_BYTES = _SEGMENT_FIELDS.size + _CHECKSUM.size
RECORD_HEADER_BYTES = _RECORD_FIELDS.size + _CHECKSUM.size


class SegmentOrigin(Enum):
    """How a segment relates to older segments."""

    CONTINUES = 0
    """Its first record follows the last record of the previous segment."""

    STARTS_OVER = 1
    """All older segments are obsolete; a snapshot replaces them."""


class RecordKind(Enum):
    """Kinds of records."""

    ENTRY = 0
    """An entry appended by the user of the journal."""

    SYNC_MARK = 1
    """A mark that all entries through its index have been synced."""


@dataclass(frozen=True)
class Record:
    """A record with a valid checksum."""

    kind: RecordKind
    index: int
    payload: bytes

    @property
    def size(self) -> int:
        """Bytes that the record occupies in the segment."""
        return RECORD_HEADER_BYTES + len(self.payload)


@dataclass
class SegmentScan:
    """Result of scanning the records of a segment."""

    offsets: 'array[int]' = field(default_factory=lambda: array('Q'))
    """Offset of each entry in the segment."""

    end: int = SEGMENT_HEADER_BYTES
    """Offset after the last record that is valid and in sequence."""

    has_synced_damage: bool = False
    """Whether the bytes at ``end`` were synced and are now damaged."""


def encode_segment_header(origin: SegmentOrigin, first_index: int) -> bytes:
    """Encode the header of a segment."""
    fields = _SEGMENT_FIELDS.pack(_SEGMENT_MAGIC, origin.value, first_index)
    return fields + _CHECKSUM.pack(xxhash.xxh3_64_intdigest(fields))


def decode_segment_header(
    content: bytes, first_index: int
) -> SegmentOrigin | None:
    """Return the origin; None if the header is not valid."""
    header = content[:SEGMENT_HEADER_BYTES]
    for origin in SegmentOrigin:
        if header == encode_segment_header(origin, first_index):
            return origin
    return None


def encode_record(record: Record, first_index: int, offset: int) -> bytes:
    """Encode a record for an offset in the segment of ``first_index``."""
    fields = _RECORD_FIELDS.pack(
        _RECORD_MAGIC,
        record.kind.value,
        len(record.payload),
        record.index,
    )
    checksum = _checksum(fields, record.payload, first_index, offset)
    return b''.join((fields, checksum, record.payload))


def decode_record(
    content: bytes,
    offset: int,
    first_index: int,
    base: int = 0,
) -> Record | None:
    """Return the record at ``offset`` of ``content``; None if not valid.

    ``base`` is the offset of ``content`` within the segment.
    """
    payload_start = offset + RECORD_HEADER_BYTES
    if payload_start > len(content):
        return None
    magic, kind, length, index = _RECORD_FIELDS.unpack_from(content, offset)
    payload = content[payload_start : payload_start + length]
    if magic != _RECORD_MAGIC or len(payload) != length:
        return None
    fields_end = offset + _RECORD_FIELDS.size
    stored_checksum = content[fields_end:payload_start]
    fields = content[offset:fields_end]
    if stored_checksum != _checksum(
        fields, payload, first_index, base + offset
    ):
        return None
    return Record(RecordKind(kind), index, payload)


def scan_records(content: bytes, first_index: int) -> SegmentScan:
    """Scan the entries of a segment with a valid header."""
    scan = SegmentScan()
    while scan.end < len(content):
        record = decode_record(content, scan.end, first_index)
        if record is None:
            break
        if record.kind == RecordKind.ENTRY:
            if record.index != first_index + len(scan.offsets):
                break
            scan.offsets.append(scan.end)
        scan.end += record.size
    next_index = first_index + len(scan.offsets)
    scan.has_synced_damage = _has_later_sync_mark(
        content, scan.end, first_index, next_index
    )
    return scan


def contains_record(content: bytes, first_index: int) -> bool:
    """Return whether a segment with a damaged header has a valid record."""
    return any(_find_records(content, 0, first_index))


def _has_later_sync_mark(
    content: bytes,
    offset: int,
    first_index: int,
    next_index: int,
) -> bool:
    # A later sync mark proves that the invalid bytes were synced, so they were
    # not left by an interrupted write.
    return any(
        record.kind == RecordKind.SYNC_MARK and record.index >= next_index
        for record in _find_records(content, offset, first_index)
    )


def _find_records(
    content: bytes,
    offset: int,
    first_index: int,
) -> list[Record]:
    found = []
    position = content.find(_RECORD_MAGIC, offset)
    while position >= 0:
        record = decode_record(content, position, first_index)
        if record is not None:
            found.append(record)
        position = content.find(_RECORD_MAGIC, position + 1)
    return found


def _checksum(
    fields: bytes,
    payload: bytes,
    first_index: int,
    offset: int,
) -> bytes:
    seed = ((first_index << _SEED_SHIFT_BITS) + offset) & _SEED_MASK
    digest = xxhash.xxh3_64(fields, seed=seed)
    digest.update(payload)
    return _CHECKSUM.pack(digest.intdigest())

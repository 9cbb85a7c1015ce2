"""Limits on the bytes that the log takes in memory, on disk and on links."""

from dataclasses import dataclass

_KIB = 1024
_MIB = 1024 * _KIB

MAX_ENTRY_BYTES = 8 * _MIB
"""Longest command, whatever the memory: a message with one entry must fit into
a frame of a link."""

_INTERVAL_FRACTION = 64
"""Part of the memory that the commands after a snapshot may take."""

_ENTRY_FRACTION = 32
"""Part of the memory that one command may take. While it is executed it exists
several times: as proposed, as entry, as message, on its way to the disk, and
decoded."""

_SMALLEST_INTERVAL_BYTES = 256 * _KIB
_LARGEST_INTERVAL_BYTES = 4 * _MIB


@dataclass(frozen=True)
class LogLimits:
    """Limits of one replica, in bytes as counted by ``Entry.size``."""

    entry_bytes: int = MAX_ENTRY_BYTES
    """Longest command that the leader accepts."""

    snapshot_interval_bytes: int = _LARGEST_INTERVAL_BYTES
    """Applied entries after which a snapshot is taken. Where the last snapshot
    is longer, its length counts, so that snapshots never take more writes than
    the entries themselves."""

    retained_bytes: int = _LARGEST_INTERVAL_BYTES
    """Entries before a snapshot that are kept for replicas slightly behind."""

    uncommitted_bytes: int = 2 * MAX_ENTRY_BYTES
    """Entries of the leader that are not committed, or not durable on its own
    disk; proposals beyond that are refused."""

    unacknowledged_bytes: int = 2 * _MIB
    """Entries sent to one replica without an answer. A longer entry is sent
    alone."""

    segment_bytes: int = _MIB
    """Length of a file of the journal. A file is removed as a whole, so the
    disk holds up to one file more than the entries that are kept."""


def limits_for(memory_bytes: int, disk_bytes: int) -> LogLimits:
    """Return the limits of a process that has so much memory and disk."""
    available = min(memory_bytes, disk_bytes)
    interval = min(
        max(available // _INTERVAL_FRACTION, _SMALLEST_INTERVAL_BYTES),
        _LARGEST_INTERVAL_BYTES,
    )
    entry = min(
        max(available // _ENTRY_FRACTION, _SMALLEST_INTERVAL_BYTES),
        MAX_ENTRY_BYTES,
    )
    return LogLimits(
        entry_bytes=entry,
        snapshot_interval_bytes=interval,
        retained_bytes=interval,
        uncommitted_bytes=2 * entry,
        unacknowledged_bytes=interval // 2,
        segment_bytes=interval // 4,
    )

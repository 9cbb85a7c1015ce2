"""Journal of a target: what it ran, refused and cancelled, and when."""

from collections.abc import Iterable, Sequence
from enum import Enum
from pathlib import Path
from typing import TextIO

import msgspec
from plantainstand_core import RequestId, ServiceId, TargetId


class JournalKind(Enum):
    """What an event reports."""

    BOOT = 'boot'
    """The process has started; earlier work is gone."""

    QUEUE = 'queue'
    """Work was accepted while every slot was taken: an overrun."""

    START = 'start'
    END = 'end'
    REFUSE = 'refuse'
    CANCEL = 'cancel'
    DRAIN = 'drain'


class JournalEvent(msgspec.Struct, frozen=True, kw_only=True):
    """One line of a journal."""

    event: JournalKind
    time: float
    """Seconds since the epoch."""

    target: TargetId
    service: ServiceId
    request_id: RequestId
    in_use: int
    """Requests running and waiting after the event."""

    slots: int
    detail: str = ''
    """Reason of a refusal or of the end."""


class JournalWriter:
    """Appends events to a file and flushes every line."""

    def __init__(self, stream: TextIO):
        """Write to ``stream``, which the caller closes."""
        self._stream = stream
        self._encoder = msgspec.json.Encoder()

    def write(self, event: JournalEvent) -> None:
        """Append one line; a killed process loses no earlier line."""
        line = self._encoder.encode(event).decode()
        self._stream.write(f'{line}\n')
        self._stream.flush()


def read_journal(path: Path) -> Sequence[JournalEvent]:
    """Read the whole lines of a journal.

    The last line is left out when a killed process has not finished it.
    """
    text = path.read_text(encoding='utf-8')
    lines = text.split('\n')[:-1]
    decoder = msgspec.json.Decoder(JournalEvent)
    return tuple(decoder.decode(line) for line in lines)


def read_journals(folder: Path) -> Sequence[JournalEvent]:
    """Read every journal of a folder, in order of time."""
    return merge_events(
        read_journal(path) for path in sorted(folder.glob('*.jsonl'))
    )


def merge_events(
    journals: Iterable[Sequence[JournalEvent]],
) -> Sequence[JournalEvent]:
    """Merge journals; events of one target keep their order."""
    events = [event for journal in journals for event in journal]
    return sorted(events, key=lambda event: event.time)

"""Subscription to the committed commands."""

from collections.abc import AsyncIterator

from plantainstand_core import LogIndex

from plantainstand_consensus._entries import Command, Entry
from plantainstand_consensus._interfaces import (
    CommittedEntry,
    EntriesItem,
    SnapshotItem,
)
from plantainstand_consensus._state import CoreState
from plantainstand_consensus._waiting import Notifier

_MAX_ENTRIES_PER_ITEM = 512
_MAX_BYTES_PER_ITEM = 1024 * 1024


class Subscription(AsyncIterator[SnapshotItem | EntriesItem]):
    """Iterates over items in order, without gaps, until the replica stops."""

    def __init__(
        self,
        state: CoreState,
        applied: Notifier,
        after: LogIndex,
    ):
        """Start after an index; created by ``LogReplica.subscribe``."""
        self._state = state
        self._applied = applied
        self._position = int(after)

    async def __anext__(self) -> SnapshotItem | EntriesItem:
        """Wait for the next item."""
        while self._state.delivered_index <= self._position:
            if self._applied.closed:
                raise StopAsyncIteration
            await self._applied.wait()
        return self._next_item()

    def _next_item(self) -> SnapshotItem | EntriesItem:
        log = self._state.log
        if self._position < log.base_index and log.snapshot is not None:
            self._position = log.snapshot.index
            return SnapshotItem(
                LogIndex(log.snapshot.index),
                log.snapshot.payload,
            )
        count = self._state.delivered_index - self._position
        entries = log.entries(
            self._position + 1,
            min(count, _MAX_ENTRIES_PER_ITEM),
            _MAX_BYTES_PER_ITEM,
        )
        self._position += len(entries)
        commands = tuple(_commands(entries))
        return EntriesItem(commands, LogIndex(self._position))


def _commands(entries: tuple[Entry, ...]) -> list[CommittedEntry]:
    return [
        CommittedEntry(LogIndex(entry.index), entry.body.payload)
        for entry in entries
        if isinstance(entry.body, Command)
    ]

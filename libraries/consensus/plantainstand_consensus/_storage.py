"""Data folder of a voter."""

import threading
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from plantainstand_core import LogIndex
from plantainstand_storage import (
    FolderIdentity,
    Journal,
    SnapshotStore,
    StorageProblem,
    TornTail,
    ValueFile,
)
from result import Result

from plantainstand_consensus._effects import (
    TruncateEntries,
    Write,
    WriteEntries,
    WriteHardState,
    WriteSnapshot,
)
from plantainstand_consensus._entries import (
    HardState,
    Node,
    encode,
)
from plantainstand_consensus._log import Log

_WriteResult = Result[None, StorageProblem]


@dataclass(frozen=True)
class VoterFiles:
    """Files of a data folder."""

    folder: Path
    hard_state: ValueFile
    snapshots: SnapshotStore
    journal: Journal


@dataclass(frozen=True)
class StoredState:
    """Contents of a folder when it was opened."""

    identity: FolderIdentity
    hard_state: HardState
    log: Log


class VoterStorage:
    """Open data folder that executes the core's writes."""

    def __init__(self, files: VoterFiles, state: StoredState):
        """Use opened files; created by :func:`open_voter`."""
        self._files = files
        self._state = state
        # Files are closed only after a write in progress has ended. Otherwise
        # another file could get the same descriptor and be written to.
        self._lock = threading.Lock()

    @property
    def state(self) -> StoredState:
        """Contents at the time of opening; later writes do not change it."""
        return self._state

    @property
    def identity(self) -> FolderIdentity:
        """VM and disk id of the folder, and its founding members."""
        return self._state.identity

    @property
    def node(self) -> Node:
        """Identity of the replica that uses this folder."""
        return Node(self.identity.vm, self.identity.disk)

    @property
    def torn_tail(self) -> TornTail | None:
        """Incomplete end that was removed from the journal when opened."""
        return self._files.journal.torn_tail

    @property
    def journal_bytes(self) -> int:
        """Length of the journal's files."""
        return self._files.journal.stored_bytes

    def perform(self, writes: Sequence[Write]) -> _WriteResult:
        """Execute writes in order; all are durable on return."""
        with self._lock:
            for write in writes:
                result = self._perform(write)
                if result.is_err():
                    return result
            return self._files.journal.sync()

    def close(self) -> None:
        """Close the files once a write in progress has ended."""
        with self._lock:
            self._files.journal.close()

    def _perform(self, write: Write) -> _WriteResult:
        match write:
            case WriteHardState(hard_state):
                return self._store_hard_state(hard_state)
            case WriteEntries(entries):
                records = [encode(entry) for entry in entries]
                return self._files.journal.append(records).map(_discard_value)
            case TruncateEntries(first_index):
                index = LogIndex(first_index)
                return self._files.journal.truncate_from(index)
            case WriteSnapshot():
                return self._store_snapshot(write)

    def _store_hard_state(self, hard_state: HardState) -> _WriteResult:
        # Writes become durable in their order: if a term survives a crash, so
        # do the entries that were written before it.
        return self._files.journal.sync().and_then(
            lambda _none: self._files.hard_state.store(encode(hard_state)),
        )

    def _store_snapshot(self, write: WriteSnapshot) -> _WriteResult:
        index = LogIndex(write.snapshot.index)
        journal = self._files.journal
        result = self._files.snapshots.save(index, encode(write.snapshot))
        if result.is_ok() and write.replaces_log:
            result = journal.truncate_from(journal.first_index)
        through = LogIndex(write.discard_through)
        return result.and_then(lambda _none: journal.discard_through(through))


def _discard_value(_index: LogIndex) -> None:
    """Replace the value of a result by None."""

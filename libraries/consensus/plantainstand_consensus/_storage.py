"""The data folder of a voter."""

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

_Done = Result[None, StorageProblem]


@dataclass(frozen=True)
class VoterFiles:
    """Files of a data folder."""

    folder: Path
    hard_state: ValueFile
    snapshots: SnapshotStore
    journal: Journal


@dataclass(frozen=True)
class StoredState:
    """What a folder holds when it is opened."""

    identity: FolderIdentity
    hard_state: HardState
    log: Log


class VoterStorage:
    """An open data folder; carries out the core's writes."""

    def __init__(self, files: VoterFiles, state: StoredState):
        """Use opened files; see ``open_voter``."""
        self._files = files
        self._state = state
        # Files are closed only after a write in progress has ended: another
        # file could get the same descriptor.
        self._lock = threading.Lock()

    @property
    def state(self) -> StoredState:
        """State at the time of opening."""
        return self._state

    @property
    def identity(self) -> FolderIdentity:
        """Owner of the folder."""
        return self._state.identity

    @property
    def node(self) -> Node:
        """The voter that this folder makes."""
        return Node(self.identity.vm, self.identity.disk)

    @property
    def torn_tail(self) -> TornTail | None:
        """What was cut from the journal when it was opened."""
        return self._files.journal.torn_tail

    def perform(self, writes: Sequence[Write]) -> _Done:
        """Carry out writes in order; all are durable on return."""
        with self._lock:
            for write in writes:
                done = self._perform(write)
                if done.is_err():
                    return done
            return self._files.journal.sync()

    def close(self) -> None:
        """Close the files once a write in progress has ended."""
        with self._lock:
            self._files.journal.close()

    def _perform(self, write: Write) -> _Done:
        match write:
            case WriteHardState(hard_state):
                return self._store_hard_state(hard_state)
            case WriteEntries(entries):
                records = [encode(entry) for entry in entries]
                return self._files.journal.append(records).map(_nothing)
            case TruncateEntries(first_index):
                index = LogIndex(first_index)
                return self._files.journal.truncate_from(index)
            case WriteSnapshot():
                return self._store_snapshot(write)

    def _store_hard_state(self, hard_state: HardState) -> _Done:
        # Writes are durable in their order: a term is not lost with entries
        # that were written before it.
        return self._files.journal.sync().and_then(
            lambda _none: self._files.hard_state.store(encode(hard_state)),
        )

    def _store_snapshot(self, write: WriteSnapshot) -> _Done:
        index = LogIndex(write.snapshot.index)
        journal = self._files.journal
        saved = self._files.snapshots.save(index, encode(write.snapshot))
        if saved.is_ok() and write.replaces_log:
            saved = journal.truncate_from(journal.first_index)
        through = LogIndex(write.discard_through)
        return saved.and_then(lambda _none: journal.discard_through(through))


def _nothing(_index: LogIndex) -> None:
    """Drop the value of a result."""

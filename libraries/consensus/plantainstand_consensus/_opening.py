"""Formatting and opening of a voter's data folder."""

import random
from collections.abc import Sequence
from pathlib import Path

from plantainstand_core import DiskId, LogIndex, VmId
from plantainstand_storage import (
    SEGMENT_BYTES,
    FileSystem,
    FolderIdentity,
    IdentityFile,
    Journal,
    LocalFileSystem,
    SnapshotStore,
    StorageProblem,
    StorageProblemKind,
    ValueFile,
)
from result import Err, Ok, Result, do

from plantainstand_consensus._entries import (
    Entry,
    HardState,
    Snapshot,
    decode_entry,
    decode_hard_state,
    decode_snapshot,
    encode,
)
from plantainstand_consensus._log import Log
from plantainstand_consensus._storage import (
    StoredState,
    VoterFiles,
    VoterStorage,
)

_DISK_ID_BITS = 128


def format_voter(
    folder: Path,
    vm: VmId,
    members: Sequence[VmId],
    *,
    file_system: FileSystem | None = None,
    random_source: random.Random | None = None,
) -> Result[FolderIdentity, StorageProblem]:
    """Format an empty folder for a new cluster of ``members``.

    The first member founds the cluster once all other members have replied
    that they have no data, and then adds them. A folder with an identity is a
    ``NOT_EMPTY`` problem.
    """
    opener = _Opener(folder, vm, file_system, random_source)
    return opener.load_identity().and_then(
        lambda known: opener.create_identity(known, tuple(members)),
    )


def open_voter(
    folder: Path,
    vm: VmId,
    *,
    file_system: FileSystem | None = None,
    random_source: random.Random | None = None,
    segment_bytes: int = SEGMENT_BYTES,
) -> Result[VoterStorage, StorageProblem]:
    """Open a folder; an empty one gets a new disk id.

    A replica with a new disk id has no vote until the leader has sent it the
    log and added it. Damage is a ``CORRUPT`` problem: the replica must not run
    on this folder, and is repaired by a start with an empty one.

    ``segment_bytes`` is the length of a file of the journal. Opening takes the
    memory of one such file besides that of the entries after the snapshot.
    """
    opener = _Opener(
        folder, vm, file_system, random_source, segment_bytes=segment_bytes
    )
    checked_identity = opener.load_identity().and_then(
        opener.check_or_create_identity
    )
    return do(
        _load(files, identity)
        for identity in checked_identity
        for files in opener.open_files(create=False)
    )


class _Opener:
    def __init__(
        self,
        folder: Path,
        vm: VmId,
        file_system: FileSystem | None,
        random_source: random.Random | None,
        *,
        segment_bytes: int = SEGMENT_BYTES,
    ):
        self._segment_bytes = segment_bytes
        self._folder = folder
        self._vm = vm
        self._file_system = file_system or LocalFileSystem()
        self._random_source = random_source or random.SystemRandom()
        self._identity_file = IdentityFile(
            folder / 'identity',
            self._file_system,
        )

    def load_identity(self) -> Result[FolderIdentity | None, StorageProblem]:
        return self._identity_file.load()

    def create_identity(
        self,
        known: FolderIdentity | None,
        members: tuple[VmId, ...],
    ) -> Result[FolderIdentity, StorageProblem]:
        if known is None:
            return self._write_new_identity(members)
        kind = StorageProblemKind.NOT_EMPTY
        return _storage_problem(
            self._folder, kind, 'already belongs to a voter'
        )

    def check_or_create_identity(
        self,
        known: FolderIdentity | None,
    ) -> Result[FolderIdentity, StorageProblem]:
        if known is None:
            return self._write_new_identity(())
        if known.vm != self._vm:
            kind = StorageProblemKind.NOT_EMPTY
            return _storage_problem(
                self._folder, kind, f'belongs to VM {known.vm}'
            )
        return Ok(known)

    def open_files(
        self,
        *,
        create: bool,
    ) -> Result[VoterFiles, StorageProblem]:
        folder = self._folder
        opened = Journal.open(
            folder / 'journal',
            self._file_system,
            self._segment_bytes,
            create=create,
        )
        return opened.map(
            lambda journal: VoterFiles(
                folder,
                ValueFile(folder / 'term-and-vote', self._file_system),
                SnapshotStore(folder / 'snapshots', self._file_system),
                journal,
            ),
        )

    def _write_new_identity(
        self,
        members: tuple[VmId, ...],
    ) -> Result[FolderIdentity, StorageProblem]:
        number = self._random_source.getrandbits(_DISK_ID_BITS)
        identity = FolderIdentity(self._vm, DiskId(f'{number:032x}'), members)
        # The identity file is written last, so its presence means that the
        # other files must exist.
        prepared = self.open_files(create=True).and_then(
            _write_initial_hard_state
        )
        return prepared.and_then(
            lambda _none: self._identity_file.store(identity),
        ).map(lambda _none: identity)


def _write_initial_hard_state(
    files: VoterFiles,
) -> Result[None, StorageProblem]:
    last_index = files.journal.last_index
    files.journal.close()
    if last_index:
        return _storage_problem(
            files.folder,
            StorageProblemKind.CORRUPT,
            'the journal has entries, but the identity file is missing',
        )
    return files.hard_state.store(encode(HardState()))


def _load(
    files: VoterFiles,
    identity: FolderIdentity,
) -> Result[VoterStorage, StorageProblem]:
    log = _load_snapshot(files).and_then(
        lambda snapshot: _load_log(files, snapshot),
    )
    state = do(
        _check_terms(files, StoredState(identity, hard_state, loaded_log))
        for hard_state in _load_hard_state(files)
        for loaded_log in log
    )
    return state.map(lambda checked: VoterStorage(files, checked))


def _load_hard_state(files: VoterFiles) -> Result[HardState, StorageProblem]:
    stored = files.hard_state.load()
    if isinstance(stored, Err):
        return stored
    if stored.ok_value is None:
        return _storage_problem(
            files.folder,
            StorageProblemKind.CORRUPT,
            'term and vote are missing',
        )
    return Ok(decode_hard_state(stored.ok_value))


def _load_snapshot(
    files: VoterFiles,
) -> Result[Snapshot | None, StorageProblem]:
    return files.snapshots.newest().map(
        lambda stored: decode_snapshot(stored.payload) if stored else None,
    )


def _load_log(
    files: VoterFiles,
    snapshot: Snapshot | None,
) -> Result[Log, StorageProblem]:
    journal = files.journal
    snapshot_index = snapshot.index if snapshot else 0
    # The snapshot replaces all entries before its own.
    loaded = _read_entries(journal, snapshot_index)
    if isinstance(loaded, Err):
        return loaded
    entries = loaded.ok_value
    if journal.first_index > snapshot_index + 1:
        return _storage_problem(
            files.folder,
            StorageProblemKind.CORRUPT,
            f'entries after {snapshot_index} are missing',
        )
    if snapshot is None or _journal_agrees(snapshot, journal, entries):
        return Ok(Log(snapshot, entries))
    # The process crashed after it had stored a received snapshot, but before it
    # had removed the log that the snapshot replaces.
    return (
        journal.truncate_from(journal.first_index)
        .and_then(
            lambda _none: journal.discard_through(LogIndex(snapshot_index)),
        )
        .map(lambda _none: Log(snapshot))
    )


def _read_entries(
    journal: Journal,
    first: int,
) -> Result[Sequence[Entry], StorageProblem]:
    entries: list[Entry] = []
    read = journal.read_each(
        LogIndex(first),
        lambda record: entries.append(decode_entry(record)),
    )
    return read.map(lambda _none: entries)


def _journal_agrees(
    snapshot: Snapshot,
    journal: Journal,
    entries: Sequence[Entry],
) -> bool:
    if snapshot.index < journal.first_index:
        return True
    return bool(entries) and entries[0].term == snapshot.term


def _check_terms(
    files: VoterFiles,
    state: StoredState,
) -> Result[StoredState, StorageProblem]:
    if state.log.last_term > state.hard_state.term:
        return _storage_problem(
            files.folder,
            StorageProblemKind.CORRUPT,
            'the stored term is older than the newest entry',
        )
    return Ok(state)


def _storage_problem(
    folder: Path,
    kind: StorageProblemKind,
    message: str,
) -> Err[StorageProblem]:
    return Err(StorageProblem(kind, folder, message))

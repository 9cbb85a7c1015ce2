"""Checksummed journal, snapshots and value files on a data folder."""

from plantainstand_storage._file_system import (
    AppendFile,
    FileSystem,
    LocalFileSystem,
)
from plantainstand_storage._identity import FolderIdentity, IdentityFile
from plantainstand_storage._journal import SEGMENT_BYTES, Journal
from plantainstand_storage._problems import (
    StorageProblem,
    StorageProblemKind,
)
from plantainstand_storage._recovery import TornTail
from plantainstand_storage._snapshots import SnapshotStore, StoredSnapshot
from plantainstand_storage._value_file import ValueFile

__all__ = (
    'SEGMENT_BYTES',
    'AppendFile',
    'FileSystem',
    'FolderIdentity',
    'IdentityFile',
    'Journal',
    'LocalFileSystem',
    'SnapshotStore',
    'StorageProblem',
    'StorageProblemKind',
    'StoredSnapshot',
    'TornTail',
    'ValueFile',
)

"""Who a data folder belongs to."""

import json
from dataclasses import dataclass
from pathlib import Path

from plantainstand_core import DiskId, VmId
from result import Result

from plantainstand_storage._file_system import FileSystem
from plantainstand_storage._problems import StorageProblem
from plantainstand_storage._value_file import ValueFile


@dataclass(frozen=True)
class FolderIdentity:
    """Owner of a data folder."""

    vm: VmId
    """VM that created the folder."""

    disk: DiskId
    """Random id of the folder; a new folder has a new one."""

    founding_members: tuple[VmId, ...] = ()
    """Voter VMs of the new cluster; empty if the folder was not formatted."""


class IdentityFile:
    """Checksummed file that holds an :class:`Identity`."""

    def __init__(self, path: Path, file_system: FileSystem | None = None):
        """Use ``path``."""
        self._path = path
        self._file = ValueFile(path, file_system)

    def load(self) -> Result[FolderIdentity | None, StorageProblem]:
        """Return the identity, or None if the folder has none."""
        return self._file.load().map(self._decode)

    def store(self, identity: FolderIdentity) -> Result[None, StorageProblem]:
        """Write the identity; durable on return."""
        document = {
            'vm': identity.vm,
            'disk': identity.disk,
            'founding_members': identity.founding_members,
        }
        return self._file.store(json.dumps(document).encode())

    def _decode(self, payload: bytes | None) -> FolderIdentity | None:
        if payload is None:
            return None
        document = json.loads(payload)
        return FolderIdentity(
            VmId(document['vm']),
            DiskId(document['disk']),
            tuple(VmId(member) for member in document['founding_members']),
        )

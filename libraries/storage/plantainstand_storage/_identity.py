"""Identity of a data folder."""

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
    """Identifies a data folder and the VM that it belongs to."""

    vm: VmId
    """VM that created the folder."""

    disk: DiskId
    """Random id of the folder, different for each new folder."""

    founding_members: tuple[VmId, ...] = ()
    """Voter VMs of a new cluster; empty if the folder was not formatted."""


class IdentityFile:
    """Checksummed file that stores an :class:`Identity`."""

    def __init__(self, path: Path, file_system: FileSystem | None = None):
        """Use ``path``."""
        self._path = path
        self._file = ValueFile(path, file_system)

    def load(self) -> Result[FolderIdentity | None, StorageProblem]:
        """Return the identity; None if there is no file."""
        return self._file.load().map(self._decode)

    def store(self, identity: FolderIdentity) -> Result[None, StorageProblem]:
        """Replace the identity; durable on return."""
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

"""Entries of the log, voter sets and snapshots."""

from collections.abc import Collection

import msgspec
from plantainstand_core import DiskId, VmId

_FIELD_SIZE = 16


class Node(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    gc=False,
    order=True,
):
    """A voter: a VM together with the disk that holds its log."""

    vm: VmId
    """VM that the voter runs on."""

    disk: DiskId
    """Id of its data folder; a VM with an emptied folder has a new one."""


class Configuration(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    tag='v',
):
    """Voter set, in force from the entry that holds it on."""

    members: tuple[VmId, ...]
    """VMs that are meant to be voters."""

    voters: tuple[Node, ...]
    """Disks whose votes and acknowledgements count."""

    formed: bool
    """Whether every founding member has been a voter; never reverts."""

    @property
    def quorum(self) -> int:
        """Number of voters that form a majority."""
        return len(self.voters) // 2 + 1

    def has_majority(self, nodes: Collection[Node]) -> bool:
        """Tell whether a majority of the voters is among ``nodes``."""
        present = sum(voter in nodes for voter in self.voters)
        return present >= self.quorum

    def voter_of(self, vm: VmId) -> Node | None:
        """Return the voter on a VM."""
        for voter in self.voters:
            if voter.vm == vm:
                return voter
        return None


class Command(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    gc=False,
    tag='c',
):
    """Payload for the state machine."""

    payload: bytes


class NoOperation(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    gc=False,
    tag='n',
):
    """First entry of a term; its commit shows what earlier terms committed."""


Body = Command | NoOperation | Configuration


class Entry(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """One position of the log."""

    index: int
    term: int
    body: Body

    @property
    def size(self) -> int:
        """Approximate bytes in a message."""
        if isinstance(self.body, Command):
            return len(self.body.payload) + _FIELD_SIZE
        return _FIELD_SIZE


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """State that replaces the log through an index."""

    index: int
    """Last index whose effect the payload holds."""

    term: int
    """Term of the entry at the index."""

    configuration: Configuration
    """Voter set in force at the index."""

    payload: bytes
    """What the state machine's ``snapshot`` returned."""


class HardState(msgspec.Struct, frozen=True, array_like=True):
    """What a voter must know before it answers after a restart."""

    term: int = 0
    vote: Node | None = None


_ENCODER = msgspec.msgpack.Encoder()
_ENTRY_DECODER = msgspec.msgpack.Decoder(Entry)
_SNAPSHOT_DECODER = msgspec.msgpack.Decoder(Snapshot)
_HARD_STATE_DECODER = msgspec.msgpack.Decoder(HardState)


def encode(record: Entry | Snapshot | HardState) -> bytes:
    """Return the form that is kept on disk."""
    return _ENCODER.encode(record)


def decode_entry(record: bytes) -> Entry:
    """Read an entry; the journal has checked its checksum."""
    return _ENTRY_DECODER.decode(record)


def decode_snapshot(record: bytes) -> Snapshot:
    """Read a snapshot; the store has checked its checksum."""
    return _SNAPSHOT_DECODER.decode(record)


def decode_hard_state(record: bytes) -> HardState:
    """Read term and vote; the value file has checked its checksum."""
    return _HARD_STATE_DECODER.decode(record)

"""Entries of the log, voter sets and snapshots."""

from collections.abc import Collection

import msgspec
from plantainstand_core import DiskId, VmId

ENTRY_OVERHEAD_BYTES = 256
"""Memory that an entry takes besides its payload."""


class Node(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    gc=False,
    order=True,
):
    """Identity of a replica: a VM and the disk that holds its log."""

    vm: VmId
    """VM that the replica runs on."""

    disk: DiskId
    """Id of the data folder. A VM whose folder was emptied gets a new id."""


class Configuration(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    tag='v',
):
    """Voter set, in force from the log entry that contains it on."""

    members: tuple[VmId, ...]
    """VMs that are to be voters."""

    voters: tuple[Node, ...]
    """Replicas whose votes and acknowledgements count."""

    formed: bool
    """Whether every founding member has been a voter. Never becomes false
    again."""

    @property
    def quorum(self) -> int:
        """Number of voters that form a majority."""
        return len(self.voters) // 2 + 1

    def has_majority(self, nodes: Collection[Node]) -> bool:
        """Return whether ``nodes`` include a majority of the voters."""
        present = sum(voter in nodes for voter in self.voters)
        return present >= self.quorum

    def voter_of(self, vm: VmId) -> Node | None:
        """Return the voter on a VM, if there is one."""
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
    """Entry body with a command for the state machine."""

    payload: bytes


class NoOperation(
    msgspec.Struct,
    frozen=True,
    array_like=True,
    gc=False,
    tag='n',
):
    """First entry of a term. Once it is committed, so are all earlier entries
    of the leader's log."""


Body = Command | NoOperation | Configuration


class Entry(msgspec.Struct, frozen=True, array_like=True, gc=False):
    """Entry of the log."""

    index: int
    term: int
    body: Body

    @property
    def size(self) -> int:
        """Approximate memory in bytes; its encoded form is shorter."""
        if isinstance(self.body, Command):
            return len(self.body.payload) + ENTRY_OVERHEAD_BYTES
        return ENTRY_OVERHEAD_BYTES


class Snapshot(msgspec.Struct, frozen=True, array_like=True):
    """State of the state machine that replaces the log through an index."""

    index: int
    """Last index whose command is included in the payload."""

    term: int
    """Term of the entry at the index."""

    configuration: Configuration
    """Voter set in force at the index."""

    payload: bytes
    """State as returned by ``StateMachine.snapshot``."""


class HardState(msgspec.Struct, frozen=True, array_like=True):
    """Term and vote, which a voter must not lose in a restart."""

    term: int = 0
    vote: Node | None = None


_ENCODER = msgspec.msgpack.Encoder()
_ENTRY_DECODER = msgspec.msgpack.Decoder(Entry)
_SNAPSHOT_DECODER = msgspec.msgpack.Decoder(Snapshot)
_HARD_STATE_DECODER = msgspec.msgpack.Decoder(HardState)


def encode(record: Entry | Snapshot | HardState) -> bytes:
    """Return the encoded form that is stored on disk."""
    return _ENCODER.encode(record)


def decode_entry(record: bytes) -> Entry:
    """Decode an entry whose checksum the journal has verified."""
    return _ENTRY_DECODER.decode(record)


def decode_snapshot(record: bytes) -> Snapshot:
    """Decode a snapshot whose checksum the snapshot store has verified."""
    return _SNAPSHOT_DECODER.decode(record)


def decode_hard_state(record: bytes) -> HardState:
    """Decode term and vote whose checksum the value file has verified."""
    return _HARD_STATE_DECODER.decode(record)

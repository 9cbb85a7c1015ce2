"""Messages between replicas."""

from dataclasses import dataclass

import msgspec
from plantainstand_core import DiskId
from result import Err, Ok, Result

from plantainstand_consensus._entries import Configuration, Entry


class _Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    source_disk: DiskId
    """Disk of the sender; only voters' disks count."""


class VoteRequest(_Message, frozen=True):
    """A candidate asks for a vote, or whether it would get one."""

    destination_disk: DiskId
    """The vote is asked of this disk only."""

    term: int
    last_index: int
    last_term: int
    preliminary: bool
    """Whether this is a pre-vote, which changes no state."""


class VoteReply(_Message, frozen=True):
    """Answer to a vote request."""

    term: int
    """The voter's own term."""

    election_term: int
    """Term of the request."""

    granted: bool
    preliminary: bool


class AppendRequest(_Message, frozen=True):
    """Entries of the leader; without entries it is a heartbeat."""

    destination_disk: DiskId
    """Meant for this disk; another one on the same VM ignores it."""

    term: int
    previous_index: int
    previous_term: int
    entries: tuple[Entry, ...]
    commit_index: int
    sent_at_us: int
    """Reading of the leader's monotonic clock; echoed in the answer."""

    round_number: int
    """Number of the read barrier round; echoed in the answer."""


class AppendReply(_Message, frozen=True):
    """What a replica holds of the leader's log."""

    term: int
    accepted: bool
    match_index: int
    """Last index that agrees with the leader and is synced."""

    next_hint: int
    """Where the leader should continue after a refusal."""

    sent_at_us: int
    round_number: int


class SnapshotChunk(_Message, frozen=True):
    """Part of a snapshot for a replica that is too far behind."""

    destination_disk: DiskId
    """Meant for this disk; another one on the same VM ignores it."""

    term: int
    index: int
    index_term: int
    configuration: Configuration
    offset: int
    total: int
    part: bytes
    sent_at_us: int
    round_number: int


class SnapshotReply(_Message, frozen=True):
    """How much of a snapshot has arrived."""

    term: int
    index: int
    received: int
    sent_at_us: int
    round_number: int


class JoinRequest(_Message, frozen=True):
    """A disk that is no voter asks to be caught up and added."""

    founding: bool
    """Whether the sender would found the cluster if nobody has data."""


class JoinReply(_Message, frozen=True):
    """Tells a founder whether the sender has ever been part of a cluster."""

    destination_disk: DiskId
    blank: bool


Message = (
    VoteRequest
    | VoteReply
    | AppendRequest
    | AppendReply
    | SnapshotChunk
    | SnapshotReply
    | JoinRequest
    | JoinReply
)


@dataclass(frozen=True)
class MessageProblem:
    """Why bytes are not a message."""

    description: str
    """What is wrong, in one sentence."""


_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def encode_message(message: Message) -> bytes:
    """Return the wire form: MessagePack, tagged with the message's type."""
    return _ENCODER.encode(message)


def decode_message(payload: bytes) -> Result[Message, MessageProblem]:
    """Read the wire form; anything else is a problem."""
    try:
        return Ok(_DECODER.decode(payload))
    except (msgspec.DecodeError, UnicodeDecodeError) as problem:
        return Err(MessageProblem(str(problem)))

"""Messages between replicas."""

from dataclasses import dataclass

import msgspec
from plantainstand_core import DiskId
from result import Err, Ok, Result

from plantainstand_consensus._entries import Configuration, Entry


class _Message(msgspec.Struct, frozen=True, array_like=True, tag=True):
    source_disk: DiskId
    """Disk of the sender. Votes and acknowledgements count only from disks of
    the voter set."""


class VoteRequest(_Message, frozen=True):
    """Request of a candidate for a vote or a pre-vote."""

    destination_disk: DiskId
    """Receiver; another disk on the same VM ignores the request."""

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
    """Entries from the leader; a heartbeat if there are none."""

    destination_disk: DiskId
    """Receiver; another disk on the same VM ignores the message."""

    term: int
    previous_index: int
    previous_term: int
    entries: tuple[Entry, ...]
    commit_index: int
    sent_at_us: int
    """Leader's monotonic clock in microseconds; echoed in the reply."""

    round_number: int
    """Number of the read barrier round; echoed in the reply."""


class AppendReply(_Message, frozen=True):
    """Reply to an append request or a complete snapshot."""

    term: int
    accepted: bool
    match_index: int
    """Last index that matches the leader's log and is durable; 0 if not
    accepted."""

    next_hint: int
    """Index from which the leader should continue if not accepted."""

    sent_at_us: int
    round_number: int


class SnapshotChunk(_Message, frozen=True):
    """Part of a snapshot, for a replica that needs compacted entries."""

    destination_disk: DiskId
    """Receiver; another disk on the same VM ignores the message."""

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
    """Reply to a snapshot chunk: number of bytes received so far."""

    term: int
    index: int
    received: int
    sent_at_us: int
    round_number: int


class JoinRequest(_Message, frozen=True):
    """Request of a non-voter to get the log and to become a voter."""

    founding: bool
    """Whether the sender founds the cluster if no member has data."""


class JoinReply(_Message, frozen=True):
    """Tells a founder whether the sender was ever part of a cluster."""

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
    """Reason why bytes could not be decoded as a message."""

    description: str
    """One sentence for the log."""


_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)


def encode_message(message: Message) -> bytes:
    """Encode a message as MessagePack, tagged with its type."""
    return _ENCODER.encode(message)


def decode_message(payload: bytes) -> Result[Message, MessageProblem]:
    """Decode a message that :func:`encode_message` returned."""
    try:
        return Ok(_DECODER.decode(payload))
    except (msgspec.DecodeError, UnicodeDecodeError) as problem:
        return Err(MessageProblem(str(problem)))

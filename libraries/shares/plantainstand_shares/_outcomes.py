"""Outcomes of the share state machine's commands."""

from enum import Enum
from typing import TypeAlias

import msgspec
from plantainstand_core import LogIndex, ResourceId


class RefusalReason(Enum):
    """Why a command changed nothing."""

    STALE_INCARNATION = 'stale_incarnation'
    """The VM has registered a greater incarnation, or this one has ended."""

    UNKNOWN_INCARNATION = 'unknown_incarnation'
    """The incarnation is not registered or has ended."""

    STALE_VERSION = 'stale_version'
    """The share has changed since the confirmed version."""

    STALE_DECISION = 'stale_decision'
    """The members of the zone have changed since the decision."""


class Accepted(msgspec.Struct, frozen=True, tag_field='kind', tag='accepted'):
    """The command is in force, possibly since an earlier delivery."""

    index: LogIndex


class Refused(msgspec.Struct, frozen=True, tag_field='kind', tag='refused'):
    """The command changed nothing."""

    reason: RefusalReason


class SharesSet(msgspec.Struct, frozen=True, tag_field='kind', tag='set'):
    """All changes except the refused ones are in force."""

    refused: tuple[ResourceId, ...]
    """Resources whose held sum would have grown beyond the capacity, or whose
    change contains an incarnation that may not get shares."""


ShareOutcome: TypeAlias = Accepted | Refused | SharesSet

_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[ShareOutcome] = msgspec.msgpack.Decoder(
    ShareOutcome,
)


def encode_outcome(outcome: ShareOutcome) -> bytes:
    """Encode an outcome as MessagePack."""
    return _ENCODER.encode(outcome)


def decode_outcome(payload: bytes) -> ShareOutcome:
    """Decode the result of :func:`encode_outcome`.

    :raises msgspec.MsgspecError: if the payload is not an outcome
    """
    return _DECODER.decode(payload)

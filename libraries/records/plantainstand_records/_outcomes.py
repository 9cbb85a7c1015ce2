"""Outcomes of the record state machine's commands."""

from typing import TypeAlias

import msgspec
from result import Err, Ok, Result

from plantainstand_records._answers import Answer
from plantainstand_records._commands import Admission, CommandProblem
from plantainstand_records._request_ids import RequestIdFault


class Outcome(msgspec.Struct, frozen=True, tag_field='outcome'):
    """Base of every outcome."""


class Admitted(Outcome, frozen=True, tag='admitted'):
    """The attempt that proposed the command may dispatch the request once."""


class InProgress(Outcome, frozen=True, tag='in-progress'):
    """An attempt was admitted, but has not reported an outcome: "unknown"."""

    admission: Admission
    """The admitted attempt; if it is lost, the outcome stays unknown."""


class Answered(Outcome, frozen=True, tag='answered'):
    """The request ran, and the complete answer is available."""

    answer: Answer


class AnsweredTooLarge(Outcome, frozen=True, tag='answered-unkept'):
    """The request ran, but its answer was too large to be stored."""

    status: int
    answer_bytes: int


class NotRun(Outcome, frozen=True, tag='not-run'):
    """The request has not run and will never run."""

    reason: str


class Expired(Outcome, frozen=True, tag='expired'):
    """The id is too old: its record may be dropped, and it never runs."""


class FingerprintMismatch(Outcome, frozen=True, tag='fingerprint-mismatch'):
    """The id belongs to a request with different content."""


class IdRefused(Outcome, frozen=True, tag='id-refused'):
    """The id is not valid now, and nothing was recorded.

    This differs from "not run": an id with a time in the future may be
    accepted later.
    """

    fault: RequestIdFault


class NoRecord(Outcome, frozen=True, tag='no-record'):
    """The id has no record and may still be admitted."""


class Forgotten(Outcome, frozen=True, tag='forgotten'):
    """Records were dropped."""

    count: int


RecordOutcome: TypeAlias = (
    Admitted
    | InProgress
    | Answered
    | AnsweredTooLarge
    | NotRun
    | Expired
    | FingerprintMismatch
    | IdRefused
    | NoRecord
    | Forgotten
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder[RecordOutcome](RecordOutcome)


def encode_outcome(outcome: RecordOutcome) -> bytes:
    """Encode an outcome as MessagePack."""
    return _encoder.encode(outcome)


def decode_outcome(payload: bytes) -> Result[RecordOutcome, CommandProblem]:
    """Decode an outcome encoded by :func:`encode_outcome`."""
    try:
        return Ok(_decoder.decode(payload))
    except msgspec.DecodeError as problem:
        return Err(CommandProblem(str(problem)))

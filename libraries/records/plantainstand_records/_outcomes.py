"""Outcomes of the record commands."""

from typing import TypeAlias

import msgspec
from result import Err, Ok, Result

from plantainstand_records._answers import Answer
from plantainstand_records._commands import Admission, CommandProblem
from plantainstand_records._request_ids import RequestIdFault


class Outcome(msgspec.Struct, frozen=True, tag_field='outcome'):
    """Base of every outcome."""


class Admitted(Outcome, frozen=True, tag='admitted'):
    """The attempt that asked may dispatch the request, once."""


class InProgress(Outcome, frozen=True, tag='in-progress'):
    """An attempt was admitted and has not reported: "unknown"."""

    admission: Admission
    """Whom to ask; if it is lost, the outcome stays unknown."""


class Answered(Outcome, frozen=True, tag='answered'):
    """The request ran, and this is the whole answer."""

    answer: Answer


class AnsweredTooLarge(Outcome, frozen=True, tag='answered-unkept'):
    """The request ran; its answer was too large to be kept."""

    status: int
    answer_bytes: int


class NotRun(Outcome, frozen=True, tag='not-run'):
    """The request has not run and never will."""

    reason: str


class Expired(Outcome, frozen=True, tag='expired'):
    """The id is too old: its record may be forgotten, it never runs again."""


class FingerprintMismatch(Outcome, frozen=True, tag='fingerprint-mismatch'):
    """The id belongs to a request with other content."""


class IdRefused(Outcome, frozen=True, tag='id-refused'):
    """The id is not usable and nothing was recorded.

    It is not "not run": the same id may be accepted later, once its time is
    no longer ahead.
    """

    fault: RequestIdFault


class NoRecord(Outcome, frozen=True, tag='no-record'):
    """Nothing is recorded under the id; it may still be admitted."""


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
    """Return the MessagePack form of an outcome."""
    return _encoder.encode(outcome)


def decode_outcome(payload: bytes) -> Result[RecordOutcome, CommandProblem]:
    """Read an outcome."""
    try:
        return Ok(_decoder.decode(payload))
    except msgspec.DecodeError as problem:
        return Err(CommandProblem(str(problem)))

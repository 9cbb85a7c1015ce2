"""Commands of the record state machine."""

from datetime import datetime
from typing import Annotated, TypeAlias

import msgspec
from plantainstand_core import Incarnation, RequestId, VmId
from result import Err, Ok, Result

from plantainstand_records._answers import AnyAnswer
from plantainstand_records._fingerprint import Fingerprint

_MAX_REASON_LENGTH = 200

AwareTime = Annotated[datetime, msgspec.Meta(tz=True)]
Reason = Annotated[str, msgspec.Meta(max_length=_MAX_REASON_LENGTH)]


class Admission(msgspec.Struct, frozen=True):
    """Identifies the attempt of a process that may dispatch a request."""

    vm: VmId
    incarnation: Incarnation
    attempt: int
    """Number of requests that the process has handled, including resends.

    Two resends of an id that reach the same VM are two attempts: only one of
    them may dispatch, and neither may abandon a request that the other has
    dispatched.
    """


class Admit(msgspec.Struct, frozen=True, tag='admit'):
    """Request admission before a request is dispatched."""

    request_id: RequestId
    fingerprint: Fingerprint
    admission: Admission
    leader_time: AwareTime
    """Overwritten by the leader, see :func:`stamp_command`."""


class Complete(msgspec.Struct, frozen=True, tag='complete'):
    """Record the answer of the target that ran an admitted request."""

    request_id: RequestId
    admission: Admission
    answer: AnyAnswer


class Abandon(msgspec.Struct, frozen=True, tag='abandon'):
    """Decide that a request does not run unless another attempt is admitted.

    The admitted attempt proposes this command when it knows that no target
    accepted the request. An attempt without an answer to its ``Admit``
    proposes it to get a definite outcome. A cancellation by the caller is
    proposed as a new attempt, so it takes effect only if no attempt was
    admitted.
    """

    request_id: RequestId
    admission: Admission
    reason: Reason
    leader_time: AwareTime
    """Overwritten by the leader, see :func:`stamp_command`."""


class Forget(msgspec.Struct, frozen=True, tag='forget'):
    """Drop records whose ids are older than the retention."""

    leader_time: AwareTime
    """Overwritten by the leader, see :func:`stamp_command`."""


RecordCommand: TypeAlias = Admit | Complete | Abandon | Forget


class CommandProblem(msgspec.Struct, frozen=True):
    """Error of bytes that are not a record command or outcome."""

    message: str


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder[RecordCommand](RecordCommand)


def stamp_command(
    command: RecordCommand,
    leader_time: datetime,
) -> RecordCommand:
    """Write the leader's time into a command before it enters the log.

    The age of ids is thus determined by the leader's clock and not by the
    clock of each VM.
    """
    if isinstance(command, Complete):
        return command
    return msgspec.structs.replace(command, leader_time=leader_time)


def encode_command(command: RecordCommand) -> bytes:
    """Encode a command as MessagePack for the log."""
    return _encoder.encode(command)


def decode_command(payload: bytes) -> Result[RecordCommand, CommandProblem]:
    """Decode a command encoded by :func:`encode_command`."""
    try:
        return Ok(_decoder.decode(payload))
    except msgspec.DecodeError as problem:
        return Err(CommandProblem(str(problem)))

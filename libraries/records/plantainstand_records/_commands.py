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
    """Who may dispatch a request: one attempt of one process."""

    vm: VmId
    incarnation: Incarnation
    attempt: int
    """Counts the requests a process has handled, resends included.

    Two resends of one id that reach one VM are two attempts: only one of
    them may dispatch, and neither may abandon what the other dispatched.
    """


class Admit(msgspec.Struct, frozen=True, tag='admit'):
    """Ask for the admission of a request, before it is dispatched."""

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
    """Decide that a request does not run, unless another attempt has it.

    The holder of the admission sends it when it knows that no target
    accepted the request. An attempt that did not get an answer to its
    ``Admit`` sends it to settle the matter. A caller's cancel is sent under
    a new attempt: it wins only if no attempt was admitted.
    """

    request_id: RequestId
    admission: Admission
    reason: Reason
    leader_time: AwareTime
    """Overwritten by the leader, see :func:`stamp_command`."""


class Forget(msgspec.Struct, frozen=True, tag='forget'):
    """Drop the records whose ids are older than the retention."""

    leader_time: AwareTime
    """Overwritten by the leader, see :func:`stamp_command`."""


RecordCommand: TypeAlias = Admit | Complete | Abandon | Forget


class CommandProblem(msgspec.Struct, frozen=True):
    """Why bytes are not a command or outcome of the records."""

    message: str


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder[RecordCommand](RecordCommand)


def stamp_command(
    command: RecordCommand,
    leader_time: datetime,
) -> RecordCommand:
    """Write the leader's time into a command before it enters the log.

    One clock then decides about the age of ids, not that of each VM.
    """
    if isinstance(command, Complete):
        return command
    return msgspec.structs.replace(command, leader_time=leader_time)


def encode_command(command: RecordCommand) -> bytes:
    """Return the MessagePack form of a command, as kept in the log."""
    return _encoder.encode(command)


def decode_command(payload: bytes) -> Result[RecordCommand, CommandProblem]:
    """Read a command."""
    try:
        return Ok(_decoder.decode(payload))
    except msgspec.DecodeError as problem:
        return Err(CommandProblem(str(problem)))

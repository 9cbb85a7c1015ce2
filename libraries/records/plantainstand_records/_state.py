"""The record state machine."""

from collections.abc import Sequence
from datetime import timedelta

import msgspec
from plantainstand_core import LogIndex, RequestId
from result import Err

from plantainstand_records._answers import LargeAnswer, limit_answer
from plantainstand_records._commands import (
    Abandon,
    Admit,
    Complete,
    Forget,
    RecordCommand,
)
from plantainstand_records._outcomes import (
    Admitted,
    Answered,
    AnsweredTooLarge,
    Expired,
    FingerprintMismatch,
    Forgotten,
    IdRefused,
    InProgress,
    NoRecord,
    NotRun,
    RecordOutcome,
)
from plantainstand_records._request_ids import (
    RETENTION,
    RequestIdFault,
    age_fault,
    parse_request_id,
    request_time,
    since_epoch,
)
from plantainstand_records._store import (
    AnsweredRecord,
    OpenRecord,
    Record,
    RecordStore,
    RejectedRecord,
)

_START = timedelta(0)
# Resolution of the time in a UUID of version 7.
_STEP = timedelta(milliseconds=1)


class _Snapshot(msgspec.Struct, frozen=True):
    horizon: timedelta
    newest: timedelta
    records: Sequence[tuple[RequestId, Record]]


class RecordState:
    """Decides, in the order of the log, which requests run.

    Every copy that applies the same commands has the same state and returns
    the same outcomes.
    """

    def __init__(self) -> None:
        """Start without records."""
        self._records = RecordStore()
        # Ids with an older time than the horizon are never admitted.
        self._horizon = _START
        # Newest time in any recorded id.
        self._newest = _START

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self._records)

    def apply(self, command: RecordCommand, index: LogIndex) -> RecordOutcome:
        """Apply the command of the log entry at ``index``."""
        if isinstance(command, Forget):
            return self._forget(command)
        parsed = parse_request_id(command.request_id)
        if isinstance(parsed, Err):
            return IdRefused(parsed.err_value.fault)
        if parsed.ok_value != command.request_id:
            # Another spelling is the same request, whoever sends it.
            command = msgspec.structs.replace(
                command,
                request_id=parsed.ok_value,
            )
        match command:
            case Admit():
                return self._admit(command)
            case Complete():
                return self._complete(command)
            case Abandon():
                return self._abandon(command)

    def lookup(self, request_id: RequestId) -> RecordOutcome:
        """Return the outcome that is recorded for an id, without a change."""
        parsed = parse_request_id(request_id)
        if isinstance(parsed, Err):
            return IdRefused(parsed.err_value.fault)
        record = self._records.get(parsed.ok_value)
        if record is not None:
            return _outcome_of(record)
        if request_time(parsed.ok_value) < self._horizon:
            return Expired()
        return NoRecord()

    def snapshot(self) -> bytes:
        """Return the whole state."""
        return msgspec.msgpack.encode(
            _Snapshot(self._horizon, self._newest, tuple(self._records)),
        )

    def restore(self, snapshot: bytes) -> None:
        """Replace the state by a snapshot's.

        Raises :exc:`msgspec.DecodeError` for bytes that are no snapshot;
        the state is then unchanged.
        """
        restored = msgspec.msgpack.decode(snapshot, type=_Snapshot)
        self._records = RecordStore(restored.records)
        self._horizon = restored.horizon
        self._newest = restored.newest

    def _admit(self, command: Admit) -> RecordOutcome:
        record = self._records.get(command.request_id)
        if record is None:
            return self._record(
                command,
                OpenRecord(command.fingerprint, command.admission),
            )
        if record.fingerprint not in {None, command.fingerprint}:
            return FingerprintMismatch()
        if _held_record(record, command) is not None:
            # The same attempt asks again because an answer was lost.
            return Admitted()
        return _outcome_of(record)

    def _complete(self, command: Complete) -> RecordOutcome:
        record = self._records.get(command.request_id)
        if record is None:
            return self.lookup(command.request_id)
        held = _held_record(record, command)
        if held is None:
            return _outcome_of(record)
        completed = AnsweredRecord(
            held.fingerprint,
            limit_answer(command.answer),
        )
        self._records.put(command.request_id, completed)
        return _outcome_of(completed)

    def _abandon(self, command: Abandon) -> RecordOutcome:
        record = self._records.get(command.request_id)
        if record is None:
            return self._record(command, RejectedRecord(None, command.reason))
        held = _held_record(record, command)
        if held is None:
            return _outcome_of(record)
        rejected = RejectedRecord(held.fingerprint, command.reason)
        self._records.put(command.request_id, rejected)
        return _outcome_of(rejected)

    def _record(
        self,
        command: Admit | Abandon,
        record: Record,
    ) -> RecordOutcome:
        requested = request_time(command.request_id)
        if requested < self._horizon:
            return Expired()
        fault = age_fault(requested, since_epoch(command.leader_time))
        if fault is RequestIdFault.EXPIRED:
            # A later leader's clock may be behind, but expired is for good.
            self._horizon = requested + _STEP
            return Expired()
        if fault is not None:
            return IdRefused(fault)
        self._newest = max(self._newest, requested)
        self._records.put(command.request_id, record)
        if isinstance(record, OpenRecord):
            return Admitted()
        return _outcome_of(record)

    def _forget(self, command: Forget) -> Forgotten:
        # A leader whose clock is far ahead must not drop answers early or
        # refuse every later request: the newest recorded id is a limit.
        newest = min(since_epoch(command.leader_time), self._newest)
        oldest = newest - RETENTION
        self._horizon = max(self._horizon, oldest)
        return Forgotten(self._records.drop_before(oldest))


def _held_record(
    record: Record,
    command: Admit | Complete | Abandon,
) -> OpenRecord | None:
    if not isinstance(record, OpenRecord):
        return None
    return record if record.admission == command.admission else None


def _outcome_of(record: Record) -> RecordOutcome:
    match record:
        case OpenRecord():
            return InProgress(record.admission)
        case RejectedRecord():
            return NotRun(record.reason)
    answer = record.answer
    if isinstance(answer, LargeAnswer):
        return AnsweredTooLarge(answer.status, answer.answer_bytes)
    return Answered(answer)

"""State machine of the request records."""

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

_ID_TIME_ORIGIN = timedelta(0)
# Resolution of the time in a UUID of version 7.
_ID_TIME_RESOLUTION = timedelta(milliseconds=1)


class _Snapshot(msgspec.Struct, frozen=True):
    horizon: timedelta
    newest: timedelta
    records: Sequence[tuple[RequestId, Record]]


class RecordState:
    """Decides in log order which requests run.

    Deterministic: replicas that apply the same commands have equal states and
    return equal outcomes.
    """

    def __init__(self) -> None:
        """Create a state without records."""
        self._records = RecordStore()
        # Ids with a time before the horizon are never admitted.
        self._expiry_horizon = _ID_TIME_ORIGIN
        # Newest time in any recorded id.
        self._newest_id_time = _ID_TIME_ORIGIN

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
            # Ids that differ only in letter case identify the same request.
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
        """Return the outcome recorded for an id without changing the state."""
        parsed = parse_request_id(request_id)
        if isinstance(parsed, Err):
            return IdRefused(parsed.err_value.fault)
        record = self._records.get(parsed.ok_value)
        if record is not None:
            return _recorded_outcome(record)
        if request_time(parsed.ok_value) < self._expiry_horizon:
            return Expired()
        return NoRecord()

    def snapshot(self) -> bytes:
        """Return the encoded state."""
        return msgspec.msgpack.encode(
            _Snapshot(
                self._expiry_horizon, self._newest_id_time, tuple(self._records)
            ),
        )

    def restore(self, snapshot: bytes) -> None:
        """Replace the state with a snapshot.

        :raises msgspec.DecodeError: if the bytes are not a snapshot; the state
            is then unchanged
        """
        restored = msgspec.msgpack.decode(snapshot, type=_Snapshot)
        self._records = RecordStore(restored.records)
        self._expiry_horizon = restored.horizon
        self._newest_id_time = restored.newest

    def _admit(self, command: Admit) -> RecordOutcome:
        record = self._records.get(command.request_id)
        if record is None:
            return self._add_record(
                command,
                OpenRecord(command.fingerprint, command.admission),
            )
        if record.fingerprint not in {None, command.fingerprint}:
            return FingerprintMismatch()
        if _admitted_record(record, command) is not None:
            # The admitted attempt repeats its command after a lost outcome.
            return Admitted()
        return _recorded_outcome(record)

    def _complete(self, command: Complete) -> RecordOutcome:
        record = self._records.get(command.request_id)
        if record is None:
            return self.lookup(command.request_id)
        admitted = _admitted_record(record, command)
        if admitted is None:
            return _recorded_outcome(record)
        completed = AnsweredRecord(
            admitted.fingerprint,
            limit_answer(command.answer),
        )
        self._records.put(command.request_id, completed)
        return _recorded_outcome(completed)

    def _abandon(self, command: Abandon) -> RecordOutcome:
        record = self._records.get(command.request_id)
        if record is None:
            return self._add_record(
                command, RejectedRecord(None, command.reason)
            )
        admitted = _admitted_record(record, command)
        if admitted is None:
            return _recorded_outcome(record)
        rejected = RejectedRecord(admitted.fingerprint, command.reason)
        self._records.put(command.request_id, rejected)
        return _recorded_outcome(rejected)

    def _add_record(
        self,
        command: Admit | Abandon,
        record: Record,
    ) -> RecordOutcome:
        id_time = request_time(command.request_id)
        if id_time < self._expiry_horizon:
            return Expired()
        fault = age_fault(id_time, since_epoch(command.leader_time))
        if fault is RequestIdFault.EXPIRED:
            # The horizon keeps the id expired even if a later leader's clock is
            # behind this leader's.
            self._expiry_horizon = id_time + _ID_TIME_RESOLUTION
            return Expired()
        if fault is not None:
            return IdRefused(fault)
        self._newest_id_time = max(self._newest_id_time, id_time)
        self._records.put(command.request_id, record)
        if isinstance(record, OpenRecord):
            return Admitted()
        return _recorded_outcome(record)

    def _forget(self, command: Forget) -> Forgotten:
        # Limited by the newest recorded id: otherwise a leader whose clock is
        # far ahead drops answers early and causes later requests to be refused.
        newest = min(since_epoch(command.leader_time), self._newest_id_time)
        oldest = newest - RETENTION
        self._expiry_horizon = max(self._expiry_horizon, oldest)
        return Forgotten(self._records.drop_before(oldest))


def _admitted_record(
    record: Record,
    command: Admit | Complete | Abandon,
) -> OpenRecord | None:
    if not isinstance(record, OpenRecord):
        return None
    return record if record.admission == command.admission else None


def _recorded_outcome(record: Record) -> RecordOutcome:
    match record:
        case OpenRecord():
            return InProgress(record.admission)
        case RejectedRecord():
            return NotRun(record.reason)
    answer = record.answer
    if isinstance(answer, LargeAnswer):
        return AnsweredTooLarge(answer.status, answer.answer_bytes)
    return Answered(answer)

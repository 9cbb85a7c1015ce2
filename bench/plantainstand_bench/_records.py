"""What callers saw, and the planned stops and drains of a run."""

from collections.abc import Sequence
from enum import Enum
from pathlib import Path

import msgspec
from plantainstand_core import RequestId, ServiceId, TrafficClass

_RECORDS_FILE = 'records.jsonl'
_RUN_FILE = 'run.json'


class Outcome(Enum):
    """Final outcome of a request, or the outcome of one attempt."""

    ANSWERED = 'answered'
    FAILED = 'failed'
    """The target's whole answer says that its work failed."""

    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'
    """The answer says so."""

    REJECTED = 'rejected'
    """Another status; the request is at fault."""

    REFUSED = 'refused'
    """No connection; nothing was sent."""

    CUT = 'cut'
    TIMED_OUT = 'timed-out'


UNKNOWN_OUTCOMES = frozenset(
    (Outcome.UNKNOWN, Outcome.CUT, Outcome.TIMED_OUT),
)


class Attempt(msgspec.Struct, frozen=True, kw_only=True):
    """One sending of a request."""

    request_id: RequestId
    via: str
    """Entry VM, or target of a direct run."""

    started: float
    """Seconds since the epoch."""

    ended: float
    outcome: Outcome
    answered_id: str = ''
    """Request id in the body of the answer."""


class CallerRecord(msgspec.Struct, frozen=True, kw_only=True):
    """One request of one caller."""

    caller: str
    service: ServiceId
    traffic_class: TrafficClass
    is_idempotent: bool
    scheduled: float
    """Seconds since the epoch; latency counts from here."""

    begun: float
    """When the caller began; later than scheduled if the tool is busy."""

    deadline_ms: int
    ended: float
    outcome: Outcome
    attempts: Sequence[Attempt]

    @property
    def latency_ms(self) -> float:
        """Time from the scheduled arrival to the outcome."""
        return (self.ended - self.scheduled) * 1000


class PlannedStop(msgspec.Struct, frozen=True, kw_only=True):
    """A daemon that was asked to stop."""

    vm: str
    started: float
    exited: float | None = None
    """Absent while the process runs."""


class Drain(msgspec.Struct, frozen=True, kw_only=True):
    """An announced drain."""

    subject: str
    """``target/<id>``, ``vm/<id>``, ``availability_zone/<id>``, ..."""

    targets: Sequence[str]
    """Targets that it concerns."""

    announced: float
    """When the announcement was accepted."""

    withdrawn: float | None = None


class LostTarget(msgspec.Struct, frozen=True, kw_only=True):
    """A target that was killed; its journal does not say so."""

    target: str
    time: float


class RunLog(msgspec.Struct, frozen=True, kw_only=True):
    """Everything that the verdict is drawn from besides the journals."""

    measured_from: float = 0
    """Arrivals before this time are left out of latency and headroom."""

    records: Sequence[CallerRecord] = ()
    planned_stops: Sequence[PlannedStop] = ()
    drains: Sequence[Drain] = ()
    lost_targets: Sequence[LostTarget] = ()
    """In order of time."""


class _Announcements(msgspec.Struct, frozen=True, kw_only=True):
    measured_from: float
    planned_stops: Sequence[PlannedStop]
    drains: Sequence[Drain]
    lost_targets: Sequence[LostTarget] = ()


def write_run_log(folder: Path, log: RunLog) -> None:
    """Write ``records.jsonl``, a line for each request, and ``run.json``."""
    encoder = msgspec.json.Encoder()
    records = encoder.encode_lines(log.records)
    (folder / _RECORDS_FILE).write_bytes(records)
    announcements = _Announcements(
        measured_from=log.measured_from,
        planned_stops=log.planned_stops,
        drains=log.drains,
        lost_targets=log.lost_targets,
    )
    (folder / _RUN_FILE).write_bytes(encoder.encode(announcements))


def read_run_log(folder: Path) -> RunLog:
    """Read what :func:`write_run_log` has written."""
    decoder = msgspec.json.Decoder(CallerRecord)
    records = decoder.decode_lines((folder / _RECORDS_FILE).read_bytes())
    announcements = msgspec.json.decode(
        (folder / _RUN_FILE).read_bytes(),
        type=_Announcements,
    )
    return RunLog(
        measured_from=announcements.measured_from,
        records=records,
        planned_stops=announcements.planned_stops,
        drains=announcements.drains,
        lost_targets=announcements.lost_targets,
    )

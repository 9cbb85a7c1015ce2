"""Counts broken promises from callers' records and targets' journals."""

from collections import Counter
from collections.abc import Iterable, Sequence

import msgspec
from plantainstand_core import RequestId

from plantainstand_bench._journal import JournalEvent, JournalKind
from plantainstand_bench._records import (
    UNKNOWN_OUTCOMES,
    Attempt,
    Drain,
    Outcome,
    PlannedStop,
    RunLog,
)

# Targets that leave receive no new work later than this.
_DRAIN_GRACE_SECONDS = 3
_WORK_EVENTS = frozenset((JournalKind.START, JournalKind.QUEUE))


class Outcomes(msgspec.Struct, frozen=True, kw_only=True):
    """How requests ended; none of these breaks a promise by itself."""

    requests: int
    answered_whole: int
    failed: int
    not_run: int
    unknown: int
    rejected: int
    unreachable: int


class BrokenPromises(msgspec.Struct, frozen=True, kw_only=True):
    """Counts that must be zero."""

    executed_twice: int
    """Non-idempotent request ids that ran more than once."""

    executed_after_not_run: int
    """Request ids that ran although a caller was told "not run"."""

    foreign_answers: int
    """Answers whose body names another request."""

    above_slots: int
    """Pieces of work sent to a target whose slots were all taken."""

    cut_by_planned_stop: int
    """Attempts cut at a daemon that was asked to stop."""

    new_work_after_drain: int
    """Pieces of work started later than 3 s after the announcement."""

    @property
    def is_kept(self) -> bool:
        """Whether every count is zero."""
        return not any(msgspec.structs.astuple(self))


def count_outcomes(log: RunLog) -> Outcomes:
    """Count the final outcomes."""
    counts = Counter(record.outcome for record in log.records)
    return Outcomes(
        requests=len(log.records),
        answered_whole=counts[Outcome.ANSWERED],
        failed=counts[Outcome.FAILED],
        not_run=counts[Outcome.NOT_RUN],
        unknown=sum(counts[outcome] for outcome in UNKNOWN_OUTCOMES),
        rejected=counts[Outcome.REJECTED],
        unreachable=counts[Outcome.REFUSED],
    )


def count_broken_promises(
    log: RunLog,
    events: Sequence[JournalEvent],
) -> BrokenPromises:
    """Compare what callers saw with what the targets did."""
    attempts = [
        attempt for record in log.records for attempt in record.attempts
    ]
    starts = Counter(
        event.request_id for event in events if event.event is JournalKind.START
    )
    return BrokenPromises(
        executed_twice=_count_twice(log, starts),
        executed_after_not_run=_count_after_not_run(attempts, starts),
        foreign_answers=sum(_is_foreign(attempt) for attempt in attempts),
        above_slots=sum(_is_overrun(event) for event in events),
        cut_by_planned_stop=_count_cuts(attempts, log.planned_stops),
        new_work_after_drain=_count_late_work(events, log.drains),
    )


def _count_twice(log: RunLog, starts: Counter[RequestId]) -> int:
    ids = {
        attempt.request_id
        for record in log.records
        if not record.is_idempotent
        for attempt in record.attempts
    }
    return sum(starts[request_id] > 1 for request_id in ids)


def _count_after_not_run(
    attempts: Iterable[Attempt],
    starts: Counter[RequestId],
) -> int:
    told = {
        attempt.request_id
        for attempt in attempts
        if attempt.outcome is Outcome.NOT_RUN
    }
    return sum(starts[request_id] > 0 for request_id in told)


def _is_foreign(attempt: Attempt) -> bool:
    is_answered = attempt.outcome in {Outcome.ANSWERED, Outcome.FAILED}
    return is_answered and attempt.answered_id != attempt.request_id


def _is_overrun(event: JournalEvent) -> bool:
    # Waiting work is started later, so a START can follow an overrun.
    return event.event is JournalKind.QUEUE and event.in_use > event.slots


def _count_cuts(
    attempts: Iterable[Attempt],
    stops: Sequence[PlannedStop],
) -> int:
    return sum(
        attempt.outcome is Outcome.CUT and _is_during(attempt, stop)
        for attempt in attempts
        for stop in stops
        if stop.vm == attempt.via
    )


def _is_during(attempt: Attempt, stop: PlannedStop) -> bool:
    is_before_exit = stop.exited is None or attempt.started <= stop.exited
    return attempt.ended >= stop.started and is_before_exit


def _count_late_work(
    events: Iterable[JournalEvent],
    drains: Sequence[Drain],
) -> int:
    # Waiting work was accepted by its QUEUE event; its START is not new.
    queued: set[tuple[str, RequestId]] = set()
    late = 0
    for event in events:
        if event.event not in _WORK_EVENTS:
            continue
        key = (event.target, event.request_id)
        is_new = event.event is JournalKind.QUEUE or key not in queued
        if event.event is JournalKind.QUEUE:
            queued.add(key)
        late += is_new and any(_is_late(event, drain) for drain in drains)
    return late


def _is_late(event: JournalEvent, drain: Drain) -> bool:
    if event.target not in drain.targets:
        return False
    is_before_end = drain.withdrawn is None or event.time < drain.withdrawn
    return event.time > drain.announced + _DRAIN_GRACE_SECONDS and is_before_end

"""Outlier ejection of targets by this VM's own results."""

from collections.abc import Collection, Iterable
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from plantainstand_core import Clock, TargetId

_SECOND = timedelta(seconds=1)
_LONGEST_EJECTION = timedelta(minutes=3)
_FORGIVENESS = timedelta(minutes=2)


@dataclass(frozen=True)
class HealthPolicy:
    """Thresholds of the outlier ejection."""

    consecutive_failures: int = 5
    """Failures without a success in between that eject a target."""

    suspect_failures: int = 2
    """The same while a credible report says that the target is unhealthy."""

    success_margin: float = 0.3
    """Ejects a target whose success rate is this far below the others'."""

    minimum_results: int = 20
    """Own results in the window before the success rate counts."""

    window: timedelta = 10 * _SECOND
    """Results are counted for one to two windows."""

    first_ejection: timedelta = 5 * _SECOND
    """Doubles with each further ejection of the same target."""

    longest_ejection: timedelta = _LONGEST_EJECTION

    forgiveness: timedelta = _FORGIVENESS
    """Time in use after which the next ejection is a first one again."""

    report_lifetime: timedelta = 3 * _SECOND
    """Age from which a health report is ignored."""


class HealthState(Enum):
    """Whether a target may be chosen."""

    USABLE = 'usable'
    EJECTED = 'ejected'

    PROBE_DUE = 'probe due'
    """The ejection is over; one request may test the target."""

    PROBING = 'probing'
    """One request tests the target."""


@dataclass(slots=True)
class _Record:
    state: HealthState = HealthState.USABLE
    consecutive: int = 0
    successes: int = 0
    failures: int = 0
    past_successes: int = 0
    past_failures: int = 0
    ejections: int = 0
    changed_at: timedelta = timedelta(0)
    """Time of the last ejection or return."""

    ejected_for: timedelta = timedelta(0)
    succeeded_at: timedelta | None = None
    unhealthy_at: timedelta | None = None


class TargetHealth:
    """Health of one service's targets in one availability zone.

    At most half of the targets are out of use at any time; when all fail,
    the cause is not a single target.
    """

    def __init__(
        self,
        targets: Iterable[TargetId],
        clock: Clock,
        policy: HealthPolicy | None = None,
    ):
        """Start with every target usable."""
        self._clock = clock
        self._policy = policy or HealthPolicy()
        self._records = {target: _Record() for target in targets}
        self._window_ends = clock.monotonic() + self._policy.window

    @property
    def ejected(self) -> frozenset[TargetId]:
        """Targets out of use, those with a due or running probe included."""
        return frozenset(
            target
            for target, record in self._records.items()
            if record.state is not HealthState.USABLE
        )

    def state(self, target: TargetId) -> HealthState:
        """Return the state; a target that is not known is usable."""
        record = self._records.get(target)
        if record is None:
            return HealthState.USABLE
        if record.state is HealthState.EJECTED:
            over_at = record.changed_at + record.ejected_for
            if self._clock.monotonic() >= over_at:
                record.state = HealthState.PROBE_DUE
        return record.state

    def probes_due(self) -> Collection[TargetId]:
        """Return the targets that one request may test now."""
        return tuple(
            target
            for target in self._records
            if self.state(target) is HealthState.PROBE_DUE
        )

    def begin_probe(self, target: TargetId) -> bool:
        """Claim the probe of a target; true for one caller only."""
        if self.state(target) is not HealthState.PROBE_DUE:
            return False
        self._records[target].state = HealthState.PROBING
        return True

    def abandon_probe(self, target: TargetId) -> None:
        """Give a claimed probe back when no request was sent."""
        record = self._records.get(target)
        if record and record.state is HealthState.PROBING:
            record.state = HealthState.PROBE_DUE

    def replace_targets(self, targets: Iterable[TargetId]) -> None:
        """Take over a changed set; when needed, end the oldest ejections."""
        known = self._records
        self._records = {
            target: known.get(target) or _Record() for target in targets
        }
        out_of_use = [
            record
            for record in self._records.values()
            if record.state is not HealthState.USABLE
        ]
        out_of_use.sort(key=_changed_at)
        excess = len(out_of_use) - len(self._records) // 2
        for record in out_of_use[: max(excess, 0)]:
            self._return(record)

    def accept_report(
        self,
        target: TargetId,
        is_healthy: bool,
        measured_at: timedelta,
    ) -> None:
        """Take over a health report of a target.

        A report alone changes no state, because it can lag or lie. An
        unhealthy one that is fresh and not contradicted by a later own
        success lowers the number of failures that eject the target.
        """
        record = self._records.get(target)
        if record is not None:
            record.unhealthy_at = None if is_healthy else measured_at

    def is_suspect(self, target: TargetId) -> bool:
        """Return whether a credible report says that it is unhealthy."""
        record = self._records.get(target)
        if record is None or record.unhealthy_at is None:
            return False
        age = self._clock.monotonic() - record.unhealthy_at
        if age > self._policy.report_lifetime:
            return False
        last = record.succeeded_at
        return last is None or last < record.unhealthy_at

    def record(self, target: TargetId, *, succeeded: bool) -> None:
        """Add the result of an own attempt.

        Refusals for lack of capacity are no failures.
        """
        record = self._records.get(target)
        if record is None:
            return
        self._roll_window()
        if succeeded:
            self._record_success(record)
        else:
            self._record_failure(target, record)

    def _record_success(self, record: _Record) -> None:
        record.consecutive = 0
        record.successes += 1
        record.succeeded_at = self._clock.monotonic()
        if record.state is HealthState.PROBING:
            self._return(record)

    def _record_failure(self, target: TargetId, record: _Record) -> None:
        record.consecutive += 1
        record.failures += 1
        if record.state is HealthState.PROBING:
            self._eject(record)
        elif record.state is HealthState.USABLE:
            if self._is_outlier(target, record) and self._may_eject():
                self._eject(record)

    def _is_outlier(self, target: TargetId, record: _Record) -> bool:
        limit = self._policy.consecutive_failures
        if self.is_suspect(target):
            limit = self._policy.suspect_failures
        if record.consecutive >= limit:
            return True
        successes, results = _counts((record,))
        if results < self._policy.minimum_results:
            return False
        return successes / results < self._threshold(target)

    def _threshold(self, target: TargetId) -> float:
        others = (
            record
            for other, record in self._records.items()
            if other != target and record.state is HealthState.USABLE
        )
        successes, results = _counts(others)
        if results < self._policy.minimum_results:
            return 0
        return successes / results - self._policy.success_margin

    def _may_eject(self) -> bool:
        return 2 * (len(self.ejected) + 1) <= len(self._records)

    def _eject(self, record: _Record) -> None:
        now = self._clock.monotonic()
        policy = self._policy
        is_usable = record.state is HealthState.USABLE
        if is_usable and now - record.changed_at > policy.forgiveness:
            record.ejections = 0
        longest = policy.longest_ejection
        doubled = policy.first_ejection * 2**record.ejections
        record.ejected_for = min(doubled, longest)
        if doubled < longest:
            record.ejections += 1
        record.changed_at = now
        record.state = HealthState.EJECTED

    def _return(self, record: _Record) -> None:
        record.state = HealthState.USABLE
        record.changed_at = self._clock.monotonic()
        record.consecutive = 0
        record.successes = 0
        record.failures = 0
        record.past_successes = 0
        record.past_failures = 0

    def _roll_window(self) -> None:
        now = self._clock.monotonic()
        if now < self._window_ends:
            return
        self._window_ends = now + self._policy.window
        for record in self._records.values():
            record.past_successes = record.successes
            record.past_failures = record.failures
            record.successes = 0
            record.failures = 0


def _changed_at(record: _Record) -> timedelta:
    return record.changed_at


def _counts(records: Iterable[_Record]) -> tuple[int, int]:
    successes, results = 0, 0
    for record in records:
        good = record.successes + record.past_successes
        successes += good
        results += good + record.failures + record.past_failures
    return successes, results

"""Outlier ejection of targets, based on this VM's own results."""

from collections.abc import Collection, Iterable
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from plantainstand_core import Clock, TargetId

_SECOND = timedelta(seconds=1)
_MAX_EJECTION_TIME = timedelta(minutes=3)
_EJECTION_RESET_TIME = timedelta(minutes=2)


@dataclass(frozen=True)
class HealthPolicy:
    """Thresholds of the outlier ejection."""

    consecutive_failures: int = 5
    """Consecutive failures that eject a target."""

    suspect_failures: int = 2
    """Consecutive failures that eject a target reported as unhealthy."""

    success_margin: float = 0.3
    """A target is ejected if its success rate is lower than the others' by
    more than this margin."""

    minimum_results: int = 20
    """Results in the window below which the success rate is not evaluated."""

    window: timedelta = 10 * _SECOND
    """Results count for one to two windows."""

    base_ejection_time: timedelta = 5 * _SECOND
    """Duration of the first ejection; doubles with each further one."""

    max_ejection_time: timedelta = _MAX_EJECTION_TIME

    ejection_reset_time: timedelta = _EJECTION_RESET_TIME
    """Time in use after which the next ejection is as short as the first."""

    report_lifetime: timedelta = 3 * _SECOND
    """Age above which a health report is ignored."""


class HealthState(Enum):
    """Whether a target may be chosen."""

    USABLE = 'usable'
    EJECTED = 'ejected'

    PROBE_DUE = 'probe due'
    """The ejection has ended; one request may probe the target."""

    PROBING = 'probing'
    """A request that probes the target is in flight."""


@dataclass(slots=True)
class _TargetRecord:
    state: HealthState = HealthState.USABLE
    consecutive_failures: int = 0
    successes: int = 0
    failures: int = 0
    previous_successes: int = 0
    previous_failures: int = 0
    ejections: int = 0
    changed_at: timedelta = timedelta(0)
    """Time of the last ejection or return to use."""

    ejected_for: timedelta = timedelta(0)
    last_success_at: timedelta | None = None
    reported_unhealthy_at: timedelta | None = None


class TargetHealth:
    """Health of the targets of one service in one availability zone.

    At most half of the targets are ejected at any time: if more of them
    fail, the cause is not in a single target.
    """

    def __init__(
        self,
        targets: Iterable[TargetId],
        clock: Clock,
        policy: HealthPolicy | None = None,
    ):
        """Create the health state with every target usable."""
        self._clock = clock
        self._policy = policy or HealthPolicy()
        self._records = {target: _TargetRecord() for target in targets}
        self._window_end = clock.monotonic() + self._policy.window

    @property
    def ejected(self) -> frozenset[TargetId]:
        """Ejected targets, including those with a due or running probe."""
        return frozenset(
            target
            for target, record in self._records.items()
            if record.state is not HealthState.USABLE
        )

    def state(self, target: TargetId) -> HealthState:
        """Return the state of a target; an unknown target is usable."""
        record = self._records.get(target)
        if record is None:
            return HealthState.USABLE
        if record.state is HealthState.EJECTED:
            over_at = record.changed_at + record.ejected_for
            if self._clock.monotonic() >= over_at:
                record.state = HealthState.PROBE_DUE
        return record.state

    def probes_due(self) -> Collection[TargetId]:
        """Return the targets that a request may probe now."""
        return tuple(
            target
            for target in self._records
            if self.state(target) is HealthState.PROBE_DUE
        )

    def begin_probe(self, target: TargetId) -> bool:
        """Claim the probe of a target; true for one caller only.

        :meth:`record` ends the probe, :meth:`abandon_probe` releases it.
        """
        if self.state(target) is not HealthState.PROBE_DUE:
            return False
        self._records[target].state = HealthState.PROBING
        return True

    def abandon_probe(self, target: TargetId) -> None:
        """Release a claimed probe for which no request was sent."""
        record = self._records.get(target)
        if record and record.state is HealthState.PROBING:
            record.state = HealthState.PROBE_DUE

    def replace_targets(self, targets: Iterable[TargetId]) -> None:
        """Replace the set of targets.

        If more than half of the new set is ejected, the oldest ejections end.
        """
        known = self._records
        self._records = {
            target: known.get(target) or _TargetRecord() for target in targets
        }
        out_of_use = [
            record
            for record in self._records.values()
            if record.state is not HealthState.USABLE
        ]
        out_of_use.sort(key=_changed_at)
        excess = len(out_of_use) - len(self._records) // 2
        for record in out_of_use[: max(excess, 0)]:
            self._restore(record)

    def accept_report(
        self,
        target: TargetId,
        is_healthy: bool,
        measured_at: timedelta,
    ) -> None:
        """Store a health report of a target.

        A report alone changes no state, because it can be outdated or wrong.
        A fresh report that the target is unhealthy, without a later success
        of this VM, lowers the number of failures that eject the target.
        """
        record = self._records.get(target)
        if record is not None:
            record.reported_unhealthy_at = None if is_healthy else measured_at

    def is_suspect(self, target: TargetId) -> bool:
        """Return whether a credible report says the target is unhealthy.

        A report is credible until it expires or an attempt succeeds.
        """
        record = self._records.get(target)
        if record is None or record.reported_unhealthy_at is None:
            return False
        age = self._clock.monotonic() - record.reported_unhealthy_at
        if age > self._policy.report_lifetime:
            return False
        last_success_at = record.last_success_at
        return (
            last_success_at is None
            or last_success_at < record.reported_unhealthy_at
        )

    def record(self, target: TargetId, *, succeeded: bool) -> None:
        """Record the result of an attempt of this VM.

        Refusals for lack of capacity must not be recorded as failures.
        """
        record = self._records.get(target)
        if record is None:
            return
        self._rotate_window()
        if succeeded:
            self._record_success(record)
        else:
            self._record_failure(target, record)

    def _record_success(self, record: _TargetRecord) -> None:
        record.consecutive_failures = 0
        record.successes += 1
        record.last_success_at = self._clock.monotonic()
        if record.state is HealthState.PROBING:
            self._restore(record)

    def _record_failure(self, target: TargetId, record: _TargetRecord) -> None:
        record.consecutive_failures += 1
        record.failures += 1
        if record.state is HealthState.PROBING:
            self._eject(record)
        elif record.state is HealthState.USABLE:
            if self._is_outlier(target, record) and self._may_eject():
                self._eject(record)

    def _is_outlier(self, target: TargetId, record: _TargetRecord) -> bool:
        failure_limit = self._policy.consecutive_failures
        if self.is_suspect(target):
            failure_limit = self._policy.suspect_failures
        if record.consecutive_failures >= failure_limit:
            return True
        successes, results = _window_counts((record,))
        if results < self._policy.minimum_results:
            return False
        return successes / results < self._min_success_rate(target)

    def _min_success_rate(self, target: TargetId) -> float:
        others = (
            record
            for other, record in self._records.items()
            if other != target and record.state is HealthState.USABLE
        )
        successes, results = _window_counts(others)
        if results < self._policy.minimum_results:
            return 0
        return successes / results - self._policy.success_margin

    def _may_eject(self) -> bool:
        return 2 * (len(self.ejected) + 1) <= len(self._records)

    def _eject(self, record: _TargetRecord) -> None:
        now = self._clock.monotonic()
        policy = self._policy
        is_usable = record.state is HealthState.USABLE
        if is_usable and now - record.changed_at > policy.ejection_reset_time:
            record.ejections = 0
        max_time = policy.max_ejection_time
        ejection_time = policy.base_ejection_time * 2**record.ejections
        record.ejected_for = min(ejection_time, max_time)
        if ejection_time < max_time:
            record.ejections += 1
        record.changed_at = now
        record.state = HealthState.EJECTED

    def _restore(self, record: _TargetRecord) -> None:
        record.state = HealthState.USABLE
        record.changed_at = self._clock.monotonic()
        record.consecutive_failures = 0
        record.successes = 0
        record.failures = 0
        record.previous_successes = 0
        record.previous_failures = 0

    def _rotate_window(self) -> None:
        now = self._clock.monotonic()
        if now < self._window_end:
            return
        self._window_end = now + self._policy.window
        for record in self._records.values():
            record.previous_successes = record.successes
            record.previous_failures = record.failures
            record.successes = 0
            record.failures = 0


def _changed_at(record: _TargetRecord) -> timedelta:
    return record.changed_at


def _window_counts(records: Iterable[_TargetRecord]) -> tuple[int, int]:
    successes, results = 0, 0
    for record in records:
        record_successes = record.successes + record.previous_successes
        successes += record_successes
        results += record_successes + record.failures + record.previous_failures
    return successes, results

"""Load and latency statistics of one service's candidates at one VM."""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta
from random import Random

from plantainstand_core import Clock

from plantainstand_steering._candidate import (
    AttemptResult,
    Candidate,
    CandidateId,
    LoadReport,
)
from plantainstand_steering._estimate import (
    Estimate,
    accept_report,
    new_estimate,
    record_end,
    record_result,
    record_start,
    replace_candidate,
)
from plantainstand_steering._order import CostOrder

# Weight of one answer in the moving average of the service time.
_SERVICE_TIME_SMOOTHING_FACTOR = 0.01


@dataclass(frozen=True)
class Attempt:
    """An attempt in flight at a candidate."""

    number: int
    candidate_id: CandidateId
    started_at: timedelta


class ServiceView:
    """Candidates of a service with in-flight counts, results and reports."""

    def __init__(
        self,
        candidates: Iterable[Candidate],
        clock: Clock,
        random_source: Random,
    ):
        """Create the view without observations."""
        self._random = random_source
        self._clock = clock
        self._estimates: dict[CandidateId, Estimate] = {}
        self._order = CostOrder((), random_source)
        self._attempts: dict[int, Attempt] = {}
        self._next_number = 0
        self._local_slots = 0
        self._service_time: float | None = None
        self._ejected: frozenset[CandidateId] = frozenset()
        self.replace_candidates(candidates)

    @property
    def order(self) -> CostOrder:
        """Candidates that have slots and are not ejected, ordered by cost."""
        return self._order

    @property
    def local_slots(self) -> int:
        """Sum of the slots that this VM owns of usable local targets."""
        return self._local_slots

    def monotonic_seconds(self) -> float:
        """Return the reading of the monotonic clock in seconds."""
        return self._clock.monotonic().total_seconds()

    def in_flight(self, candidate_id: CandidateId) -> int:
        """Return the number of this VM's attempts in flight at a candidate."""
        estimate = self._estimates.get(candidate_id)
        return estimate.in_flight if estimate else 0

    def replace_candidates(self, candidates: Iterable[Candidate]) -> None:
        """Replace the candidates after a catalogue or share table change.

        Statistics of candidates that remain are kept.
        """
        known = self._estimates
        self._estimates = {}
        for candidate in candidates:
            estimate = known.get(candidate.candidate_id)
            if estimate is None:
                estimate = new_estimate(candidate)
            else:
                replace_candidate(estimate, candidate)
            self._estimates[candidate.candidate_id] = estimate
        self._rebuild_order()

    def replace_ejected(self, candidate_ids: frozenset[CandidateId]) -> None:
        """Set the candidates that are excluded from the ranking."""
        if candidate_ids != self._ejected:
            self._ejected = candidate_ids
            self._rebuild_order()

    def accept_report(
        self,
        candidate_id: CandidateId,
        report: LoadReport,
    ) -> None:
        """Store a load report.

        Reports of unknown candidates and reports older than the stored one
        are ignored.
        """
        estimate = self._estimates.get(candidate_id)
        if estimate is not None:
            self._apply_service_time(estimate)
            accept_report(estimate, report)
            self._order.mark_changed(estimate)

    def start(self, candidate_id: CandidateId) -> Attempt:
        """Count an attempt as in flight at a candidate."""
        now = self._clock.monotonic()
        attempt = Attempt(self._next_number, candidate_id, now)
        self._next_number += 1
        self._attempts[attempt.number] = attempt
        estimate = self._estimates.get(candidate_id)
        if estimate is not None:
            record_start(estimate, now.total_seconds())
            self._order.mark_changed(estimate)
        return attempt

    def finish(self, attempt: Attempt, result: AttemptResult) -> None:
        """Count an attempt as ended.

        :raises KeyError: if the attempt has already ended
        """
        self._attempts.pop(attempt.number)
        estimate = self._estimates.get(attempt.candidate_id)
        if estimate is None:
            return
        now = self._clock.monotonic()
        record_end(estimate, result, now.total_seconds())
        self._order.mark_changed(estimate)
        if result is AttemptResult.CANCELLED:
            return
        latency = (now - attempt.started_at).total_seconds()
        record_result(estimate, result, latency, now.total_seconds())
        if result is AttemptResult.ANSWERED and not estimate.is_vm:
            self._update_service_time(latency - estimate.delay)
            self._apply_service_time(estimate)

    def _update_service_time(self, service_time: float) -> None:
        # Only latencies of targets count: a VM's latency includes the wait in
        # its queue.
        known = self._service_time
        if known is None:
            known = service_time
        self._service_time = (
            known
            + (max(service_time, 0) - known) * _SERVICE_TIME_SMOOTHING_FACTOR
        )

    def _apply_service_time(self, estimate: Estimate) -> None:
        if self._service_time is not None:
            estimate.service_time = self._service_time

    def _rebuild_order(self) -> None:
        usable = [
            estimate
            for estimate in self._estimates.values()
            if estimate.slots > 0
            and estimate.candidate.candidate_id not in self._ejected
        ]
        self._order = CostOrder(usable, self._random)
        self._local_slots = sum(
            estimate.slots for estimate in self._order.local
        )

"""What one VM knows about the candidates of one service."""

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

# Weight of one answer in the mean latency over all candidates.
_MEAN_STEP = 0.01


@dataclass(frozen=True)
class Attempt:
    """A request in flight at a candidate."""

    number: int
    candidate_id: CandidateId
    started_at: timedelta


class ServiceView:
    """Own in-flight counts, own results and reports of one service."""

    def __init__(
        self,
        candidates: Iterable[Candidate],
        clock: Clock,
        random_source: Random,
    ):
        """Start without observations."""
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
        """Usable candidates that have slots."""
        return self._order

    @property
    def local_slots(self) -> int:
        """Sum of the slots owned at local targets."""
        return self._local_slots

    def seconds(self) -> float:
        """Return the monotonic time."""
        return self._clock.monotonic().total_seconds()

    def in_flight(self, candidate_id: CandidateId) -> int:
        """Return the number of own attempts that have not ended."""
        estimate = self._estimates.get(candidate_id)
        return estimate.in_flight if estimate else 0

    def replace_candidates(self, candidates: Iterable[Candidate]) -> None:
        """Take over a changed catalogue or share table.

        Statistics of candidates that stay are kept.
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
        self._reorder()

    def replace_ejected(self, candidate_ids: frozenset[CandidateId]) -> None:
        """Leave these candidates out of the ranking, and only these."""
        if candidate_ids != self._ejected:
            self._ejected = candidate_ids
            self._reorder()

    def accept_report(
        self,
        candidate_id: CandidateId,
        report: LoadReport,
    ) -> None:
        """Take over a load report; older and unknown ones are ignored."""
        estimate = self._estimates.get(candidate_id)
        if estimate is not None:
            self._share_service_time(estimate)
            accept_report(estimate, report)
            self._order.touch(estimate)

    def start(self, candidate_id: CandidateId) -> Attempt:
        """Count a request as in flight at a candidate."""
        now = self._clock.monotonic()
        attempt = Attempt(self._next_number, candidate_id, now)
        self._next_number += 1
        self._attempts[attempt.number] = attempt
        estimate = self._estimates.get(candidate_id)
        if estimate is not None:
            record_start(estimate, now.total_seconds())
            self._order.touch(estimate)
        return attempt

    def finish(self, attempt: Attempt, result: AttemptResult) -> None:
        """Count the end of an attempt; a second call for it raises."""
        self._attempts.pop(attempt.number)
        estimate = self._estimates.get(attempt.candidate_id)
        if estimate is None:
            return
        now = self._clock.monotonic()
        record_end(estimate, result, now.total_seconds())
        self._order.touch(estimate)
        if result is AttemptResult.CANCELLED:
            return
        latency = (now - attempt.started_at).total_seconds()
        record_result(estimate, result, latency, now.total_seconds())
        if result is AttemptResult.ANSWERED and not estimate.is_vm:
            self._learn_service_time(latency - estimate.delay)
            self._share_service_time(estimate)

    def _learn_service_time(self, sample: float) -> None:
        # Only targets teach the time: a VM's latency includes its queue.
        known = self._service_time
        if known is None:
            known = sample
        self._service_time = known + (max(sample, 0) - known) * _MEAN_STEP

    def _share_service_time(self, estimate: Estimate) -> None:
        if self._service_time is not None:
            estimate.service_time = self._service_time

    def _reorder(self) -> None:
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

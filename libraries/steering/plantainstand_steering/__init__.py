"""Target choice, admission queue, retry budget, hedging and target health."""

from plantainstand_steering._candidate import (
    AttemptResult,
    Candidate,
    CandidateId,
    CandidateKind,
    LoadReport,
    RankedCandidate,
    may_share_target,
)
from plantainstand_steering._health import (
    HealthPolicy,
    HealthState,
    TargetHealth,
)
from plantainstand_steering._hedge import HedgeContext, HedgePolicy
from plantainstand_steering._queue import AdmissionQueue, QueuedRequest
from plantainstand_steering._ranking import (
    choose_free_target,
    rank_candidates,
)
from plantainstand_steering._retry import (
    AttemptOutcome,
    RetryBudget,
    RetryContext,
    RetryRefusal,
    may_retry,
    retry_refusal,
)
from plantainstand_steering._scheduler import (
    Admission,
    AdmissionScheduler,
    Refused,
    ShedReason,
    Started,
)
from plantainstand_steering._view import Attempt, ServiceView

__all__ = (
    'Admission',
    'AdmissionQueue',
    'AdmissionScheduler',
    'Attempt',
    'AttemptOutcome',
    'AttemptResult',
    'Candidate',
    'CandidateId',
    'CandidateKind',
    'HealthPolicy',
    'HealthState',
    'HedgeContext',
    'HedgePolicy',
    'LoadReport',
    'QueuedRequest',
    'RankedCandidate',
    'Refused',
    'RetryBudget',
    'RetryContext',
    'RetryRefusal',
    'ServiceView',
    'ShedReason',
    'Started',
    'TargetHealth',
    'choose_free_target',
    'may_retry',
    'may_share_target',
    'rank_candidates',
    'retry_refusal',
)

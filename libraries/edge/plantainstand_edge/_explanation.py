"""Explains where a request would go now, without sending it.

The same state and the same functions decide as for a request that is served.
Nothing is counted, recorded or sent. Only what any request derives from the
state in passing is renewed: cached figures, entries that have left their
windows, and doubts about a target that the list or a probe has ended.
"""

from collections.abc import Callable
from dataclasses import dataclass, replace
from datetime import timedelta
from http import HTTPStatus

from plantainstand_allotments import UNLIMITED_USE, UseOutcome, UsePreview
from plantainstand_core import AvailabilityZoneId, RegionId, ServiceId, TargetId
from plantainstand_desired import AccountName, RouteMatch
from plantainstand_http import Request
from plantainstand_placement import (
    Choice,
    Familiarity,
    PlacementCriteria,
    RatedTarget,
    Refusal,
    RefusalReason,
    ServiceEstimates,
    ServiceTargets,
    choose_target,
    rate_targets,
    targets_to_probe,
)
from result import Err

from plantainstand_edge._access import AccessDenial
from plantainstand_edge._active_request import ActiveRequest
from plantainstand_edge._decisions import RequestDecisions
from plantainstand_edge._header_codec import RequestMetadata
from plantainstand_edge._local_responses import (
    DENIAL_RESPONSES,
    unmatched_response,
)

STOPPING_RETRY_AFTER = timedelta(milliseconds=20)
"""Retry-After of a VM that is stopping: another VM can serve the request."""


@dataclass(frozen=True, slots=True)
class ExplainQuestion:
    """The request to explain; an account is named, a key is never stated."""

    host: str
    path: str
    object_key: bytes | None = None
    account: AccountName | None = None


@dataclass(frozen=True, slots=True)
class ItemVersion:
    """Name and version of a route or an account."""

    name: str
    version: int


@dataclass(frozen=True, slots=True)
class ServicePart:
    """A service of a route, and its weight in the traffic split."""

    service: ServiceId
    weight: float


@dataclass(frozen=True, slots=True)
class ExplainedTarget:
    """One of the first targets of the object's order."""

    target: TargetId
    availability_zone: AvailabilityZoneId
    may_receive: bool
    """Whether the request may go there now."""

    to_be_probed: bool
    """Whether a request would make this VM ask the target if it is cold."""

    familiarity: str
    slots: int
    load: float
    load_age_ms: float | None
    """Age of the newest statement of the load; null without one."""

    in_flight: int
    """Requests of this VM at the target."""

    slowdown: float
    expected_wait_ms: float
    expected_run_ms: float


@dataclass(frozen=True, slots=True)
class Decision:
    """What would be done with the request."""

    outcome: str
    """``send``, ``reject``, or ``wait`` for an allotment of the leader or
    for probes, on whose answer the decision depends."""

    reason: str
    target: TargetId | None = None
    status: int | None = None
    """Status of the response to a rejected request."""

    retry_after_ms: float | None = None


@dataclass(frozen=True, slots=True)
class Explanation:
    """Where a request would go now, and why."""

    decision: Decision
    route: ItemVersion | None = None
    account: ItemVersion | None = None
    denial: str | None = None
    """Why the account may not run the request."""

    requires_keys: bool = False
    keys_confirmed: bool = True
    rank: int | None = None
    home_regions: tuple[RegionId, ...] = ()
    """Regions that may serve the request; empty for all."""

    allotment_left: int | None = None
    """Runs of the account that may begin here; null without a limit."""

    service: ServiceId | None = None
    parts: tuple[ServicePart, ...] = ()
    """All services of the route if it splits its traffic."""

    states_object: bool = False
    """Whether the order is that of an object; otherwise each request has
    another order, and this is one of them."""

    targets: tuple[ExplainedTarget, ...] = ()


def explain_request(
    question: ExplainQuestion,
    decisions: RequestDecisions,
    ends_before_exit: Callable[[ActiveRequest], bool],
    now: timedelta,
) -> Explanation:
    """Decide on a request as if it arrived now, without side effects."""
    inputs = decisions.inputs
    match = inputs.desired_view.match(question.host, question.path)
    if match is None:
        status, retry_after = unmatched_response(inputs.desired_view)
        return Explanation(_reject('no route', status, retry_after))
    access = inputs.accounts.access
    active = _preview(question, decisions, match, now)
    checked = access.check_name(match, question.account)
    if isinstance(checked, Err):
        explained = _explain_denied(active, checked.err_value)
    else:
        active.account = checked.ok_value
        decisions.preview_rank(active)
        explained = _explain_allowed(
            active, decisions, ends_before_exit(active), now
        )
    return replace(
        explained,
        requires_keys=access.requires_keys,
        keys_confirmed=access.has_current_keys,
    )


def _preview(
    question: ExplainQuestion,
    decisions: RequestDecisions,
    match: RouteMatch,
    now: timedelta,
) -> ActiveRequest:
    request = Request(b'GET', question.path.encode(), (), b'', now)
    metadata = RequestMetadata(
        b'', question.host, question.path, question.object_key, None
    )
    return decisions.preview(request, metadata, match)


def _explain_denied(active: ActiveRequest, denial: AccessDenial) -> Explanation:
    decision = _reject(denial.value, *DENIAL_RESPONSES[denial])
    # Rank and home regions depend on the account, which is not known.
    return replace(
        _describe(active, decision),
        denial=denial.value,
        rank=None,
        home_regions=(),
    )


def _explain_allowed(
    active: ActiveRequest,
    decisions: RequestDecisions,
    ends_in_time: bool,
    now: timedelta,
) -> Explanation:
    criteria = decisions.criteria(active, now)
    targets = decisions.inputs.target_table.targets_of(active.service)
    estimates = decisions.estimates(active, now)
    preview = _preview_permit(active, decisions)
    decision = _decide_before_choice(preview, ends_in_time)
    if decision is None:
        decision = _describe_choice(choose_target(criteria, targets, estimates))
        unknown = targets_to_probe(criteria, targets, now)
        is_probed = decisions.inputs.probes.may_help(active.service, unknown)
        if decision.reason == RefusalReason.NO_TARGET.value and is_probed:
            decision = Decision('wait', 'targets are asked if they are cold')
    return replace(
        _describe(active, decision),
        allotment_left=preview.left,
        targets=_explain_targets(criteria, targets, estimates),
    )


def _explain_targets(
    criteria: PlacementCriteria,
    targets: ServiceTargets,
    estimates: ServiceEstimates,
) -> tuple[ExplainedTarget, ...]:
    now = estimates.now
    unknown = targets_to_probe(criteria, targets, now)
    return tuple(
        _describe_target(rated, rated.option.state in unknown, now)
        for rated in rate_targets(criteria, targets, estimates)
    )


def _preview_permit(
    active: ActiveRequest, decisions: RequestDecisions
) -> UsePreview:
    if active.account is None:
        return UNLIMITED_USE
    return decisions.inputs.accounts.permits.preview(active.account.name)


def _decide_before_choice(
    preview: UsePreview, ends_in_time: bool
) -> Decision | None:
    """Decide on a request that goes to no target yet; None for others."""
    if not ends_in_time:
        return _describe_choice(
            Refusal(RefusalReason.STOPPING, STOPPING_RETRY_AFTER)
        )
    if preview.outcome is UseOutcome.GRANTED:
        return None
    if preview.outcome is UseOutcome.EXHAUSTED:
        return _reject(
            'account limit reached',
            HTTPStatus.TOO_MANY_REQUESTS,
            preview.retry_after,
        )
    return Decision('wait', 'no allotment left here; the leader is asked')


def _describe_choice(choice: Choice | Refusal) -> Decision:
    if isinstance(choice, Refusal):
        return _reject(
            choice.reason.value,
            HTTPStatus.SERVICE_UNAVAILABLE,
            choice.retry_after,
        )
    reason = 'targets before it are busy'
    if choice.familiarity is Familiarity.REPEATED:
        reason = 'warm for the object'
    elif choice.rank == 0:
        reason = 'first target of the order that may receive the request'
    elif choice.familiarity is Familiarity.STARTED:
        reason = 'the object was sent there before'
    return Decision('send', reason, choice.state.entry.target)


def _reject(
    reason: str, status: HTTPStatus, retry_after: timedelta | None
) -> Decision:
    retry_after_ms = None if retry_after is None else _milliseconds(retry_after)
    return Decision(
        'reject', reason, status=int(status), retry_after_ms=retry_after_ms
    )


def _describe(active: ActiveRequest, decision: Decision) -> Explanation:
    match = active.match
    account = active.account
    named = None
    if account is not None:
        named = ItemVersion(account.name, account.version)
    parts = match.route.parts
    if len(parts) == 1:
        parts = ()
    return Explanation(
        decision,
        route=ItemVersion(match.name, match.version),
        account=named,
        rank=active.rank,
        home_regions=active.home_regions,
        service=active.service,
        parts=tuple(ServicePart(part.service, part.weight) for part in parts),
        states_object=active.states_object,
    )


def _describe_target(
    rated: RatedTarget, to_be_probed: bool, now: timedelta
) -> ExplainedTarget:
    option = rated.option
    state = option.state
    entry = state.entry
    age = state.other_load.age(now)
    return ExplainedTarget(
        target=entry.target,
        availability_zone=entry.availability_zone,
        may_receive=rated.is_candidate,
        to_be_probed=to_be_probed,
        familiarity=option.familiarity.value,
        slots=entry.slots,
        load=round(rated.load, 2),
        load_age_ms=None if age is None else _milliseconds(age),
        in_flight=state.in_flight,
        slowdown=round(state.slowdown.at(now), 2),
        expected_wait_ms=_milliseconds(option.expected_wait),
        expected_run_ms=_milliseconds(option.expected_run),
    )


def _milliseconds(duration: timedelta) -> float:
    return round(duration / timedelta(milliseconds=1), 1)

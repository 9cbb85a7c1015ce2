"""State of one request while it is being served."""

from dataclasses import dataclass, field
from datetime import timedelta

import xxhash
from plantainstand_core import RegionId, ServiceId, TargetId
from plantainstand_desired import AccountMatch, AccountName, RouteMatch
from plantainstand_http import FailureKind, Request, TargetResponse
from plantainstand_placement import Admission, DemandEstimate, bounded_key

from plantainstand_edge._header_codec import RequestMetadata

_DRAW_SPAN = 2**32


@dataclass(slots=True)
class ActiveRequest:
    """A client's request with the outcomes of its attempts."""

    request: Request = field(repr=False)
    """Request as received; its headers hold the key."""

    metadata: RequestMetadata
    match: RouteMatch
    service: ServiceId
    deadline: timedelta
    """Monotonic time after which a response is no longer of use."""

    objective: timedelta
    """Monotonic time at which the route's latency objective ends."""

    demand: DemandEstimate | None = None
    """Demand for the object when the request arrived, if it states one."""

    admission: Admission | None = None
    """Admission beside requests of other ranks of the service, if any."""

    account: AccountMatch | None = None
    """Account that holds the request's key; None if no key is required."""

    keys_required: bool = False
    """Whether keys were required when the attempt was encoded, so that it has
    no key and no account of the client's own."""

    permit_at: timedelta | None = None
    """Monotonic time at which a run was counted against the account's limit
    for the attempt that is about to be made; None if none was."""

    tried_targets: set[TargetId] = field(default_factory=set)
    """Targets to which the request has been sent."""

    sends: int = 0
    """Ended attempts that may have reached a target, rejected ones included."""

    is_sending: bool = False
    """Whether an attempt is in progress that may have reached its target."""

    is_withheld: bool = False
    """Whether the last attempt was not sent because the account of the request
    may no longer run it."""

    connect_failures: int = 0
    """Attempts that failed before a byte of the request was sent."""

    maybe_ran: bool = False
    """Whether an ended attempt may have run the request."""

    last_error_response: TargetResponse | None = None
    """Error response to forward if no attempt succeeds."""

    last_failure: FailureKind | None = None
    last_target: TargetId | None = None
    last_rank: int | None = None
    """Index of the last target in the object's order of targets."""

    last_familiarity: str | None = None
    """What this VM knew of the object at the last target."""

    last_limit: float | None = None
    """Requests per second that the last target took from all entry VMs, if it
    had stated a limit."""

    last_cold_limit: int | None = None
    """Requests in a second that this VM allowed itself to the last target, if
    it took the target for cold."""

    last_sent_at: timedelta | None = None
    """Monotonic time at which the last attempt left, or was decided."""

    last_expected_wait: timedelta = timedelta()
    """Estimated wait in the last target's queue."""

    last_expected_run: timedelta = timedelta()
    """Estimated run time at the last target."""

    @property
    def object_key(self) -> bytes:
        """Key by which the target is chosen: equal for all of an object.

        It is remembered after the request, so its length is bounded.
        """
        stated = self.metadata.object_key
        if self.match.route.sticky and stated is not None:
            return bounded_key(stated)
        return bounded_key(self.metadata.request_id)

    @property
    def draw(self) -> float:
        """Number from 0 to 1 that differs between requests."""
        return xxhash.xxh32_intdigest(self.metadata.request_id) / _DRAW_SPAN

    @property
    def states_object(self) -> bool:
        """Whether requests of the route with the same key are for one object.

        Otherwise no target can be warm for the request.
        """
        return self.match.route.sticky and self.metadata.object_key is not None

    @property
    def account_name(self) -> AccountName | None:
        """Name of the account, if any."""
        return None if self.account is None else self.account.name

    @property
    def home_regions(self) -> tuple[RegionId, ...]:
        """Regions that may serve the request; empty for all."""
        return common_home_regions(self.match, self.account)

    @property
    def rank(self) -> int:
        """Priority; 0 is the highest. The account's goes before the route's."""
        stated = None if self.account is None else self.account.account.rank
        return self.match.route.rank if stated is None else stated

    @property
    def may_run_again(self) -> bool:
        """Whether another attempt keeps to at-most-once execution."""
        return self.match.route.idempotent or not self.maybe_ran

    @property
    def total_sends(self) -> int:
        """Attempts that may have reached a target, one in progress included."""
        return self.sends + self.is_sending

    @property
    def may_have_run(self) -> bool:
        """Whether a target may have run the request or may be running it."""
        return self.maybe_ran or self.is_sending


def common_home_regions(
    match: RouteMatch, account: AccountMatch | None
) -> tuple[RegionId, ...]:
    """Return the home regions that a route and an account have in common.

    Empty if neither has any, and also if those of both have none in common;
    ``plantainstand_edge._access`` refuses such a request.
    """
    of_route = match.route.home_regions
    of_account = () if account is None else account.account.home_regions
    if not (of_route and of_account):
        return of_route or of_account
    return tuple(region for region in of_route if region in of_account)

"""Request steering with a scripted pool of target connections."""

from collections.abc import Callable, Sequence
from datetime import timedelta
from typing import cast

import msgspec
from plantainstand_core import (
    AvailabilityZoneId,
    LogIndex,
    ManualClock,
    RegionId,
    TargetId,
    VmId,
)
from plantainstand_desired import AccountName, DesiredView, Route
from plantainstand_edge import (
    EntrySettings,
    HeaderCodec,
    HealthMetadata,
    RequestMetadata,
    RequestSteering,
    ResponseMetadata,
    SteeringInputs,
)
from plantainstand_edge._access import (
    AccessControl,
    AccountChecks,
    UnlimitedPermits,
)
from plantainstand_edge._fleet_view import FleetView
from plantainstand_edge._node import METRIC_HELP
from plantainstand_edge._probes import TargetProbes
from plantainstand_edge._target_limits import TargetLimits
from plantainstand_fleet import (
    Roster,
    SharingRegion,
    TargetUpdate,
    vm_seed,
)
from plantainstand_http import (
    ExchangeFailure,
    FailureKind,
    Headers,
    Request,
    TargetConnectionPool,
    TargetResponse,
    header_value,
)
from plantainstand_placement import (
    ColdTargetLimits,
    RetryBudgetLimits,
    RetryBudgetShare,
    TargetTable,
)
from plantainstand_telemetry import Metrics
from result import Err, Ok, Result

from tests.desired.builders import route_item
from tests.placement.builders import entry

Outcome = Result[TargetResponse, ExchangeFailure]

ANSWERED: Outcome = Ok(TargetResponse(200, (), b'whole'))
FAILED: Outcome = Ok(TargetResponse(500, (), b'failure'))
REJECTED: Outcome = Ok(TargetResponse(503, ((b'not-run', b'1'),), b''))
MISDIRECTED: Outcome = Ok(TargetResponse(421, (), b''))
NOT_SENT: Outcome = Err(ExchangeFailure(FailureKind.NOT_SENT, ''))
BROKEN: Outcome = Err(ExchangeFailure(FailureKind.BROKEN, ''))
TIMED_OUT: Outcome = Err(ExchangeFailure(FailureKind.TIMED_OUT, ''))


ENTRY_COUNT = 16
"""Entry VMs that share the retry budget; each may spend some retries."""


class ScriptedPool:
    """Returns scripted outcomes in order and records each exchange."""

    def __init__(self, outcomes: Sequence[Outcome], clock: ManualClock):
        self.sent: list[str] = []
        self.timeouts: list[timedelta] = []
        self.connect_time = timedelta()
        self._outcomes = list(outcomes)
        self._clock = clock

    async def exchange(
        self,
        address: str,
        _payload: bytes,
        _echoed_header: tuple[bytes, bytes | None],
        timeout: timedelta,
        *,
        head_only: bool = False,
        may_send: Callable[[], bool],
        long_body: Sequence[bytes | bytearray] = (),
    ) -> Outcome:
        """Return the next outcome; a timeout advances the clock."""
        self._clock.advance(self.connect_time)
        if not may_send():
            return NOT_SENT
        self.sent.append(address)
        self.timeouts.append(timeout)
        outcome = self._outcomes.pop(0)
        if outcome is TIMED_OUT:
            self._clock.advance(timeout)
        return outcome

    def close_idle(self, _address: str) -> None:
        """See ``TargetPool.close_idle``."""


def _read_facts(request: Request) -> RequestMetadata | None:
    request_id = header_value(request.headers, b'id')
    if request_id is None:
        return None
    return RequestMetadata(
        request_id,
        'shop.example',
        request.path.decode(),
        b'object',
        timedelta(seconds=2),
    )


def _read_verdict(answer: TargetResponse) -> ResponseMetadata:
    not_run = header_value(answer.headers, b'not-run') is not None
    return ResponseMetadata(not_run, answer.status == 421, None)


def _read_health(answer: TargetResponse) -> HealthMetadata:
    target = header_value(answer.headers, b'target')
    cold = header_value(answer.headers, b'cold') or b'0'
    return HealthMetadata(
        TargetId(target.decode()) if target else None,
        timedelta(seconds=int(cold)),
    )


def _refusal_headers(_id: bytes, retry_after: timedelta | None) -> Headers:
    if retry_after is None:
        return ()
    return ((b'retry-after', str(retry_after.total_seconds()).encode()),)


def _target_headers(
    _target: TargetId, _left: timedelta, account: AccountName | None
) -> Headers:
    return () if account is None else ((b'account', account.encode()),)


HEADER_CODEC = HeaderCodec(
    _read_facts,
    _target_headers,
    _read_verdict,
    _read_health,
    b'id',
    _refusal_headers,
)

SETTINGS = EntrySettings(
    vm=VmId('10.0.0.9'),
    availability_zone=AvailabilityZoneId('norte-a'),
    region=RegionId('norte'),
    client_address='10.0.0.9:80',
    ready_address='10.0.0.9:81',
    metrics_port=82,
    link_port=83,
    seeds=(),
    cold_target_limits=ColdTargetLimits(1.5, 5),
    retry_budget_limits=RetryBudgetLimits(0.2, 58, timedelta(seconds=10)),
    list_lag=timedelta(),
    stop_grace_period=timedelta(seconds=6),
)


def roster(vm: VmId, entry_count: int) -> Roster:
    """Return a roster that renews the lease of one of the VMs."""
    others = (VmId(f'other {number}') for number in range(entry_count - 1))
    seeds = tuple(vm_seed(each) for each in (vm, *others))
    return Roster(
        (),
        entry_count,
        sharing=(SharingRegion(RegionId('norte'), seeds),),
        is_authoritative=True,
        receiver_is_settled=True,
    )


class SteeringFixture:
    """Steering with three targets, one route and scripted outcomes."""

    def __init__(
        self,
        *outcomes: Outcome,
        idempotent: bool = True,
        max_attempts: int = 2,
        targets: int = 3,
        routes: bool = True,
        pool: object | None = None,
    ):
        self.clock = ManualClock()
        self.has_current_keys = True
        self.pool = ScriptedPool(outcomes, self.clock)
        item = route_item('shop', 1)
        body = item.body
        assert isinstance(body, Route)
        body = msgspec.structs.replace(
            body,
            idempotent=idempotent,
            max_attempts=max_attempts,
        )
        view = DesiredView()
        if routes:
            item = msgspec.structs.replace(item, body=body)
            view.merge((item,), (), LogIndex(1))
        target_table = TargetTable()
        listed = tuple(entry(f't{number}') for number in range(targets))
        target_table.update(
            VmId('10.0.0.1'),
            TargetUpdate(full=True, updated=listed, removed=(), age_seconds=0),
            self.clock.monotonic(),
        )
        self.target_table = target_table
        fleet_view = FleetView(
            SETTINGS.vm,
            self.clock,
            lambda _control: self.clock.monotonic(),
            lambda: None,
        )
        self.clock.advance(timedelta(seconds=1))
        fleet_view.record(VmId('10.0.0.1'), roster(SETTINGS.vm, ENTRY_COUNT))
        metrics = Metrics(METRIC_HELP)
        limits = TargetLimits(metrics, self.clock, lambda: None)
        inputs = SteeringInputs(
            view,
            target_table,
            cast(TargetConnectionPool, pool or self.pool),
            RetryBudgetShare(SETTINGS.retry_budget_limits),
            fleet_view,
            limits,
            TargetProbes(
                cast(TargetConnectionPool, self.pool),
                HEADER_CODEC,
                view,
                limits,
                self.clock,
            ),
            AccountChecks(
                AccessControl(view.accounts, lambda: self.has_current_keys),
                UnlimitedPermits(self.clock),
            ),
            metrics,
        )
        self.steering = RequestSteering(
            SETTINGS, inputs, HEADER_CODEC, self.clock
        )

    def request(self, path: str = '/orders/1') -> Request:
        """Return a request that has just arrived."""
        return Request(
            b'POST',
            path.encode(),
            ((b'id', b'1'),),
            b'',
            self.clock.monotonic(),
        )

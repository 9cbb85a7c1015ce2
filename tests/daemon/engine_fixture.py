"""Fixture: an engine whose targets and VMs follow a script."""

import asyncio
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from datetime import timedelta
from types import MappingProxyType, SimpleNamespace
from typing import cast

from plantainstand_core import (
    AvailabilityZoneId,
    Incarnation,
    RegionId,
    RequestId,
    RequestOutcome,
    ServiceId,
    VmId,
)
from plantainstand_daemon._dispatch import DispatchOutcome, DispatchReport
from plantainstand_daemon._engine import Engine
from plantainstand_daemon._forward import Forwarder
from plantainstand_daemon._holding import IncarnationState
from plantainstand_daemon._local import LocalDispatcher, LocalReport
from plantainstand_daemon._messages import Answer, Reply, SteeredRequest
from plantainstand_daemon._services import (
    LocalTarget,
    PeerRoute,
    ServiceRuntime,
)
from plantainstand_protocol import Endpoint
from plantainstand_shares import Reservation, VmIncarnation
from plantainstand_steering import (
    AdmissionQueue,
    Candidate,
    CandidateId,
    CandidateKind,
    HedgePolicy,
    LoadReport,
    RetryBudget,
    ServiceView,
    TargetHealth,
)
from result import Ok

from tests.catalogue import examples
from tests.consensus.simulated_loop import SimulatedLoop
from tests.daemon.fakes import make_instruments

OWN_QUEUE = 'own queue'
"""Script key for the result of the VM's own queue, before any target."""

_SERVICE = ServiceId('catalogue')
_HEDGE_DELAY = timedelta(milliseconds=10)
_RECORDED_LATENCY_COUNT = 64
_LOCAL_OUTCOMES = MappingProxyType(
    {
        RequestOutcome.ANSWERED: DispatchOutcome.ANSWERED,
        RequestOutcome.NOT_RUN: DispatchOutcome.UNREACHABLE,
        RequestOutcome.UNKNOWN: DispatchOutcome.UNKNOWN,
    }
)


@dataclass(frozen=True)
class ScriptedOutcome:
    """Result of an attempt at a candidate."""

    outcome: RequestOutcome | None
    """``None`` for a candidate that never replies."""

    delay: timedelta = timedelta(0)


Script = Mapping[str, ScriptedOutcome]


@dataclass(frozen=True)
class EngineSetup:
    """Service, candidates and budget of one test case."""

    script: Script
    idempotent: bool = True
    hedge: bool = False
    budget: int = 50
    deadline: timedelta = timedelta(seconds=1)
    longest_deadline: timedelta = timedelta(seconds=2)


@dataclass
class EngineFixture:
    """Engine with scripted candidates; records the calls to them."""

    setup: EngineSetup
    loop: SimulatedLoop
    calls: list[str] = field(default_factory=list)
    cancelled: list[str] = field(default_factory=list)
    deadlines: list[timedelta] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Build the engine."""
        self.runtime = build_runtime(self.setup, self.loop)
        incarnation_state = SimpleNamespace(
            longest_deadline=self.setup.longest_deadline
        )
        self.engine = Engine(
            VmId('bajio-a-1'),
            cast(LocalDispatcher, SimpleNamespace(run=self._run_local)),
            cast(
                Forwarder,
                SimpleNamespace(reserve=_reserve_nothing, run=self._forward),
            ),
            lambda: {_SERVICE: self.runtime},
            lambda: cast(IncarnationState, incarnation_state),
            make_instruments(self.loop),
        )

    def request(self, source: str | None = None) -> SteeredRequest:
        """Build the request of the test case."""
        return SteeredRequest(
            RequestId('r'),
            _SERVICE,
            'GET',
            '/dies',
            (),
            b'',
            self.loop.monotonic() + self.setup.deadline,
            source_vm=VmId(source) if source else None,
        )

    async def _run_local(
        self,
        request: SteeredRequest,
        excluded: frozenset[CandidateId],
        on_start: Callable[[CandidateId], None],
    ) -> LocalReport:
        if OWN_QUEUE in self.setup.script:
            outcome = await self._run_scripted(OWN_QUEUE, request)
            if outcome is RequestOutcome.NOT_RUN:
                refused = DispatchReport(DispatchOutcome.REFUSED)
                return LocalReport(DispatchOutcome.REFUSED, refused)
        chosen = next(
            candidate_id
            for candidate_id in self.runtime.targets
            if candidate_id not in excluded
        )
        on_start(chosen)
        outcome = await self._run_scripted(chosen, request)
        report = DispatchReport(_LOCAL_OUTCOMES[outcome], _answer(outcome))
        return LocalReport(report.outcome, report, chosen)

    async def _forward(
        self,
        request: SteeredRequest,
        route: PeerRoute,
        incarnation_state: IncarnationState,
        reservation: Reservation | None,
    ) -> Reply:
        outcome = await self._run_scripted(f'vm/{route.key.vm}', request)
        return Reply(outcome, _answer(outcome))

    async def _run_scripted(
        self,
        candidate_id: str,
        request: SteeredRequest,
    ) -> RequestOutcome:
        self.calls.append(candidate_id)
        self.deadlines.append(request.deadline)
        scripted = self.setup.script[candidate_id]
        try:
            await asyncio.sleep(scripted.delay.total_seconds())
            if scripted.outcome is None:
                await self.loop.create_future()
        except asyncio.CancelledError:
            self.cancelled.append(candidate_id)
            raise
        assert scripted.outcome is not None
        return scripted.outcome


def _reserve_nothing(*_arguments: object) -> Ok[None]:
    """Fake the reservation for a VM of the same region."""
    return Ok(None)


async def steer(setup: EngineSetup) -> tuple[EngineFixture, RequestOutcome]:
    """Steer one request on a simulated loop."""
    fixture = _build_fixture(setup)
    reply = await fixture.engine.steer(fixture.request())
    # A cancelled attempt is recorded in the next iterations of the loop.
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    return fixture, reply.outcome


async def serve_forwarded(
    setup: EngineSetup,
) -> tuple[EngineFixture, RequestOutcome]:
    """Serve a request forwarded by another VM on a simulated loop."""
    fixture = _build_fixture(setup)
    reply = await fixture.engine.serve_forwarded(fixture.request('far-1'))
    return fixture, reply.outcome


def _build_fixture(setup: EngineSetup) -> EngineFixture:
    return EngineFixture(setup, cast(SimulatedLoop, asyncio.get_running_loop()))


def _answer(outcome: RequestOutcome) -> Answer | None:
    return Answer(200, (), b'') if outcome is RequestOutcome.ANSWERED else None


def _candidate(candidate_id: str, distance: int) -> Candidate:
    name = candidate_id.partition('/')[2]
    is_target = candidate_id.startswith('target/')
    return Candidate(
        CandidateId(candidate_id),
        CandidateKind.TARGET if is_target else CandidateKind.VM,
        AvailabilityZoneId('own' if is_target else name.rpartition('-')[0]),
        # The difference exceeds the ranking cost of a busy slot.
        timedelta(milliseconds=40) * distance,
        timedelta(milliseconds=5),
        slots=4,
    )


def build_runtime(setup: EngineSetup, loop: SimulatedLoop) -> ServiceRuntime:
    """Build a service with the script's candidates, nearest first."""
    service = examples.service(
        _SERVICE,
        idempotent=setup.idempotent,
        hedge=setup.hedge,
    )
    names = [
        candidate_id
        for candidate_id in setup.script
        if candidate_id != OWN_QUEUE
    ]
    candidates = [
        _candidate(candidate_id, distance)
        for distance, candidate_id in enumerate(names)
    ]
    view = ServiceView(candidates, loop, make_instruments().random_source)
    for candidate_id in names:
        report = LoadReport(4, 4, 0, loop.monotonic())
        view.accept_report(CandidateId(candidate_id), report)
    hedge = HedgePolicy(loop)
    for latency in (_HEDGE_DELAY,) * _RECORDED_LATENCY_COUNT:
        hedge.record(latency)
    return ServiceRuntime(
        service,
        view,
        AdmissionQueue(1, timedelta(milliseconds=5)),
        RetryBudget(0, initial=setup.budget),
        hedge,
        TargetHealth((), loop),
        _targets(candidates),
        _peers(candidates),
    )


def _targets(
    candidates: Iterable[Candidate],
) -> Mapping[CandidateId, LocalTarget]:
    unused = cast(LocalTarget, None)
    return {
        candidate.candidate_id: unused
        for candidate in candidates
        if candidate.kind is CandidateKind.TARGET
    }


def _peers(candidates: Sequence[Candidate]) -> Mapping[CandidateId, PeerRoute]:
    return {
        candidate.candidate_id: PeerRoute(
            VmIncarnation(
                VmId(candidate.candidate_id.removeprefix('vm/')),
                Incarnation(1),
            ),
            Endpoint('127.0.0.1', 1),
            RegionId('bajio'),
        )
        for candidate in candidates
        if candidate.kind is CandidateKind.VM
    }

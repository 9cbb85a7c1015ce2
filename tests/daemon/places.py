"""Stand-ins for the targets and VMs that an engine can hand a request to."""

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

QUEUE = 'own queue'
"""Stands for a refusal by the own queue, without any target."""

_SERVICE = ServiceId('catalogue')
_HEDGE_DELAY = timedelta(milliseconds=10)
_ENOUGH_ANSWERS = 64
_LOCAL_OUTCOMES = MappingProxyType(
    {
        RequestOutcome.ANSWERED: DispatchOutcome.ANSWERED,
        RequestOutcome.NOT_RUN: DispatchOutcome.UNREACHABLE,
        RequestOutcome.UNKNOWN: DispatchOutcome.UNKNOWN,
    }
)


@dataclass(frozen=True)
class Take:
    """How a place ends an attempt."""

    outcome: RequestOutcome | None
    """None for a place that stays silent."""

    after: timedelta = timedelta(0)


Script = Mapping[str, Take]


@dataclass(frozen=True)
class Setup:
    """Service, candidates and budget of one case."""

    script: Script
    idempotent: bool = True
    hedge: bool = False
    budget: int = 50
    deadline: timedelta = timedelta(seconds=1)
    longest_deadline: timedelta = timedelta(seconds=2)


@dataclass
class Places:
    """Engine before scripted places; notes what reaches them."""

    setup: Setup
    loop: SimulatedLoop
    calls: list[str] = field(default_factory=list)
    cancelled: list[str] = field(default_factory=list)
    deadlines: list[timedelta] = field(default_factory=list)

    def __post_init__(self) -> None:
        """Build the engine."""
        self.runtime = build_runtime(self.setup, self.loop)
        holding = SimpleNamespace(longest_deadline=self.setup.longest_deadline)
        self.engine = Engine(
            VmId('bajio-a-1'),
            cast(LocalDispatcher, SimpleNamespace(run=self._run_local)),
            cast(
                Forwarder,
                SimpleNamespace(reserve=_reserve_nothing, run=self._forward),
            ),
            lambda: {_SERVICE: self.runtime},
            lambda: cast(IncarnationState, holding),
            make_instruments(self.loop),
        )

    def request(self, source: str | None = None) -> SteeredRequest:
        """Build the request of the case."""
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
        if QUEUE in self.setup.script:
            outcome = await self._take(QUEUE, request)
            if outcome is RequestOutcome.NOT_RUN:
                refused = DispatchReport(DispatchOutcome.REFUSED)
                return LocalReport(DispatchOutcome.REFUSED, refused)
        chosen = next(
            candidate_id
            for candidate_id in self.runtime.targets
            if candidate_id not in excluded
        )
        on_start(chosen)
        outcome = await self._take(chosen, request)
        report = DispatchReport(_LOCAL_OUTCOMES[outcome], _answer(outcome))
        return LocalReport(report.outcome, report, chosen)

    async def _forward(
        self,
        request: SteeredRequest,
        route: PeerRoute,
        holding: IncarnationState,
        reservation: Reservation | None,
    ) -> Reply:
        outcome = await self._take(f'vm/{route.key.vm}', request)
        return Reply(outcome, _answer(outcome))

    async def _take(
        self,
        place: str,
        request: SteeredRequest,
    ) -> RequestOutcome:
        self.calls.append(place)
        self.deadlines.append(request.deadline)
        take = self.setup.script[place]
        try:
            await asyncio.sleep(take.after.total_seconds())
            if take.outcome is None:
                await self.loop.create_future()
        except asyncio.CancelledError:
            self.cancelled.append(place)
            raise
        assert take.outcome is not None
        return take.outcome


def _reserve_nothing(*_arguments: object) -> Ok[None]:
    """Stand in for the reservation of a way inside a region."""
    return Ok(None)


async def steer(setup: Setup) -> tuple[Places, RequestOutcome]:
    """Steer one request on a simulated loop."""
    places = _places(setup)
    reply = await places.engine.steer(places.request())
    # A cancelled attempt notes its end in the next turn of the loop.
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    return places, reply.outcome


async def serve_forwarded(setup: Setup) -> tuple[Places, RequestOutcome]:
    """Serve one request of another VM on a simulated loop."""
    places = _places(setup)
    reply = await places.engine.serve_forwarded(places.request('far-1'))
    return places, reply.outcome


def _places(setup: Setup) -> Places:
    return Places(setup, cast(SimulatedLoop, asyncio.get_running_loop()))


def _answer(outcome: RequestOutcome) -> Answer | None:
    return Answer(200, (), b'') if outcome is RequestOutcome.ANSWERED else None


def _candidate(place: str, distance: int) -> Candidate:
    name = place.partition('/')[2]
    is_target = place.startswith('target/')
    return Candidate(
        CandidateId(place),
        CandidateKind.TARGET if is_target else CandidateKind.VM,
        AvailabilityZoneId('own' if is_target else name.rpartition('-')[0]),
        # Apart by more than the cost of a busy slot.
        timedelta(milliseconds=40) * distance,
        timedelta(milliseconds=5),
        slots=4,
    )


def build_runtime(setup: Setup, loop: SimulatedLoop) -> ServiceRuntime:
    """Build a service whose candidates are the script's, the nearest first."""
    service = examples.service(
        _SERVICE,
        idempotent=setup.idempotent,
        hedge=setup.hedge,
    )
    names = [place for place in setup.script if place != QUEUE]
    candidates = [
        _candidate(place, distance) for distance, place in enumerate(names)
    ]
    view = ServiceView(candidates, loop, make_instruments().random_source)
    for place in names:
        report = LoadReport(4, 4, 0, loop.monotonic())
        view.accept_report(CandidateId(place), report)
    hedge = HedgePolicy(loop)
    for latency in (_HEDGE_DELAY,) * _ENOUGH_ANSWERS:
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

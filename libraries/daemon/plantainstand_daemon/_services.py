"""What this VM knows about each service: candidates, queue and budgets."""

from collections import defaultdict
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from datetime import timedelta
from random import Random

from plantainstand_catalogue import DrainSubjectKind, Service, Target
from plantainstand_core import (
    AvailabilityZoneId,
    Clock,
    RegionId,
    ResourceId,
    ServiceId,
    VmId,
)
from plantainstand_protocol import Endpoint
from plantainstand_shares import (
    Claim,
    GrowthLimit,
    ShareLedger,
    SlotRamp,
    TargetPacer,
    VmIncarnation,
    VmRecord,
)
from plantainstand_steering import (
    AdmissionQueue,
    Candidate,
    CandidateId,
    CandidateKind,
    HedgePolicy,
    RetryBudget,
    ServiceView,
    TargetHealth,
)

from plantainstand_daemon._control_state import ControlView
from plantainstand_daemon._demands import target_resource, zone_resource
from plantainstand_daemon._dispatch import AttemptLimits, TargetAddress
from plantainstand_daemon._way import way_claims

_EXPECTED_SERVICE_TIME = timedelta(milliseconds=50)
_MILLISECOND = timedelta(milliseconds=1)


@dataclass(frozen=True)
class VmLocation:
    """Where this VM is."""

    vm: VmId
    availability_zone: AvailabilityZoneId
    region: RegionId


@dataclass(frozen=True)
class LocalTarget:
    """A target that this VM owns slots of."""

    target: Target
    address: TargetAddress
    claims: tuple[Claim, ...]
    """What one request at the target takes of this VM's shares."""


@dataclass(frozen=True)
class PeerRoute:
    """Another entry VM that owns slots of the service's targets."""

    key: VmIncarnation
    endpoint: Endpoint
    region: RegionId


@dataclass(frozen=True)
class ServiceRuntime:
    """State and routes of one service at this VM."""

    service: Service
    view: ServiceView
    queue: AdmissionQueue
    budget: RetryBudget
    hedge: HedgePolicy
    health: TargetHealth
    targets: Mapping[CandidateId, LocalTarget]
    peers: Mapping[CandidateId, PeerRoute]

    @property
    def limits(self) -> AttemptLimits:
        """Bounds of an attempt at a target."""
        return AttemptLimits(
            self.service.limits.response_bytes,
            self.service.idempotent,
        )


class ServiceTable:
    """Runtimes of all services, replaced when the control state changes."""

    def __init__(self, place: VmLocation, clock: Clock, random: Random) -> None:
        """Start without services."""
        self._place = place
        self._clock = clock
        self._random = random
        self._runtimes: dict[ServiceId, ServiceRuntime] = {}
        self._pacers: dict[ResourceId, TargetPacer] = {}
        self._owned: Mapping[VmIncarnation, Mapping[ServiceId, int]] = {}

    @property
    def runtimes(self) -> Mapping[ServiceId, ServiceRuntime]:
        """Runtime of each service."""
        return self._runtimes

    def apply(
        self,
        view: ControlView,
        own: VmIncarnation,
        ledger: ShareLedger,
    ) -> None:
        """Take a changed catalogue or share table; statistics are kept."""
        self._owned = owned_slots(view)
        self._runtimes = {
            service.service_id: self._runtime(service, view, own)
            for service in view.catalogue.services.values()
        }
        self._replace_pacers(view, own)
        ledger.replace_pacers(self._pacers)

    def _runtime(
        self,
        service: Service,
        view: ControlView,
        own: VmIncarnation,
    ) -> ServiceRuntime:
        targets = dict(
            _local_targets(service, view, own, self._place.region),
        )
        peers = dict(_peer_routes(service, view, own, self._owned))
        candidates = [
            *self._target_candidates(targets, view, own),
            *self._peer_candidates(service, peers, view),
        ]
        known = self._runtimes.get(service.service_id)
        if known is None or known.service != service:
            known = self._new_runtime(service)
        known.view.replace_candidates(candidates)
        known.health.replace_targets(
            local.target.target_id for local in targets.values()
        )
        known.queue.update_slots(known.view.local_slots)
        return ServiceRuntime(
            service,
            known.view,
            known.queue,
            known.budget,
            known.hedge,
            known.health,
            targets,
            peers,
        )

    def _new_runtime(self, service: Service) -> ServiceRuntime:
        return ServiceRuntime(
            service,
            ServiceView((), self._clock, self._random),
            AdmissionQueue(
                service.limits.queue_length,
                _EXPECTED_SERVICE_TIME,
            ),
            RetryBudget(service.retry.budget_ratio),
            HedgePolicy(self._clock, service.hedge.percentile),
            TargetHealth((), self._clock),
            {},
            {},
        )

    def _target_candidates(
        self,
        targets: Mapping[CandidateId, LocalTarget],
        view: ControlView,
        own: VmIncarnation,
    ) -> Iterator[Candidate]:
        shares = view.shares.by_vm.get(own, {})
        for candidate_id, local in targets.items():
            zone = local.target.availability_zone
            yield Candidate(
                candidate_id,
                CandidateKind.TARGET,
                zone,
                self._round_trip(view, zone),
                _EXPECTED_SERVICE_TIME,
                int(shares[target_resource(local.target.target_id)].share),
            )

    def _peer_candidates(
        self,
        service: Service,
        peers: Mapping[CandidateId, PeerRoute],
        view: ControlView,
    ) -> Iterator[Candidate]:
        for candidate_id, route in peers.items():
            record = view.shares.registry.records[route.key]
            yield Candidate(
                candidate_id,
                CandidateKind.VM,
                record.availability_zone,
                self._round_trip(view, record.availability_zone),
                _EXPECTED_SERVICE_TIME,
                self._owned[route.key][service.service_id],
            )

    def _round_trip(
        self,
        view: ControlView,
        zone: AvailabilityZoneId,
    ) -> timedelta:
        own_zone = self._place.availability_zone
        delay_ms = view.catalogue.delay_ms(own_zone, zone) or 0
        return 2 * delay_ms * _MILLISECOND

    def _replace_pacers(self, view: ControlView, own: VmIncarnation) -> None:
        shares = view.shares.by_vm.get(own, {})
        known = self._pacers
        self._pacers = {}
        for target in view.catalogue.targets.values():
            resource = target_resource(target.target_id)
            if resource in shares and target.limits.slots:
                service = view.catalogue.services[target.service]
                self._pacers[resource] = known.get(resource) or _new_pacer(
                    service,
                )


def owned_slots(
    view: ControlView,
) -> Mapping[VmIncarnation, Mapping[ServiceId, int]]:
    """Return the slots that each VM owns of each service's targets.

    One pass over all shares: to look up every target for every VM took 23 s
    at the planned size.
    """
    services = {
        target_resource(target.target_id): target.service
        for target in view.catalogue.targets.values()
    }
    owned: dict[VmIncarnation, dict[ServiceId, int]] = {}
    for key, shares in view.shares.by_vm.items():
        slots: defaultdict[ServiceId, int] = defaultdict(int)
        for resource, share in shares.items():
            service = services.get(resource)
            if service is not None and share.share:
                slots[service] += int(share.share)
        owned[key] = slots
    return owned


def _new_pacer(service: Service) -> TargetPacer:
    ramp = SlotRamp(
        timedelta(milliseconds=service.warm_up.duration_ms),
        service.warm_up.initial_fraction,
    )
    return TargetPacer(
        ramp,
        GrowthLimit(service.shift.target_slots_per_second),
    )


def _local_targets(
    service: Service,
    view: ControlView,
    own: VmIncarnation,
    own_region: RegionId,
) -> Iterator[tuple[CandidateId, LocalTarget]]:
    shares = view.shares.by_vm.get(own, {})
    for target in view.catalogue.targets_of_service(service.service_id):
        resource = target_resource(target.target_id)
        share = shares.get(resource)
        if share is None or not share.share or _is_draining(view, target):
            continue
        region = view.catalogue.region_of_zone(target.availability_zone)
        claims = (
            Claim(resource),
            Claim(zone_resource(target.availability_zone)),
            # A zone whose region has no VM is served from other regions.
            *way_claims(
                service,
                own_region,
                region or own_region,
                service.limits.request_bytes,
            ),
        )
        address = TargetAddress(
            target.target_id,
            target.host,
            target.port,
            min(int(share.share), target.limits.connections),
        )
        yield (
            CandidateId(f'target/{target.id}'),
            LocalTarget(target, address, claims),
        )


def _is_draining(view: ControlView, target: Target) -> bool:
    return view.catalogue.is_draining(DrainSubjectKind.TARGET, target.id)


def _peer_routes(
    service: Service,
    view: ControlView,
    own: VmIncarnation,
    owned: Mapping[VmIncarnation, Mapping[ServiceId, int]],
) -> Iterator[tuple[CandidateId, PeerRoute]]:
    for record in view.shares.registry.newest.values():
        if record.vm == own.vm or not record.may_get_shares:
            continue
        if owned.get(record.key, {}).get(service.service_id):
            yield CandidateId(f'vm/{record.vm}'), _route(record)


def _route(record: VmRecord) -> PeerRoute:
    return PeerRoute(
        record.key,
        Endpoint(record.host, record.rpc_port),
        record.region,
    )

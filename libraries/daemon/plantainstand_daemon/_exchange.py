"""Load summaries and zone support between entry VMs."""

import asyncio
from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping
from datetime import timedelta
from itertools import count

from plantainstand_core import AvailabilityZoneId, ServiceId, VmId
from plantainstand_membership import (
    ReceivedSummary,
    SummaryTable,
    choose_exchange_peers,
)
from plantainstand_membership import ServiceLoad as Load
from plantainstand_membership import VmSummary as Summary
from plantainstand_protocol import CallProblem, ChannelPool, Endpoint
from plantainstand_protocol.steering_grpc import SteeringStub
from plantainstand_protocol.steering_pb2 import (
    ExchangeReply,
    ExchangeRequest,
    ServiceLoad,
    VmSummary,
)
from plantainstand_shares import ShareView, VmRecord, ZoneSupportAnswer
from plantainstand_steering import CandidateId, LoadReport
from result import Err, Result

from plantainstand_daemon._control_messages import decode_vm, encode_vm
from plantainstand_daemon._demands import target_resource
from plantainstand_daemon._holding import IncarnationState
from plantainstand_daemon._instruments import Instruments
from plantainstand_daemon._services import ServiceRuntime, VmLocation
from plantainstand_daemon._tasks import pause

EXCHANGE_INTERVAL = timedelta(milliseconds=500)
_TIMEOUT = timedelta(seconds=1.5)
_MILLISECOND = timedelta(milliseconds=1)
_NO_AGE = timedelta(0)

_ANSWERS = (
    (ExchangeReply.GIVEN, ZoneSupportAnswer.GIVEN),
    (ExchangeReply.REVOKED, ZoneSupportAnswer.REVOKED),
    (ExchangeReply.NOT_REGISTERED, ZoneSupportAnswer.NOT_REGISTERED),
)


class Exchange:
    """Tells other VMs this VM's load and asks for zone support."""

    def __init__(
        self,
        place: VmLocation,
        channels: ChannelPool,
        runtimes: Callable[[], Mapping[ServiceId, ServiceRuntime]],
        holding: Callable[[], IncarnationState],
        is_leaving: Callable[[], bool],
        instruments: Instruments,
    ) -> None:
        """Start without knowledge of other VMs."""
        self._place = place
        self._channels = channels
        self._runtimes = runtimes
        self._holding = holding
        self._is_leaving = is_leaving
        self._clock = instruments.clock
        self._metrics = instruments.metrics
        self._random = instruments.random_source
        self._board = SummaryTable(instruments.clock)
        self._members: Mapping[VmId, VmRecord] = {}
        self._sequence = count(1)

    def apply(self, view: ShareView) -> None:
        """Take the registered VMs."""
        self._members = {
            record.vm: record
            for record in view.registry.newest.values()
            if record.is_member
        }
        self._board.replace_registered(
            {vm: record.incarnation for vm, record in self._members.items()},
        )

    async def run(self) -> None:
        """Exchange with a few VMs again and again, until cancelled."""
        while True:  # noqa: WPS457
            peers = choose_exchange_peers(
                self._place.vm,
                self._place.availability_zone,
                self._members_by_zone(),
                self._random,
            )
            calls = [self._exchange(self._members[peer]) for peer in peers]
            await asyncio.gather(*calls, pause(EXCHANGE_INTERVAL))

    def answer(self, request: ExchangeRequest) -> ExchangeReply:
        """Take another VM's summaries and answer with this zone's."""
        for message in request.summaries:
            self.accept(message)
        reply = ExchangeReply(summaries=self._zone_summaries())
        if request.wants_zone_support:
            holding = self._holding()
            given = holding.zone_support.answer(decode_vm(request.sender))
            wire = {ours: theirs for theirs, ours in _ANSWERS}
            reply.zone_support = wire[given]
        return reply

    def accept(self, message: VmSummary) -> None:
        """Take one summary, wherever it came from."""
        summary = _decode_summary(message)
        age = message.age_ms * _MILLISECOND
        if summary.vm == self._place.vm:
            return
        if self._board.accept(summary, age):
            self._report(summary, self._clock.monotonic() - age)

    def own_summary(self) -> VmSummary:
        """Build this VM's present summary."""
        holding = self._holding()
        now = self._clock.monotonic()
        return VmSummary(
            vm=encode_vm(holding.key),
            availability_zone=self._place.availability_zone,
            sequence=next(self._sequence),
            leaving=self._is_leaving(),
            services=[
                _own_load(runtime, holding, now)
                for runtime in self._runtimes().values()
            ],
        )

    def age(self, vm: VmId) -> timedelta | None:
        """Return the age of what is known of a VM."""
        return self._board.age(vm)

    async def _exchange(self, peer: VmRecord) -> None:
        holding = self._holding()
        is_zone_peer = peer.availability_zone == self._place.availability_zone
        request = ExchangeRequest(
            sender=encode_vm(holding.key),
            summaries=self._zone_summaries(),
            wants_zone_support=is_zone_peer,
        )
        sent_at = holding.support.now()
        called: Result[ExchangeReply, CallProblem] = await self._channels.call(
            Endpoint(peer.host, peer.rpc_port),
            lambda channel: SteeringStub(channel).Exchange(request),
            _TIMEOUT,
        )
        if isinstance(called, Err):
            self._metrics.count('exchange_failures_total', vm=peer.vm)
            return
        reply = called.ok_value
        for message in reply.summaries:
            self.accept(message)
        if is_zone_peer:
            answer = dict(_ANSWERS)[reply.zone_support]
            holding.support.record_peer_answer(peer.vm, sent_at, answer)

    def _members_by_zone(
        self,
    ) -> Mapping[AvailabilityZoneId, list[VmId]]:
        zones: defaultdict[AvailabilityZoneId, list[VmId]] = defaultdict(list)
        for record in self._members.values():
            zones[record.availability_zone].append(record.vm)
        return zones

    def _zone_summaries(self) -> list[VmSummary]:
        now = self._clock.monotonic()
        known = self._board.members(self._place.availability_zone)
        others = (_encode_summary(held, now) for held in known)
        return [self.own_summary(), *others]

    def _report(self, summary: Summary, measured_at: timedelta) -> None:
        candidate_id = CandidateId(f'vm/{summary.vm}')
        for service, load in summary.services.items():
            runtime = self._runtimes().get(service)
            if runtime is not None:
                runtime.view.accept_report(
                    candidate_id,
                    LoadReport(
                        load.free_slots,
                        load.total_slots,
                        load.queued,
                        measured_at,
                    ),
                )


def _own_load(
    runtime: ServiceRuntime,
    holding: IncarnationState,
    now: timedelta,
) -> ServiceLoad:
    free = sum(
        int(holding.ledger.free(target_resource(local.target.target_id), now))
        for local in runtime.targets.values()
    )
    if not holding.support.has_authority(now):
        free = 0
    return ServiceLoad(
        service=runtime.service.id,
        free_slots=free,
        total_slots=runtime.view.local_slots,
        queued=len(runtime.queue),
        service_time_ms=runtime.queue.service_time / _MILLISECOND,
    )


def _decode_summary(message: VmSummary) -> Summary:
    key = decode_vm(message.vm)
    return Summary(
        key.vm,
        key.incarnation,
        AvailabilityZoneId(message.availability_zone),
        message.sequence,
        message.leaving,
        _decode_loads(message.services),
    )


def _decode_loads(loads: Iterable[ServiceLoad]) -> Mapping[ServiceId, Load]:
    return {
        ServiceId(load.service): Load(
            load.free_slots,
            load.total_slots,
            load.queued,
            load.service_time_ms * _MILLISECOND,
        )
        for load in loads
    }


def _encode_summary(held: ReceivedSummary, now: timedelta) -> VmSummary:
    summary = held.summary
    age = max(now - held.measured_at, _NO_AGE)
    message = VmSummary(
        availability_zone=summary.availability_zone,
        sequence=summary.sequence,
        age_ms=age // _MILLISECOND,
        leaving=summary.leaving,
        services=[
            ServiceLoad(
                service=service,
                free_slots=load.free_slots,
                total_slots=load.total_slots,
                queued=load.queued,
                service_time_ms=load.service_time / _MILLISECOND,
            )
            for service, load in summary.services.items()
        ],
    )
    message.vm.vm = summary.vm
    message.vm.incarnation = summary.incarnation
    return message

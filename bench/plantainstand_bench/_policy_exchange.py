"""Exchange of load summaries in the comparison, with faulty reports."""

from collections.abc import Mapping, Sequence
from datetime import timedelta
from functools import partial
from random import Random

from plantainstand_core import AvailabilityZoneId, Incarnation, VmId
from plantainstand_membership import (
    ReceivedSummary,
    ServiceLoad,
    SummaryTable,
    VmSummary,
    choose_exchange_peers,
)
from plantainstand_steering import CandidateId, LoadReport

from plantainstand_bench._policy_model import ZONE_OF_VM, EventLoop, one_way
from plantainstand_bench._policy_owner import SERVICE, SlotOwner

_INTERVAL_SECONDS = 0.5
_INCARNATION = Incarnation(1)
# This VM repeats its load from an idle moment under new sequence numbers.
STUCK_VM = 4
# This VM always states that all its slots are free.
LYING_VM = 7
# Summaries of this VM reach others late by this much.
LATE_VM = 8
_LATE_SECONDS = 2.0
_SERVICE_TIME = timedelta(0)


def vm_id(number: int) -> VmId:
    """Return the id of a VM of the model."""
    return VmId(f'vm/{number}')


class Exchange:
    """Sends the summaries of all entry VMs around, as the daemon does."""

    def __init__(
        self,
        loop: EventLoop,
        owners: Sequence[SlotOwner],
        random_source: Random,
    ):
        """Start with empty boards."""
        self._loop = loop
        self._owners = owners
        self._random = random_source
        self._sequence = 0
        registered = {vm_id(owner.vm): _INCARNATION for owner in owners}
        self._boards = [SummaryTable(loop) for _ in owners]
        for board in self._boards:
            board.replace_registered(registered)
        self._members = _members()

    def start(self) -> None:
        """Send the first messages, each VM at its own phase."""
        for owner in self._owners:
            phase = self._random.random() * _INTERVAL_SECONDS
            self._loop.after(phase, partial(self._send, owner))

    def _send(self, owner: SlotOwner) -> None:
        if not owner.is_alive:
            return
        self._loop.after(_INTERVAL_SECONDS, partial(self._send, owner))
        self._state(owner)
        peers = choose_exchange_peers(
            vm_id(owner.vm),
            _zone_id(owner.zone),
            self._members,
            self._random,
        )
        for peer in peers:
            self._ask(owner, self._owners[int(peer.split('/')[1])])

    def _ask(self, owner: SlotOwner, peer: SlotOwner) -> None:
        delay = one_way(owner.zone, peer.zone)
        known = self._known(owner)

        def answer() -> None:
            if peer.is_alive:
                self._take(peer, known)
                self._state(peer)
                back = partial(self._take, owner, self._known(peer))
                self._loop.after(delay, back)

        self._loop.after(delay, answer)

    def _state(self, owner: SlotOwner) -> None:
        self._sequence += 1
        report = owner.report()
        free, queued = report.free_slots, report.queued
        if owner.vm in {STUCK_VM, LYING_VM}:
            free = owner.slots if owner.vm == LYING_VM else owner.slots // 2
            queued = 0
        load = ServiceLoad(free, owner.slots, queued, _SERVICE_TIME)
        summary = VmSummary(
            vm_id(owner.vm),
            _INCARNATION,
            _zone_id(owner.zone),
            self._sequence,
            leaving=False,
            services={SERVICE: load},
        )
        self._boards[owner.vm].accept(summary, timedelta(0))

    def _known(self, owner: SlotOwner) -> Sequence[ReceivedSummary]:
        return self._boards[owner.vm].members(_zone_id(owner.zone))

    def _take(self, owner: SlotOwner, known: Sequence[ReceivedSummary]) -> None:
        for held in known:
            if held.summary.vm == vm_id(LATE_VM):
                late = partial(self._accept, owner, held)
                self._loop.after(_LATE_SECONDS, late)
            else:
                self._accept(owner, held)

    def _accept(self, owner: SlotOwner, held: ReceivedSummary) -> None:
        age = self._loop.monotonic() - held.measured_at
        summary = held.summary
        if not self._boards[owner.vm].accept(summary, age):
            return
        load = summary.services[SERVICE]
        report = LoadReport(
            load.free_slots,
            load.total_slots,
            load.queued,
            held.measured_at,
        )
        owner.view.accept_report(CandidateId(summary.vm), report)


def _members() -> Mapping[AvailabilityZoneId, Sequence[VmId]]:
    found: dict[AvailabilityZoneId, list[VmId]] = {}
    for vm, zone in enumerate(ZONE_OF_VM):
        found.setdefault(_zone_id(zone), []).append(vm_id(vm))
    return found


def _zone_id(zone: int) -> AvailabilityZoneId:
    return AvailabilityZoneId(str(zone))

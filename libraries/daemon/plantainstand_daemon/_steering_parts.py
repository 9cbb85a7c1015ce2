"""The parts of an entry VM that steer requests, wired together."""

from collections.abc import Iterator, Mapping
from concurrent.futures import Executor
from dataclasses import dataclass

from plantainstand_core import ServiceId, VmId
from plantainstand_membership import EntrySnapshot, EntryVm
from plantainstand_protocol import ChannelPool
from plantainstand_shares import SupportTiming, VmRecord

from plantainstand_daemon._activity import Activity
from plantainstand_daemon._admission import SlotAdmission
from plantainstand_daemon._control_client import ControlClient
from plantainstand_daemon._control_plane import ControlPlane
from plantainstand_daemon._control_state import ControlView
from plantainstand_daemon._dispatch import TargetClient
from plantainstand_daemon._engine import Engine
from plantainstand_daemon._exchange import Exchange
from plantainstand_daemon._forward import Forwarder
from plantainstand_daemon._health_poll import HealthPoll
from plantainstand_daemon._holding import IncarnationState
from plantainstand_daemon._instruments import Instruments
from plantainstand_daemon._local import LocalDispatcher
from plantainstand_daemon._presence import (
    Presence,
    PresencePort,
    PresenceState,
)
from plantainstand_daemon._recorded import RecordedRequests
from plantainstand_daemon._services import (
    ServiceRuntime,
    ServiceTable,
    VmLocation,
)
from plantainstand_daemon._settings import DaemonSettings


@dataclass(frozen=True)
class Resources:
    """What must be closed, owned by the daemon's exit stack."""

    channels: ChannelPool
    client: TargetClient
    executor: Executor


class SteeringParts:
    """Steering of one entry VM; owned by the event loop."""

    def __init__(
        self,
        settings: DaemonSettings,
        plane: ControlPlane,
        resources: Resources,
        instruments: Instruments,
    ) -> None:
        """Wire the parts; :meth:`apply` brings the first view."""
        self._place = VmLocation(
            settings.vm,
            settings.availability_zone,
            settings.region,
        )
        self._plane = plane
        self._clock = instruments.clock
        self._metrics = instruments.metrics
        self._entries = EntrySnapshot(0, (), {})
        self._heard = frozenset((settings.vm,))
        self._lease = SupportTiming().lease
        self._table = ServiceTable(
            self._place,
            instruments.clock,
            instruments.random_source,
        )
        self._view = plane.state.view()
        self.activity = Activity()
        self.control = ControlClient(
            settings.voters,
            resources.channels,
            instruments.clock,
            instruments.random_source,
        )
        self._admission = SlotAdmission(instruments.clock)
        self.exchange = Exchange(
            self._place,
            resources.channels,
            self.runtimes,
            self.holding,
            self.is_leaving,
            instruments,
        )
        self.engine = self._build_engine(resources, instruments)
        self.records = RecordedRequests(
            self.control,
            self.engine.steer,
            lambda: self.holding().key,
            instruments,
        )
        self.health_poll = HealthPoll(
            resources.client,
            resources.executor,
            self.runtimes,
            instruments,
        )
        self.presence = Presence(
            settings,
            PresencePort(
                plane.state,
                self.control,
                self.activity,
                lambda: self.records.unrecorded,
                plane.follower,
            ),
            instruments,
            self.apply,
        )

    @property
    def view(self) -> ControlView:
        """Catalogue and shares that are in force at this VM."""
        return self._view

    @property
    def entries(self) -> EntrySnapshot:
        """Entry VMs to name to callers."""
        return self._entries

    def runtimes(self) -> Mapping[ServiceId, ServiceRuntime]:
        """Return what is known of each service."""
        return self._table.runtimes

    def holding(self) -> IncarnationState:
        """Return the shares of the present incarnation."""
        return self.presence.holding

    def is_leaving(self) -> bool:
        """Tell whether callers should go elsewhere."""
        return self.presence.status not in {
            PresenceState.JOINING,
            PresenceState.SERVING,
        }

    def apply(self) -> None:
        """Put the present control state in force."""
        view = self._plane.state.view()
        self._view = view
        holding = self.holding()
        holding.apply(view.shares, self._clock.monotonic())
        self._table.apply(view, holding.key, holding.ledger)
        self.exchange.apply(view.shares)
        self._entries = _entry_snapshot(view, self._heard)
        self._admission.apply(self._table.runtimes, holding)
        self._metrics.gauge('control_index', view.index)

    async def update_entries(self) -> None:
        """Name only VMs that were heard of within the support lease.

        A lost VM stays registered until its shares are reclaimed, which can
        take longer than callers should be sent to it.
        """
        heard = frozenset(self._heard_vms())
        if heard != self._heard:
            self._heard = heard
            self._entries = _entry_snapshot(self._view, heard)

    async def refresh(self) -> None:
        """Let waiting requests start or end as time passes."""
        if self._admission.waiting:
            self._admission.refresh()
        self._metrics.gauge('in_flight', self.activity.in_flight)

    def _heard_vms(self) -> Iterator[VmId]:
        yield self._place.vm
        for vm in self._view.shares.registry.newest:
            age = self.exchange.age(vm)
            if age is not None and age < self._lease:
                yield vm

    def _build_engine(
        self,
        resources: Resources,
        instruments: Instruments,
    ) -> Engine:
        local = LocalDispatcher(
            self._admission,
            resources.client,
            resources.executor,
            instruments.clock,
            instruments.metrics,
        )
        forwarder = Forwarder(
            self._place,
            resources.channels,
            instruments.clock,
            instruments.metrics,
            self.exchange.accept,
        )
        return Engine(
            self._place.vm,
            local,
            forwarder,
            self.runtimes,
            self.holding,
            instruments,
        )


def _entry_snapshot(
    view: ControlView,
    heard: frozenset[VmId],
) -> EntrySnapshot:
    regions = {
        zone.availability_zone_id: zone.region
        for zone in view.catalogue.availability_zones.values()
    }
    records = [
        record
        for record in view.shares.registry.newest.values()
        if record.may_get_shares and record.vm in heard
    ]
    # A VM that has just come back owns nothing until the shares of its earlier
    # incarnation are reclaimed, and could steer nothing to another region.
    owners = [record for record in records if _owns_shares(view, record)]
    vms = (
        EntryVm(
            record.vm,
            record.host,
            record.http_port,
            record.availability_zone,
            record.region,
        )
        for record in owners or records
    )
    return EntrySnapshot(view.index, vms, regions)


def _owns_shares(view: ControlView, record: VmRecord) -> bool:
    shares = view.shares.by_vm.get(record.key, {})
    return any(share.share for share in shares.values())

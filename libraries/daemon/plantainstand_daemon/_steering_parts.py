"""Assembly of the components of an entry VM that steer requests."""

from collections.abc import Iterator, Mapping
from concurrent.futures import Executor
from dataclasses import dataclass

from plantainstand_core import ServiceId, VmId
from plantainstand_membership import EntrySnapshot, EntryVm
from plantainstand_protocol import ChannelPool
from plantainstand_shares import SupportTiming, VmRecord

from plantainstand_daemon._activity import RequestTracker
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
    """Channels, client and threads, closed by the daemon's exit stack."""

    channels: ChannelPool
    client: TargetClient
    executor: Executor


class SteeringComponents:
    """Components that steer the requests of one entry VM.

    Not thread-safe: used on the event loop only.
    """

    def __init__(
        self,
        settings: DaemonSettings,
        control_plane: ControlPlane,
        resources: Resources,
        instruments: Instruments,
    ) -> None:
        """Connect the components; :meth:`apply` sets the first view."""
        self._place = VmLocation(
            settings.vm,
            settings.availability_zone,
            settings.region,
        )
        self._control_plane = control_plane
        self._clock = instruments.clock
        self._metrics = instruments.metrics
        self._entries = EntrySnapshot(0, (), {})
        self._reachable_vms = frozenset((settings.vm,))
        self._support_lease = SupportTiming().lease
        self._service_table = ServiceTable(
            self._place,
            instruments.clock,
            instruments.random_source,
        )
        self._view = control_plane.state.view()
        self.request_tracker = RequestTracker()
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
            self.incarnation_state,
            self.is_leaving,
            instruments,
        )
        self.engine = self._build_engine(resources, instruments)
        self.records = RecordedRequests(
            self.control,
            self.engine.steer,
            lambda: self.incarnation_state().key,
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
                control_plane.state,
                self.control,
                self.request_tracker,
                lambda: self.records.unrecorded_count,
                control_plane.follower,
            ),
            instruments,
            self.apply,
        )

    @property
    def view(self) -> ControlView:
        """Catalogue and shares that this VM has applied."""
        return self._view

    @property
    def entries(self) -> EntrySnapshot:
        """Entry VMs to list to callers."""
        return self._entries

    def runtimes(self) -> Mapping[ServiceId, ServiceRuntime]:
        """Return the runtime of each service."""
        return self._service_table.runtimes

    def incarnation_state(self) -> IncarnationState:
        """Return the shares and authority of the current incarnation."""
        return self.presence.incarnation_state

    def is_leaving(self) -> bool:
        """Return whether callers should use other entry VMs."""
        return self.presence.status not in {
            PresenceState.JOINING,
            PresenceState.SERVING,
        }

    def apply(self) -> None:
        """Apply the current control state to all components."""
        view = self._control_plane.state.view()
        self._view = view
        incarnation_state = self.incarnation_state()
        incarnation_state.apply(view.shares, self._clock.monotonic())
        self._service_table.apply(
            view, incarnation_state.key, incarnation_state.ledger
        )
        self.exchange.apply(view.shares)
        self._entries = _entry_snapshot(view, self._reachable_vms)
        self._admission.apply(self._service_table.runtimes, incarnation_state)
        self._metrics.gauge('control_index', view.index)

    async def update_entry_list(self) -> None:
        """List only VMs with a load summary newer than the support lease.

        A lost VM stays registered until its shares are reclaimed. Callers must
        not be sent to it for that long.
        """
        reachable_vms = frozenset(self._find_reachable_vms())
        if reachable_vms != self._reachable_vms:
            self._reachable_vms = reachable_vms
            self._entries = _entry_snapshot(self._view, reachable_vms)

    async def refresh_admission(self) -> None:
        """Admit or refuse waiting requests as time passes."""
        if self._admission.waiting:
            self._admission.refresh()
        self._metrics.gauge('in_flight', self.request_tracker.in_flight)

    def _find_reachable_vms(self) -> Iterator[VmId]:
        yield self._place.vm
        for vm in self._view.shares.registry.newest:
            age = self.exchange.age(vm)
            if age is not None and age < self._support_lease:
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
            self.incarnation_state,
            instruments,
        )


def _entry_snapshot(
    view: ControlView,
    reachable_vms: frozenset[VmId],
) -> EntrySnapshot:
    regions = {
        zone.availability_zone_id: zone.region
        for zone in view.catalogue.availability_zones.values()
    }
    records = [
        record
        for record in view.shares.registry.newest.values()
        if record.may_get_shares and record.vm in reachable_vms
    ]
    # A restarted VM owns no shares until those of its earlier incarnation are
    # reclaimed, so it could not steer requests to another region.
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

"""Control state of a deployment of any size, built from real commands."""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from itertools import permutations

import plantainstand_catalogue as catalogue
from plantainstand_core import (
    AvailabilityZoneId,
    EntryId,
    Incarnation,
    LogIndex,
    OperationId,
    OwnerId,
    RegionId,
    Revision,
    ServiceId,
    TrafficClass,
    VmId,
)
from plantainstand_daemon._control_state import (
    CommandKind,
    ControlState,
    wrap_command,
)
from plantainstand_daemon._demands import build_demands
from plantainstand_shares import (
    AnyCommand,
    ConfirmRelease,
    RegisterVm,
    SetShares,
    ShareChange,
    plan_shares,
)
from plantainstand_shares import encode_command as encode_share_command

_OWNER = OwnerId('operations')
_CLASS = TrafficClass.CRITICAL
_SLOTS = 9
_CONNECTIONS = 330
_IN_FLIGHT = 1_000_000
_LINK_BYTES = 500_000_000
_DELAY_MS = 20.0
_ZONE_DELAY_MS = 0.5
_DEADLINE_MS = 2000
_BODY_BYTES = 4096
_QUEUE = 10
_RPC_PORT = 20200
_FIRST_TARGET_PORT = 30000
# As in the leader: keeps one entry small when many resources change at once.
_CHANGES_PER_COMMAND = 256


@dataclass(frozen=True)
class Size:
    """Numbers of a deployment; members are spread evenly."""

    regions: int
    zones: int
    vms: int
    targets: int
    services: int = 3
    has_links: bool = True
    """Whether every region has a link to every other one."""


TODAY = Size(3, 6, 10, 38)
PLANNED = Size(27, 64, 3300, 5500)


def zone_name(number: int) -> AvailabilityZoneId:
    """Return the id of a zone."""
    return AvailabilityZoneId(f'z{number}')


def vm_name(number: int) -> VmId:
    """Return the id of a VM; VM ``n`` is in zone ``n`` modulo the zones."""
    return VmId(f'vm{number}')


class ControlModel:
    """Applies commands to a real control state as the log would."""

    def __init__(self, size: Size, rpc_port: int = _RPC_PORT) -> None:
        """Put the catalogue, register the VMs and share everything out."""
        self.size = size
        self._rpc_port = rpc_port
        self.state = ControlState()
        self.commands: list[bytes] = []
        """Every applied command, as in the log."""

        self._revisions: dict[EntryId, Revision] = {}
        for entry in _entries(size):
            self.put(entry)
        for number in range(size.vms):
            self.register(number)
        self.settle()

    def put(self, entry: catalogue.AnyEntry) -> None:
        """Commit a catalogue entry."""
        command = catalogue.PutEntry(
            OperationId(f'operation-{len(self.commands)}'),
            entry,
            self._revisions.get(entry.entry_id, catalogue.NO_REVISION),
        )
        encoded = catalogue.encode_command(command)
        outcome = self.apply(wrap_command(CommandKind.CATALOGUE, encoded))
        decoded = catalogue.decode_outcome(outcome).unwrap()
        if not isinstance(decoded, catalogue.ChangeAccepted):
            raise ValueError(f'the catalogue refused: {decoded}')
        self._revisions[entry.entry_id] = decoded.revision

    def register(self, number: int, incarnation: int = 1) -> None:
        """Register a VM."""
        zone = number % self.size.zones
        self.share_command(
            RegisterVm(
                vm_name(number),
                Incarnation(incarnation),
                zone_name(zone),
                _region_of(zone, self.size),
                '127.0.0.1',
                _RPC_PORT,
                self._rpc_port,
            ),
        )

    def plan(self) -> Sequence[ShareChange]:
        """Do what the leader does: build the demands and plan one step."""
        view = self.state.view()
        return plan_shares(build_demands(view), view.shares)

    def commit_plan(self, changes: Sequence[ShareChange]) -> None:
        """Commit a step of the planner in the leader's batches."""
        for start in range(0, len(changes), _CHANGES_PER_COMMAND):
            batch = tuple(changes[start : start + _CHANGES_PER_COMMAND])
            self.share_command(SetShares(batch))

    def settle(self) -> int:
        """Plan and confirm until nothing changes; return the commands."""
        before = len(self.commands)
        changes = self.plan()
        while changes:
            self.commit_plan(changes)
            for release in tuple(self._releases()):
                self.share_command(release)
            changes = self.plan()
        return len(self.commands) - before

    def share_command(self, command: AnyCommand) -> None:
        """Commit a command of the share state machine."""
        encoded = encode_share_command(command)
        self.apply(wrap_command(CommandKind.SHARES, encoded))

    def apply(self, command: bytes) -> bytes:
        """Commit an encoded command; return its encoded outcome."""
        self.commands.append(command)
        return self.state.apply(LogIndex(len(self.commands)), command)

    def _releases(self) -> Iterator[ConfirmRelease]:
        for resource, known in self.state.view().shares.resources.items():
            for share in known.holders.values():
                if share.held > share.share:
                    yield ConfirmRelease(
                        share.vm,
                        share.incarnation,
                        resource,
                        share.version,
                    )


def target(number: int, size: Size, slots: int = _SLOTS) -> catalogue.Target:
    """Build a target; targets are spread over zones and services."""
    return catalogue.Target(
        id=f't{number}',
        owner=_OWNER,
        traffic_class=_CLASS,
        limits=catalogue.TargetLimits(slots, _CONNECTIONS),
        service=ServiceId(f's{number // size.zones % size.services}'),
        availability_zone=zone_name(number % size.zones),
        host='127.0.0.1',
        port=_FIRST_TARGET_PORT + number,
    )


def _entries(size: Size) -> Iterator[catalogue.AnyEntry]:
    limits = catalogue.InFlightLimits(_IN_FLIGHT)
    regions = [RegionId(f'r{number}') for number in range(size.regions)]
    for region in regions:
        yield catalogue.Region(
            id=region,
            owner=_OWNER,
            traffic_class=_CLASS,
            limits=limits,
            zone_delay_ms=_ZONE_DELAY_MS,
        )
    for number in range(size.zones):
        yield catalogue.AvailabilityZone(
            id=zone_name(number),
            owner=_OWNER,
            traffic_class=_CLASS,
            limits=limits,
            region=_region_of(number, size),
        )
    for source, destination in permutations(regions, 2):
        if size.has_links:
            yield _link(source, destination)
    for number in range(size.services):
        yield _service(f's{number}')
    for number in range(size.targets):
        yield target(number, size)


def _link(source: RegionId, destination: RegionId) -> catalogue.Link:
    return catalogue.Link(
        id=f'{source}-{destination}',
        owner=_OWNER,
        traffic_class=_CLASS,
        limits=catalogue.LinkLimits(_LINK_BYTES),
        from_region=source,
        to_region=destination,
        delay_ms=_DELAY_MS,
    )


def _service(name: str) -> catalogue.Service:
    return catalogue.Service(
        id=name,
        owner=_OWNER,
        traffic_class=_CLASS,
        limits=catalogue.ServiceLimits(
            _DEADLINE_MS,
            _BODY_BYTES,
            _BODY_BYTES,
            _QUEUE,
        ),
        idempotent=True,
        shift=catalogue.TrafficShiftLimits(1.0, 10.0),
    )


def _region_of(zone: int, size: Size) -> RegionId:
    return RegionId(f'r{zone * size.regions // size.zones}')

"""Fixture: catalogue, registered VMs and a share table without changes due."""

from collections.abc import Iterable

import msgspec
import plantainstand_catalogue as catalogue
from plantainstand_core import (
    AvailabilityZoneId,
    Incarnation,
    OperationId,
    RegionId,
    Revision,
    VmId,
)
from plantainstand_daemon._control_state import (
    CommandKind,
    ControlView,
    wrap_command,
)
from plantainstand_daemon._demands import build_demands
from plantainstand_shares import (
    AnyCommand,
    ConfirmRelease,
    RegisterVm,
    SetLongestDeadline,
    SetShares,
    VmIncarnation,
    encode_command,
    plan_shares,
)

from tests.daemon.fakes import FakeLog

OWN = VmIncarnation(VmId('bajio-a-1'), Incarnation(1))
ZONES = (
    ('bajio-a', 'bajio'),
    ('bajio-b', 'bajio'),
    ('norte-a', 'norte'),
)
"""Availability zones of the example catalogue and their regions."""

_MAX_PLANNING_STEPS = 10


def with_slots(target: catalogue.Target, count: int) -> catalogue.Target:
    """Return a copy of a target with ``count`` slots."""
    limits = msgspec.structs.replace(target.limits, slots=count)
    return msgspec.structs.replace(target, limits=limits)


class Deployment:
    """Control state that is built from committed commands."""

    def __init__(
        self,
        entries: Iterable[catalogue.AnyEntry],
        vms: Iterable[str],
    ) -> None:
        """Commit entries and register VMs, named like ``bajio-a-1``."""
        self.log = FakeLog()
        self.last_command = b''
        for entry in entries:
            self.put(entry)
        self.commit_share_command(SetLongestDeadline(2000))
        for vm in vms:
            self.register(vm)
        self.settle()

    @property
    def view(self) -> ControlView:
        """Current catalogue and share table."""
        return self.log.state.view()

    def put(self, entry: catalogue.AnyEntry) -> None:
        """Add or change an entry."""
        known = self.view.catalogue.entry_revision(entry.entry_id)
        self.commit_catalogue_command(
            catalogue.PutEntry(
                self._new_operation_id(), entry, Revision(known)
            ),
        )

    def drain(self, kind: catalogue.DrainSubjectKind, name: str) -> None:
        """Announce a drain."""
        self.commit_catalogue_command(
            catalogue.AnnounceDrain(self._new_operation_id(), kind, name)
        )

    def withdraw(self, kind: catalogue.DrainSubjectKind, name: str) -> None:
        """Withdraw a drain."""
        self.commit_catalogue_command(
            catalogue.WithdrawDrain(self._new_operation_id(), kind, name)
        )

    def register(self, vm: str, incarnation: int = 1) -> None:
        """Register an incarnation of a VM."""
        zone = vm.rpartition('-')[0]
        self.commit_share_command(
            RegisterVm(
                VmId(vm),
                Incarnation(incarnation),
                AvailabilityZoneId(zone),
                RegionId(dict(ZONES)[zone]),
                '127.0.0.1',
                http_port=1,
                rpc_port=2,
            ),
        )

    def settle(self) -> None:
        """Plan and confirm shares until the planner returns no changes."""
        for steps_left in reversed(range(_MAX_PLANNING_STEPS)):
            changes = plan_shares(build_demands(self.view), self.view.shares)
            if not changes:
                return
            if not steps_left:
                raise AssertionError('the share planner does not converge')
            self.commit_share_command(SetShares(tuple(changes)))
            self._confirm_releases()

    def commit_share_command(self, command: AnyCommand) -> None:
        """Commit a command about VMs and shares."""
        encoded = encode_command(command)
        self.last_command = wrap_command(CommandKind.SHARES, encoded)
        self.log.commit(self.last_command)

    def commit_catalogue_command(
        self, command: catalogue.CatalogueCommand
    ) -> None:
        """Commit a catalogue change and require its acceptance."""
        payload = catalogue.encode_command(command)
        outcome = catalogue.decode_outcome(
            self.log.commit(wrap_command(CommandKind.CATALOGUE, payload)),
        ).unwrap()
        if not isinstance(outcome, catalogue.ChangeAccepted):
            raise AssertionError(outcome)

    def _new_operation_id(self) -> OperationId:
        return OperationId(f'operation-{self.log.state.index}')

    def _confirm_releases(self) -> None:
        for shares in self.view.shares.by_vm.values():
            for share in shares.values():
                if share.held > share.share:
                    self.commit_share_command(
                        ConfirmRelease(
                            *share.key,
                            share.resource,
                            share.version,
                        ),
                    )

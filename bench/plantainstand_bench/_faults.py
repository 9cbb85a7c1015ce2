"""List of faults and operator actions with times."""

from collections.abc import Mapping
from pathlib import Path
from typing import Any, TypeAlias

import msgspec
from plantainstand_core import (
    AvailabilityZoneId,
    ServiceId,
    SettingsProblem,
    TargetId,
    VmId,
    load_settings,
)
from result import Result

from plantainstand_bench._target_settings import (
    Milliseconds,
    Strict,
    TargetFaults,
)


class _Timed(Strict, frozen=True, omit_defaults=True, tag_field='kind'):
    at_s: Milliseconds
    """Seconds after the first arrival."""


class KillVm(_Timed, frozen=True, tag='kill'):
    """``kill -9`` of a daemon."""

    vm: VmId


class StopVm(_Timed, frozen=True, tag='terminate'):
    """SIGTERM to a daemon: a planned stop."""

    vm: VmId


class PauseVm(_Timed, frozen=True, tag='pause'):
    """SIGSTOP to a daemon."""

    vm: VmId


class ResumeVm(_Timed, frozen=True, tag='resume'):
    """SIGCONT to a daemon."""

    vm: VmId


class StartVm(_Timed, frozen=True, tag='start'):
    """Start of a daemon that has exited."""

    vm: VmId
    empty_data_folder: bool = False
    """Whether the data folder is emptied first, as after a lost disk."""


class KillTargets(_Timed, frozen=True, tag='kill_targets'):
    """``kill -9`` of all targets of an availability zone."""

    availability_zone: AvailabilityZoneId


class StartTargets(_Timed, frozen=True, tag='start_targets'):
    """Start of the targets of an availability zone."""

    availability_zone: AvailabilityZoneId


class LoseZone(_Timed, frozen=True, tag='lose_zone'):
    """``kill -9`` of all daemons and targets of an availability zone."""

    availability_zone: AvailabilityZoneId


class FaultTargets(_Timed, frozen=True, tag='target_faults'):
    """``PUT /faults`` to the targets that fit every given field."""

    faults: TargetFaults
    targets: tuple[TargetId, ...] = ()
    service: ServiceId | None = None
    availability_zone: AvailabilityZoneId | None = None


class ChangeVmList(_Timed, frozen=True, tag='vm_list'):
    """Change of the platform's list."""

    vm: VmId
    state: str


class AnnounceDrain(_Timed, frozen=True, tag='drain'):
    """Announcement of a drain by an operator."""

    subject_kind: str
    """``target``, ``vm``, ``availability_zone`` or ``region``."""

    subject_id: str


class WithdrawDrain(_Timed, frozen=True, tag='withdraw_drain'):
    """Withdrawal of a drain by an operator."""

    subject_kind: str
    subject_id: str


class CallOperator(_Timed, frozen=True, tag='operator'):
    """Any other call of the operators' interface, as a catalogue change."""

    method: str
    path: str
    document: Mapping[str, Any] | None = None
    """Body; the tool adds the operation id."""


AnyFault: TypeAlias = (
    KillVm
    | StopVm
    | PauseVm
    | ResumeVm
    | StartVm
    | KillTargets
    | StartTargets
    | LoseZone
    | FaultTargets
    | ChangeVmList
    | AnnounceDrain
    | WithdrawDrain
    | CallOperator
)


class FaultList(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A fault file."""

    faults: tuple[AnyFault, ...] = ()


def load_faults(path: Path) -> Result[FaultList, SettingsProblem]:
    """Read a fault file."""
    return load_settings(path, FaultList)

"""Messages between entry VMs and control VMs."""

from plantainstand_fleet._listing import TargetListing
from plantainstand_fleet._messages import (
    ControlVm,
    DesiredUpdate,
    EntryChanges,
    EntryReport,
    FleetMessage,
    Hello,
    ReplicaMessage,
    Roster,
    TargetEntry,
    TargetUpdate,
    VmRole,
    decode_fleet_message,
    encode_fleet_message,
)

__all__ = (
    'ControlVm',
    'DesiredUpdate',
    'EntryChanges',
    'EntryReport',
    'FleetMessage',
    'Hello',
    'ReplicaMessage',
    'Roster',
    'TargetEntry',
    'TargetListing',
    'TargetUpdate',
    'VmRole',
    'decode_fleet_message',
    'encode_fleet_message',
)

"""Messages between entry VMs and control VMs."""

from plantainstand_fleet._allotments import Allotment, AllotmentUse
from plantainstand_fleet._listing import TargetListing
from plantainstand_fleet._loads import NewestLoads, TargetLoad
from plantainstand_fleet._messages import (
    AccountAnswer,
    AccountQuestion,
    ControlVm,
    DesiredUpdate,
    EntryChanges,
    EntryReport,
    FleetMessage,
    Hello,
    LimitStatement,
    LoadUpdate,
    ReplicaMessage,
    Roster,
    TargetEntry,
    TargetUpdate,
    VmRole,
    decode_fleet_message,
    encode_fleet_message,
)
from plantainstand_fleet._sharing import (
    SharingRegion,
    VmSeed,
    sharing_digest,
    vm_seed,
)
from plantainstand_fleet._stated_limits import (
    KnownLimit,
    StatedLimits,
    StatementKey,
)

__all__ = (
    'AccountAnswer',
    'AccountQuestion',
    'Allotment',
    'AllotmentUse',
    'ControlVm',
    'DesiredUpdate',
    'EntryChanges',
    'EntryReport',
    'FleetMessage',
    'Hello',
    'KnownLimit',
    'LimitStatement',
    'LoadUpdate',
    'NewestLoads',
    'ReplicaMessage',
    'Roster',
    'SharingRegion',
    'StatedLimits',
    'StatementKey',
    'TargetEntry',
    'TargetListing',
    'TargetLoad',
    'TargetUpdate',
    'VmRole',
    'VmSeed',
    'decode_fleet_message',
    'encode_fleet_message',
    'sharing_digest',
    'vm_seed',
)

"""Shares of limited resources, split among entry VMs."""

from plantainstand_shares._commands import (
    Amount,
    AnyCommand,
    ConfirmMembers,
    ConfirmRelease,
    DepartVm,
    MarkLeaving,
    ReclaimVm,
    RegisterVm,
    SetLongestDeadline,
    SetShares,
    ShareChange,
    ShareGrant,
    ShareUnit,
    decode_command,
    encode_command,
)
from plantainstand_shares._follow_up import heartbeat_commands
from plantainstand_shares._grantor import SupportGrantor
from plantainstand_shares._heartbeat import (
    Heartbeat,
    HeartbeatAnswer,
    HeartbeatStatus,
)
from plantainstand_shares._holder import SupportHolder
from plantainstand_shares._ledger import ShareLedger
from plantainstand_shares._ledger_types import (
    Claim,
    ReleasedShare,
    Reservation,
    Shortage,
    ShortageReason,
)
from plantainstand_shares._outcomes import (
    Accepted,
    RefusalReason,
    Refused,
    ShareOutcome,
    SharesSet,
    decode_outcome,
    encode_outcome,
)
from plantainstand_shares._pacing import GrowthLimit, SlotRamp, TargetPacer
from plantainstand_shares._planner import ShareDemand, SharePlanner, plan_shares
from plantainstand_shares._state import ShareState
from plantainstand_shares._timing import (
    DISPATCH_ALLOWANCE,
    SupportTiming,
)
from plantainstand_shares._view import (
    RegistryView,
    ResourceShares,
    Share,
    ShareView,
    VmIncarnation,
    VmRecord,
    VmState,
)
from plantainstand_shares._zone_support import ZoneSupport, ZoneSupportAnswer

__all__ = (
    'DISPATCH_ALLOWANCE',
    'Accepted',
    'Amount',
    'AnyCommand',
    'Claim',
    'ConfirmMembers',
    'ConfirmRelease',
    'DepartVm',
    'GrowthLimit',
    'Heartbeat',
    'HeartbeatAnswer',
    'HeartbeatStatus',
    'MarkLeaving',
    'ReclaimVm',
    'RefusalReason',
    'Refused',
    'RegisterVm',
    'RegistryView',
    'ReleasedShare',
    'Reservation',
    'ResourceShares',
    'SetLongestDeadline',
    'SetShares',
    'Share',
    'ShareChange',
    'ShareDemand',
    'ShareGrant',
    'ShareLedger',
    'ShareOutcome',
    'SharePlanner',
    'ShareState',
    'ShareUnit',
    'ShareView',
    'SharesSet',
    'Shortage',
    'ShortageReason',
    'SlotRamp',
    'SupportGrantor',
    'SupportHolder',
    'SupportTiming',
    'TargetPacer',
    'VmIncarnation',
    'VmRecord',
    'VmState',
    'ZoneSupportAnswer',
    'ZoneSupport',
    'decode_command',
    'decode_outcome',
    'encode_command',
    'encode_outcome',
    'heartbeat_commands',
    'plan_shares',
)

"""Load summaries, exchange peers, the platform list and entry VM answers."""

from plantainstand_membership._blocks import ClientBlockTable
from plantainstand_membership._entries import (
    ENTRY_LIFETIME,
    EntryAnswer,
    EntrySnapshot,
    EntryVm,
    rank_entries,
)
from plantainstand_membership._peers import choose_exchange_peers
from plantainstand_membership._platform import (
    PlatformList,
    PlatformSnapshot,
    PlatformState,
    PlatformVm,
)
from plantainstand_membership._summary import (
    ReceivedSummary,
    ServiceLoad,
    SummaryTable,
    VmSummary,
    ZoneSummary,
    summarise_zone,
)

__all__ = (
    'ENTRY_LIFETIME',
    'ClientBlockTable',
    'EntryAnswer',
    'EntrySnapshot',
    'EntryVm',
    'ReceivedSummary',
    'PlatformList',
    'PlatformSnapshot',
    'PlatformState',
    'PlatformVm',
    'ServiceLoad',
    'SummaryTable',
    'VmSummary',
    'ZoneSummary',
    'choose_exchange_peers',
    'rank_entries',
    'summarise_zone',
)

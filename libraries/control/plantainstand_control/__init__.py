"""Control role: replicated desired state, target list, entry directory."""

from plantainstand_control._directory import (
    DIRECTORY_LIFETIME,
    ClientLocation,
    EntryVm,
    choose_entries,
)
from plantainstand_control._members import MemberFacts, choose_members
from plantainstand_control._node import ControlNode
from plantainstand_control._operator import (
    OperatorService,
    RedirectToLeader,
    Unavailable,
)
from plantainstand_control._poller import ListProblem, ListReader, TargetList
from plantainstand_control._settings import ControlSettings

__all__ = (
    'DIRECTORY_LIFETIME',
    'ClientLocation',
    'ControlNode',
    'ControlSettings',
    'RedirectToLeader',
    'EntryVm',
    'ListProblem',
    'ListReader',
    'MemberFacts',
    'OperatorService',
    'TargetList',
    'Unavailable',
    'choose_entries',
    'choose_members',
)

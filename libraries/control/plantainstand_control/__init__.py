"""The control role: desired state, target list and entry directory."""

from plantainstand_control._directory import (
    DIRECTORY_LIFETIME,
    ClientLocation,
    EntryVm,
    choose_entry_vms,
)
from plantainstand_control._members import MembershipView, choose_members
from plantainstand_control._node import ControlNode
from plantainstand_control._operator import (
    OperatorService,
    RedirectToLeader,
    TooLarge,
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
    'MembershipView',
    'OperatorService',
    'TargetList',
    'TooLarge',
    'Unavailable',
    'choose_entry_vms',
    'choose_members',
)

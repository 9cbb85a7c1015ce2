"""Decisions of an entry VM, without input or output."""

from plantainstand_placement._board import TargetBoard
from plantainstand_placement._budget import RetryBudgetShare, RetryBudgetTerms
from plantainstand_placement._choice import (
    Choice,
    Demand,
    Refusal,
    RefusalReason,
    choose_target,
)
from plantainstand_placement._cold import ColdTerms
from plantainstand_placement._service_targets import ServiceTargets
from plantainstand_placement._split import TrafficSplitter
from plantainstand_placement._target import LoadReport, TargetState

__all__ = (
    'Choice',
    'ColdTerms',
    'Demand',
    'LoadReport',
    'Refusal',
    'RefusalReason',
    'RetryBudgetShare',
    'RetryBudgetTerms',
    'ServiceTargets',
    'TargetBoard',
    'TargetState',
    'TrafficSplitter',
    'choose_target',
)

"""Placement decisions of an entry VM, free of input and output."""

from plantainstand_placement._admission import Admission, RankCounts
from plantainstand_placement._board import TargetTable
from plantainstand_placement._budget import RetryBudgetLimits, RetryBudgetShare
from plantainstand_placement._choice import (
    Choice,
    RatedTarget,
    Refusal,
    RefusalReason,
    ServiceEstimates,
    choose_target,
    rate_targets,
)
from plantainstand_placement._cold import ColdRequestShare, ColdTargetLimits
from plantainstand_placement._cold_knowledge import ListReading
from plantainstand_placement._criteria import PlacementCriteria
from plantainstand_placement._departure import (
    LongestDurations,
    ends_before_exit,
)
from plantainstand_placement._eligibility import cold_limit, targets_to_probe
from plantainstand_placement._fleet_share import FleetShare
from plantainstand_placement._object_demand import (
    DemandEstimate,
    ObjectDemand,
)
from plantainstand_placement._object_key import bounded_key
from plantainstand_placement._other_load import LoadReport
from plantainstand_placement._pauses import pause_target
from plantainstand_placement._request_limits import RequestLimits
from plantainstand_placement._returning_callers import ReturningCallers
from plantainstand_placement._run_times import (
    Familiarity,
    RunTimeEstimates,
    RunTimes,
)
from plantainstand_placement._service_targets import ServiceTargets
from plantainstand_placement._shared_loads import record_shared_load
from plantainstand_placement._split import TrafficSplitter
from plantainstand_placement._target import TargetState

__all__ = (
    'Admission',
    'Choice',
    'ColdRequestShare',
    'ColdTargetLimits',
    'Familiarity',
    'DemandEstimate',
    'FleetShare',
    'PlacementCriteria',
    'ListReading',
    'LoadReport',
    'LongestDurations',
    'ObjectDemand',
    'RankCounts',
    'RatedTarget',
    'Refusal',
    'RequestLimits',
    'RefusalReason',
    'RetryBudgetShare',
    'ReturningCallers',
    'RetryBudgetLimits',
    'RunTimeEstimates',
    'RunTimes',
    'ServiceEstimates',
    'ServiceTargets',
    'TargetTable',
    'TargetState',
    'TrafficSplitter',
    'bounded_key',
    'choose_target',
    'cold_limit',
    'ends_before_exit',
    'pause_target',
    'rate_targets',
    'record_shared_load',
    'targets_to_probe',
)

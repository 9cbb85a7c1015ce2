"""Entry role: receives requests of clients and forwards them to targets."""

from plantainstand_edge._dialect import Dialect, RequestFacts, TargetVerdict
from plantainstand_edge._node import EntryNode
from plantainstand_edge._settings import EntrySettings
from plantainstand_edge._steering import RequestSteering, SteeringInputs

__all__ = (
    'Dialect',
    'EntryNode',
    'EntrySettings',
    'RequestFacts',
    'RequestSteering',
    'SteeringInputs',
    'TargetVerdict',
)

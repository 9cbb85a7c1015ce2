"""The desired state: versioned items and evacuations."""

from plantainstand_desired._items import (
    EvacuationItem,
    IngressLimits,
    Item,
    ItemBody,
    ItemKey,
    ItemKind,
    Route,
    RouteName,
    ServicePolicy,
    Version,
    WeightedService,
)
from plantainstand_desired._rules import item_problem
from plantainstand_desired._state import (
    ChangeItems,
    ChangeOutcome,
    DesiredState,
    SetEvacuation,
    Verdict,
    decode_outcome,
    encode_command,
)
from plantainstand_desired._view import DesiredView, RouteMatch

__all__ = (
    'ChangeItems',
    'ChangeOutcome',
    'DesiredState',
    'DesiredView',
    'EvacuationItem',
    'IngressLimits',
    'Item',
    'ItemBody',
    'ItemKey',
    'ItemKind',
    'Route',
    'RouteMatch',
    'RouteName',
    'ServicePolicy',
    'SetEvacuation',
    'Verdict',
    'Version',
    'WeightedService',
    'decode_outcome',
    'encode_command',
    'item_problem',
)

"""The desired state: versioned items and evacuations."""

from plantainstand_desired._account_view import AccountMatch, AccountView
from plantainstand_desired._items import (
    AccountName,
    ClientAccount,
    EvacuationItem,
    IngressLimits,
    Item,
    ItemBody,
    ItemKey,
    ItemKind,
    KeyDigest,
    Route,
    RouteName,
    ServicePolicy,
    Version,
    WeightedService,
    digest_key,
)
from plantainstand_desired._rules import item_problem
from plantainstand_desired._state import (
    ChangeItems,
    ChangeOutcome,
    DesiredState,
    SetAllotmentVms,
    SetEvacuation,
    Verdict,
    decode_outcome,
    encode_command,
)
from plantainstand_desired._view import DesiredView, RouteMatch

__all__ = (
    'AccountMatch',
    'AccountName',
    'AccountView',
    'ChangeItems',
    'ChangeOutcome',
    'ClientAccount',
    'DesiredState',
    'DesiredView',
    'EvacuationItem',
    'IngressLimits',
    'Item',
    'ItemBody',
    'ItemKey',
    'ItemKind',
    'KeyDigest',
    'Route',
    'RouteMatch',
    'RouteName',
    'ServicePolicy',
    'SetAllotmentVms',
    'SetEvacuation',
    'Verdict',
    'Version',
    'WeightedService',
    'decode_outcome',
    'digest_key',
    'encode_command',
    'item_problem',
)

"""Catalogue entries, drains and the catalogue state machine."""

from plantainstand_catalogue._entries import (
    AnyEntry,
    AvailabilityZone,
    Entry,
    HedgePolicy,
    InFlightLimits,
    Link,
    LinkLimits,
    Region,
    RetryPolicy,
    Service,
    ServiceLimits,
    ShiftCap,
    Target,
    TargetLimits,
    WarmUp,
)

__all__ = (
    'AnyEntry',
    'AvailabilityZone',
    'Entry',
    'HedgePolicy',
    'InFlightLimits',
    'Link',
    'LinkLimits',
    'Region',
    'RetryPolicy',
    'Service',
    'ServiceLimits',
    'ShiftCap',
    'Target',
    'TargetLimits',
    'WarmUp',
)

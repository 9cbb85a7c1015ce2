"""Limits of client accounts over all entry VMs, free of input and output."""

from plantainstand_allotments._authority import AllotmentAuthority
from plantainstand_allotments._holder import (
    UNLIMITED_USE,
    AllotmentHolder,
    UseOutcome,
    UsePreview,
)
from plantainstand_allotments._terms import (
    CLOCK_MARGIN,
    LEASE,
    AccountLimit,
    AllotmentTerms,
    window_total,
)

__all__ = (
    'AccountLimit',
    'AllotmentAuthority',
    'AllotmentHolder',
    'AllotmentTerms',
    'CLOCK_MARGIN',
    'LEASE',
    'UNLIMITED_USE',
    'UseOutcome',
    'UsePreview',
    'window_total',
)

"""Limits of client accounts over all entry VMs, free of input and output."""

from plantainstand_allotments._authority import AllotmentAuthority
from plantainstand_allotments._holder import AllotmentHolder, UseOutcome
from plantainstand_allotments._terms import (
    AccountLimit,
    AllotmentTerms,
    window_total,
)

__all__ = (
    'AccountLimit',
    'AllotmentAuthority',
    'AllotmentHolder',
    'AllotmentTerms',
    'UseOutcome',
    'window_total',
)

"""Parts of the messages about the limits of accounts."""

import msgspec
from plantainstand_desired import AccountName


class AllotmentUse(msgspec.Struct, frozen=True, array_like=True):
    """What an entry VM has of an account's limit, and what it wants."""

    account: AccountName
    allotment: int
    """Runs that the VM may begin in any window."""

    committed: int
    """The larger of the allotment and the runs in the newest window."""

    demand: int
    """Runs and rejections in the newest window."""

    waiting: int = 0
    """Requests that wait for the answer."""


class Allotment(msgspec.Struct, frozen=True, array_like=True):
    """Part of an account's limit that one entry VM gets."""

    account: AccountName
    amount: int
    """Runs that the VM may begin in any window."""

    is_exhausted: bool = False
    """Whether nothing more of the limit is free now."""

    is_scarce: bool = False
    """Whether VMs want more than the limit, so that unused parts of allotments
    are to be returned."""

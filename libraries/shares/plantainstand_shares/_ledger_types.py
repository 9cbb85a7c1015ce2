"""What is asked of a ledger and what it answers."""

from collections.abc import Callable
from datetime import timedelta
from enum import Enum
from typing import NamedTuple, TypeAlias

from plantainstand_core import LogIndex, ResourceId

from plantainstand_shares._commands import Amount


class ReleasedShare(NamedTuple):
    """A share whose use has fallen to its present value."""

    resource: ResourceId
    version: LogIndex
    """Version of the share that the VM now stays under."""


class Claim(NamedTuple):
    """Part of a reservation."""

    resource: ResourceId
    amount: Amount = 1
    charged_on_release: bool = False
    """Only for rates. False: the amount is used up when it is reserved.

    True: it is used up on release, which gives back what was not needed;
    for response bytes, which flow at the end of a request.
    """


class ShortageReason(Enum):
    """Why nothing was reserved."""

    NO_AUTHORITY = 'no_authority'
    """The VM may use none of its shares now."""

    SHARE_TOO_SMALL = 'share_too_small'
    """The amount is above the whole share; waiting does not help."""

    IN_USE = 'in_use'
    """The rest of the share is too small at this moment."""

    PACED = 'paced'
    """The target's warm-up or growth limit holds it back."""


class Shortage(NamedTuple):
    """First claim that could not be met."""

    reason: ShortageReason
    resource: ResourceId | None
    """None without authority."""


class Reservation:
    """Claims that are in use until they are released, once."""

    __slots__ = ('claims', 'open')

    def __init__(self, claims: tuple[Claim, ...]):
        """Start open."""
        self.claims = claims
        self.open = True


HasAuthority: TypeAlias = Callable[[timedelta], bool]
"""Tells whether shares may be used at a reading of the monotonic clock."""

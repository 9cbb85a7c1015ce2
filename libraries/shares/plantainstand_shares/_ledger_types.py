"""Arguments and results of the share ledger."""

from collections.abc import Callable
from datetime import timedelta
from enum import Enum
from typing import NamedTuple, TypeAlias

from plantainstand_core import LogIndex, ResourceId

from plantainstand_shares._commands import Amount


class ReleasedShare(NamedTuple):
    """A lowered share whose use has fallen to the new value."""

    resource: ResourceId
    version: LogIndex
    """Version of the share that the VM no longer exceeds."""


class Claim(NamedTuple):
    """Requested amount of one resource in a reservation."""

    resource: ResourceId
    amount: Amount = 1
    charged_on_release: bool = False
    """Whether a rate is charged on release instead of on reservation.

    Release then charges only the amount that was used. This is meant for
    response bytes, which are sent at the end of a request. Counts ignore it.
    """


class ShortageReason(Enum):
    """Why nothing was reserved."""

    NO_AUTHORITY = 'no_authority'
    """The VM has no authority to use its shares now."""

    SHARE_TOO_SMALL = 'share_too_small'
    """The amount is above the whole share, so waiting does not help."""

    IN_USE = 'in_use'
    """The unused part of the share is too small now."""

    PACED = 'paced'
    """The target's warm-up or growth limit is reached."""


class Shortage(NamedTuple):
    """Reason for which a reservation failed."""

    reason: ShortageReason
    resource: ResourceId | None
    """Resource of the first claim that does not fit; None without authority."""


class Reservation:
    """Claims that are in use until they are released once."""

    __slots__ = ('claims', 'open')

    def __init__(self, claims: tuple[Claim, ...]):
        """Create an open reservation."""
        self.claims = claims
        self.open = True


HasAuthority: TypeAlias = Callable[[timedelta], bool]
"""Returns whether shares may be used at a monotonic clock reading."""

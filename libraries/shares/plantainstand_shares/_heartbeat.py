"""Messages between a VM and the leader."""

from dataclasses import dataclass
from enum import Enum

from plantainstand_core import LogIndex

from plantainstand_shares._ledger_types import ReleasedShare
from plantainstand_shares._view import VmIncarnation


class HeartbeatStatus(Enum):
    """Result of a heartbeat."""

    SUPPORTED = 'supported'
    NO_QUORUM = 'no_quorum'
    """The leader is not sure to be the leader still, or not ready yet."""

    UNKNOWN_INCARNATION = 'unknown_incarnation'
    """The incarnation is not registered, has ended or is being reclaimed."""


@dataclass(frozen=True)
class Heartbeat:
    """What a VM tells the leader every half second."""

    sender: VmIncarnation
    applied_index: LogIndex
    released: tuple[ReleasedShare, ...] = ()
    """Shares whose use has fallen to the present value."""

    revoked: frozenset[VmIncarnation] = frozenset()
    """Peers that it no longer gives zone support."""

    drained: bool = False
    """It is leaving, has nothing in flight and starts nothing more."""


@dataclass(frozen=True)
class HeartbeatAnswer:
    """What the leader answers."""

    status: HeartbeatStatus
    revoke: frozenset[VmIncarnation] = frozenset()
    """Peers that the VM must no longer give zone support."""

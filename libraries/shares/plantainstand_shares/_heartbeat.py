"""Heartbeat messages between a VM and the leader."""

from dataclasses import dataclass
from enum import Enum

from plantainstand_core import LogIndex

from plantainstand_shares._ledger_types import ReleasedShare
from plantainstand_shares._view import VmIncarnation


class HeartbeatStatus(Enum):
    """Result of a heartbeat."""

    SUPPORTED = 'supported'
    NO_QUORUM = 'no_quorum'
    """The leader has no recent contact with a majority, or is not ready."""

    UNKNOWN_INCARNATION = 'unknown_incarnation'
    """The incarnation is not registered, has ended or is being reclaimed."""


@dataclass(frozen=True)
class Heartbeat:
    """Message that a VM sends to the leader every half second."""

    sender: VmIncarnation
    applied_index: LogIndex
    released: tuple[ReleasedShare, ...] = ()
    """Lowered shares whose use has fallen to the new value."""

    revoked: frozenset[VmIncarnation] = frozenset()
    """Peers to which the sender no longer gives zone support."""

    drained: bool = False
    """The sender is leaving, has no work in flight and starts no more."""


@dataclass(frozen=True)
class HeartbeatAnswer:
    """Answer of the leader to a heartbeat."""

    status: HeartbeatStatus
    revoke: frozenset[VmIncarnation] = frozenset()
    """Peers to which the VM must no longer give zone support."""

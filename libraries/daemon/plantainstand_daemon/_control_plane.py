"""Control plane of this VM: voter with leader duties, or follower."""

from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from plantainstand_consensus import LogReplica
from plantainstand_protocol import ChannelPool
from plantainstand_shares import SupportTiming
from plantainstand_storage import StorageProblem
from result import Err, Ok, Result

from plantainstand_daemon._control_service import (
    ConsensusService,
    ControlService,
)
from plantainstand_daemon._control_state import ControlState
from plantainstand_daemon._follow import Follower
from plantainstand_daemon._instruments import Instruments
from plantainstand_daemon._leader import Leader
from plantainstand_daemon._settings import DaemonSettings
from plantainstand_daemon._voter import open_replica


@dataclass(frozen=True)
class VoterComponents:
    """Components that only a voter has."""

    replica: LogReplica
    leader: Leader
    services: Sequence[ConsensusService | ControlService]


@dataclass(frozen=True)
class ControlPlane:
    """Control state of this VM, and the voter or follower that updates it."""

    state: ControlState
    voter: VoterComponents | None
    follower: Follower | None


def build_control_plane(
    settings: DaemonSettings,
    channels: ChannelPool,
    instruments: Instruments,
    timing: SupportTiming,
) -> Result[ControlPlane, StorageProblem]:
    """Open the voter's data folder, or create a follower of the voters."""
    state = ControlState()
    if not settings.is_voter or settings.data_folder is None:
        follower = Follower(settings.vm, settings.voters, state, instruments)
        return Ok(ControlPlane(state, None, follower))
    opened = open_replica(
        settings.vm,
        Path(settings.data_folder),
        settings.voters,
        state,
        channels,
        instruments,
    )
    if isinstance(opened, Err):
        return opened
    replica = opened.ok_value
    leader = Leader(replica, state, instruments, timing)
    services = (
        ConsensusService(replica),
        ControlService(replica, state, leader, instruments),
    )
    return Ok(
        ControlPlane(state, VoterComponents(replica, leader, services), None)
    )

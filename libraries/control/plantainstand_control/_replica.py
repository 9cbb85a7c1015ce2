"""Opens the data folder and keeps a replica of the log running on it."""

import asyncio
from collections.abc import Callable, Sequence
from datetime import timedelta

import msgspec
import structlog
from plantainstand_consensus import (
    LogLimits,
    LogReplica,
    ReplicaOptions,
    ReplicaStatus,
    StateMachine,
    Transport,
    VoterStorage,
    format_voter,
    limits_for,
    open_voter,
)
from plantainstand_core import VmId
from plantainstand_storage import StorageProblem, StorageProblemKind
from result import Err, Result

from plantainstand_control._settings import ControlSettings
from plantainstand_control._voter_set import VoterSetGaps, describe_voter_set

_log = structlog.get_logger()

REOPEN_DELAY = timedelta(milliseconds=500)
"""Delay before a failed disk is opened again. A full disk, for instance, may
have free space again."""

MAX_FOUNDING_MEMBERS = 3
"""Number of seeds that found the log. All VMs have the same list of seeds."""


class ReplicaRunner:
    """Runs a replica, and a new one on the same disk after each failure."""

    def __init__(
        self,
        settings: ControlSettings,
        create_state_machine: Callable[[], StateMachine],
        transport: Transport,
    ):
        """Keep what a replica is built from.

        ``create_state_machine`` is called for each replica, and returns an
        empty state machine.
        """
        self._settings = settings
        self._create_state_machine = create_state_machine
        self._transport = transport
        self._replica: LogReplica | None = None
        self._logged_description = ''
        self._logged_voter_set = VoterSetGaps()
        self._limits = limits_for(settings.memory_bytes, settings.disk_bytes)

    @property
    def limits(self) -> LogLimits:
        """Limits on the bytes of the log."""
        return self._limits

    @property
    def replica(self) -> LogReplica | None:
        """The running replica; None while the disk cannot be used."""
        return self._replica

    @property
    def status(self) -> ReplicaStatus | None:
        """Status of the running replica, if there is one."""
        return None if self._replica is None else self._replica.status()

    @property
    def leader(self) -> VmId | None:
        """VM that leads the log, if known."""
        status = self.status
        return None if status is None else status.leader

    async def run(self) -> None:
        """Run replicas until cancelled; reopen the disk after a failure."""
        while True:
            opened = self._open()
            if isinstance(opened, Err):
                _log.error(
                    'data folder could not be opened',
                    problem=str(opened.err_value),
                )
            else:
                await self._run_replica(opened.ok_value)
            await asyncio.sleep(REOPEN_DELAY.total_seconds())

    def replace_peers(self, peers: Sequence[VmId]) -> None:
        """Set the VMs to send join requests to."""
        if self._replica is not None:
            self._replica.replace_peers(peers)

    def log_status_changes(self) -> None:
        """Log what has changed of the role, the leader and the voter set."""
        status = self.status
        if status is None:
            return
        self._log_voter_set(status)
        voters = [voter.vm for voter in status.voters]
        description = f'{status.role} {status.term} {status.leader} {voters}'
        if description != self._logged_description:
            self._logged_description = description
            _log.info(
                'replica status changed',
                role=status.role.value,
                term=status.term,
                leader=status.leader,
                disk=status.node.disk,
                voters=voters,
                members=list(status.members),
                applied_index=status.applied_index,
                last_index=status.last_index,
            )

    def _log_voter_set(self, status: ReplicaStatus) -> None:
        """Log on the leader which disks the voter set lacks, and why."""
        gaps = describe_voter_set(status)
        if gaps == self._logged_voter_set:
            return
        self._logged_voter_set = gaps
        if status.has_quorum_contact:
            _log.info(
                'voter set checked',
                **msgspec.to_builtins(gaps),
                missing_entries={
                    learner.node.vm: learner.missing_entries
                    for learner in status.learners
                },
                commit_index=status.commit_index,
            )

    async def _run_replica(self, storage: VoterStorage) -> None:
        replica = LogReplica(
            storage,
            self._create_state_machine(),
            self._transport,
            ReplicaOptions(
                peers=self._settings.seeds,
                snapshot_interval_entries=2_000,
                retained_entries=500,
                limits=self._limits,
            ),
        )
        self._replica = replica
        try:
            await replica.run()
        finally:
            self._replica = None
        _log.error('replica stopped', problem=str(replica.status().problem))

    def _open(self) -> Result[VoterStorage, StorageProblem]:
        settings = self._settings
        folder = settings.data_folder
        founding_members = tuple(settings.seeds[:MAX_FOUNDING_MEMBERS])
        if settings.bootstrap and settings.vm in founding_members:
            formatted = format_voter(folder, settings.vm, founding_members)
            if isinstance(formatted, Err) and not _is_formatted_already(
                formatted
            ):
                return formatted
        return open_voter(
            folder, settings.vm, segment_bytes=self._limits.segment_bytes
        )


def _is_formatted_already(formatted: Err[StorageProblem]) -> bool:
    """Return whether the folder was already formatted for the log."""
    return formatted.err_value.kind is StorageProblemKind.NOT_EMPTY

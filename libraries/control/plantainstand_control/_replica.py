"""Opens the replica's disk and keeps the replica running."""

import asyncio
from collections.abc import Callable, Sequence
from datetime import timedelta

import structlog
from plantainstand_consensus import (
    LogReplica,
    ReplicaOptions,
    ReplicaStatus,
    StateMachine,
    Transport,
    VoterStorage,
    format_voter,
    open_voter,
)
from plantainstand_core import VmId
from plantainstand_storage import StorageProblem, StorageProblemKind
from result import Err, Result

from plantainstand_control._settings import ControlSettings

_log = structlog.get_logger()

REOPEN_PAUSE = timedelta(milliseconds=500)
"""Pause before a failed disk is opened again; a full disk may get room."""

MAX_FOUNDERS = 3
"""VMs that found the log: the seeds, which all VMs are told alike."""


class ReplicaRunner:
    """Runs one replica after another on the same disk."""

    def __init__(
        self,
        settings: ControlSettings,
        new_state: Callable[[], StateMachine],
        transport: Transport,
    ):
        """``new_state`` makes an empty state machine for each opening."""
        self._settings = settings
        self._new_state = new_state
        self._transport = transport
        self._replica: LogReplica | None = None
        self._described = ''

    @property
    def replica(self) -> LogReplica | None:
        """The running replica, if the disk could be opened."""
        return self._replica

    @property
    def status(self) -> ReplicaStatus | None:
        """State of the running replica."""
        return None if self._replica is None else self._replica.status()

    @property
    def leader(self) -> VmId | None:
        """VM that leads the log, if one is known."""
        status = self.status
        return None if status is None else status.leader

    async def run(self) -> None:
        """Run until cancelled."""
        while True:
            opened = self._open()
            if isinstance(opened, Err):
                _log.error('disk unusable', problem=str(opened.err_value))
            else:
                await self._run_replica(opened.ok_value)
            await asyncio.sleep(REOPEN_PAUSE.total_seconds())

    def replace_peers(self, peers: Sequence[VmId]) -> None:
        """Set the VMs to ask for admission."""
        if self._replica is not None:
            self._replica.replace_peers(peers)

    def log_changes(self) -> None:
        """Write a line when role, leader or voters changed."""
        status = self.status
        if status is None:
            return
        voters = [voter.vm for voter in status.voters]
        described = f'{status.role} {status.term} {status.leader} {voters}'
        if described != self._described:
            self._described = described
            _log.info(
                'replica changed',
                role=status.role.value,
                term=status.term,
                leader=status.leader,
                voters=voters,
                members=list(status.members),
                applied_index=status.applied_index,
            )

    async def _run_replica(self, storage: VoterStorage) -> None:
        replica = LogReplica(
            storage,
            self._new_state(),
            self._transport,
            ReplicaOptions(
                peers=self._settings.seeds,
                snapshot_interval_entries=2_000,
                retained_entries=500,
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
        founders = tuple(settings.seeds[:MAX_FOUNDERS])
        if settings.bootstrap and settings.vm in founders:
            formatted = format_voter(folder, settings.vm, founders)
            if isinstance(formatted, Err) and not _is_known(formatted):
                return formatted
        return open_voter(folder, settings.vm)


def _is_known(formatted: Err[StorageProblem]) -> bool:
    """Tell whether the disk belongs to the log already."""
    return formatted.err_value.kind is StorageProblemKind.NOT_EMPTY

"""Delays changes while too few disks hold the log."""

import asyncio
from collections.abc import Awaitable, Callable, Collection
from datetime import timedelta

import structlog
from plantainstand_consensus import ReplicaStatus
from plantainstand_core import Clock, VmId

_log = structlog.get_logger()

POLL_INTERVAL = timedelta(milliseconds=20)
"""Interval at which a change that waits looks for further voters."""

MAX_DELAY = timedelta(milliseconds=700)
"""Longest wait of one change, less than the operator's client waits."""

MAX_LACK = timedelta(seconds=3)
"""Time after which changes are accepted with fewer voters: a VM whose disk
cannot join must not keep the operator out."""


class VoterGuard:
    """Knows whether the tolerated losses leave what is acknowledged.

    A log is founded by fewer VMs than it needs in the end. Until the others
    have a vote, the tolerated losses may take a majority of the voters, and
    with it all that was acknowledged.
    """

    def __init__(
        self,
        status: Callable[[], ReplicaStatus | None],
        live_vms: Callable[[], Collection[VmId]],
        tolerated_losses: int,
        clock: Clock,
    ):
        """``live_vms`` returns the control VMs that could be voters."""
        self._status = status
        self._live_vms = live_vms
        self._wanted = 2 * tolerated_losses + 1
        self._clock = clock
        self._lacking_since: timedelta | None = None

    async def wait(self) -> bool:
        """Wait for voters; return whether a change may be executed now."""
        latest = self._clock.monotonic() + MAX_DELAY
        while not self._may_execute():
            if self._clock.monotonic() > latest:
                return False
            await asyncio.sleep(POLL_INTERVAL.total_seconds())
        return True

    def _may_execute(self) -> bool:
        status = self._status()
        if status is None:
            return False
        voter_count = len({voter.vm for voter in status.voters})
        wanted = min(self._wanted, len(self._live_vms()))
        if voter_count >= wanted:
            self._lacking_since = None
            return True
        now = self._clock.monotonic()
        if self._lacking_since is None:
            _log.info('too few voters', voters=voter_count, wanted=wanted)
            self._lacking_since = now
        return now - self._lacking_since > MAX_LACK


def prepare_change(
    begin_term: Callable[[], Awaitable[None]], guard: VoterGuard
) -> Callable[[], Awaitable[bool]]:
    """Return what a leader does before a change; it tells if the change may
    be executed."""

    async def prepare() -> bool:
        await begin_term()
        return await guard.wait()

    return prepare

"""Duties of the VM that leads the log."""

import asyncio
import contextlib
from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from datetime import timedelta

import structlog
from plantainstand_catalogue import DrainSubjectKind
from plantainstand_consensus import LogReplica, ReplicaStatus, Role
from plantainstand_core import LogIndex, Term, VmId
from plantainstand_records import Forget
from plantainstand_records import encode_command as encode_record_command
from plantainstand_shares import (
    Accepted,
    AnyCommand,
    Heartbeat,
    HeartbeatAnswer,
    HeartbeatStatus,
    MarkLeaving,
    ReclaimVm,
    Refused,
    SetLongestDeadline,
    SetShares,
    SharePlanner,
    SupportGrantor,
    SupportTiming,
    VmIncarnation,
    VmState,
    decode_outcome,
    encode_command,
    heartbeat_commands,
)
from result import Err

from plantainstand_daemon._control_state import (
    CommandKind,
    ControlState,
    ControlView,
    wrap_command,
)
from plantainstand_daemon._demands import build_demands
from plantainstand_daemon._instruments import Instruments

_log = structlog.get_logger()

_STEP_INTERVAL = timedelta(milliseconds=200)
_PROPOSE_TIMEOUT = timedelta(seconds=3)
_FORGET_INTERVAL = timedelta(minutes=10)
# Keeps one entry small when many resources change at once.
_CHANGES_PER_COMMAND = 256


@dataclass(frozen=True)
class VmProgress:
    """What the leader knows of one entry VM."""

    applied_index: LogIndex
    in_flight: int
    heard_at: timedelta


class Leader:
    """Gives support, plans shares and reclaims them while this VM leads."""

    def __init__(
        self,
        replica: LogReplica,
        state: ControlState,
        instruments: Instruments,
        timing: SupportTiming,
    ) -> None:
        """Act on ``state`` through ``replica``."""
        self._replica = replica
        self._state = state
        self._clock = instruments.clock
        self._metrics = instruments.metrics
        self._timing = timing
        self._grantor: SupportGrantor | None = None
        self._term: Term | None = None
        self._wake = asyncio.Event()
        self._forget_due = self._clock.monotonic()
        self._terminated: frozenset[VmId] = frozenset()
        self._progress: dict[VmIncarnation, VmProgress] = {}
        self._requested: set[AnyCommand] = set()
        self._deadline_ms: int | None = None
        # View for which the planner had nothing to do.
        self._settled_view: ControlView | None = None
        self._planner = SharePlanner()
        state.add_listener(self._wake.set)

    @property
    def progress(self) -> dict[VmIncarnation, VmProgress]:
        """Last heartbeat of each VM."""
        return self._progress

    @property
    def is_active(self) -> bool:
        """Whether this VM leads and has applied its own term's first entry."""
        return self._grantor is not None

    async def run(self) -> None:
        """Work until cancelled."""
        while True:  # noqa: WPS457
            await self._step(self._replica.status())
            self._wake.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(
                    self._wake.wait(),
                    _STEP_INTERVAL.total_seconds(),
                )

    def note_terminated(self, vms: Iterable[VmId]) -> None:
        """Take the VMs that the platform's list calls terminated."""
        self._terminated |= frozenset(vms)

    def answer(self, heartbeat: Heartbeat, in_flight: int) -> HeartbeatAnswer:
        """Give or refuse support."""
        grantor = self._grantor
        # Asked at this moment, because a leader that is cut off must stop to
        # give support within the tenure.
        if grantor is None or not self._replica.status().has_quorum_contact:
            return HeartbeatAnswer(HeartbeatStatus.NO_QUORUM)
        now = self._clock.monotonic()
        # A VM that has just registered must not be told that it is unknown.
        grantor.apply(self._state.view().shares)
        grantor.record_quorum(now)
        answer = grantor.answer(heartbeat)
        self._progress[heartbeat.sender] = VmProgress(
            heartbeat.applied_index,
            in_flight,
            now,
        )
        asked = heartbeat_commands(heartbeat, self._state.view().shares)
        if asked:
            self._requested.update(asked)
            self._wake.set()
        return answer

    async def _step(self, status: ReplicaStatus) -> None:
        if status.role is not Role.LEADER:
            self._resign()
            return
        if self._term != status.term:
            await self._take_over(status.term)
        if self._grantor is None:
            return
        view = self._state.view()
        self._grantor.apply(view.shares)
        self._grantor.record_terminated(self._terminated)
        await self._propose_all(self._due_commands(view))
        await self._reclaim(self._grantor)
        await self._plan(self._state.view())
        await self._forget()

    async def _take_over(self, term: Term) -> None:
        # The barrier makes sure that every change acknowledged by earlier
        # leaders is applied before this one decides anything.
        barrier = await self._replica.read_barrier(_PROPOSE_TIMEOUT)
        if isinstance(barrier, Err):
            return
        self._term = term
        self._progress = {}
        self._requested = set()
        self._deadline_ms = None
        self._grantor = SupportGrantor(self._clock, self._timing)
        self._metrics.gauge('leader', 1)
        _log.info('leading', term=term)

    def _resign(self) -> None:
        if self._grantor is not None:
            _log.info('no longer leading', term=self._term)
        self._grantor = None
        self._term = None
        self._metrics.gauge('leader', 0)

    def _due_commands(self, view: ControlView) -> Sequence[AnyCommand]:
        requested = tuple(self._requested)
        self._requested.clear()
        return (
            *requested,
            *self._deadline_command(view),
            *_leaving_commands(view),
        )

    def _deadline_command(
        self,
        view: ControlView,
    ) -> Iterable[SetLongestDeadline]:
        longest = max(
            (
                service.limits.deadline_ms
                for service in view.catalogue.services.values()
            ),
            default=0,
        )
        if longest != self._deadline_ms:
            self._deadline_ms = longest
            yield SetLongestDeadline(longest)

    async def _plan(self, view: ControlView) -> None:
        if view is self._settled_view:
            return
        changes = self._planner.plan(build_demands(view), view.shares)
        if not changes:
            self._settled_view = view
        for start in range(0, len(changes), _CHANGES_PER_COMMAND):
            batch = tuple(changes[start : start + _CHANGES_PER_COMMAND])
            self._metrics.count('share_changes_total', len(batch))
            await self._propose(SetShares(batch))

    async def _reclaim(self, grantor: SupportGrantor) -> None:
        for command in grantor.reclaims():
            outcome = await self._propose(command)
            if isinstance(outcome, Refused):
                grantor.record_refused_reclaim(command)
            elif isinstance(outcome, Accepted):
                self._note_reclaimed(command)

    def _note_reclaimed(self, command: ReclaimVm) -> None:
        self._metrics.count('reclaims_total')
        _log.info(
            'shares reclaimed',
            vm=command.vm,
            incarnation=command.incarnation,
        )

    async def _forget(self) -> None:
        if self._clock.monotonic() < self._forget_due:
            return
        self._forget_due = self._clock.monotonic() + _FORGET_INTERVAL
        command = encode_record_command(Forget(self._clock.wall()))
        await self._replica.propose(
            wrap_command(CommandKind.RECORDS, command),
            _PROPOSE_TIMEOUT,
        )

    async def _propose_all(self, commands: Iterable[AnyCommand]) -> None:
        await asyncio.gather(*(self._propose(command) for command in commands))

    async def _propose(self, command: AnyCommand) -> object:
        proposed = await self._replica.propose(
            wrap_command(CommandKind.SHARES, encode_command(command)),
            _PROPOSE_TIMEOUT,
        )
        if isinstance(proposed, Err):
            return None
        return decode_outcome(proposed.ok_value)


def _leaving_commands(view: ControlView) -> Iterable[MarkLeaving]:
    if not view.catalogue.drains:
        return
    for record in view.shares.registry.newest.values():
        is_live = record.is_member and record.state is VmState.LIVE
        if is_live and view.catalogue.is_draining(
            DrainSubjectKind.VM,
            record.vm,
            record.availability_zone,
        ):
            yield MarkLeaving(record.vm, record.incarnation)

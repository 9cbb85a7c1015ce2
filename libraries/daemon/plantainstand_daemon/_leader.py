"""Duties of the leader of the replicated log."""

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
# Bounds the size of one log entry when many resources change at once.
_MAX_CHANGES_PER_COMMAND = 256


@dataclass(frozen=True)
class LastHeartbeat:
    """Last heartbeat of an entry VM, with the monotonic time of receipt."""

    applied_index: LogIndex
    in_flight: int
    received_at: timedelta


class Leader:
    """Grants support, plans shares and reclaims them while this VM leads."""

    def __init__(
        self,
        replica: LogReplica,
        state: ControlState,
        instruments: Instruments,
        timing: SupportTiming,
    ) -> None:
        """Read ``state`` and propose commands through ``replica``."""
        self._replica = replica
        self._state = state
        self._clock = instruments.clock
        self._metrics = instruments.metrics
        self._timing = timing
        self._grantor: SupportGrantor | None = None
        self._term: Term | None = None
        self._wake = asyncio.Event()
        self._forget_due_at = self._clock.monotonic()
        self._terminated: frozenset[VmId] = frozenset()
        self._last_heartbeats: dict[VmIncarnation, LastHeartbeat] = {}
        self._requested_commands: set[AnyCommand] = set()
        self._proposed_deadline_ms: int | None = None
        # View for which the planner returned no changes.
        self._settled_view: ControlView | None = None
        self._planner = SharePlanner()
        state.add_listener(self._wake.set)

    @property
    def last_heartbeats(self) -> dict[VmIncarnation, LastHeartbeat]:
        """Last heartbeat of each VM in the current term."""
        return self._last_heartbeats

    @property
    def is_active(self) -> bool:
        """Whether this VM leads and has applied its own term's first entry."""
        return self._grantor is not None and self._is_same_term()

    async def run(self) -> None:
        """Perform the leader's duties until cancelled, while this VM leads."""
        while True:  # noqa: WPS457
            await self._step(self._replica.status())
            self._wake.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(
                    self._wake.wait(),
                    _STEP_INTERVAL.total_seconds(),
                )

    def record_terminated(self, vms: Iterable[VmId]) -> None:
        """Record the VMs that the platform lists as terminated."""
        self._terminated |= frozenset(vms)

    def answer(self, heartbeat: Heartbeat, in_flight: int) -> HeartbeatAnswer:
        """Grant or refuse support to the sender of a heartbeat."""
        grantor = self._grantor
        # Checked for each heartbeat, because a leader without quorum contact
        # must stop granting support within the quorum contact timeout.
        if grantor is None or not (
            self._is_same_term() and self._replica.status().has_quorum_contact
        ):
            return HeartbeatAnswer(HeartbeatStatus.NO_QUORUM)
        now = self._clock.monotonic()
        # Without the current view, a VM that has just registered would be
        # refused as unknown.
        grantor.apply(self._state.view().shares)
        grantor.record_quorum(now)
        answer = grantor.answer(heartbeat)
        self._last_heartbeats[heartbeat.sender] = LastHeartbeat(
            heartbeat.applied_index,
            in_flight,
            now,
        )
        commands = heartbeat_commands(heartbeat, self._state.view().shares)
        if commands:
            self._requested_commands.update(commands)
            self._wake.set()
        return answer

    async def _step(self, status: ReplicaStatus) -> None:
        if status.role is not Role.LEADER:
            self._stop_leading()
            return
        if self._term != status.term:
            await self._start_leading(status.term)
        if self._grantor is None:
            return
        view = self._state.view()
        self._grantor.apply(view.shares)
        self._grantor.record_terminated(self._terminated)
        await self._propose_all(self._due_commands(view))
        await self._reclaim(self._grantor)
        await self._plan(self._state.view())
        await self._forget_expired_records()

    async def _start_leading(self, term: Term) -> None:
        # After the read barrier, every change that earlier leaders acknowledged
        # is applied, so this leader's decisions are based on all of them.
        barrier = await self._replica.read_barrier(_PROPOSE_TIMEOUT)
        if isinstance(barrier, Err):
            return
        self._term = term
        self._last_heartbeats = {}
        self._requested_commands = set()
        self._proposed_deadline_ms = None
        self._grantor = SupportGrantor(self._clock, self._timing)
        self._metrics.gauge('leader', 1)
        _log.info('became leader', term=term)

    def _stop_leading(self) -> None:
        if self._grantor is not None:
            _log.info('lost leadership', term=self._term)
        self._grantor = None
        self._term = None
        self._metrics.gauge('leader', 0)

    def _due_commands(self, view: ControlView) -> Sequence[AnyCommand]:
        requested = tuple(self._requested_commands)
        self._requested_commands.clear()
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
        if longest != self._proposed_deadline_ms:
            self._proposed_deadline_ms = longest
            yield SetLongestDeadline(longest)

    async def _plan(self, view: ControlView) -> None:
        if view is self._settled_view:
            return
        changes = self._planner.plan(build_demands(view), view.shares)
        if not changes:
            self._settled_view = view
        for start in range(0, len(changes), _MAX_CHANGES_PER_COMMAND):
            batch = tuple(changes[start : start + _MAX_CHANGES_PER_COMMAND])
            self._metrics.count('share_changes_total', len(batch))
            await self._propose(SetShares(batch))

    async def _reclaim(self, grantor: SupportGrantor) -> None:
        for command in grantor.reclaims():
            outcome = await self._propose(command)
            if isinstance(outcome, Refused):
                grantor.record_refused_reclaim(command)
            elif isinstance(outcome, Accepted):
                self._report_reclaim(command)

    def _report_reclaim(self, command: ReclaimVm) -> None:
        self._metrics.count('reclaims_total')
        _log.info(
            'shares reclaimed',
            vm=command.vm,
            incarnation=command.incarnation,
        )

    async def _forget_expired_records(self) -> None:
        if self._clock.monotonic() < self._forget_due_at:
            return
        self._forget_due_at = self._clock.monotonic() + _FORGET_INTERVAL
        command = encode_record_command(Forget(self._clock.wall()))
        await self._replica.propose(
            wrap_command(CommandKind.RECORDS, command),
            _PROPOSE_TIMEOUT,
        )

    async def _propose_all(self, commands: Iterable[AnyCommand]) -> None:
        await asyncio.gather(*(self._propose(command) for command in commands))

    def _is_same_term(self) -> bool:
        """Return whether this VM still leads in the term of its decisions.

        Others may have led meanwhile, and this VM may lead again.
        """
        status = self._replica.status()
        return status.role is Role.LEADER and status.term == self._term

    async def _propose(self, command: AnyCommand) -> object:
        if not self._is_same_term():
            return None
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

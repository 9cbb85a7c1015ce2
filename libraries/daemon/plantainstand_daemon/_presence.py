"""Registration, heartbeats and departure of this VM."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

import structlog
from plantainstand_catalogue import DrainSubjectKind
from plantainstand_core import Incarnation, LogIndex
from plantainstand_protocol.steering_pb2 import (
    HeartbeatReply,
    HeartbeatRequest,
    ReleasedShare,
)
from plantainstand_shares import (
    AnyCommand,
    MarkLeaving,
    RegisterVm,
    SupportTiming,
    VmRecord,
    VmState,
    encode_command,
)
from result import Err

from plantainstand_daemon._activity import Activity
from plantainstand_daemon._control_client import ControlClient
from plantainstand_daemon._control_messages import decode_vm, encode_vm
from plantainstand_daemon._control_state import (
    CommandKind,
    ControlState,
    ControlView,
    wrap_command,
)
from plantainstand_daemon._follow import Follower
from plantainstand_daemon._holding import (
    IncarnationState,
    create_incarnation_state,
    new_incarnation,
)
from plantainstand_daemon._instruments import Instruments
from plantainstand_daemon._leaving import Leaving
from plantainstand_daemon._settings import DaemonSettings
from plantainstand_daemon._tasks import pause

_log = structlog.get_logger()

HEARTBEAT_INTERVAL = timedelta(milliseconds=500)
_PROPOSE_TIMEOUT = timedelta(seconds=3)
_POLL_INTERVAL = timedelta(milliseconds=100)


class PresenceState(Enum):
    """How far this VM is on its way in or out."""

    JOINING = 'joining'
    SERVING = 'serving'
    LEAVING = 'leaving'
    """Not named to callers any more, still serves."""

    CLOSING = 'closing'
    """Refuses new requests; those in progress go on."""

    DEPARTED = 'departed'


@dataclass(frozen=True)
class PresencePort:
    """What the presence of a VM reads from the rest of the daemon."""

    state: ControlState
    control: ControlClient
    activity: Activity
    unrecorded: Callable[[], int]
    """Outcomes of requests that are still on their way to the log."""

    follower: Follower | None


class Presence:
    """Keeps this VM registered and supported; owned by the event loop."""

    def __init__(
        self,
        settings: DaemonSettings,
        port: PresencePort,
        instruments: Instruments,
        on_change: Callable[[], None],
    ) -> None:
        """Call ``on_change`` when the holding is replaced or state changes."""
        self._settings = settings
        self._port = port
        self._clock = instruments.clock
        self._metrics = instruments.metrics
        self._on_change = on_change
        self._timing = SupportTiming(
            sole_member_grace=timedelta(seconds=settings.sole_member_grace_s),
        )
        self._status = PresenceState.JOINING
        self._leaving = Leaving()
        self._stopping = False
        self._holding = self._new_holding(Incarnation(0))

    @property
    def holding(self) -> IncarnationState:
        """Shares and authority of the present incarnation."""
        return self._holding

    @property
    def status(self) -> PresenceState:
        """How far this VM is on its way in or out."""
        return self._status

    async def run(self) -> None:
        """Register, and send heartbeats until cancelled."""
        while True:  # noqa: WPS457
            await self._step()
            self._metrics.gauge(
                'has_authority',
                int(self._holding.support.has_authority()),
            )
            await pause(HEARTBEAT_INTERVAL)

    async def leave(self, limit: timedelta) -> bool:
        """Leave gracefully; false if ``limit`` passed before the departure."""
        self._stopping = True
        deadline = self._clock.monotonic() + limit
        while self._clock.monotonic() < deadline:
            if self._status is PresenceState.DEPARTED:
                return True
            if self._leaving.is_abandoned(self._clock.monotonic()):
                return False
            await pause(_POLL_INTERVAL)
        return False

    async def _step(self) -> None:
        view = self._port.state.view()
        self._holding.apply(view.shares, self._clock.monotonic())
        record = view.shares.registry.records.get(self._holding.key)
        if record is None:
            await self._register(view)
            return
        if self._must_start_anew(record, view):
            newest = view.shares.registry.newest[record.vm].incarnation
            self._holding = self._new_holding(newest)
            self._port.activity.open()
            self._change(PresenceState.JOINING)
            return
        await self._update_leaving(record)
        await self._heartbeat()

    def _new_holding(self, newest: Incarnation) -> IncarnationState:
        return create_incarnation_state(
            self._settings.vm,
            new_incarnation(self._clock, newest),
            self._clock,
            self._timing,
        )

    def _must_start_anew(self, record: VmRecord, view: ControlView) -> bool:
        if self._stopping:
            return False
        if self._holding.support.needs_new_incarnation:
            return True
        has_left = record.ended_at is not None
        return has_left and not self._is_drained(view)

    def _is_drained(self, view: ControlView) -> bool:
        return view.catalogue.is_draining(
            DrainSubjectKind.VM,
            self._settings.vm,
            self._settings.availability_zone,
        )

    async def _register(self, view: ControlView) -> None:
        if self._stopping or self._is_drained(view):
            self._change(PresenceState.DEPARTED)
            return
        newest = view.shares.registry.newest.get(self._settings.vm)
        if newest and newest.incarnation >= self._holding.key.incarnation:
            self._holding = self._new_holding(newest.incarnation)
        settings = self._settings
        await self._propose(
            RegisterVm(
                settings.vm,
                self._holding.key.incarnation,
                settings.availability_zone,
                settings.region,
                settings.http.host,
                settings.http.port,
                settings.rpc.port,
            ),
        )

    async def _update_leaving(self, record: VmRecord) -> None:
        if record.ended_at:
            self._change(PresenceState.DEPARTED)
        elif record.state is VmState.LEAVING or self._stopping:
            if record.state is VmState.LIVE:
                command = MarkLeaving(record.vm, record.incarnation)
                await self._propose(command)
            self._start_leaving()
            self._advance_leaving()
        else:
            self._change(PresenceState.SERVING)

    def _start_leaving(self) -> None:
        self._leaving.start(self._clock.monotonic())
        if self._status is not PresenceState.CLOSING:
            self._change(PresenceState.LEAVING)

    def _advance_leaving(self) -> None:
        now = self._clock.monotonic()
        if not self._leaving.may_close(now):
            return
        self._change(PresenceState.CLOSING)
        self._port.activity.close()
        if self._is_idle():
            self._holding.ledger.close()
            self._holding.zone_support.close()
            self._leaving.note_idle(now)

    def _is_idle(self) -> bool:
        return not (self._port.activity.in_flight or self._port.unrecorded())

    async def _heartbeat(self) -> None:
        holding = self._holding
        now = self._clock.monotonic()
        request = HeartbeatRequest(
            sender=encode_vm(holding.key),
            applied_index=self._port.state.index,
            released=[
                ReleasedShare(
                    resource=released.resource,
                    version=released.version,
                )
                for released in holding.ledger.released_shares(now)
            ],
            revoked=[encode_vm(key) for key in holding.zone_support.revoked],
            drained=holding.ledger.is_drained(now),
            in_flight=self._port.activity.in_flight,
        )
        sent_at = holding.support.now()
        called = await self._port.control.heartbeat(request)
        if isinstance(called, Err):
            self._metrics.count(
                'heartbeat_failures_total',
                reason=called.err_value.failure.value,
            )
        else:
            self._take_reply(holding, called.ok_value, sent_at)

    def _take_reply(
        self,
        holding: IncarnationState,
        reply: HeartbeatReply,
        sent_at: timedelta,
    ) -> None:
        holding.zone_support.revoke(decode_vm(key) for key in reply.revoke)
        if reply.status == HeartbeatReply.SUPPORTED:
            holding.support.record_leader_support(sent_at)
            if self._port.follower is not None:
                self._port.follower.note_commit(
                    LogIndex(reply.commit_index),
                )
            return
        if reply.status == HeartbeatReply.UNKNOWN_INCARNATION:
            holding.support.record_leader_refusal()
        self._metrics.count(
            'heartbeat_failures_total',
            reason=HeartbeatReply.Status.Name(reply.status),
        )

    async def _propose(self, command: AnyCommand) -> None:
        await self._port.control.propose(
            wrap_command(CommandKind.SHARES, encode_command(command)),
            _PROPOSE_TIMEOUT,
        )

    def _change(self, status: PresenceState) -> None:
        if status is self._status:
            return
        if status in {PresenceState.JOINING, PresenceState.SERVING}:
            self._leaving.reset()
        _log.info('presence changed', status=status.value)
        self._status = status
        self._on_change()

"""Registration, heartbeats and graceful departure of this VM."""

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

from plantainstand_daemon._activity import RequestTracker
from plantainstand_daemon._control_client import ControlClient
from plantainstand_daemon._control_messages import decode_vm, encode_vm
from plantainstand_daemon._control_state import (
    CommandKind,
    ControlState,
    ControlView,
    wrap_command,
)
from plantainstand_daemon._departure import Departure
from plantainstand_daemon._follow import Follower
from plantainstand_daemon._holding import (
    IncarnationState,
    create_incarnation_state,
    new_incarnation,
)
from plantainstand_daemon._instruments import Instruments
from plantainstand_daemon._settings import DaemonSettings
from plantainstand_daemon._tasks import sleep

_log = structlog.get_logger()

HEARTBEAT_INTERVAL = timedelta(milliseconds=500)
_PROPOSE_TIMEOUT = timedelta(seconds=3)
_POLL_INTERVAL = timedelta(milliseconds=100)


class PresenceState(Enum):
    """Stage of this VM between joining and departure."""

    JOINING = 'joining'
    SERVING = 'serving'
    LEAVING = 'leaving'
    """No longer listed to callers; still serves requests."""

    CLOSING = 'closing'
    """Refuses new requests; those in progress continue."""

    DEPARTED = 'departed'


@dataclass(frozen=True)
class PresencePort:
    """Components and counters that :class:`Presence` depends on."""

    state: ControlState
    control: ControlClient
    request_tracker: RequestTracker
    count_unrecorded: Callable[[], int]
    """Returns the number of outcomes not yet recorded in the log."""

    follower: Follower | None


class Presence:
    """Keeps this VM registered and supported.

    Not thread-safe: used on the event loop only.
    """

    def __init__(
        self,
        settings: DaemonSettings,
        port: PresencePort,
        instruments: Instruments,
        on_change: Callable[[], None],
    ) -> None:
        """Call ``on_change`` after each change of :attr:`status`.

        A new incarnation starts in :attr:`PresenceState.JOINING`.
        """
        self._settings = settings
        self._port = port
        self._clock = instruments.clock
        self._metrics = instruments.metrics
        self._on_change = on_change
        self._timing = SupportTiming(
            sole_member_grace=timedelta(seconds=settings.sole_member_grace_s),
        )
        self._status = PresenceState.JOINING
        self._departure = Departure()
        self._stopping = False
        self._incarnation_state = self._new_incarnation_state(Incarnation(0))

    @property
    def incarnation_state(self) -> IncarnationState:
        """Shares and authority of the current incarnation."""
        return self._incarnation_state

    @property
    def status(self) -> PresenceState:
        """Stage of this VM between joining and departure."""
        return self._status

    async def run(self) -> None:
        """Register and send heartbeats until cancelled."""
        while True:  # noqa: WPS457
            await self._step()
            self._metrics.gauge(
                'has_authority',
                int(self._incarnation_state.support.has_authority()),
            )
            await sleep(HEARTBEAT_INTERVAL)

    async def leave(self, limit: timedelta) -> bool:
        """Leave gracefully; return whether the departure was committed.

        Returns false once ``limit`` has passed, or earlier when the VM is idle
        and no leader commits its departure.
        """
        self._stopping = True
        deadline = self._clock.monotonic() + limit
        while self._clock.monotonic() < deadline:
            if self._status is PresenceState.DEPARTED:
                return True
            if self._departure.has_timed_out(self._clock.monotonic()):
                return False
            await sleep(_POLL_INTERVAL)
        return False

    async def _step(self) -> None:
        view = self._port.state.view()
        self._incarnation_state.apply(view.shares, self._clock.monotonic())
        record = view.shares.registry.records.get(self._incarnation_state.key)
        if record is None:
            await self._register(view)
            return
        if self._needs_new_incarnation(record, view):
            newest = view.shares.registry.newest[record.vm].incarnation
            self._incarnation_state = self._new_incarnation_state(newest)
            self._port.request_tracker.start_accepting()
            self._set_status(PresenceState.JOINING)
            return
        await self._update_departure(record)
        await self._heartbeat()

    def _new_incarnation_state(self, newest: Incarnation) -> IncarnationState:
        return create_incarnation_state(
            self._settings.vm,
            new_incarnation(self._clock, newest),
            self._clock,
            self._timing,
        )

    def _needs_new_incarnation(
        self, record: VmRecord, view: ControlView
    ) -> bool:
        if self._stopping:
            return False
        if self._incarnation_state.support.needs_new_incarnation:
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
            self._set_status(PresenceState.DEPARTED)
            return
        newest = view.shares.registry.newest.get(self._settings.vm)
        if (
            newest
            and newest.incarnation >= self._incarnation_state.key.incarnation
        ):
            self._incarnation_state = self._new_incarnation_state(
                newest.incarnation
            )
        settings = self._settings
        await self._propose(
            RegisterVm(
                settings.vm,
                self._incarnation_state.key.incarnation,
                settings.availability_zone,
                settings.region,
                settings.http.host,
                settings.http.port,
                settings.rpc.port,
            ),
        )

    async def _update_departure(self, record: VmRecord) -> None:
        if record.ended_at:
            self._set_status(PresenceState.DEPARTED)
        elif record.state is VmState.LEAVING or self._stopping:
            if record.state is VmState.LIVE:
                command = MarkLeaving(record.vm, record.incarnation)
                await self._propose(command)
            self._begin_departure()
            self._advance_departure()
        else:
            self._set_status(PresenceState.SERVING)

    def _begin_departure(self) -> None:
        self._departure.start(self._clock.monotonic())
        if self._status is not PresenceState.CLOSING:
            self._set_status(PresenceState.LEAVING)

    def _advance_departure(self) -> None:
        now = self._clock.monotonic()
        if not self._departure.may_refuse_requests(now):
            return
        self._set_status(PresenceState.CLOSING)
        self._port.request_tracker.stop_accepting()
        if self._is_idle():
            self._incarnation_state.ledger.close()
            self._incarnation_state.zone_support.close()
            self._departure.record_idle(now)

    def _is_idle(self) -> bool:
        return not (
            self._port.request_tracker.in_flight
            or self._port.count_unrecorded()
        )

    async def _heartbeat(self) -> None:
        incarnation_state = self._incarnation_state
        now = self._clock.monotonic()
        request = HeartbeatRequest(
            sender=encode_vm(incarnation_state.key),
            applied_index=self._port.state.index,
            released=[
                ReleasedShare(
                    resource=released.resource,
                    version=released.version,
                )
                for released in incarnation_state.ledger.released_shares(now)
            ],
            revoked=[
                encode_vm(key) for key in incarnation_state.zone_support.revoked
            ],
            drained=incarnation_state.ledger.is_drained(now),
            in_flight=self._port.request_tracker.in_flight,
        )
        sent_at = incarnation_state.support.now()
        called = await self._port.control.heartbeat(request)
        if isinstance(called, Err):
            self._metrics.count(
                'heartbeat_failures_total',
                reason=called.err_value.failure.value,
            )
        else:
            self._handle_reply(incarnation_state, called.ok_value, sent_at)

    def _handle_reply(
        self,
        incarnation_state: IncarnationState,
        reply: HeartbeatReply,
        sent_at: timedelta,
    ) -> None:
        incarnation_state.zone_support.revoke(
            decode_vm(key) for key in reply.revoke
        )
        if reply.status == HeartbeatReply.SUPPORTED:
            incarnation_state.support.record_leader_support(sent_at)
            if self._port.follower is not None:
                self._port.follower.record_commit_index(
                    LogIndex(reply.commit_index),
                )
            return
        if reply.status == HeartbeatReply.UNKNOWN_INCARNATION:
            incarnation_state.support.record_leader_refusal()
        self._metrics.count(
            'heartbeat_failures_total',
            reason=HeartbeatReply.Status.Name(reply.status),
        )

    async def _propose(self, command: AnyCommand) -> None:
        await self._port.control.propose(
            wrap_command(CommandKind.SHARES, encode_command(command)),
            _PROPOSE_TIMEOUT,
        )

    def _set_status(self, status: PresenceState) -> None:
        if status is self._status:
            return
        if status in {PresenceState.JOINING, PresenceState.SERVING}:
            self._departure.reset()
        _log.info('presence state changed', status=status.value)
        self._status = status
        self._on_change()

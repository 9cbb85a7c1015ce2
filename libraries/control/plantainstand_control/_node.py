"""The control role as a process."""

import asyncio
from collections.abc import Collection, Mapping, Sequence
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from datetime import timedelta
from http import HTTPStatus
from types import MappingProxyType

import structlog
from plantainstand_consensus import decode_message
from plantainstand_core import Clock, LogIndex, VmId
from plantainstand_desired import DesiredState, DesiredView
from plantainstand_fleet import (
    DesiredUpdate,
    EntryChanges,
    EntryReport,
    FleetMessage,
    Hello,
    ReplicaMessage,
    Roster,
    TargetListing,
    TargetUpdate,
    VmRole,
    decode_fleet_message,
    encode_fleet_message,
)
from plantainstand_http import HttpServer, Request, Response
from plantainstand_links import Link, LinkCallbacks, LinkServer, LinkTimings
from plantainstand_telemetry import Metrics
from result import Err

from plantainstand_control._directory import ClientLocation, choose_entries
from plantainstand_control._entries import EntryRegister
from plantainstand_control._members import MemberFacts, choose_members
from plantainstand_control._operator import OperatorService
from plantainstand_control._peers import Peers
from plantainstand_control._poller import (
    ListPoller,
    ListReader,
    ListReceivers,
)
from plantainstand_control._publishing import PublishingState
from plantainstand_control._replica import ReplicaRunner
from plantainstand_control._settings import ControlSettings

_log = structlog.get_logger()

SUPERVISION_INTERVAL = timedelta(milliseconds=500)
"""How often members, links and rosters are looked after."""

CHANGE_TIMEOUT = timedelta(seconds=2)
"""Longest wait for a change of the members."""

METRIC_HELP: Mapping[str, str] = MappingProxyType(
    {
        'plantainstand_control_entries': 'Entry VMs that report.',
        'plantainstand_control_peers': 'Live control VMs.',
        'plantainstand_control_applied_index': 'Newest applied log index.',
        'plantainstand_control_leading': 'Whether this VM leads the log.',
    },
)


@dataclass
class _Caller:
    """What is known of the process at the other end of an accepted link."""

    vm: VmId
    role: VmRole
    sent_through: LogIndex
    """Log index up to which its desired state is complete."""

    roster_frame: bytes = b''
    """Roster that was sent last."""

    listing: TargetListing = field(default_factory=TargetListing)
    """Targets as a control VM has read them."""


class ControlNode:
    """Owns everything that a control VM's process holds open."""

    def __init__(
        self,
        settings: ControlSettings,
        read_list: ListReader,
        clock: Clock,
    ):
        """Build the parts; :meth:`run` starts them."""
        self._settings = settings
        self._clock = clock
        self._state = DesiredState()
        self._publishing = PublishingState(self._state, self._schedule_publish)
        self._publish_scheduled = False
        self._peers = Peers(
            settings,
            clock,
            lambda: (
                *self._poller.opening_messages(),
                self._entries.all_own(),
            ),
        )
        self._replicas = ReplicaRunner(settings, self._new_state, self._peers)
        self._poller = ListPoller(
            read_list,
            lambda: self._peers.turn(self._replicas.leader),
            ListReceivers(self._publish_targets, self._peers.broadcast),
            clock,
            settings.list_calls_per_second,
        )
        self._callers: dict[Link, _Caller] = {}
        self._entries = EntryRegister(self._peers.broadcast)
        self._homes = DesiredView()
        self._metrics = Metrics(METRIC_HELP)
        self._metrics_server = HttpServer(self._answer_metrics, clock)
        self.operator = OperatorService(
            lambda: self._replicas.replica,
            lambda: self._state,
        )

    def replace_seeds(self, seeds: Collection[VmId]) -> None:
        """Use other control VMs to begin with."""
        _log.info('settings reloaded', seeds=list(seeds))
        self._peers.replace_seeds(seeds)

    def entry_addresses(
        self, host: str, client: ClientLocation
    ) -> Sequence[str]:
        """Return where a client reaches a host."""
        homes = self._homes.homes_of_host(host)
        return choose_entries(self._entries.known(), client, homes)

    async def run(self, stop: asyncio.Event) -> None:
        """Serve until ``stop`` is set."""
        async with AsyncExitStack() as stack:
            stack.callback(self._peers.close)
            events = LinkCallbacks(
                opened=lambda _link: None,
                received=self._received,
                closed=self._closed,
            )
            server = LinkServer(events, self._clock, LinkTimings())
            settings = self._settings
            await server.start(settings.vm, settings.link_port, stack)
            await self._metrics_server.start(
                settings.vm,
                settings.metrics_port,
                stack,
            )
            self._peers.adjust(())
            loop = asyncio.get_running_loop()
            for work in (self._replicas, self._poller):
                stack.callback(loop.create_task(work.run()).cancel)
            supervising = loop.create_task(self._supervise_forever())
            stack.callback(supervising.cancel)
            _log.info('control VM started', vm=settings.vm)
            await stop.wait()
        _log.info('control VM stopped', vm=self._settings.vm)

    def _new_state(self) -> PublishingState:
        # A disk that is opened again is read from its beginning.
        self._state = DesiredState()
        self._publishing = PublishingState(self._state, self._schedule_publish)
        return self._publishing

    async def _supervise_forever(self) -> None:
        while True:
            status = self._replicas.status
            members = () if status is None else status.members
            self._peers.adjust(members)
            self._replicas.replace_peers(self._peers.known)
            self._replicas.log_changes()
            self._send_rosters()
            await self._change_members()
            await asyncio.sleep(SUPERVISION_INTERVAL.total_seconds())

    async def _change_members(self) -> None:
        replica = self._replicas.replica
        status = self._replicas.status
        if replica is None or status is None or not status.formed:
            return
        if not status.has_quorum_contact:
            return
        facts = MemberFacts(
            status.members,
            {vm: place.region for vm, place in self._peers.live().items()},
            self._settings.tolerated_losses,
        )
        members = choose_members(facts)
        if set(members) == set(status.members):
            return
        outcome = await replica.change_members(members, CHANGE_TIMEOUT)
        _log.info(
            'members changed',
            before=list(status.members),
            after=list(members),
            live=sorted(facts.live),
            outcome=str(outcome),
        )

    def _send_rosters(self) -> None:
        places = self._peers.live()
        roster = Roster(
            tuple(places[vm] for vm in sorted(places)),
            len(self._entries.known()),
        )
        self._peers.broadcast(roster)
        frame = encode_fleet_message(roster)
        for link, caller in self._callers.items():
            if caller.role is VmRole.ENTRY and caller.roster_frame != frame:
                caller.roster_frame = frame
                link.send(frame)

    def _received(self, link: Link, frame: bytes) -> None:
        decoded = decode_fleet_message(frame)
        if isinstance(decoded, Err):
            _log.warning(
                'unreadable message',
                peer=link.peer_address,
                problem=decoded.err_value,
            )
            link.abort()
            return
        message = decoded.ok_value
        caller = self._callers.get(link)
        if isinstance(message, Hello):
            self._greet(link, message)
        elif caller is not None:
            self._take(link, caller, message)

    def _greet(self, link: Link, hello: Hello) -> None:
        index = LogIndex(hello.desired_index)
        caller = _Caller(hello.vm, hello.role, index)
        self._callers[link] = caller
        if hello.role is VmRole.CONTROL:
            self._peers.greeted(hello)
            return
        self._send_desired(link, caller)
        full = self._poller.full_update()
        if full is not None:
            link.send(encode_fleet_message(full))

    def _take(
        self,
        link: Link,
        caller: _Caller,
        message: FleetMessage,
    ) -> None:
        match message:
            case ReplicaMessage(payload):
                self._peers.heard(caller.vm)
                self._deliver(caller.vm, payload)
            case EntryReport():
                self._entries.report(link, caller.vm, message)
            case EntryChanges():
                self._peers.heard(caller.vm)
                self._entries.take(link, message)
            case TargetUpdate():
                self._peers.heard(caller.vm)
                caller.listing.apply(message, self._clock.monotonic())
                self._poller.adopt(caller.listing)
            case Roster():
                self._peers.heard(caller.vm)
                self._peers.named(message.controls)
            case _:
                _log.warning('unexpected message', peer=caller.vm)

    def _deliver(self, source: VmId, payload: bytes) -> None:
        decoded = decode_message(payload)
        replica = self._replicas.replica
        if isinstance(decoded, Err):
            _log.warning('unreadable log message', peer=source)
        elif replica is not None:
            replica.deliver(source, decoded.ok_value)

    def _closed(self, link: Link) -> None:
        self._callers.pop(link, None)
        self._entries.closed(link)

    def _schedule_publish(self) -> None:
        if not self._publish_scheduled:
            self._publish_scheduled = True
            asyncio.get_running_loop().call_soon(self._publish_desired)

    def _publish_desired(self) -> None:
        self._publish_scheduled = False
        self._homes.merge(
            self._state.items_after(self._homes.index),
            (),
            self._publishing.index,
        )
        for link, caller in self._callers.items():
            if caller.role is VmRole.ENTRY:
                self._send_desired(link, caller)

    def _send_desired(self, link: Link, caller: _Caller) -> None:
        through = self._publishing.index
        if through <= caller.sent_through:
            return
        update = DesiredUpdate(
            tuple(self._state.items_after(caller.sent_through)),
            tuple(self._state.evacuations_after(caller.sent_through)),
            through,
        )
        caller.sent_through = through
        link.send(encode_fleet_message(update))

    def _publish_targets(self, update: TargetUpdate) -> None:
        frame = encode_fleet_message(update)
        for link, caller in self._callers.items():
            if caller.role is VmRole.ENTRY:
                link.send(frame)

    async def _answer_metrics(self, _request: Request) -> Response:
        prefix = 'plantainstand_control_'
        readings = {
            'entries': len(self._entries.known()),
            'peers': len(self._peers.live()),
            'applied_index': self._publishing.index,
            'leading': self._replicas.leader == self._settings.vm,
        }
        for name, reading in readings.items():
            self._metrics.gauge(prefix + name, float(reading))
        return Response(HTTPStatus.OK, (), self._metrics.render())

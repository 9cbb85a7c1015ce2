"""The process of the control role."""

import asyncio
from collections.abc import Collection, Mapping, Sequence
from contextlib import AsyncExitStack
from datetime import timedelta
from http import HTTPStatus
from types import MappingProxyType

import structlog
from plantainstand_consensus import (
    LogReplica,
    ReplicaStatus,
    decode_message,
)
from plantainstand_core import Clock, VmId
from plantainstand_desired import DesiredState, DesiredView
from plantainstand_fleet import (
    AccountAnswer,
    AccountQuestion,
    EntryChanges,
    EntryReport,
    FleetMessage,
    Hello,
    ReplicaMessage,
    Roster,
    TargetUpdate,
    VmRole,
    decode_fleet_message,
    encode_fleet_message,
)
from plantainstand_http import (
    SHORT_CALLS,
    HttpServer,
    MemoryAccount,
    Request,
    Response,
    budget_help,
    process_budget,
)
from plantainstand_links import Link, LinkCallbacks, LinkServer, LinkTimings
from plantainstand_telemetry import Metrics
from result import Err

from plantainstand_control._account_allotments import AccountAllotments
from plantainstand_control._account_answers import AccountAnswers
from plantainstand_control._change_memory import ChangeMemory
from plantainstand_control._directory import ClientLocation, choose_entry_vms
from plantainstand_control._entries import EntryRegistry
from plantainstand_control._limits import LimitExchange
from plantainstand_control._link_peers import LinkPeer, LinkPeers
from plantainstand_control._loads import LoadExchange
from plantainstand_control._members import (
    AbsenceRecord,
    MembershipView,
    choose_members,
)
from plantainstand_control._operator import OperatorService
from plantainstand_control._peers import Peers
from plantainstand_control._poller import (
    ListPoller,
    ListReader,
    ListReceivers,
)
from plantainstand_control._publishing import NotifyingStateMachine
from plantainstand_control._replica import ReplicaRunner
from plantainstand_control._rosters import RosterInputs, RosterSender
from plantainstand_control._settings import ControlSettings
from plantainstand_control._voter_guard import VoterGuard, prepare_change
from plantainstand_control._voter_set import describe_voter_set

_log = structlog.get_logger()

SUPERVISION_INTERVAL = timedelta(milliseconds=500)
"""Interval between two updates of members, links and rosters."""

STALE_STATE_DELAY = timedelta(seconds=1)
"""Time for which a control VM without the leader holds back its desired state
from an entry VM that has connected. An entry VM that has just started would
follow changes that were withdrawn long ago; without any leader, old state is
better than none."""

MEMBER_CHANGE_TIMEOUT = timedelta(seconds=2)
"""Longest wait until a change of the members is committed."""

CLIENT_MEMORY_FRACTION = 0.25
"""Part of the memory above the process's own start that clients may take. The
state, its log and the links to other VMs take most of the rest; two bodies of
the longest change take a sixteenth of the memory."""

METRIC_HELP: Mapping[str, str] = MappingProxyType(
    {
        **budget_help('plantainstand_control_'),
        'plantainstand_control_entries': 'Entry VMs that report.',
        'plantainstand_control_peers': 'Live control VMs.',
        'plantainstand_control_applied_index': 'Newest applied log index.',
        'plantainstand_control_leading': 'Whether this VM leads the log.',
        'plantainstand_control_log_bytes': 'Log entries in memory, in bytes.',
        'plantainstand_control_journal_bytes': 'Log entries on disk, in bytes.',
        'plantainstand_control_snapshot_bytes': 'Newest snapshot, in bytes.',
        'plantainstand_control_voters': 'Disks whose votes count.',
        'plantainstand_control_silent_voters': (
            'On the leader: voters that have not answered lately.'
        ),
        'plantainstand_control_members_without_vote': (
            'On the leader: VMs that are to be voters and are not.'
        ),
        'plantainstand_control_learners': (
            'On the leader: disks that get the log without a vote.'
        ),
        'plantainstand_control_state_bytes': (
            'Desired state with tombstones, in bytes.'
        ),
        'plantainstand_control_state_limit_bytes': (
            'Size that the desired state, or a change, may have, in bytes.'
        ),
        'plantainstand_control_tombstones': 'Removed items remembered.',
        'plantainstand_control_links': 'Links that other VMs have opened.',
        'plantainstand_control_links_refused': (
            'Links closed to keep to their limit.'
        ),
        'plantainstand_control_unsent_bytes': (
            'Bytes that other control VMs have yet to read.'
        ),
        'plantainstand_control_unsent_items': (
            'Items of the desired state that entry VMs have yet to read.'
        ),
    },
)


class ControlNode:
    """Owns the replica, links, servers and tasks of a control VM."""

    def __init__(
        self,
        settings: ControlSettings,
        read_list: ListReader,
        clock: Clock,
    ):
        """Build the components; :meth:`run` starts them."""
        self._settings = settings
        self._clock = clock
        self._state = DesiredState()
        self._state_machine = NotifyingStateMachine(
            self._state, self._schedule_publish
        )
        self._publish_scheduled = False
        self._voter_guard = VoterGuard(
            lambda: self._replicas.status,
            lambda: self._peers.live_vms(),
            settings.tolerated_losses,
            clock,
        )
        self._peers = Peers(
            settings,
            clock,
            lambda: (
                *self._poller.initial_messages(),
                self._entries.full_update(),
            ),
        )
        self._replicas = ReplicaRunner(
            settings, self._create_state_machine, self._peers
        )
        self._account_answers = AccountAnswers(
            lambda: self._replicas,
            self._peers,
            lambda: self._state,
            AccountAllotments(settings.account_terms, clock),
            clock,
        )
        self._poller = ListPoller(
            read_list,
            lambda: self._peers.reader_rank(self._replicas.leader),
            ListReceivers(self._publish_targets, self._peers.broadcast),
            clock,
            settings.list_calls_per_second,
        )
        self._link_peers = LinkPeers(clock)
        self._entries = EntryRegistry(self._peers.broadcast)
        self._absences = AbsenceRecord(clock)
        self._limits = LimitExchange(clock)
        self._loads = LoadExchange(clock)
        self._rosters = RosterSender(
            RosterInputs(
                self._peers,
                self._entries,
                self._limits,
                lambda: _has_leader_contact(self._replicas.status),
                settings.bootstrap,
            ),
            clock,
        )
        self._desired_view = DesiredView()
        self._metrics = Metrics(METRIC_HELP)
        self.clients = process_budget(
            settings.memory_bytes,
            settings.max_descriptors,
            CLIENT_MEMORY_FRACTION,
        )
        events = LinkCallbacks(
            opened=lambda _link: None,
            received=self._handle_frame,
            closed=self._handle_link_closed,
            writable=self._send_desired,
        )
        # No other connection of this role takes as many descriptors, so
        # links may take as many as clients.
        self._link_server = LinkServer(
            events,
            self._clock,
            LinkTimings(),
            self.clients.limits.connections,
            lambda: MemoryAccount(self.clients),
        )
        self._metrics_server = HttpServer(
            self._answer_metrics,
            clock,
            limits=SHORT_CALLS,
            clients=self.clients,
        )
        self.operator = OperatorService(
            lambda: self._replicas.replica,
            lambda: self._state,
            self._replicas.limits.entry_bytes,
            prepare_change(self._account_answers.begin_term, self._voter_guard),
            ChangeMemory(settings.memory_bytes),
        )

    def replace_seeds(self, seeds: Collection[VmId]) -> None:
        """Replace the control VMs to connect to before others are known."""
        _log.info('settings reloaded', seeds=list(seeds))
        self._peers.replace_seeds(seeds)

    def entry_addresses(
        self, host: str, client: ClientLocation
    ) -> Sequence[str]:
        """Return the addresses of entry VMs that a client of a host may use."""
        home_regions = self._desired_view.home_regions_of_host(host)
        return choose_entry_vms(self._entries.entry_vms(), client, home_regions)

    async def run(self, stop: asyncio.Event) -> None:
        """Serve until ``stop`` is set."""
        async with AsyncExitStack() as stack:
            stack.callback(self._peers.close)
            settings = self._settings
            await self._link_server.start(
                settings.vm, settings.link_port, stack
            )
            await self._metrics_server.start(
                settings.vm,
                settings.metrics_port,
                stack,
            )
            self._peers.update_links(())
            loop = asyncio.get_running_loop()
            for work in (self._replicas, self._poller, self._account_answers):
                stack.callback(loop.create_task(work.run()).cancel)
            supervising = loop.create_task(self._supervise_forever())
            stack.callback(supervising.cancel)
            _log.info('control VM started', vm=settings.vm)
            await stop.wait()
        _log.info('control VM stopped', vm=self._settings.vm)

    def _create_state_machine(self) -> NotifyingStateMachine:
        # The log is replayed from the snapshot when the disk is opened again,
        # so the state machine starts empty.
        self._state = DesiredState()
        self._state_machine = NotifyingStateMachine(
            self._state, self._schedule_publish
        )
        return self._state_machine

    async def _supervise_forever(self) -> None:
        while True:
            status = self._replicas.status
            members = () if status is None else status.members
            self._peers.update_links(members)
            self._replicas.replace_peers(self._peers.peer_ids)
            self._replicas.log_status_changes()
            self._account_answers.check()
            self._send_rosters()
            self._send_desired_to_all()
            self._loads.send(leads=self._replicas.leader == self._peers.own)
            await self._change_members()
            await asyncio.sleep(SUPERVISION_INTERVAL.total_seconds())

    async def _change_members(self) -> None:
        replica = self._replicas.replica
        status = self._replicas.status
        if (
            replica is None
            or status is None
            or not (status.formed and status.has_quorum_contact)
        ):
            self._absences.clear()
            return
        absent = self._absences.update(status)
        view = MembershipView(
            status.members,
            {
                vm: control_vm.region
                for vm, control_vm in self._peers.live_vms().items()
                if vm not in absent
            },
            self._settings.tolerated_losses,
        )
        members = choose_members(view)
        if set(members) == set(status.members):
            return
        outcome = await replica.change_members(members, MEMBER_CHANGE_TIMEOUT)
        _log.info(
            'member change finished',
            before=list(status.members),
            after=list(members),
            live=sorted(view.live_regions),
            absent=sorted(absent),
            outcome=str(outcome),
        )

    def _send_rosters(self) -> None:
        self._rosters.send(self._link_peers.entry_vms())

    def _handle_frame(self, link: Link, frame: bytes) -> None:
        decoded = decode_fleet_message(frame)
        if isinstance(decoded, Err):
            _log.warning(
                'message could not be decoded',
                peer=link.peer_address,
                problem=decoded.err_value,
            )
            link.abort()
            return
        message = decoded.ok_value
        peer = self._link_peers.get(link)
        if isinstance(message, Hello):
            self._handle_hello(link, message)
        elif peer is not None:
            self._handle_message(link, peer, message)

    def _handle_hello(self, link: Link, hello: Hello) -> None:
        peer = self._link_peers.admit(link, hello)
        if peer is None:
            return
        if peer.role is VmRole.CONTROL:
            self._peers.record_hello(hello)
            return
        # A VM that has just started must know what targets stated before it
        # serves requests.
        self._send_rosters()
        self._send_desired(link)
        full = self._poller.full_update()
        if full is not None:
            link.send(encode_fleet_message(full))

    def _handle_message(
        self,
        link: Link,
        peer: LinkPeer,
        message: FleetMessage,
    ) -> None:
        match message:
            case ReplicaMessage(payload):
                self._peers.record_message(peer.vm)
                _deliver(self._replicas.replica, peer.vm, payload)
            case EntryReport():
                if self._limits.record_report(peer.vm, message.limits):
                    self._send_rosters()
                report = self._loads.record_report(link, message)
                self._entries.record_report(link, peer.vm, report)
            case EntryChanges():
                self._peers.record_message(peer.vm)
                self._entries.apply_changes(link, message)
            case TargetUpdate():
                self._peers.record_message(peer.vm)
                peer.listing.apply(message, self._clock.monotonic())
                self._poller.adopt_if_newer(peer.listing)
            case Roster():
                self._peers.record_message(peer.vm)
                self._peers.record_reported_live(message.controls)
                if self._limits.record_from_peer(peer.vm, message.limits):
                    self._send_rosters()
            case AccountQuestion() | AccountAnswer():
                self._account_answers.receive(link, peer.vm, message, peer.role)
            case _:
                _log.warning('message of unexpected type', peer=peer.vm)

    def _handle_link_closed(self, link: Link) -> None:
        self._link_peers.forget(link)
        self._entries.remove_link(link)
        self._rosters.forget(link)
        self._loads.forget(link)
        self._account_answers.forget(link)

    def _schedule_publish(self) -> None:
        if not self._publish_scheduled:
            self._publish_scheduled = True
            asyncio.get_running_loop().call_soon(self._publish_desired)

    def _publish_desired(self) -> None:
        self._publish_scheduled = False
        self._desired_view.merge(
            self._state.items_after(self._desired_view.index),
            (),
            self._state_machine.index,
        )
        self._send_desired_to_all()

    def _send_desired_to_all(self) -> None:
        for link in self._link_peers.entry_vms():
            self._send_desired(link)

    def _send_desired(self, link: Link) -> None:
        """Send an entry VM what it lacks and its link takes now."""
        peer = self._link_peers.get(link)
        if peer is None or peer.role is not VmRole.ENTRY:
            return
        index = self._state_machine.index
        if not peer.transfer.lacks(index):
            return
        waited = self._clock.monotonic() - peer.connected_at
        if waited < STALE_STATE_DELAY and not _has_leader_contact(
            self._replicas.status
        ):
            return
        peer.transfer.send(link, self._state, index)

    def _publish_targets(self, update: TargetUpdate) -> None:
        frame = encode_fleet_message(update)
        for link in self._link_peers.entry_vms():
            link.send(frame)

    async def _answer_metrics(self, _request: Request) -> Response:
        prefix = 'plantainstand_control_'
        readings = {
            'entries': len(self._entries.entry_vms()),
            'peers': len(self._peers.live_vms()),
            'applied_index': self._state_machine.index,
            'leading': self._replicas.leader == self._settings.vm,
            'state_bytes': self._state.size,
            'state_limit_bytes': self.operator.max_state_bytes,
            'tombstones': self._state.tombstone_count,
            'unsent_bytes': self._peers.unsent_bytes,
            'links': self._link_server.link_count,
            'links_refused': self._link_server.refused_count,
            'unsent_items': self._link_peers.waiting_items,
            **_log_readings(self._replicas.status),
            **self.clients.readings(),
        }
        for name, reading in readings.items():
            self._metrics.gauge(prefix + name, float(reading))
        return Response(HTTPStatus.OK, (), self._metrics.render())


def _log_readings(status: ReplicaStatus | None) -> dict[str, int]:
    if status is None:
        return {}
    gaps = describe_voter_set(status)
    return {
        'log_bytes': status.log_bytes,
        'journal_bytes': status.journal_bytes,
        'snapshot_bytes': status.snapshot_bytes,
        'voters': len(status.voters),
        'silent_voters': len(gaps.silent),
        'members_without_vote': len(gaps.without_vote),
        'learners': len(gaps.learning),
    }


def _has_leader_contact(status: ReplicaStatus | None) -> bool:
    return status is not None and status.has_leader_contact


def _deliver(replica: LogReplica | None, source: VmId, payload: bytes) -> None:
    """Pass a message of the replicated log on to the replica, if it runs."""
    decoded = decode_message(payload)
    if isinstance(decoded, Err):
        _log.warning(
            'message of the replicated log could not be decoded',
            peer=source,
        )
    elif replica is not None:
        replica.deliver(source, decoded.ok_value)

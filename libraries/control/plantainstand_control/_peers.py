"""Links from a control VM to the other control VMs."""

import asyncio
from collections.abc import Callable, Collection, Sequence
from datetime import timedelta

import structlog
from plantainstand_consensus import Message, encode_message
from plantainstand_core import Clock, VmId
from plantainstand_fleet import (
    ControlVm,
    FleetMessage,
    Hello,
    ReplicaMessage,
    VmRole,
    encode_fleet_message,
)
from plantainstand_links import Link, LinkCallbacks, LinkTimings, OutgoingLink

from plantainstand_control._settings import ControlSettings

_log = structlog.get_logger()

MAX_UNSENT_LOG_BYTES = 1024 * 1024
"""Unread bytes on a link above which messages that are repeated are dropped:
those of the log, and questions on accounts with their answers."""

MAX_UNSENT_BYTES = 12 * 1024 * 1024
"""Unread bytes on a link above which it is closed: more than the messages of
the log and the longest entry take."""

PEER_RETENTION = timedelta(seconds=30)
"""Time for which connections to a control VM are attempted after any control
VM last had a message from it."""

LIVENESS_TIMEOUT = timedelta(milliseconds=2500)
"""Time without a message after which another control VM may replace this one
as a voter. Longer than a restart of the process."""


class Peers:
    """Outgoing links to the other control VMs, and which of those are live.

    A link carries messages in one direction only: each control VM sends over
    the links that it has opened. This class is also the transport of the
    replicated log.
    """

    def __init__(
        self,
        settings: ControlSettings,
        clock: Clock,
        initial_messages: Callable[[], Sequence[FleetMessage]],
    ):
        """Start with the seeds as the only known control VMs.

        ``initial_messages`` returns what is sent on each new link after the
        ``Hello``.
        """
        self._settings = settings
        self._clock = clock
        self._initial_messages = initial_messages
        self._links: dict[VmId, OutgoingLink] = {}
        self._tasks: dict[VmId, asyncio.Task[None]] = {}
        self._seeds: tuple[VmId, ...] = settings.seeds
        self._members: tuple[VmId, ...] = ()
        self._last_message_at: dict[VmId, timedelta] = {}
        self._last_known_live_at: dict[VmId, timedelta] = {}
        self._control_vms: dict[VmId, ControlVm] = {}
        self._backlogs: set[VmId] = set()

    @property
    def own(self) -> VmId:
        """This control VM."""
        return self._settings.vm

    @property
    def peer_ids(self) -> tuple[VmId, ...]:
        """Other control VMs to which a link is open or being opened."""
        return tuple(sorted(self._links))

    def live_vms(self) -> dict[VmId, ControlVm]:
        """Return this control VM and those that sent a message recently."""
        now = self._clock.monotonic()
        own = self._settings
        return {
            own.vm: ControlVm(own.vm, own.availability_zone, own.region),
            **{
                vm: self._control_vms[vm]
                for vm, message_at in self._last_message_at.items()
                if now - message_at < LIVENESS_TIMEOUT
            },
        }

    def reader_rank(self, leader: VmId | None) -> int:
        """Return this VM's rank in the order of who reads the target list.

        The leader, if known, has rank 0. The other live control VMs follow in
        the order of their ids.
        """
        own = self._settings.vm
        if own == leader:
            return 0
        live = self.live_vms()
        before = sum(vm < own for vm in live if vm != leader)
        return before if leader is None else before + 1

    def replace_seeds(self, seeds: Collection[VmId]) -> None:
        """Replace the seeds from the next :meth:`update_links` on."""
        self._seeds = tuple(seeds)

    def record_hello(self, hello: Hello) -> None:
        """Record the location of a control VM that connected."""
        control_vm = ControlVm(hello.vm, hello.availability_zone, hello.region)
        self._control_vms[hello.vm] = control_vm
        self.record_message(hello.vm)

    def record_message(self, vm: VmId) -> None:
        """Record that a control VM sent a message."""
        if vm in self._control_vms:
            now = self._clock.monotonic()
            self._last_message_at[vm] = now
            self._last_known_live_at[vm] = now

    def record_reported_live(self, controls: Collection[ControlVm]) -> None:
        """Record control VMs that another control VM reports as live."""
        now = self._clock.monotonic()
        self._last_known_live_at.update(
            (control_vm.vm, now) for control_vm in controls
        )

    def update_links(self, members: Collection[VmId]) -> None:
        """Open links to all known control VMs and close expired ones.

        Known are the seeds, ``members`` and the VMs that were known to be
        live within ``PEER_RETENTION``.
        """
        now = self._clock.monotonic()
        recently_live = {
            vm
            for vm, at in self._last_known_live_at.items()
            if now - at < PEER_RETENTION
        }
        wanted = {*self._seeds, *members, *recently_live} - {self._settings.vm}
        for expired in self._links.keys() - wanted:
            self._links.pop(expired)
            self._tasks.pop(expired).cancel()
        for vm in sorted(wanted - self._links.keys()):
            self._connect(vm)

    def send(self, destination: VmId, message: Message) -> None:
        """See ``Transport.send`` of the replicated log."""
        link = self._links.get(destination)
        if link is None:
            return
        if link.unsent_bytes > MAX_UNSENT_LOG_BYTES:
            # The log repeats what is lost. To queue its repeats would cost
            # memory, and in the end the connection with all that is on it.
            self._record_backlog(destination, link.unsent_bytes)
            return
        self._backlogs.discard(destination)
        payload = ReplicaMessage(encode_message(message))
        link.send(encode_fleet_message(payload))

    def send_message(self, destination: VmId, message: FleetMessage) -> None:
        """Send a message that may be lost to one other control VM."""
        link = self._links.get(destination)
        if link is not None and link.unsent_bytes <= MAX_UNSENT_LOG_BYTES:
            link.send(encode_fleet_message(message))

    def broadcast(self, message: FleetMessage) -> None:
        """Send a message to all other control VMs."""
        frame = encode_fleet_message(message)
        for link in self._links.values():
            link.send(frame)

    def close(self) -> None:
        """Close all links."""
        for task in self._tasks.values():
            task.cancel()

    @property
    def unsent_bytes(self) -> int:
        """Bytes on all links that the other control VMs have yet to read."""
        return sum(link.unsent_bytes for link in self._links.values())

    def _record_backlog(self, destination: VmId, unsent_bytes: int) -> None:
        if destination not in self._backlogs:
            self._backlogs.add(destination)
            _log.warning(
                'log messages dropped until the peer reads',
                peer=destination,
                unsent_bytes=unsent_bytes,
            )

    def _connect(self, vm: VmId) -> None:
        events = LinkCallbacks(
            opened=self._send_initial_messages,
            received=lambda _link, _frame: None,
            closed=lambda _link: None,
        )
        address = f'{vm}:{self._settings.link_port}'
        link = OutgoingLink(
            address,
            events,
            self._clock,
            LinkTimings(),
            MAX_UNSENT_BYTES,
            local_host=self._settings.vm,
        )
        self._links[vm] = link
        self._tasks[vm] = asyncio.get_running_loop().create_task(link.run())

    def _send_initial_messages(self, link: Link) -> None:
        settings = self._settings
        hello = Hello(
            VmRole.CONTROL,
            settings.vm,
            settings.availability_zone,
            settings.region,
            0,
        )
        for message in (hello, *self._initial_messages()):
            link.send(encode_fleet_message(message))

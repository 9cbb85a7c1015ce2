"""Links of a control VM to the other control VMs."""

import asyncio
from collections.abc import Callable, Collection, Sequence
from datetime import timedelta

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

PEER_MEMORY = timedelta(seconds=30)
"""How long a control VM that was heard of is looked for."""

LIVE_LIMIT = timedelta(milliseconds=2500)
"""Silence after which a control VM's place is given to another: longer than
a restart of its process."""


class Peers:
    """Sends to the other control VMs; each of them sends over its own link.

    This is the transport of the replicated log as well.
    """

    def __init__(
        self,
        settings: ControlSettings,
        clock: Clock,
        opening: Callable[[], Sequence[FleetMessage]],
    ):
        """Know the seeds only; ``opening`` returns what is sent first."""
        self._settings = settings
        self._clock = clock
        self._opening = opening
        self._links: dict[VmId, OutgoingLink] = {}
        self._tasks: dict[VmId, asyncio.Task[None]] = {}
        self._seeds: tuple[VmId, ...] = settings.seeds
        self._members: tuple[VmId, ...] = ()
        self._heard_at: dict[VmId, timedelta] = {}
        self._named_at: dict[VmId, timedelta] = {}
        self._places: dict[VmId, ControlVm] = {}

    @property
    def known(self) -> tuple[VmId, ...]:
        """All control VMs that are looked for, this one left out."""
        return tuple(sorted(self._links))

    def live(self) -> dict[VmId, ControlVm]:
        """Return the control VMs heard lately, this one included."""
        now = self._clock.monotonic()
        own = self._settings
        return {
            own.vm: ControlVm(own.vm, own.availability_zone, own.region),
            **{
                vm: self._places[vm]
                for vm, heard_at in self._heard_at.items()
                if now - heard_at < LIVE_LIMIT
            },
        }

    def turn(self, leader: VmId | None) -> int:
        """Return this VM's place among the live control VMs.

        The leader, if one is known, comes first.
        """
        own = self._settings.vm
        if own == leader:
            return 0
        live = self.live()
        before = sum(vm < own for vm in live if vm != leader)
        return before if leader is None else before + 1

    def replace_seeds(self, seeds: Collection[VmId]) -> None:
        """Look for other seeds."""
        self._seeds = tuple(seeds)

    def greeted(self, hello: Hello) -> None:
        """Note a control VM that connected."""
        place = ControlVm(hello.vm, hello.availability_zone, hello.region)
        self._places[hello.vm] = place
        self.heard(hello.vm)

    def heard(self, vm: VmId) -> None:
        """Note a message of a control VM."""
        if vm in self._places:
            now = self._clock.monotonic()
            self._heard_at[vm] = now
            self._named_at[vm] = now

    def named(self, controls: Collection[ControlVm]) -> None:
        """Note control VMs that another one knows to be live."""
        now = self._clock.monotonic()
        self._named_at.update((place.vm, now) for place in controls)

    def adjust(self, members: Collection[VmId]) -> None:
        """Open links to all that are known, end those to forgotten ones."""
        now = self._clock.monotonic()
        recent = {
            vm for vm, at in self._named_at.items() if now - at < PEER_MEMORY
        }
        wanted = {*self._seeds, *members, *recent} - {self._settings.vm}
        for gone in self._links.keys() - wanted:
            self._links.pop(gone)
            self._tasks.pop(gone).cancel()
        for vm in sorted(wanted - self._links.keys()):
            self._connect(vm)

    def send(self, destination: VmId, message: Message) -> None:
        """See ``Transport.send`` of the replicated log."""
        link = self._links.get(destination)
        if link is not None:
            payload = ReplicaMessage(encode_message(message))
            link.send(encode_fleet_message(payload))

    def broadcast(self, message: FleetMessage) -> None:
        """Tell all other control VMs."""
        frame = encode_fleet_message(message)
        for link in self._links.values():
            link.send(frame)

    def close(self) -> None:
        """End all links."""
        for task in self._tasks.values():
            task.cancel()

    def _connect(self, vm: VmId) -> None:
        events = LinkCallbacks(
            opened=self._opened,
            received=lambda _link, _frame: None,
            closed=lambda _link: None,
        )
        address = f'{vm}:{self._settings.link_port}'
        link = OutgoingLink(address, events, self._clock, LinkTimings())
        self._links[vm] = link
        self._tasks[vm] = asyncio.get_running_loop().create_task(link.run())

    def _opened(self, link: Link) -> None:
        settings = self._settings
        hello = Hello(
            VmRole.CONTROL,
            settings.vm,
            settings.availability_zone,
            settings.region,
            0,
        )
        for message in (hello, *self._opening()):
            link.send(encode_fleet_message(message))

"""Links of an entry VM to the control VMs."""

import asyncio
from collections.abc import Callable, Collection
from dataclasses import dataclass
from datetime import timedelta

import structlog
from plantainstand_core import Clock, LogIndex, VmId
from plantainstand_desired import DesiredView
from plantainstand_fleet import (
    ControlVm,
    DesiredUpdate,
    EntryReport,
    Hello,
    Roster,
    TargetUpdate,
    VmRole,
    decode_fleet_message,
    encode_fleet_message,
)
from plantainstand_links import Link, LinkCallbacks, LinkTimings, OutgoingLink
from plantainstand_placement import TargetTable
from result import Err

from plantainstand_edge._control_choice import (
    MAX_CONTROL_LINKS,
    choose_controls,
)
from plantainstand_edge._fleet_size import FleetSize
from plantainstand_edge._settings import EntrySettings

_log = structlog.get_logger()

REPORT_INTERVAL = timedelta(milliseconds=500)
"""How often the VM reports, besides each new link and change of readiness: a
dead one is noticed after three reports."""

CONTROL_MEMORY = timedelta(minutes=5)
"""How long a control VM that was named is tried when no other can be
reached."""


@dataclass(frozen=True)
class Beliefs:
    """What control VMs tell an entry VM."""

    view: DesiredView
    board: TargetTable
    fleet: FleetSize


class ControlLinks:
    """Keeps links to the control VMs and takes what they send."""

    def __init__(
        self,
        settings: EntrySettings,
        beliefs: Beliefs,
        clock: Clock,
        on_news: Callable[[], None],
    ):
        """``on_news`` is called after beliefs have changed."""
        self._settings = settings
        self._beliefs = beliefs
        self._clock = clock
        self._on_news = on_news
        self._ready = False
        self._links: dict[VmId, OutgoingLink] = {}
        self._tasks: dict[VmId, asyncio.Task[None]] = {}
        self._rosters: dict[VmId, frozenset[ControlVm]] = {}
        self._named_at: dict[VmId, timedelta] = {}
        self._seeds = settings.seeds

    @property
    def open_count(self) -> int:
        """Number of control VMs that are connected."""
        return sum(link.is_open for link in self._links.values())

    def replace_seeds(self, seeds: Collection[VmId]) -> None:
        """Use other control VMs to begin with."""
        self._seeds = tuple(seeds)
        self._adjust()

    def report(self, *, ready: bool) -> None:
        """Tell all connected control VMs how this VM is."""
        self._ready = ready
        self._adjust()
        frame = self._report_frame()
        for link in self._links.values():
            link.send(frame)

    def close(self) -> None:
        """End all links."""
        for task in self._tasks.values():
            task.cancel()

    def _report_frame(self) -> bytes:
        settings = self._settings
        return encode_fleet_message(
            EntryReport(
                settings.client_address,
                settings.availability_zone,
                settings.region,
                self._ready,
            ),
        )

    def _adjust(self) -> None:
        wanted = self._wanted()
        for gone in self._links.keys() - wanted:
            self._links.pop(gone)
            self._tasks.pop(gone).cancel()
        for vm in sorted(wanted - self._links.keys()):
            self._connect(vm)

    def _wanted(self) -> set[VmId]:
        settings = self._settings
        live = frozenset[ControlVm]().union(*self._rosters.values())
        chosen = choose_controls(
            settings.vm,
            settings.availability_zone,
            settings.region,
            live,
        )
        # Others may have come back, or be all that is left.
        remembered = sorted(
            self._named_at,
            key=lambda vm: self._named_at[vm],
            reverse=True,
        )
        candidates = dict.fromkeys((*chosen, *self._seeds, *remembered))
        return set(tuple(candidates)[:MAX_CONTROL_LINKS])

    def _connect(self, vm: VmId) -> None:
        events = LinkCallbacks(
            opened=lambda link: self._opened(vm, link),
            received=lambda link, frame: self._received(vm, link, frame),
            closed=lambda _link: self._closed(vm),
        )
        address = f'{vm}:{self._settings.link_port}'
        link = OutgoingLink(address, events, self._clock, LinkTimings())
        self._links[vm] = link
        self._tasks[vm] = asyncio.get_running_loop().create_task(link.run())

    def _opened(self, vm: VmId, link: Link) -> None:
        settings = self._settings
        index = self._beliefs.view.index
        hello = Hello(
            VmRole.ENTRY,
            settings.vm,
            settings.availability_zone,
            settings.region,
            index,
        )
        link.send(encode_fleet_message(hello))
        link.send(self._report_frame())
        _log.info('control VM connected', control=vm, desired_index=index)

    def _closed(self, vm: VmId) -> None:
        # Unchanged rosters are not sent again.
        self._remember(self._rosters.pop(vm, frozenset()))
        self._beliefs.board.forget_source(vm)
        self._beliefs.fleet.forget(vm)
        _log.info('control VM lost', control=vm, connected=self.open_count)

    def _received(self, vm: VmId, link: Link, frame: bytes) -> None:
        decoded = decode_fleet_message(frame)
        if isinstance(decoded, Err):
            _log.warning(
                'unreadable message',
                control=vm,
                problem=decoded.err_value,
            )
            link.abort()
            return
        match decoded.ok_value:
            case DesiredUpdate() as update:
                self._take_desired(vm, update)
            case TargetUpdate() as update:
                now = self._clock.monotonic()
                self._beliefs.board.update(vm, update, now)
                self._on_news()
            case Roster() as roster:
                self._take_roster(vm, roster)
            case _:
                _log.warning('unexpected message', control=vm)

    def _take_desired(self, vm: VmId, update: DesiredUpdate) -> None:
        changed = self._beliefs.view.merge(
            update.items,
            update.evacuations,
            LogIndex(update.complete_through),
        )
        if changed:
            _log.info(
                'desired state changed',
                control=vm,
                desired_index=update.complete_through,
                items=[(item.name, item.version) for item in update.items[:8]],
                item_count=len(update.items),
                evacuations=[
                    (order.zone, order.active) for order in update.evacuations
                ],
            )
            self._on_news()

    def _take_roster(self, vm: VmId, roster: Roster) -> None:
        self._rosters[vm] = frozenset(roster.controls)
        self._remember(roster.controls)
        self._beliefs.fleet.note(vm, roster.entry_count)
        self._adjust()

    def _remember(self, controls: Collection[ControlVm]) -> None:
        now = self._clock.monotonic()
        self._named_at.update((place.vm, now) for place in controls)
        self._named_at = {
            vm: at
            for vm, at in self._named_at.items()
            if now - at < CONTROL_MEMORY
        }

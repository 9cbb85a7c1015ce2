"""Links of an entry VM to the control VMs."""

import asyncio
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass
from datetime import timedelta

import structlog
from plantainstand_core import Clock, LogIndex, VmId
from plantainstand_desired import DesiredView, ItemKey
from plantainstand_fleet import (
    AccountAnswer,
    ControlVm,
    DesiredUpdate,
    EntryReport,
    Hello,
    LimitStatement,
    LoadUpdate,
    Roster,
    TargetLoad,
    TargetUpdate,
    VmRole,
    decode_fleet_message,
    encode_fleet_message,
)
from plantainstand_links import Link, LinkCallbacks, LinkTimings, OutgoingLink
from plantainstand_placement import TargetTable
from result import Err

from plantainstand_edge._account_questions import AccountQuestions
from plantainstand_edge._control_choice import (
    MAX_CONTROL_LINKS,
    order_control_vms,
)
from plantainstand_edge._fleet_view import FleetView
from plantainstand_edge._settings import EntrySettings
from plantainstand_edge._shared_loads import SharedLoads
from plantainstand_edge._target_limits import TargetLimits

_log = structlog.get_logger()

REPORT_INTERVAL = timedelta(milliseconds=500)
"""Interval of the reports to control VMs, in addition to those on each new link
and change of readiness. A VM that has failed is detected after three missing
reports."""

CONTROL_VM_RETENTION = timedelta(minutes=5)
"""Time for which a control VM stays a candidate after the last roster that
named it, in case no other one can be reached."""


@dataclass(frozen=True)
class ControlPlaneState:
    """State that an entry VM receives from control VMs."""

    desired_view: DesiredView
    target_table: TargetTable
    fleet_view: FleetView
    target_limits: TargetLimits
    account_questions: AccountQuestions
    shared_loads: SharedLoads


class ControlLinks:
    """Keeps links to control VMs and applies the messages they send."""

    def __init__(
        self,
        settings: EntrySettings,
        state: ControlPlaneState,
        clock: Clock,
        on_change: Callable[[], None],
    ):
        """``on_change`` is called after ``state`` has changed."""
        self._settings = settings
        self._state = state
        self._clock = clock
        self._on_change = on_change
        self._ready = False
        self._links: dict[VmId, OutgoingLink] = {}
        self._tasks: dict[VmId, asyncio.Task[None]] = {}
        self._rosters: dict[VmId, frozenset[ControlVm]] = {}
        self._last_named_at: dict[VmId, timedelta] = {}
        self._seeds = settings.seeds
        self._listed: dict[VmId, set[ItemKey]] = {}

    @property
    def open_links(self) -> Mapping[VmId, OutgoingLink]:
        """Links to connected control VMs, in the order of their ids."""
        return {
            vm: self._links[vm]
            for vm in sorted(self._links)
            if self._links[vm].is_open
        }

    def replace_seeds(self, seeds: Collection[VmId]) -> None:
        """Replace the configured control VMs and adjust the links."""
        self._seeds = tuple(seeds)
        self._update_links()

    def heard_at(self, control: VmId) -> timedelta | None:
        """Return when a control VM was heard; None if its link is closed."""
        link = self._links.get(control)
        return None if link is None else link.heard_at

    def reconnect(self) -> None:
        """Open all links again."""
        for link in self._links.values():
            link.abort()

    def report(self, *, ready: bool) -> None:
        """Report this VM's readiness to all connected control VMs."""
        self._ready = ready
        self._update_links()
        frame = self._report_frame(
            self._state.target_limits.take_unreported(),
            self._state.shared_loads.take_unreported(),
        )
        for link in self._links.values():
            link.send(frame)

    def close(self) -> None:
        """Close all links."""
        for task in self._tasks.values():
            task.cancel()

    def _report_frame(
        self,
        limits: tuple[LimitStatement, ...] = (),
        loads: tuple[TargetLoad, ...] = (),
    ) -> bytes:
        settings = self._settings
        return encode_fleet_message(
            EntryReport(
                settings.client_address,
                settings.availability_zone,
                settings.region,
                self._ready,
                limits,
                self._state.fleet_view.counted_digest,
                loads,
            ),
        )

    def _update_links(self) -> None:
        wanted = self._choose_vms()
        for gone in self._links.keys() - wanted:
            self._links.pop(gone)
            self._tasks.pop(gone).cancel()
        for vm in sorted(wanted - self._links.keys()):
            self._connect(vm)

    def _choose_vms(self) -> set[VmId]:
        settings = self._settings
        live = frozenset[ControlVm]().union(*self._rosters.values())
        chosen = order_control_vms(
            settings.vm,
            settings.availability_zone,
            settings.region,
            live,
        )
        # The others may be reachable again, or be the only ones left.
        recently_named = sorted(
            self._last_named_at,
            key=lambda vm: self._last_named_at[vm],
            reverse=True,
        )
        candidates = dict.fromkeys((*chosen, *self._seeds, *recently_named))
        return set(tuple(candidates)[:MAX_CONTROL_LINKS])

    def _connect(self, vm: VmId) -> None:
        events = LinkCallbacks(
            opened=lambda link: self._opened(vm, link),
            received=lambda link, frame: self._received(vm, link, frame),
            closed=lambda _link: self._closed(vm),
        )
        address = f'{vm}:{self._settings.link_port}'
        link = OutgoingLink(
            address,
            events,
            self._clock,
            LinkTimings(),
            local_host=self._settings.vm,
        )
        self._links[vm] = link
        self._tasks[vm] = asyncio.get_running_loop().create_task(link.run())

    def _opened(self, vm: VmId, link: Link) -> None:
        settings = self._settings
        index = self._state.desired_view.index
        hello = Hello(
            VmRole.ENTRY,
            settings.vm,
            settings.availability_zone,
            settings.region,
            index,
        )
        link.send(encode_fleet_message(hello))
        link.send(self._report_frame())
        self._state.account_questions.link_opened(vm, link.send)
        _log.info('control VM connected', control=vm, desired_index=index)

    def _closed(self, vm: VmId) -> None:
        # Control VMs send a roster only when it changes, so the times at which
        # it named its control VMs are renewed when the link is lost.
        self._record_named(self._rosters.pop(vm, frozenset()))
        self._listed.pop(vm, None)
        self._state.target_table.remove_source(vm)
        self._state.fleet_view.remove_source(vm)
        self._state.account_questions.link_closed(vm)
        _log.info('control VM lost', control=vm, connected=len(self.open_links))

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
                self._apply_desired(vm, update)
            case TargetUpdate() as update:
                now = self._clock.monotonic()
                self._state.target_table.update(vm, update, now)
                self._on_change()
            case Roster() as roster:
                self._apply_roster(vm, roster)
            case AccountAnswer() as answer:
                self._state.account_questions.receive(answer)
            case LoadUpdate() as update:
                self._state.shared_loads.receive(update)
            case _:
                _log.warning('unexpected message', control=vm)

    def _apply_desired(self, vm: VmId, update: DesiredUpdate) -> None:
        through = LogIndex(update.complete_through)
        changed = self._state.desired_view.merge(
            update.items, update.evacuations, through
        )
        if update.lists_all:
            changed |= self._remove_unlisted(vm, update)
        if changed:
            _log.info(
                'desired state changed',
                control=vm,
                desired_index=update.complete_through,
                items=[(item.name, item.version) for item in update.items[:8]],
                item_count=len(update.items),
                evacuations=[
                    (evacuation.zone, evacuation.active)
                    for evacuation in update.evacuations
                ],
            )
            self._on_change()

    def _remove_unlisted(self, vm: VmId, update: DesiredUpdate) -> bool:
        """Note what is listed; with the last update, remove what is not."""
        listed = self._listed.setdefault(vm, set())
        listed.update(item.key for item in update.items)
        if not update.is_last:
            return False
        self._listed.pop(vm)
        return self._state.desired_view.remove_unlisted(
            listed, LogIndex(update.complete_through)
        )

    def _apply_roster(self, vm: VmId, roster: Roster) -> None:
        self._rosters[vm] = frozenset(roster.controls)
        self._record_named(roster.controls)
        self._state.fleet_view.record(vm, roster)
        self._state.target_limits.merge(vm, roster.limits)
        self._update_links()

    def _record_named(self, controls: Collection[ControlVm]) -> None:
        now = self._clock.monotonic()
        self._last_named_at.update((place.vm, now) for place in controls)
        self._last_named_at = {
            vm: at
            for vm, at in self._last_named_at.items()
            if now - at < CONTROL_VM_RETENTION
        }

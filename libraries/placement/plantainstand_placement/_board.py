"""Targets by service, merged from the lists of several control VMs."""

from collections.abc import Sequence
from datetime import timedelta

from plantainstand_core import ServiceId, TargetId, VmId
from plantainstand_fleet import (
    TargetEntry,
    TargetListing,
    TargetLoad,
    TargetUpdate,
)

from plantainstand_placement._cold_knowledge import ListReading
from plantainstand_placement._recent_sends import LONGEST_SPAN, RecentSends
from plantainstand_placement._service_targets import ServiceTargets
from plantainstand_placement._shared_loads import (
    record_shared_loads,
    take_unreported_loads,
)
from plantainstand_placement._target import TargetState

_NEVER = timedelta.min
_NO_TARGETS = ServiceTargets(())

NEW_TARGET_COLD_TIME = timedelta(seconds=4)
"""Time for which a newly listed target counts as cold: the usual cold start,
the lag of the platform's list and one polling interval. The list may report
the cold start of a new target only after that lag."""


class TargetTable:
    """Current targets of each service, with their state.

    Which targets exist follows from the newest list. A target counts as
    draining as soon as any control VM has listed it so: a draining target does
    not return to service before its process is started anew.
    """

    def __init__(self) -> None:
        """Create a table without targets."""
        self._lists: dict[VmId, TargetListing] = {}
        self._states: dict[TargetId, TargetState] = {}
        self._sends: dict[TargetId, RecentSends] = {}
        self._by_service: dict[ServiceId, ServiceTargets] = {}
        self._first_list_at: timedelta | None = None
        self._built_digest: int | None = None

    @property
    def has_targets(self) -> bool:
        """Whether a list with targets has been received."""
        return bool(self._states)

    @property
    def states(self) -> Sequence[TargetState]:
        """All listed targets, draining ones included."""
        return tuple(self._states.values())

    def paused_count(self, now: timedelta) -> int:
        """Return the number of targets that want nothing from this VM."""
        return sum(now < state.paused_until for state in self._states.values())

    def targets_of(self, service: ServiceId) -> ServiceTargets:
        """Return the targets of a service that are not draining."""
        return self._by_service.get(service, _NO_TARGETS)

    def reading(self, lag: timedelta) -> ListReading:
        """Return the newest reading of a list that lags by ``lag``."""
        newest = self._newest()
        seen_at = _NEVER if newest is None else newest.seen_at
        return ListReading(max(seen_at, _NEVER + lag), lag)

    def age(self, now: timedelta) -> timedelta:
        """Return the age of the newest list; ``timedelta.max`` without one."""
        newest = self._newest()
        return timedelta.max if newest is None else now - newest.seen_at

    def update(
        self, source: VmId, update: TargetUpdate, now: timedelta
    ) -> None:
        """Apply an update of the list that the control VM ``source`` sent."""
        received = self._lists.setdefault(source, TargetListing())
        draining = _draining_targets(received)
        received.apply(update, now)
        drain_ended = bool(draining - _draining_targets(received))
        if drain_ended or self._changes_targets(update):
            self._rebuild(now)

    def remove_source(self, source: VmId) -> None:
        """Drop a control VM's list, unless it is the only one."""
        if len(self._lists) > 1:
            self._lists.pop(source, None)

    def take_unreported_loads(self, now: timedelta) -> tuple[TargetLoad, ...]:
        """Return the newest own loads that no report has contained yet."""
        return take_unreported_loads(self._states.values(), now)

    def record_shared_loads(
        self, loads: Sequence[TargetLoad], now: timedelta
    ) -> int:
        """Take over newer loads that other VMs read; return their number."""
        return record_shared_loads(self._states, loads, now)

    def mark_cold(
        self, states: Sequence[TargetState], until: timedelta
    ) -> None:
        """Treat targets as cold at least until ``until`` (monotonic time)."""
        for state in states:
            state.cold_until = max(state.cold_until, until)

    def _newest(self) -> TargetListing | None:
        return max(
            self._lists.values(),
            key=lambda each: each.seen_at,
            default=None,
        )

    def _changes_targets(self, update: TargetUpdate) -> bool:
        """Tell whether an update that was applied changes any target.

        Several control VMs send the same list each second, so most updates
        change none and need no rebuild.
        """
        newest = self._newest()
        if newest is None or newest.digest != self._built_digest:
            return True
        return any(
            each.cold_seconds > 0
            or (
                each.draining
                and not newest.entries.get(each.target, each).draining
            )
            for each in update.updated
        )

    def _rebuild(self, now: timedelta) -> None:
        newest = self._newest()
        if newest is None:
            return
        self._built_digest = newest.digest
        if self._first_list_at is None and newest.entries:
            self._first_list_at = now
        states = {
            target: self._state_of(entry, newest.cold_until.get(target), now)
            for target, entry in newest.entries.items()
        }
        self._states = states
        self._sends = {
            target: sends
            for target, sends in self._sends.items()
            if target in states or sends.count(now - LONGEST_SPAN)
        }
        by_service: dict[ServiceId, list[TargetState]] = {}
        for state in states.values():
            if not self._is_draining(state.entry):
                by_service.setdefault(state.entry.service, []).append(state)
        self._by_service = {
            service: self._service_targets(service, usable)
            for service, usable in by_service.items()
        }

    def _service_targets(
        self,
        service: ServiceId,
        states: Sequence[TargetState],
    ) -> ServiceTargets:
        # Unchanged targets keep their object, whose cached orders stay valid.
        current = self._by_service.get(service)
        if current is not None and current.matches(states):
            return current
        return ServiceTargets(states)

    def _state_of(
        self,
        entry: TargetEntry,
        cold_until: timedelta | None,
        now: timedelta,
    ) -> TargetState:
        state = self._states.get(entry.target)
        if state is None or _is_restarted(state.entry, entry):
            state = TargetState(entry, now)
            # What the target got before its new start was listed counts.
            state.sends = self._sends.setdefault(entry.target, state.sends)
            # Targets of the first list were running before this VM: warm, if
            # they have not started again since the list was read.
            if self._first_list_at is not None and self._first_list_at < now:
                state.cold_until = now + NEW_TARGET_COLD_TIME
            else:
                state.knowledge.record_start(now)
        state.entry = entry
        if cold_until is not None:
            state.cold_until = max(state.cold_until, cold_until)
        return state

    def _is_draining(self, entry: TargetEntry) -> bool:
        for received in self._lists.values():
            seen = received.entries.get(entry.target)
            same = seen is not None and not _is_restarted(seen, entry)
            if same and seen is not None and seen.draining:
                return True
        return entry.draining


def _draining_targets(listing: TargetListing) -> frozenset[TargetId]:
    return frozenset(
        target for target, entry in listing.entries.items() if entry.draining
    )


def _is_restarted(current: TargetEntry, entry: TargetEntry) -> bool:
    previous = (current.address, current.service, current.started_ms)
    return previous != (entry.address, entry.service, entry.started_ms)

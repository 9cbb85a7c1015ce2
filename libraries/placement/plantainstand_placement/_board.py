"""Targets by service, merged from what several control VMs saw."""

from collections.abc import Sequence
from datetime import timedelta

from plantainstand_core import ServiceId, TargetId, VmId
from plantainstand_fleet import TargetEntry, TargetListing, TargetUpdate

from plantainstand_placement._service_targets import ServiceTargets
from plantainstand_placement._target import TargetState

_NO_TARGETS = ServiceTargets(())

REAPPEARANCE_COLD = timedelta(seconds=4)
"""How long a target counts as cold after it came, before the platform's
list can be trusted to say so: its lag and one polling interval above the
usual cold start."""


class TargetTable:
    """Current targets of each service, with their state.

    Presence follows the newest observation. Draining holds as soon as any
    control VM has seen it, since a leaving target never comes back under the
    same start.
    """

    def __init__(self) -> None:
        """Start without targets."""
        self._observations: dict[VmId, TargetListing] = {}
        self._states: dict[TargetId, TargetState] = {}
        self._by_service: dict[ServiceId, ServiceTargets] = {}
        self._first_seen_at: timedelta | None = None
        self._built_digest: int | None = None

    @property
    def is_known(self) -> bool:
        """Whether the platform's list has arrived."""
        return bool(self._states)

    @property
    def states(self) -> Sequence[TargetState]:
        """All targets."""
        return tuple(self._states.values())

    def targets_of(self, service: ServiceId) -> ServiceTargets:
        """Return a service's targets that are not leaving."""
        return self._by_service.get(service, _NO_TARGETS)

    def age(self, now: timedelta) -> timedelta:
        """Return the age of the newest observation."""
        newest = self._newest()
        return timedelta.max if newest is None else now - newest.seen_at

    def update(
        self, source: VmId, update: TargetUpdate, now: timedelta
    ) -> None:
        """Take what a control VM saw."""
        observation = self._observations.setdefault(source, TargetListing())
        observation.apply(update, now)
        if self._is_news(update):
            self._rebuild(now)

    def forget_source(self, source: VmId) -> None:
        """Drop a control VM's observation, unless it is the only one."""
        if len(self._observations) > 1:
            self._observations.pop(source, None)

    def mark_cold(
        self, states: Sequence[TargetState], until: timedelta
    ) -> None:
        """Treat targets as cold, for example after an evacuation."""
        for state in states:
            state.cold_until = max(state.cold_until, until)

    def _newest(self) -> TargetListing | None:
        return max(
            self._observations.values(),
            key=lambda observation: observation.seen_at,
            default=None,
        )

    def _is_news(self, update: TargetUpdate) -> bool:
        """Tell whether an update that was taken changes any target.

        Several control VMs send the same list each second, so most don't.
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
        if self._first_seen_at is None and newest.entries:
            self._first_seen_at = now
        states = {
            target: self._state_of(entry, newest.cold_until.get(target), now)
            for target, entry in newest.entries.items()
        }
        self._states = states
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
        # Most updates change nothing, and remembered orders stay valid.
        known = self._by_service.get(service)
        if known is not None and known.holds(states):
            return known
        return ServiceTargets(states)

    def _state_of(
        self,
        entry: TargetEntry,
        cold_until: timedelta | None,
        now: timedelta,
    ) -> TargetState:
        state = self._states.get(entry.target)
        if state is None or _is_another_start(state.entry, entry):
            state = TargetState(entry, now)
            # Targets of the first list started before traffic and are warm.
            if self._first_seen_at is not None and self._first_seen_at < now:
                state.cold_until = now + REAPPEARANCE_COLD
        state.entry = entry
        if cold_until is not None:
            state.cold_until = max(state.cold_until, cold_until)
        return state

    def _is_draining(self, entry: TargetEntry) -> bool:
        for observation in self._observations.values():
            seen = observation.entries.get(entry.target)
            same = seen is not None and not _is_another_start(seen, entry)
            if same and seen is not None and seen.draining:
                return True
        return entry.draining


def _is_another_start(known: TargetEntry, entry: TargetEntry) -> bool:
    places = (known.address, known.service, known.started_ms)
    return places != (entry.address, entry.service, entry.started_ms)

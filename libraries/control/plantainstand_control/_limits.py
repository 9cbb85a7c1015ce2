"""Statements of targets that a control VM passes on."""

from collections.abc import Sequence

import structlog
from plantainstand_core import Clock, VmId
from plantainstand_fleet import LimitStatement, StatedLimits

_log = structlog.get_logger()


class LimitExchange:
    """Statements that entry VMs reported here or to another control VM.

    Only what entry VMs have reported to this control VM is sent to the other
    ones. Statements that control VMs sent back and forth would never get old,
    since the time on the way is not part of their age.
    """

    def __init__(self, clock: Clock):
        """Start without statements."""
        self._clock = clock
        self._reported = StatedLimits()
        self._all = StatedLimits()

    def for_control_vms(self) -> tuple[LimitStatement, ...]:
        """Return what entry VMs have reported to this control VM."""
        return self._reported.statements(self._clock.monotonic())

    def for_entry_vms(self) -> tuple[LimitStatement, ...]:
        """Return all statements that are known."""
        return self._all.statements(self._clock.monotonic())

    def record_report(
        self, vm: VmId, statements: Sequence[LimitStatement]
    ) -> bool:
        """Record an entry VM's report; tell whether it changes a limit."""
        self._reported.merge(statements, self._clock.monotonic())
        return self._merge(vm, statements)

    def record_from_peer(
        self, vm: VmId, statements: Sequence[LimitStatement]
    ) -> bool:
        """Record what another control VM sent; tell if it changes a limit."""
        return self._merge(vm, statements)

    def _merge(
        self, source: VmId, statements: Sequence[LimitStatement]
    ) -> bool:
        changes = self._all.merge(statements, self._clock.monotonic())
        for changed in changes:
            _log.info(
                'target leaves' if changed.leaving else 'target limit changed',
                target=changed.target,
                rate=changed.rate,
                age_s=round(changed.age_seconds, 2),
                source=source,
            )
        return bool(changes)

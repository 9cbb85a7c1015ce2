"""What targets state of themselves, learned from answers and control VMs."""

from collections.abc import Callable, Sequence
from datetime import timedelta

import structlog
from plantainstand_core import Clock, VmId
from plantainstand_fleet import (
    KnownLimit,
    LimitStatement,
    StatedLimits,
    TargetEntry,
)
from plantainstand_placement import TargetState, pause_target
from plantainstand_telemetry import Metrics

_log = structlog.get_logger()

LIMIT_END_DELAY = timedelta(seconds=1)
"""Age of a target's newest statement from which an answer without a limit ends
the limit. An answer that left the target before the statement may arrive after
it."""


class TargetLimits:
    """Newest statements of all targets; passes on what this VM learns."""

    def __init__(
        self, metrics: Metrics, clock: Clock, on_news: Callable[[], None]
    ):
        """``on_news`` is called when a statement is to be reported at once."""
        self.stated = StatedLimits()
        self._metrics = metrics
        self._clock = clock
        self._on_news = on_news
        self._unreported = StatedLimits()

    def known(self, entry: TargetEntry) -> KnownLimit | None:
        """Return the limit of a target; None if it has none."""
        key = (entry.target, entry.started_ms)
        return self.stated.limit(key, self._clock.monotonic())

    def is_leaving(self, entry: TargetEntry) -> bool:
        """Tell whether a target said that it leaves."""
        return self.stated.is_leaving((entry.target, entry.started_ms))

    def record_leaving(self, entry: TargetEntry, request_id: str) -> None:
        """Record that an answer said that its target leaves."""
        self._record(
            LimitStatement(
                entry.target,
                entry.started_ms,
                rate=None,
                age_seconds=0,
                leaving=True,
            ),
            request_id,
        )

    def record_answer(
        self, entry: TargetEntry, rate: float | None, request_id: str
    ) -> None:
        """Record the limit, in requests per second, that an answer states."""
        if rate is not None:
            self._metrics.count('plantainstand_entry_limit_answers_total')
        known = self.known(entry)
        now = self._clock.monotonic()
        if rate is None and (
            known is None or now - known.stated_at < LIMIT_END_DELAY
        ):
            return
        statement = LimitStatement(
            entry.target, entry.started_ms, rate, age_seconds=0
        )
        self._record(statement, request_id)

    def merge(
        self, control: VmId, statements: Sequence[LimitStatement]
    ) -> None:
        """Take over the statements that a control VM has collected."""
        now = self._clock.monotonic()
        for changed in self.stated.merge(statements, now):
            _log_change(changed, control=control)

    def take_unreported(self) -> tuple[LimitStatement, ...]:
        """Return the statements that no report has contained yet."""
        statements = self._unreported.statements(self._clock.monotonic())
        self._unreported = StatedLimits()
        return statements

    def _record(self, statement: LimitStatement, request_id: str) -> None:
        now = self._clock.monotonic()
        if not statement.leaving or not self._is_known_to_leave(statement):
            self._unreported.merge((statement,), now)
        for changed in self.stated.merge((statement,), now):
            _log_change(changed, request=request_id)
            self._on_news()

    def _is_known_to_leave(self, statement: LimitStatement) -> bool:
        key = (statement.target, statement.started_ms)
        return self.stated.is_leaving(key)


def _log_change(statement: LimitStatement, **source: str) -> None:
    _log.info(
        'target leaves' if statement.leaving else 'target limit changed',
        target=statement.target,
        rate=statement.rate,
        age_s=round(statement.age_seconds, 2),
        **source,
    )


def record_pause(
    state: TargetState, pause: timedelta, clock: Clock, **source: str
) -> None:
    """Record that a target wants nothing from this VM for a while."""
    if pause_target(state, clock.monotonic() + pause):
        _log.info(
            'target paused',
            target=state.entry.target,
            pause_s=round(pause.total_seconds(), 2),
            **source,
        )

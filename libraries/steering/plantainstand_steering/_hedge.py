"""Second attempts of idempotent requests whose answer is late."""

from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from datetime import timedelta

from hdrh.histogram import HdrHistogram
from plantainstand_core import Clock

from plantainstand_steering._candidate import (
    Candidate,
    RankedCandidate,
    may_share_target,
)

_MICROSECOND = timedelta(microseconds=1)
_LOWEST_MICROSECONDS = 1
_HIGHEST_MICROSECONDS = 120_000_000
_SIGNIFICANT_FIGURES = 2
_PERCENT = 100
_DEFAULT_PERCENTILE = 0.95
# The percentile covers between one and two windows.
_WINDOW = timedelta(minutes=0.5)
# Fewer answers do not show a high percentile.
_MIN_ANSWERS = 50
# Reading a percentile walks the histogram, so it is done once per this many
# answers.
_REFRESH_ANSWERS = 64


@dataclass(frozen=True)
class HedgeContext:
    """Facts that decide about a hedge."""

    idempotent: bool
    time_left: timedelta

    budget_available: int
    """:attr:`~plantainstand_steering.RetryBudget.available_for_hedges`."""

    tried: Sequence[Candidate]
    """Candidates that already have an attempt of the request."""

    ranked: Sequence[RankedCandidate]
    """Current order of the candidates."""


class HedgePolicy:
    """Hedge delay of one service from its own observed latency."""

    def __init__(self, clock: Clock, percentile: float = _DEFAULT_PERCENTILE):
        """``percentile`` is a fraction between 0 and 1."""
        self._clock = clock
        self._percent = percentile * _PERCENT
        self._current = _new_histogram()
        self._previous = _new_histogram()
        self._window_ends = clock.monotonic() + _WINDOW
        self._unread = 0
        self._delay: timedelta | None = None

    @property
    def delay(self) -> timedelta | None:
        """Time after which a hedge starts; ``None`` while unknown."""
        return self._delay

    def record(self, latency: timedelta) -> None:
        """Add the latency of an answered first attempt."""
        microseconds = max(latency // _MICROSECOND, _LOWEST_MICROSECONDS)
        self._current.record_value(min(microseconds, _HIGHEST_MICROSECONDS))
        self._unread += 1
        if self._clock.monotonic() >= self._window_ends:
            self._rotate()
        elif self._unread >= _REFRESH_ANSWERS or self._delay is None:
            self._refresh()

    def choose(self, facts: HedgeContext) -> RankedCandidate | None:
        """Return the candidate for a hedge, or ``None`` for no hedge.

        The caller then pays with
        :meth:`~plantainstand_steering.RetryBudget.try_spend_on_hedge`.
        """
        if not facts.idempotent or facts.budget_available < 1:
            return None
        return next(_usable(facts), None)

    def _rotate(self) -> None:
        self._refresh()
        self._previous = self._current
        self._current = _new_histogram()
        self._window_ends = self._clock.monotonic() + _WINDOW

    def _refresh(self) -> None:
        count = self._current.total_count + self._previous.total_count
        if count < _MIN_ANSWERS:
            return
        both = _new_histogram()
        both.add(self._previous)
        both.add(self._current)
        value = both.get_value_at_percentile(self._percent)
        self._delay = timedelta(microseconds=int(value))
        self._unread = 0


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(
        _LOWEST_MICROSECONDS,
        _HIGHEST_MICROSECONDS,
        _SIGNIFICANT_FIGURES,
    )


def _usable(facts: HedgeContext) -> Iterator[RankedCandidate]:
    return (
        ranked
        for ranked in facts.ranked
        if ranked.has_free_slot
        and ranked.cost < facts.time_left
        and not any(
            may_share_target(ranked.candidate, tried) for tried in facts.tried
        )
    )

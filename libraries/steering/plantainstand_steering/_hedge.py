"""Hedging: second attempts of idempotent requests with a late answer."""

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
_DEFAULT_PERCENTILE_FRACTION = 0.95
# The percentile covers the latencies of one to two windows.
_WINDOW = timedelta(minutes=0.5)
# Fewer latencies give no reliable estimate of a high percentile.
_MIN_LATENCY_COUNT = 50
# Reading a percentile iterates over the histogram, so the delay is refreshed
# only once per this many latencies.
_REFRESH_LATENCY_COUNT = 64


@dataclass(frozen=True)
class HedgeContext:
    """Inputs of the decision whether to hedge a request."""

    idempotent: bool
    time_left: timedelta

    budget_available: int
    """:attr:`~plantainstand_steering.RetryBudget.available_for_hedges`."""

    tried: Sequence[Candidate]
    """Candidates that have already received an attempt of the request."""

    ranked: Sequence[RankedCandidate]
    """Candidates in order of cost."""


class HedgePolicy:
    """Hedge delay of a service, a percentile of its observed latency."""

    def __init__(
        self,
        clock: Clock,
        percentile: float = _DEFAULT_PERCENTILE_FRACTION,
    ):
        """Create the policy; ``percentile`` is a fraction between 0 and 1."""
        self._clock = clock
        self._percent = percentile * _PERCENT
        self._current = _new_histogram()
        self._previous = _new_histogram()
        self._window_end = clock.monotonic() + _WINDOW
        self._recorded_since_refresh = 0
        self._delay: timedelta | None = None

    @property
    def delay(self) -> timedelta | None:
        """Time after which a hedge starts; ``None`` with too few latencies."""
        return self._delay

    def record(self, latency: timedelta) -> None:
        """Record the latency of an answered first attempt."""
        microseconds = max(latency // _MICROSECOND, _LOWEST_MICROSECONDS)
        self._current.record_value(min(microseconds, _HIGHEST_MICROSECONDS))
        self._recorded_since_refresh += 1
        if self._clock.monotonic() >= self._window_end:
            self._rotate()
        elif (
            self._recorded_since_refresh >= _REFRESH_LATENCY_COUNT
            or self._delay is None
        ):
            self._refresh()

    def choose(self, context: HedgeContext) -> RankedCandidate | None:
        """Return the candidate for a hedge, or ``None`` for no hedge.

        The caller then spends a token with
        :meth:`~plantainstand_steering.RetryBudget.try_spend_on_hedge`.
        """
        if not context.idempotent or context.budget_available < 1:
            return None
        return next(_eligible(context), None)

    def _rotate(self) -> None:
        self._refresh()
        self._previous = self._current
        self._current = _new_histogram()
        self._window_end = self._clock.monotonic() + _WINDOW

    def _refresh(self) -> None:
        count = self._current.total_count + self._previous.total_count
        if count < _MIN_LATENCY_COUNT:
            return
        combined = _new_histogram()
        combined.add(self._previous)
        combined.add(self._current)
        value = combined.get_value_at_percentile(self._percent)
        self._delay = timedelta(microseconds=int(value))
        self._recorded_since_refresh = 0


def _new_histogram() -> HdrHistogram:
    return HdrHistogram(
        _LOWEST_MICROSECONDS,
        _HIGHEST_MICROSECONDS,
        _SIGNIFICANT_FIGURES,
    )


def _eligible(context: HedgeContext) -> Iterator[RankedCandidate]:
    return (
        ranked
        for ranked in context.ranked
        if ranked.has_free_slot
        and ranked.cost < context.time_left
        and not any(
            may_share_target(ranked.candidate, tried) for tried in context.tried
        )
    )

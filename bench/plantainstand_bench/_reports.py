"""Load and health reports of a target, true or faulty."""

from collections import deque
from dataclasses import dataclass
from datetime import timedelta

from plantainstand_core import Clock

from plantainstand_bench._target_settings import ReportFault

# Bounds the history that lagging reports are taken from.
_HISTORY_LENGTH = 2000


@dataclass(frozen=True)
class Report:
    """What a target says about itself."""

    in_flight: int
    """Requests running and waiting."""

    state: str
    """``cold``, ``ready`` or ``draining``."""


_GOOD_REPORT = Report(in_flight=0, state='ready')


class ReportView:
    """Keeps a history of one report and distorts it under a fault.

    A lagging or stuck report is taken from the samples of earlier requests
    for it, so its age depends on how often it is asked for.
    """

    def __init__(self, clock: Clock):
        """Start without history."""
        self._clock = clock
        self._samples: deque[tuple[timedelta, Report]] = deque(
            maxlen=_HISTORY_LENGTH,
        )
        self._stuck: Report | None = None

    def freeze(self, current: Report) -> None:
        """Keep ``current`` as what a stuck report says."""
        self._stuck = current

    def observe(self, current: Report, fault: ReportFault) -> Report:
        """Record the truth and return what is reported."""
        now = self._clock.monotonic()
        self._samples.append((now, current))
        if fault.mode == 'lying':
            return _GOOD_REPORT
        if fault.mode == 'stuck' and self._stuck is not None:
            return self._stuck
        if fault.mode == 'lagging':
            return self._sample_at(now - timedelta(milliseconds=fault.lag_ms))
        return current

    def _sample_at(self, moment: timedelta) -> Report:
        older = [report for at, report in self._samples if at <= moment]
        return older[-1] if older else self._samples[0][1]

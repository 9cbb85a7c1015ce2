"""Statements of targets on the requests that they take, or no longer take."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from datetime import timedelta

from plantainstand_core import TargetId

from plantainstand_fleet._messages import LimitStatement

STATEMENT_LIFETIME = timedelta(seconds=30)
"""Age at which a statement is dropped, because no entry VM has had an answer of
the target since."""

SIGNIFICANT_CHANGE = 0.1
"""Relative change of a limit that is passed on before the next report."""

LEAVING_LIFETIME = timedelta(minutes=10)
"""Age at which it is forgotten that a target leaves: far beyond the time for
which one stays after it has said so."""

StatementKey = tuple[TargetId, int]
"""Target and start of its process, in Unix milliseconds."""


@dataclass(frozen=True, slots=True)
class KnownLimit:
    """Newest statement of one target."""

    rate: float | None
    """Requests per second from all entry VMs together; None if the target no
    longer states a limit."""

    stated_at: timedelta
    """Monotonic time at which an entry VM received the statement."""

    limited_since: timedelta
    """Monotonic time at which this VM learned that the target has a limit."""


class StatedLimits:
    """Newest statement of each target; the end of a limit is one as well.

    That a target leaves holds for its start, whatever it states later.
    """

    def __init__(self) -> None:
        """Start without statements."""
        self._known: dict[StatementKey, KnownLimit] = {}
        self.leaving_since: dict[StatementKey, timedelta] = {}
        """Targets that said that they leave, with the time of the first word.
        Placement asks for each target of each request whether there is any."""

    @property
    def leaving_count(self) -> int:
        """Number of targets that said that they leave."""
        return len(self.leaving_since)

    def is_leaving(self, key: StatementKey) -> bool:
        """Tell whether a target said that it leaves."""
        return key in self.leaving_since

    def limit(self, key: StatementKey, now: timedelta) -> KnownLimit | None:
        """Return the limit of a target; None if it has none."""
        known = self._known.get(key)
        if known is None or known.rate is None or _is_expired(known, now):
            return None
        return known

    def limited_count(self, now: timedelta) -> int:
        """Return the number of targets that have a limit."""
        return sum(self.limit(key, now) is not None for key in self._known)

    def merge(
        self, statements: Iterable[LimitStatement], now: timedelta
    ) -> Sequence[LimitStatement]:
        """Keep the newest statements; return those that change a limit."""
        self._known = {
            key: known
            for key, known in self._known.items()
            if not _is_expired(known, now)
        }
        self.leaving_since = {
            key: since
            for key, since in self.leaving_since.items()
            if now - since < LEAVING_LIFETIME
        }
        return tuple(each for each in statements if self._merge(each, now))

    def statements(self, now: timedelta) -> tuple[LimitStatement, ...]:
        """Return all statements, with their ages as of ``now``."""
        limits = tuple(
            LimitStatement(
                target,
                started_ms,
                known.rate,
                (now - known.stated_at).total_seconds(),
            )
            for (target, started_ms), known in self._known.items()
            if not _is_expired(known, now)
        )
        leaving = tuple(
            LimitStatement(
                target,
                started_ms,
                rate=None,
                age_seconds=(now - since).total_seconds(),
                leaving=True,
            )
            for (target, started_ms), since in self.leaving_since.items()
        )
        return limits + leaving

    def _merge(self, statement: LimitStatement, now: timedelta) -> bool:
        if not statement.leaving:
            return self._record(statement, now)
        key = (statement.target, statement.started_ms)
        since = now - timedelta(seconds=statement.age_seconds)
        if key in self.leaving_since or now - since >= LEAVING_LIFETIME:
            return False
        self.leaving_since[key] = since
        return True

    def _record(self, statement: LimitStatement, now: timedelta) -> bool:
        key = (statement.target, statement.started_ms)
        stated_at = now - timedelta(seconds=statement.age_seconds)
        known = self._known.get(key)
        if known is not None and stated_at <= known.stated_at:
            return False
        previous = None if known is None else known.rate
        since = now
        if known is not None and previous is not None:
            since = known.limited_since
        self._known[key] = KnownLimit(statement.rate, stated_at, since)
        return _is_significant(previous, statement.rate)


def _is_significant(previous: float | None, rate: float | None) -> bool:
    if previous is None or rate is None:
        return previous != rate
    return abs(rate - previous) > previous * SIGNIFICANT_CHANGE


def _is_expired(known: KnownLimit, now: timedelta) -> bool:
    return now - known.stated_at > STATEMENT_LIFETIME

"""Proof that no key was withdrawn without this VM knowing it.

A proof is a lease: keys may be used until the time at which a question was sent
plus the limit, once the desired state is complete up to the log index that the
leader answered. Changes that are acknowledged after the question was sent are
not covered by its answer, and need not be until the lease has ended.
"""

from datetime import timedelta

from plantainstand_desired import DesiredView

CLOCK_RATE_MARGIN = 0.05
"""Part of the limit that is not used: the clocks of this VM and of the operator
may differ in rate by that much."""

MAX_UNCONFIRMED_INDEXES = 16
"""Answered log indexes that the desired state has not reached. The one whose
question was sent first is dropped beyond that."""


class KeyProofs:
    """Knows until when keys may be used; free of I/O."""

    def __init__(
        self, limit: timedelta | None, view: DesiredView, now: timedelta
    ):
        """Start without a proof; ``limit`` of None needs none."""
        self._lifetime = None
        if limit is not None:
            self._lifetime = limit * (1 - CLOCK_RATE_MARGIN)
        self._view = view
        self._sent_at: dict[int, timedelta] = {}
        self._unconfirmed: dict[int, timedelta] = {}
        self._proven_at: timedelta | None = None
        self._started_at = now

    @property
    def is_required(self) -> bool:
        """Whether keys may only be used with a proof."""
        return self._lifetime is not None

    def record_question(self, number: int, sent_at: timedelta) -> None:
        """Record a question; ``sent_at`` is read before it is sent."""
        if self._lifetime is None:
            return
        expired = [
            each
            for each, at in self._sent_at.items()
            if sent_at - at >= self._lifetime
        ]
        for old in expired:
            self._sent_at.pop(old)
        self._sent_at[number] = sent_at

    def record_answer(self, number: int, accounts_index: int) -> None:
        """Record the answer to a question of this process."""
        sent_at = self._sent_at.pop(number, None)
        if sent_at is None:
            return
        known_at = self._unconfirmed.get(accounts_index, sent_at)
        self._unconfirmed[accounts_index] = max(known_at, sent_at)
        if len(self._unconfirmed) > MAX_UNCONFIRMED_INDEXES:
            oldest = min(self._unconfirmed, key=self._unconfirmed.__getitem__)
            self._unconfirmed.pop(oldest)
        self._confirm()

    def is_current(self, now: timedelta) -> bool:
        """Tell whether keys may be used; call it right before each use."""
        if self._lifetime is None:
            return True
        self._confirm()
        return (
            self._proven_at is not None
            and now - self._proven_at < self._lifetime
        )

    def age(self, now: timedelta) -> timedelta:
        """Return the age of the newest proof; without one, of the process."""
        return now - (self._proven_at or self._started_at)

    def _confirm(self) -> None:
        """Take the answers for proofs that the desired state has reached."""
        reached = [
            index for index in self._unconfirmed if index <= self._view.index
        ]
        for index in reached:
            sent_at = self._unconfirmed.pop(index)
            self._proven_at = max(self._proven_at or sent_at, sent_at)

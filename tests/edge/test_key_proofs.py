"""Guards the time for which a VM may use keys without contact."""

import unittest
from datetime import timedelta

from plantainstand_core import LogIndex, ManualClock
from plantainstand_desired import DesiredView
from plantainstand_edge._key_proofs import (
    MAX_UNCONFIRMED_INDEXES,
    KeyProofs,
)

_LIMIT = timedelta(seconds=5)
_LIFETIME = timedelta(seconds=4.75)
_TICK = timedelta(milliseconds=1)


class KeyProofTests(unittest.TestCase):
    """A proof that lasts too long lets a withdrawn key be used.

    One that ends too early rejects requests that could have run.
    """

    def setUp(self) -> None:
        """Start with a desired state that is complete up to index 5."""
        self.clock = ManualClock()
        self.view = DesiredView()
        self._complete_through(5)
        self.proofs = KeyProofs(_LIMIT, self.view, self.clock.monotonic())

    def test_without_an_answer(self) -> None:
        """A question alone proves nothing; without a limit none is needed."""
        self._ask(1)
        self.assertFalse(self._is_current)
        unlimited = KeyProofs(None, self.view, self.clock.monotonic())
        self.assertTrue(unlimited.is_current(self.clock.monotonic()))

    def test_lost_answers(self) -> None:
        """The proof lasts from its question on, whatever is asked later."""
        self._ask(1)
        self.clock.advance(timedelta(seconds=1))
        self.proofs.record_answer(1, 5)
        self._ask(2)
        self.clock.advance(_LIFETIME - timedelta(seconds=1) - _TICK)
        self.assertTrue(self._is_current)
        self.clock.advance(_TICK)
        self.assertFalse(self._is_current)

    def test_late_answer(self) -> None:
        """An answer counts from its question, not from its arrival."""
        self._ask(1)
        self.clock.advance(_LIFETIME)
        self.proofs.record_answer(1, 5)
        self.assertFalse(self._is_current)

    def test_reordered_and_repeated_answers(self) -> None:
        """An earlier question's answer neither shortens nor prolongs."""
        self._ask(1)
        self.clock.advance(timedelta(seconds=1))
        self._ask(2)
        for number in (2, 1, 1):
            self.proofs.record_answer(number, 5)
        self.clock.advance(_LIFETIME - _TICK)
        self.assertTrue(self._is_current)
        self.clock.advance(_TICK)
        self.proofs.record_answer(2, 5)
        self.assertFalse(self._is_current)

    def test_state_lags_behind_the_answer(self) -> None:
        """A withdrawal that has not arrived yet ends the use of keys."""
        self._ask(1)
        self.clock.advance(timedelta(seconds=1))
        self.proofs.record_answer(1, 7)
        self._complete_through(6)
        self.assertFalse(self._is_current)
        self._complete_through(7)
        self.assertTrue(self._is_current)
        self.clock.advance(_LIFETIME - timedelta(seconds=1))
        self.assertFalse(self._is_current)

    def test_state_never_catches_up(self) -> None:
        """Answers that wait for the state take bounded memory."""
        for number in range(MAX_UNCONFIRMED_INDEXES * 2):
            self._ask(number)
            self.proofs.record_answer(number, 100 + number)
            self.clock.advance(_TICK)
        self.assertEqual(len(self.proofs._unconfirmed), MAX_UNCONFIRMED_INDEXES)
        for number in range(1000):
            self._ask(1000 + number)
            self.clock.advance(timedelta(milliseconds=50))
        self.assertLess(len(self.proofs._sent_at), 100)

    def test_frozen_process(self) -> None:
        """Answers that were read after a pause do not hide the pause."""
        self._ask(1)
        self.proofs.record_answer(1, 5)
        self._ask(2)
        self.clock.advance(timedelta(minutes=1))
        self.assertFalse(self._is_current)
        self.proofs.record_answer(2, 5)
        self.assertFalse(self._is_current)

    def test_clocks_of_other_rates(self) -> None:
        """No clock within 5 % uses a key beyond the limit in real time."""
        for rate in (0.95, 1, 1.05):
            with self.subTest(rate=rate):
                self.setUp()
                # The key is withdrawn right after the question was sent.
                self._ask(1)
                self.proofs.record_answer(1, 5)
                self.clock.advance(_LIMIT * rate)
                self.assertFalse(self._is_current)
                self.setUp()
                self._ask(1)
                self.proofs.record_answer(1, 5)
                self.clock.advance(timedelta(seconds=4.5) * rate)
                self.assertTrue(self._is_current)

    @property
    def _is_current(self) -> bool:
        return self.proofs.is_current(self.clock.monotonic())

    def _ask(self, number: int) -> None:
        self.proofs.record_question(number, self.clock.monotonic())

    def _complete_through(self, index: int) -> None:
        self.view.merge((), (), LogIndex(index))

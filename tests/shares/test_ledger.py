"""A ledger never uses more than its shares allow."""

import operator
import unittest
from datetime import timedelta

from hypothesis import given, settings
from hypothesis import strategies as st
from plantainstand_core import LogIndex, ResourceId
from plantainstand_shares import (
    Claim,
    GrowthLimit,
    ReleasedShare,
    ShareLedger,
    ShareUnit,
    Shortage,
    ShortageReason,
    SlotRamp,
    TargetPacer,
)

from tests.shares.builders import TARGET, Log, change, confirm, key, register

_LINK = ResourceId('link/a/b')
_START = timedelta(hours=1)
_SECOND = timedelta(seconds=1)
_RATE = ShareUnit.RATE


def _ledger(log: Log, vm: str = 'a') -> ShareLedger:
    ledger = ShareLedger(key(vm), lambda now: now >= _START)
    ledger.apply(log.state.view(), _START)
    return ledger


def _log() -> Log:
    return Log(
        register('a'),
        register('b'),
        change(4, ('a', 1, 2), ('b', 1, 2)),
        change(100, ('a', 1, 50), ('b', 1, 50), resource=_LINK, unit=_RATE),
    )


_SLOT = Claim(TARGET)
_REQUEST = Claim(_LINK, 20)
_RESPONSE = Claim(_LINK, 20, charged_on_release=True)
# Name, reserved before, wanted, seconds after the start, expected reason.
_CASES: tuple[
    tuple[str, list[Claim], list[Claim], float, str | None],
    ...,
] = (
    ('free slot', [_SLOT], [_SLOT], 0, None),
    ('no slot left', [_SLOT, _SLOT], [_SLOT], 9, 'in_use'),
    ('twice in one call', [_SLOT], [_SLOT, _SLOT], 0, 'in_use'),
    ('no share', [], [Claim(ResourceId('target/x'))], 0, 'share_too_small'),
    ('above the share', [], [Claim(_LINK, 51)], 0, 'share_too_small'),
    ('rate used up', [_REQUEST, _REQUEST], [_REQUEST], 1, 'in_use'),
    ('rate free again', [_REQUEST, _REQUEST], [_REQUEST], 1.1, None),
    ('response under way', [_RESPONSE, _RESPONSE], [_REQUEST], 9, 'in_use'),
    ('all or none', [_REQUEST, _REQUEST], [_SLOT, _REQUEST], 0, 'in_use'),
    ('no authority', [], [_SLOT], -1, 'no_authority'),
    ('nothing wanted without authority', [], [], -1, 'no_authority'),
)


class ReserveTest(unittest.TestCase):
    """Guards against use above a share, and against lost use."""

    def test_cases(self) -> None:
        """Each claim has the stated outcome, and a refusal takes nothing."""
        for name, before, wanted, seconds, expected in _CASES:
            with self.subTest(name):
                ledger = _ledger(_log())
                if before:
                    ledger.reserve(before, _START).unwrap()
                now = _START + seconds * _SECOND
                used = ledger.in_use(TARGET, now), ledger.in_use(_LINK, now)
                outcome = ledger.reserve(wanted, now)
                if expected is None:
                    self.assertTrue(outcome.is_ok())
                    continue
                reason = ShortageReason(expected)
                self.assertIs(outcome.unwrap_err().reason, reason)
                self.assertEqual(
                    (ledger.in_use(TARGET, now), ledger.in_use(_LINK, now)),
                    used,
                )

    def test_unused_response_bytes_come_back(self) -> None:
        """A short response leaves room for the next one at once."""
        ledger = _ledger(_log())
        reservation = ledger.reserve([_RESPONSE], _START).unwrap()
        ledger.release(reservation, _START, {_LINK: 5})
        self.assertEqual(ledger.in_use(_LINK, _START), 5)
        with self.assertRaises(ValueError):
            ledger.release(reservation, _START)

    def test_lowered_share(self) -> None:
        """A lowered share holds at once and is released when use has fallen."""
        log = _log()
        ledger = _ledger(log)
        first = ledger.reserve([_SLOT], _START).unwrap()
        second = ledger.reserve([_SLOT, _REQUEST], _START).unwrap()
        log.apply(change(4, ('a', 1, 1)))
        log.apply(change(100, ('a', 1, 10), resource=_LINK, unit=_RATE))
        ledger.apply(log.state.view(), _START)
        self.assertEqual(ledger.released_shares(_START), ())
        ledger.release(second, _START)
        slots = ReleasedShare(TARGET, LogIndex(5))
        rate = ReleasedShare(_LINK, LogIndex(6))
        self.assertEqual(ledger.released_shares(_START), (slots,))
        later = _START + 1.1 * _SECOND
        self.assertEqual(ledger.released_shares(later), (slots, rate))
        full = Shortage(ShortageReason.IN_USE, TARGET)
        self.assertEqual(ledger.reserve([_SLOT], later).unwrap_err(), full)
        ledger.release(first, later)
        log.apply(confirm('a', 5))
        ledger.apply(log.state.view(), later)
        self.assertEqual(ledger.released_shares(later), (rate,))

    def test_drain(self) -> None:
        """A closed ledger is drained when slots and rates are out of use."""
        ledger = _ledger(_log())
        reservation = ledger.reserve([_SLOT, _REQUEST], _START).unwrap()
        ledger.close()
        self.assertTrue(ledger.reserve([_SLOT], _START).is_err())
        ledger.release(reservation, _START)
        self.assertFalse(ledger.is_drained(_START))
        self.assertTrue(ledger.is_drained(_START + 1.1 * _SECOND))


_USES = st.lists(
    st.tuples(
        st.integers(0, 1),
        st.integers(1, 50),
        st.booleans(),
        st.integers(0, 400),
    ),
    max_size=60,
)


class RateTest(unittest.TestCase):
    """Guards against bursts of several owners in the same second."""

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(_USES, st.floats(1, 1.02))
    def test_any_second(
        self,
        uses: list[tuple[int, int, bool, int]],
        rate: float,
    ) -> None:
        """No second, by a clock 2 % slower, sees more than the capacity."""
        log = _log()
        ledgers = [_ledger(log, 'a'), _ledger(log, 'b')]
        spent: list[tuple[int, int]] = []
        now = 0
        for owner, amount, is_late, pause in uses:
            now += pause
            reading = _START + now * rate * _SECOND / 1000
            claim = Claim(_LINK, amount, is_late)
            taken = ledgers[owner].reserve([claim], reading)
            if taken.is_ok():
                spent.append((now, amount))
                ledgers[owner].release(taken.unwrap(), reading)
        for end, _amount in spent:
            self.assertLessEqual(_used_in_second(spent, end), 100)


def _used_in_second(spent: list[tuple[int, int]], end: int) -> int:
    return sum(used for at, used in spent if end - 1000 < at <= end)


# Share, seconds since the first use, usable slots.
_RAMP_CASES = (
    (2, 0, 1),
    (8, 0, 2),
    (8, 5, 5),
    (8, 10, 8),
    (0, 0, 0),
)


class PacingTest(unittest.TestCase):
    """Guards against a rush on a cold target."""

    def test_ramp(self) -> None:
        """The usable part grows from one slot at least to the share."""
        ramp = SlotRamp(10 * _SECOND, 0.25)
        for share, seconds, expected in _RAMP_CASES:
            with self.subTest(share=share, seconds=seconds):
                usable = ramp.usable(share, seconds * _SECOND)
                self.assertEqual(usable, expected)

    def test_growth(self) -> None:
        """Use grows by at most the VM's part of the rate in any second."""
        log = Log(register('a'), change(80, ('a', 1, 40)))
        ledger = _ledger(log)
        ramp = SlotRamp(timedelta(), 1)
        ledger.replace_pacers({TARGET: TargetPacer(ramp, GrowthLimit(8))})
        in_use = []
        for step in range(100):
            now = _START + step * _SECOND / 10
            while ledger.reserve([_SLOT], now).is_ok():
                ...
            in_use.append(int(ledger.in_use(TARGET, now)))
        grown = map(operator.sub, in_use[10:], in_use)
        self.assertLessEqual(max(grown), 4)
        self.assertGreater(in_use[-1], 15)

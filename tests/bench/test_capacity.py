"""The calculation from measured slopes to the load of each role."""

import unittest
from types import MappingProxyType

from plantainstand_bench._capacity_limits import (
    cached_share,
    exchange_rate,
    largest,
)
from plantainstand_bench._capacity_load import exchange_calls, totals
from plantainstand_bench._capacity_site import Row, Site
from plantainstand_bench._capacity_statistics import describe_line, fit_line

_EXCHANGE = MappingProxyType(
    {
        f'exchange with 3 services, {part}, bytes, {term}': figure
        for part in ('request', 'reply')
        for term, figure in (('slope', 70.0), ('intercept', 30.0))
    }
)


class FitTest(unittest.TestCase):
    """Guards against slopes that do not describe the measurements."""

    def test_line(self) -> None:
        """Points on a line have no residual."""
        line = fit_line({1: 5.0, 10: 23.0, 52: 107.0})
        self.assertAlmostEqual(line.slope, 2)
        self.assertAlmostEqual(line.intercept, 3)
        self.assertAlmostEqual(line.residual, 0)

    def test_curve(self) -> None:
        """A square is reported by a large residual."""
        line = fit_line({1: 1.0, 10: 100.0, 50: 2500.0})
        self.assertGreater(line.residual, 0.05)

    def test_samples(self) -> None:
        """Median and spread are those of the samples of each size."""
        figures = describe_line('x', {1: (3, 1, 2), 2: (4, 4, 9)})
        self.assertEqual(figures['x at 1'], 2)
        self.assertEqual(figures['x at 1, spread'], 2)
        self.assertEqual(figures['x at 2'], 4)
        self.assertAlmostEqual(figures['x, slope'], 2)


class LoadTest(unittest.TestCase):
    """Guards against wrong counts of messages and wrong sums."""

    def test_exchange_calls(self) -> None:
        """All zone peers and one VM of each other zone, twice a second."""
        self.assertEqual(exchange_calls(2, 6), 12)
        self.assertEqual(exchange_calls(1, 1), 0)

    def test_exchange_bytes(self) -> None:
        """Every call carries the zone's members in both directions."""
        # 2 VMs in 2 zones: 4 calls out and 4 in, 2 * (30 + 2 * 70) each.
        self.assertAlmostEqual(exchange_rate(_EXCHANGE, 2, 2), 2720)

    def test_site(self) -> None:
        """A VM polls the targets that it owns slots of, not more."""
        cases = ((10, 10), (1000, 0.54))
        for vms, expected in cases:
            with self.subTest(vms=vms):
                site = Site(vms, 60, 6, 0, 0, 0, 0)
                self.assertAlmostEqual(site.polled_targets, expected)

    def test_leader_is_voter(self) -> None:
        """A leader carries a voter's load beside its own."""
        rows = (
            Row('voter', 'a', 1, 2, 0.5, 10, ''),
            Row('leader', 'b', 3, 4, 0.25, 20, ''),
        )
        leader = totals(iter(rows))['leader']
        self.assertEqual(leader.received, 4)
        self.assertEqual(leader.core, 0.75)
        self.assertEqual(leader.bytes_both_ways, 30)


class LimitTest(unittest.TestCase):
    """Guards against stated limits that the slopes do not give."""

    def test_largest(self) -> None:
        """The last size within the limit is found."""
        self.assertEqual(largest(lambda size: size * size, 101), 10)
        self.assertEqual(largest(lambda size: size, 0.5), 0)

    def test_cached_share(self) -> None:
        """A caller that asks once per lifetime saves half its look-ups."""
        self.assertAlmostEqual(cached_share(1, 1), 0.5)
        self.assertAlmostEqual(cached_share(10, 3), 30 / 31)


if __name__ == '__main__':
    unittest.main()

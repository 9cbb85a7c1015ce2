"""The bound must stay a bound: nothing avoidable may be counted as lost."""

import unittest
from dataclasses import replace
from datetime import timedelta

from plantainstand_bench._service_bound import (
    DaySketch,
    ServiceLoad,
    objective_share_bound,
)

_LOAD = ServiceLoad(
    arrivals_per_second=100,
    slots=40,
    objects=50,
    cold_run=timedelta(milliseconds=500),
    warm_run=timedelta(milliseconds=100),
    objective=timedelta(milliseconds=400),
)
_CALM = DaySketch(timedelta(seconds=10), (), timedelta())


class BoundTests(unittest.TestCase):
    """A day of 1,000 requests, one thing lost at a time."""

    def test_losses(self) -> None:
        """Each row names the requests that no placement can save."""
        outage = timedelta(seconds=1.3)
        burst = (timedelta(seconds=5), 5)
        cases = (
            ('nothing', _LOAD, _CALM, 0),
            ('cold start', _LOAD, replace(_CALM, cold_shares=(1,)), 100),
            ('half cold', _LOAD, replace(_CALM, cold_shares=(0.5,)), 50),
            (
                'cold but in objective',
                replace(_LOAD, objective=timedelta(seconds=1)),
                replace(_CALM, cold_shares=(1,)),
                0,
            ),
            ('outage', _LOAD, replace(_CALM, outage=outage), 100),
            ('too few slots', replace(_LOAD, slots=5), _CALM, 500),
        )
        for name, load, day, lost in cases:
            with self.subTest(name):
                bound = objective_share_bound((load,), day)
                self.assertAlmostEqual(bound, 1 - lost / 1000)
        bursting = replace(_CALM, load_factors=(burst,))
        bound = objective_share_bound((_LOAD,), bursting)
        self.assertAlmostEqual(bound, 1 - 500 / 3000)

"""Guards that the weights of a route are met in any short sequence."""

import unittest
from collections import Counter

import msgspec
from plantainstand_core import ServiceId
from plantainstand_desired import Route, RouteMatch, Version, WeightedService
from plantainstand_placement import TrafficSplitter

from tests.desired.builders import route_item


def _match(version: int, *weights: float) -> RouteMatch:
    body = route_item('shop', version).body
    assert isinstance(body, Route)
    parts = tuple(
        WeightedService(ServiceId(str(number)), weight)
        for number, weight in enumerate(weights)
    )
    route = msgspec.structs.replace(body, parts=parts)
    return RouteMatch('shop', Version(version), route)


class SplitTests(unittest.TestCase):
    """Random choices would miss the weights in short windows."""

    def test_weights_are_met(self) -> None:
        """Each part receives its share, to within one request."""
        for weights in ((90, 10), (1, 1, 1), (5, 0), (0.5, 0.25, 0.25)):
            with self.subTest(weights=weights):
                splitter = TrafficSplitter()
                match = _match(1, *weights)
                counts = Counter(splitter.pick(match) for _ in range(100))
                for number, weight in enumerate(weights):
                    self.assertAlmostEqual(
                        counts[ServiceId(str(number))],
                        100 * weight / sum(weights),
                        delta=1,
                    )

    def test_preview(self) -> None:
        """Guards against previews that move the split or name another part."""
        splitter = TrafficSplitter()
        match = _match(1, 5, 2, 1)
        for _ in range(20):
            previews = {splitter.preview(match) for _ in range(3)}
            self.assertEqual(previews, {splitter.pick(match)})

    def test_new_version_resets_credits(self) -> None:
        """Credits under old weights do not skew the new ones."""
        splitter = TrafficSplitter()
        for _ in range(50):
            splitter.pick(_match(1, 99, 1))
        counts = Counter(splitter.pick(_match(2, 1, 1)) for _ in range(10))
        self.assertEqual(counts[ServiceId('0')], 5)

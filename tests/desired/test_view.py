"""An entry VM's view never goes back, whatever order updates arrive in."""

import unittest

from hypothesis import given
from hypothesis import strategies as st
from plantainstand_core import AvailabilityZoneId, LogIndex
from plantainstand_desired import DesiredView, EvacuationItem, Item

from tests.desired.builders import removal, route_item

_ZONE = AvailabilityZoneId('norte-a')
_ITEMS = st.one_of(
    st.builds(
        route_item,
        st.sampled_from(('one', 'two')),
        st.integers(1, 6),
    ),
    st.builds(removal, st.sampled_from(('one', 'two')), st.integers(7, 9)),
)


def _view(*items: Item) -> DesiredView:
    view = DesiredView()
    view.merge(items, (), LogIndex(1))
    return view


class MergeTests(unittest.TestCase):
    """Several control VMs send the same changes late and twice."""

    @given(st.lists(_ITEMS, max_size=12), st.randoms())
    def test_order_does_not_matter(
        self,
        items: list[Item],
        source: 'st.DataObject',
    ) -> None:
        """Any order and repetition ends in the same routes."""
        shuffled = [*items, *items]
        source.shuffle(shuffled)  # type: ignore[attr-defined]
        expected = DesiredView()
        mixed = DesiredView()
        for item in items:
            expected.merge((item,), (), LogIndex(1))
        for item in shuffled:
            mixed.merge((item,), (), LogIndex(1))
        first = expected.match('shop.example', '/orders/1')
        second = mixed.match('shop.example', '/orders/1')
        self.assertEqual(first is None, second is None)

    def test_version_never_goes_back(self) -> None:
        """A control VM that is behind changes nothing."""
        view = _view(route_item('shop', 5))
        changed = view.merge((route_item('shop', 4),), (), LogIndex(0))
        match = view.match('shop.example', '/orders/')
        self.assertFalse(changed)
        self.assertEqual(match.version if match else None, 5)

    def test_later_evacuation_order_holds(self) -> None:
        """An older order that arrives late does not evacuate again."""
        view = DesiredView()
        for index, active in ((7, False), (5, True)):
            order = EvacuationItem(_ZONE, active, index)
            view.merge((), (order,), LogIndex(index))
        self.assertEqual(view.evacuated_availability_zones(), frozenset())


class MatchTests(unittest.TestCase):
    """Host and longest prefix select the route."""

    def test_match(self) -> None:
        """Table of paths."""
        view = _view(
            route_item('all', 1, prefix='/'),
            route_item('orders', 1),
            route_item('old', 1, prefix='/orders/old/'),
            route_item('other', 1, host='other.example'),
        )
        cases = (
            ('shop.example', '/orders/1', 'orders'),
            ('SHOP.example', '/orders/1', 'orders'),
            ('shop.example', '/orders/old/1', 'old'),
            ('shop.example', '/orders', 'all'),
            ('other.example', '/orders/1', 'other'),
            ('none.example', '/orders/1', None),
        )
        for host, path, name in cases:
            with self.subTest(host=host, path=path):
                match = view.match(host, path)
                self.assertEqual(match.name if match else None, name)

    def test_unknown_until_a_route_arrives(self) -> None:
        """A VM without routes must not answer that a route is missing."""
        self.assertFalse(DesiredView().has_routes)
        self.assertTrue(_view(route_item('shop', 1)).has_routes)

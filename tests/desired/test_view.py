"""Tests of the desired state that an entry VM merges from updates."""

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
    """Guards against old or repeated updates that undo newer ones."""

    @given(st.lists(_ITEMS, max_size=12), st.randoms())
    def test_result_does_not_depend_on_order(
        self,
        items: list[Item],
        source: 'st.DataObject',
    ) -> None:
        """Updates in any order and number give the same routes."""
        shuffled = [*items, *items]
        source.shuffle(shuffled)  # type: ignore[attr-defined]
        expected = DesiredView()
        view_of_shuffled = DesiredView()
        for item in items:
            expected.merge((item,), (), LogIndex(1))
        for item in shuffled:
            view_of_shuffled.merge((item,), (), LogIndex(1))
        first = expected.match('shop.example', '/orders/1')
        second = view_of_shuffled.match('shop.example', '/orders/1')
        self.assertEqual(first is None, second is None)

    def test_older_version_changes_nothing(self) -> None:
        """An update of a control VM that lags behind is ignored."""
        view = _view(route_item('shop', 5))
        changed = view.merge((route_item('shop', 4),), (), LogIndex(0))
        match = view.match('shop.example', '/orders/')
        self.assertFalse(changed)
        self.assertEqual(match.version if match else None, 5)

    def test_older_evacuation_changes_nothing(self) -> None:
        """An older command that arrives late does not evacuate again."""
        view = DesiredView()
        for index, active in ((7, False), (5, True)):
            evacuation = EvacuationItem(_ZONE, active, index)
            view.merge((), (evacuation,), LogIndex(index))
        self.assertEqual(view.evacuated_availability_zones(), frozenset())


class MatchTests(unittest.TestCase):
    """Guards against requests that match a wrong route."""

    def test_host_and_longest_prefix_select_the_route(self) -> None:
        """Hosts match in any case; of several prefixes the longest matches."""
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

    def test_has_no_routes_until_one_arrives(self) -> None:
        """A VM without any routes can tell that from a missing route."""
        self.assertFalse(DesiredView().has_routes)
        self.assertTrue(_view(route_item('shop', 1)).has_routes)

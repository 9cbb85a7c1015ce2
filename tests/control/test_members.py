"""Tests of the choice of voters after losses and replacements."""

import unittest
from collections import Counter
from types import MappingProxyType

from hypothesis import given
from hypothesis import strategies as st
from plantainstand_control import MembershipView, choose_members
from plantainstand_core import RegionId, VmId

_REGIONS = MappingProxyType(
    {'a1': 'a', 'a2': 'a', 'b1': 'b', 'b2': 'b', 'c1': 'c', 'c2': 'c'}
)


def _choose(members: str, live: str, tolerated: int = 2) -> set[str]:
    view = MembershipView(
        [VmId(name) for name in members.split()],
        {VmId(name): RegionId(_REGIONS[name]) for name in live.split()},
        tolerated,
    )
    return set(choose_members(view))


class MemberTests(unittest.TestCase):
    """Guards against voters that are lost without a replacement."""

    def test_lost_voters_are_replaced_by_live_vms(self) -> None:
        """Spare live VMs fill the set; without spares, lost voters stay."""
        cases = (
            ('first', 'a1 b1 c1', 'a1 a2 b1 b2 c1 c2', 'a1 a2 b1 b2 c1'),
            ('full', 'a1 a2 b1 b2 c1', 'a1 a2 b1 b2 c1 c2', 'a1 a2 b1 b2 c1'),
            ('one lost', 'a1 a2 b1 b2 c1', 'a1 a2 b1 c1 c2', 'a1 a2 b1 c1 c2'),
            (
                'two lost, one spare',
                'a1 a2 b1 b2 c1',
                'a1 a2 c1 c2',
                'a1 a2 c1 c2 b1',
            ),
            ('none to replace', 'a1 b1 c1', 'a1 b1', 'a1 b1 c1'),
        )
        for name, members, live, expected in cases:
            with self.subTest(name):
                self.assertEqual(_choose(members, live), set(expected.split()))

    def test_loss_of_a_region_leaves_a_majority(self) -> None:
        """Each region holds only a minority of the voters."""
        chosen = _choose('a1 b1 c1', ' '.join(_REGIONS))
        by_region = Counter(_REGIONS[name] for name in chosen)
        self.assertGreater(len(chosen) - max(by_region.values()), 2)

    @given(
        st.sets(st.sampled_from(sorted(_REGIONS)), min_size=1),
        st.sets(st.sampled_from(sorted(_REGIONS)), min_size=1),
    )
    def test_choice_is_stable(self, members: set[str], live: set[str]) -> None:
        """A second choice changes nothing, so the voter set converges."""
        chosen = _choose(' '.join(members), ' '.join(live))
        self.assertEqual(_choose(' '.join(chosen), ' '.join(live)), chosen)

    @given(st.sets(st.sampled_from(sorted(_REGIONS)), min_size=1))
    def test_live_voters_stay(self, members: set[str]) -> None:
        """A live voter is never replaced by another VM."""
        chosen = _choose(' '.join(members), ' '.join(_REGIONS))
        self.assertTrue(members <= chosen)

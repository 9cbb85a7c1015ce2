"""Which control VMs are voters after losses and replacements."""

import unittest
from collections import Counter
from types import MappingProxyType

from hypothesis import given
from hypothesis import strategies as st
from plantainstand_control import MemberFacts, choose_members
from plantainstand_core import RegionId, VmId

_REGIONS = MappingProxyType(
    {'a1': 'a', 'a2': 'a', 'b1': 'b', 'b2': 'b', 'c1': 'c', 'c2': 'c'}
)


def _choose(members: str, live: str, tolerated: int = 2) -> set[str]:
    facts = MemberFacts(
        [VmId(name) for name in members.split()],
        {VmId(name): RegionId(_REGIONS[name]) for name in live.split()},
        tolerated,
    )
    return set(choose_members(facts))


class MemberTests(unittest.TestCase):
    """A lost voter is replaced before the next one is lost."""

    def test_choices(self) -> None:
        """Table of losses."""
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
        """Voters are spread over the regions."""
        chosen = _choose('a1 b1 c1', ' '.join(_REGIONS))
        by_region = Counter(_REGIONS[name] for name in chosen)
        self.assertGreater(len(chosen) - max(by_region.values()), 2)

    @given(
        st.sets(st.sampled_from(sorted(_REGIONS)), min_size=1),
        st.sets(st.sampled_from(sorted(_REGIONS)), min_size=1),
    )
    def test_stable(self, members: set[str], live: set[str]) -> None:
        """A second look changes nothing, or voters would change for ever."""
        once = _choose(' '.join(members), ' '.join(live))
        self.assertEqual(_choose(' '.join(once), ' '.join(live)), once)

    @given(st.sets(st.sampled_from(sorted(_REGIONS)), min_size=1))
    def test_live_voters_stay(self, members: set[str]) -> None:
        """A live voter is never sent away for another one."""
        chosen = _choose(' '.join(members), ' '.join(_REGIONS))
        self.assertTrue(members <= chosen)

"""Tests of the choice of the next voter change."""

import unittest

from plantainstand_consensus import Configuration, Node
from plantainstand_consensus._membership import next_configuration
from plantainstand_core import DiskId, VmId


def _node(name: str) -> Node:
    return Node(VmId(name[0]), DiskId(name))


def _names(configuration: Configuration | None) -> str | None:
    if configuration is None:
        return None
    return ' '.join(voter.disk for voter in configuration.voters)


# Name, members, voters, learners that have caught up, reachable nodes, next
# voters. A node is a letter for the VM and a digit for the disk; a1 leads.
_CASES = (
    ('nothing due', 'abc', 'a1 b1 c1', '', 'b1 c1', None),
    ('old disk is removed first', 'abc', 'a1 b1 c1', 'c2', 'b1 c2', 'a1 b1'),
    ('new disk is added next', 'abc', 'a1 b1', 'c2', 'b1 c2', 'a1 b1 c2'),
    ('old disk still answers', 'abc', 'a1 b1 c1', 'c2', 'b1 c1 c2', None),
    ('not a member', 'abc', 'a1 b1 c1', 'd1', 'b1 c1 d1', None),
    ('new member', 'abcd', 'a1 b1 c1', 'd1', 'b1 c1 d1', 'a1 b1 c1 d1'),
    (
        'surplus voter stays until all members are voters',
        'abd',
        'a1 b1 c1',
        '',
        'b1 c1',
        None,
    ),
    (
        'surplus voter is removed',
        'abd',
        'a1 b1 c1 d1',
        '',
        'b1 c1 d1',
        'a1 b1 d1',
    ),
    ('leader is removed last', 'bd', 'a1 b1 c1 d1', '', 'b1 c1 d1', 'a1 b1 d1'),
)


class NextConfigurationTest(unittest.TestCase):
    """Guards against changes of two voters at once and removals too early."""

    def test_next_change(self) -> None:
        """Each situation leads to a change of one voter or to none."""
        for name, members, voters, caught_up, reachable, expected in _CASES:
            with self.subTest(name):
                current = Configuration(
                    tuple(VmId(member) for member in members),
                    tuple(_node(voter) for voter in voters.split()),
                    formed=True,
                )
                next_voters = next_configuration(
                    current,
                    _node('a1'),
                    [_node(learner) for learner in caught_up.split()],
                    [_node(voter) for voter in reachable.split()],
                )
                self.assertEqual(_names(next_voters), expected)

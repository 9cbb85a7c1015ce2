"""The next voter change differs in one voter and loses no majority."""

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


# Members, voters, learners that have caught up, reachable, next voters. The
# leader is a1; the letter is the VM, the digit the disk.
_CASES = (
    ('nothing due', 'abc', 'a1 b1 c1', '', 'b1 c1', None),
    ('old disk goes first', 'abc', 'a1 b1 c1', 'c2', 'b1 c2', 'a1 b1'),
    ('then the new one comes', 'abc', 'a1 b1', 'c2', 'b1 c2', 'a1 b1 c2'),
    ('old disk still answers', 'abc', 'a1 b1 c1', 'c2', 'b1 c1 c2', None),
    ('not a member', 'abc', 'a1 b1 c1', 'd1', 'b1 c1 d1', None),
    ('new member', 'abcd', 'a1 b1 c1', 'd1', 'b1 c1 d1', 'a1 b1 c1 d1'),
    ('surplus waits', 'abd', 'a1 b1 c1', '', 'b1 c1', None),
    ('surplus goes', 'abd', 'a1 b1 c1 d1', '', 'b1 c1 d1', 'a1 b1 d1'),
    ('leader goes last', 'bd', 'a1 b1 c1 d1', '', 'b1 c1 d1', 'a1 b1 d1'),
)


class NextConfigurationTest(unittest.TestCase):
    """Guards against changes of two voters and against lost voters."""

    def test_cases(self) -> None:
        """Each situation leads to one change or none."""
        for name, members, voters, caught_up, reachable, expected in _CASES:
            with self.subTest(name):
                current = Configuration(
                    tuple(VmId(member) for member in members),
                    tuple(_node(voter) for voter in voters.split()),
                    formed=True,
                )
                following = next_configuration(
                    current,
                    _node('a1'),
                    [_node(learner) for learner in caught_up.split()],
                    [_node(voter) for voter in reachable.split()],
                )
                self.assertEqual(_names(following), expected)

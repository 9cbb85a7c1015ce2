"""Choice of the next voter change."""

from collections.abc import Collection

from plantainstand_core import VmId

from plantainstand_consensus._entries import Configuration, Node


def next_configuration(
    current: Configuration,
    leader: Node,
    caught_up: Collection[Node],
    reachable: Collection[Node],
) -> Configuration | None:
    """Return a voter set that differs in one voter, or None if none is due.

    ``caught_up`` are the learners that have all committed entries;
    ``reachable`` are the nodes that answered recently.
    """
    for learner in sorted(caught_up):
        if learner.vm not in current.members:
            continue
        replaced = current.voter_of(learner.vm)
        if replaced is None:
            return _with_voter(current, learner)
        # A disk that still answers is not lost. Then two processes run with
        # the same VM id, and the voter among them is kept.
        if replaced not in reachable:
            return _without_voter(current, replaced)
    return _without_surplus(current, leader)


def _without_surplus(
    current: Configuration,
    leader: Node,
) -> Configuration | None:
    present = {voter.vm for voter in current.voters}
    if not present.issuperset(current.members):
        return None
    surplus = [
        voter for voter in current.voters if voter.vm not in current.members
    ]
    # The leader is removed last, so that it can complete the other changes.
    surplus.sort(key=lambda voter: (voter == leader, voter))
    return _without_voter(current, surplus[0]) if surplus else None


def _with_voter(current: Configuration, added: Node) -> Configuration:
    voters = tuple(sorted((*current.voters, added)))
    present: set[VmId] = {voter.vm for voter in voters}
    formed = current.formed or present.issuperset(current.members)
    return Configuration(current.members, voters, formed)


def _without_voter(current: Configuration, removed: Node) -> Configuration:
    voters = tuple(voter for voter in current.voters if voter != removed)
    return Configuration(current.members, voters, current.formed)

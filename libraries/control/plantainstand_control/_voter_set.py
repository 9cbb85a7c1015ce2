"""What a voter set lacks, as its leader knows it."""

from dataclasses import dataclass

from plantainstand_consensus import ReplicaStatus
from plantainstand_core import VmId


@dataclass(frozen=True)
class VoterSetGaps:
    """Differences between the voters and the members, all empty at rest."""

    without_vote: tuple[VmId, ...] = ()
    """Members without a disk in the voter set."""

    surplus: tuple[VmId, ...] = ()
    """VMs of voters that are no members."""

    silent: tuple[VmId, ...] = ()
    """VMs of voters that have not answered the leader lately."""

    learning: tuple[VmId, ...] = ()
    """VMs that get the log for a disk without a vote."""


def describe_voter_set(status: ReplicaStatus) -> VoterSetGaps:
    """Return the gaps of a leader's voter set; no gaps on other replicas."""
    if not status.has_quorum_contact:
        return VoterSetGaps()
    voters = {voter.vm for voter in status.voters}
    members = set(status.members)
    return VoterSetGaps(
        tuple(sorted(members - voters)),
        tuple(sorted(voters - members)),
        tuple(voter.vm for voter in status.silent_voters),
        tuple(learner.node.vm for learner in status.learners),
    )

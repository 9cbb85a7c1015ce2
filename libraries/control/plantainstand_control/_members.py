"""Choice of the control VMs that are to be voters."""

from collections import Counter
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass
from datetime import timedelta

from plantainstand_consensus import ReplicaStatus
from plantainstand_core import Clock, RegionId, VmId

ABSENCE_TIMEOUT = timedelta(milliseconds=2500)
"""Time without an answer of a member's replica after which another VM may take
its place, though its process is live."""


@dataclass(frozen=True)
class MembershipView:
    """The leader's knowledge of the control VMs."""

    members: Sequence[VmId]
    """VMs that are to be voters at present."""

    live_regions: Mapping[VmId, RegionId]
    """Regions of the VMs that sent a message recently, with the leader, less
    members whose replicas are absent."""

    tolerated_losses: int
    """Number of voters that may be lost at the same time."""


class AbsenceRecord:
    """Since when the replicas of members have not answered the leader."""

    def __init__(self, clock: Clock):
        """Start without absent members."""
        self._clock = clock
        self._since: dict[VmId, timedelta] = {}

    def update(self, status: ReplicaStatus) -> Collection[VmId]:
        """Return the members that have been absent for too long.

        A replica is present if it is a voter or learner that answers. Call this
        regularly on the leader.
        """
        voters = set(status.voters) - set(status.silent_voters)
        learners = {learner.node for learner in status.learners}
        present = {node.vm for node in voters | learners}
        now = self._clock.monotonic()
        self._since = {
            vm: self._since.get(vm, now)
            for vm in status.members
            if vm not in present
        }
        return {
            vm
            for vm, since in self._since.items()
            if now - since >= ABSENCE_TIMEOUT
        }

    def clear(self) -> None:
        """Forget all when this VM does not lead."""
        self._since.clear()


def choose_members(view: MembershipView) -> tuple[VmId, ...]:
    """Return the VMs that are to be voters.

    The set has twice the tolerated losses plus one voters. Live VMs fill it,
    spread over the regions so that the loss of one region leaves a majority.
    A VM that is not live stays a member until a live VM can replace it.
    """
    voter_count = 2 * view.tolerated_losses + 1
    chosen_members = [vm for vm in view.members if vm in view.live_regions]
    unreachable = [vm for vm in view.members if vm not in view.live_regions]
    spare = sorted(set(view.live_regions) - set(chosen_members))
    while len(chosen_members) < voter_count and spare:
        added = _in_least_represented_region(
            spare, chosen_members, view.live_regions
        )
        spare.remove(added)
        chosen_members.append(added)
    missing = max(0, max(voter_count, len(view.members)) - len(chosen_members))
    return tuple(sorted((*chosen_members, *unreachable[:missing])))


def _in_least_represented_region(
    spare: Sequence[VmId],
    chosen_members: Sequence[VmId],
    regions: Mapping[VmId, RegionId],
) -> VmId:
    """Return a spare VM from the region with the fewest voters."""
    voters_by_region = Counter(regions[vm] for vm in chosen_members)
    return min(spare, key=lambda vm: (voters_by_region[regions[vm]], vm))

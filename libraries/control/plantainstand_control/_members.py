"""Which control VMs are meant to be voters."""

from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from plantainstand_core import RegionId, VmId


@dataclass(frozen=True)
class MemberFacts:
    """What the leader knows of the control VMs."""

    members: Sequence[VmId]
    """VMs that are meant to be voters now."""

    live: Mapping[VmId, RegionId]
    """VMs that were heard lately, the leader itself included."""

    tolerated_losses: int
    """Voters that may be lost at once."""


def choose_members(facts: MemberFacts) -> tuple[VmId, ...]:
    """Return the VMs that are to be voters.

    A voter set of twice the tolerated losses and one is kept full of live
    VMs, spread over the regions, so that the loss of one region leaves a
    majority. A VM that is not live keeps its place until there is another
    to take it.
    """
    wanted = 2 * facts.tolerated_losses + 1
    kept = [vm for vm in facts.members if vm in facts.live]
    silent = [vm for vm in facts.members if vm not in facts.live]
    spare = sorted(set(facts.live) - set(kept))
    while len(kept) < wanted and spare:
        chosen = _most_spread(spare, kept, facts.live)
        spare.remove(chosen)
        kept.append(chosen)
    missing = max(0, max(wanted, len(facts.members)) - len(kept))
    return tuple(sorted((*kept, *silent[:missing])))


def _most_spread(
    spare: Sequence[VmId],
    kept: Sequence[VmId],
    regions: Mapping[VmId, RegionId],
) -> VmId:
    """Return a spare VM of the region with the fewest voters."""
    used = Counter(regions[vm] for vm in kept)
    return min(spare, key=lambda vm: (used[regions[vm]], vm))

"""Choice of the entry VMs that a client connects to."""

from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass
from datetime import timedelta

import xxhash
from plantainstand_core import AvailabilityZoneId, RegionId

DIRECTORY_LIFETIME = timedelta(seconds=4)
"""Time for which clients may cache an answer; below the limit of five seconds.
A client that asks while its nearest control VMs are down waits one second for
each of them, so with a short lifetime an outage of the control VMs would become
an outage of the service. A cached address that has closed in the meantime costs
only another connection attempt."""

MAX_ADDRESSES = 64
"""Number of addresses that clients use from one answer."""


@dataclass(frozen=True)
class EntryVm:
    """An entry VM as its reports describe it."""

    client_address: str
    availability_zone: AvailabilityZoneId
    region: RegionId
    ready: bool


@dataclass(frozen=True)
class ClientLocation:
    """Region and availability zone of a client."""

    region: RegionId
    availability_zone: AvailabilityZoneId


def choose_entry_vms(
    entries: Collection[EntryVm],
    client: ClientLocation,
    home_regions: frozenset[RegionId],
) -> Sequence[str]:
    """Return the addresses of the ready entry VMs nearest to a client.

    All ready VMs of the client's region are candidates, not only those of its
    availability zone: the zones of a region are close to each other, and a
    single VM in a zone would be overloaded, or missed when it fails. If the
    region has no ready VM, those of the host's home regions are used, and
    otherwise all ready VMs.

    Of more than ``MAX_ADDRESSES`` candidates, those of the client's
    availability zone come first. The rest are selected by a hash of zone and
    address: all clients of a zone get the same VMs and so keep their
    connections, and each VM is selected for some zone.
    """

    def preference(entry: EntryVm) -> tuple[bool, int]:
        hashed = f'{client.availability_zone}/{entry.client_address}'.encode()
        return (
            entry.availability_zone != client.availability_zone,
            xxhash.xxh64_intdigest(hashed),
        )

    region = client.region
    ready = [entry for entry in entries if entry.ready]
    candidate_tests: tuple[Callable[[EntryVm], bool], ...] = (
        lambda entry: entry.region == region,
        lambda entry: entry.region in home_regions,
        lambda _entry: True,
    )
    for is_candidate in candidate_tests:
        candidates = [each for each in ready if is_candidate(each)]
        if len(candidates) > MAX_ADDRESSES:
            candidates.sort(key=preference)
        if candidates:
            nearest = candidates[:MAX_ADDRESSES]
            return sorted(each.client_address for each in nearest)
    return ()

"""Which entry VMs a client is sent to."""

from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass
from datetime import timedelta

import xxhash
from plantainstand_core import AvailabilityZoneId, RegionId

DIRECTORY_LIFETIME = timedelta(seconds=4)
"""Time for which clients may keep an answer, below the five seconds that
count. A client that asks while its nearest control VMs are down waits a second
for each, so a short lifetime makes every outage of the control VMs one of the
service; an address that has closed meanwhile costs only another connection."""

MAX_ADDRESSES = 64
"""Addresses that clients take from one answer."""


@dataclass(frozen=True)
class EntryVm:
    """An entry VM that reports to this control VM."""

    client_address: str
    availability_zone: AvailabilityZoneId
    region: RegionId
    ready: bool


@dataclass(frozen=True)
class ClientLocation:
    """Where a client is."""

    region: RegionId
    availability_zone: AvailabilityZoneId


def choose_entries(
    entries: Collection[EntryVm],
    client: ClientLocation,
    homes: frozenset[RegionId],
) -> Sequence[str]:
    """Return the addresses of the ready VMs nearest to a client.

    All VMs of the client's region take part: its zones are close to each
    other, and a single VM in a zone would be overloaded or missed. Without
    any, those of the home regions of the host answer, or all others. Where
    there are too many, those of the client's zone come first and others are
    the same for all clients of a zone, so that each VM gets clients and they
    keep their connections.
    """

    def preference(entry: EntryVm) -> tuple[bool, int]:
        place = f'{client.availability_zone}/{entry.client_address}'.encode()
        return (
            entry.availability_zone != client.availability_zone,
            xxhash.xxh64_intdigest(place),
        )

    region = client.region
    ready = [entry for entry in entries if entry.ready]
    choices: tuple[Callable[[EntryVm], bool], ...] = (
        lambda entry: entry.region == region,
        lambda entry: entry.region in homes,
        lambda _entry: True,
    )
    for suits in choices:
        chosen = [each for each in ready if suits(each)]
        if len(chosen) > MAX_ADDRESSES:
            chosen.sort(key=preference)
        if chosen:
            nearest = chosen[:MAX_ADDRESSES]
            return sorted(each.client_address for each in nearest)
    return ()

"""Mapping of client address blocks to availability zones."""

import ipaddress
from array import array
from bisect import bisect_right
from collections.abc import Iterable, Sequence
from typing import TypeAlias

from plantainstand_core import AvailabilityZoneId

_Network: TypeAlias = ipaddress.IPv4Network | ipaddress.IPv6Network
_Address: TypeAlias = ipaddress.IPv4Address | ipaddress.IPv6Address
_Ranges: TypeAlias = tuple[Sequence[int], Sequence[int]]
_NO_ZONE = -1
_IPV4 = 4
_LAST_IPV4 = int(ipaddress.IPv4Address('255.255.255.255'))
_IPV6 = 6


class ClientBlockTable:
    """Longest prefix match from an address to an availability zone.

    Nested blocks are flattened once into ranges that do not overlap, so a
    look-up is a single binary search.
    """

    def __init__(
        self,
        blocks: Iterable[tuple[_Network, AvailabilityZoneId]],
    ):
        """Build the table; the last of several equal blocks is used."""
        zone_numbers: dict[AvailabilityZoneId, int] = {}
        by_version: dict[int, dict[_Network, int]] = {_IPV4: {}, _IPV6: {}}
        for network, zone in blocks:
            zone_number = zone_numbers.setdefault(zone, len(zone_numbers))
            by_version[network.version][network] = zone_number
        self._zones: Sequence[AvailabilityZoneId] = tuple(zone_numbers)
        starts, zones = _flatten(by_version[_IPV4])
        if starts and starts[-1] > _LAST_IPV4:
            # The last block extends to the end of the address space, so its end
            # is not an IPv4 address.
            starts.pop()
        # IPv4 addresses fit in four bytes; IPv6 addresses are kept as int.
        self._ipv4: _Ranges = (array('I', starts), zones)
        self._ipv6: _Ranges = _flatten(by_version[_IPV6])

    @property
    def range_count(self) -> int:
        """Number of IPv4 and IPv6 ranges."""
        return len(self._ipv4[0]) + len(self._ipv6[0])

    def find(self, address: _Address) -> AvailabilityZoneId | None:
        """Return the zone of the longest matching block, or ``None``."""
        is_ipv4 = address.version == _IPV4
        starts, zones = self._ipv4 if is_ipv4 else self._ipv6
        position = bisect_right(starts, int(address)) - 1
        zone_number = zones[position] if position >= 0 else _NO_ZONE
        return None if zone_number == _NO_ZONE else self._zones[zone_number]


def _flatten(blocks: dict[_Network, int]) -> tuple[list[int], 'array[int]']:
    """Return the start addresses and zone numbers of disjoint ranges.

    Iterates over the blocks by start address, outer before inner blocks, with
    a stack of the blocks that contain the current address.
    """
    starts: list[int] = []
    zones = array('h')
    open_blocks: list[tuple[int, int]] = []

    def close_before(address: int | None) -> None:
        while open_blocks and (
            address is None or open_blocks[-1][0] <= address
        ):
            end = open_blocks.pop()[0]
            outer = open_blocks[-1][1] if open_blocks else _NO_ZONE
            _append_range(starts, zones, end, outer)

    for network, zone_number in sorted(blocks.items(), key=_by_start):
        start = int(network.network_address)
        close_before(start)
        _append_range(starts, zones, start, zone_number)
        open_blocks.append((start + _address_count(network), zone_number))
    close_before(None)
    return starts, zones


def _append_range(
    starts: list[int],
    zones: 'array[int]',
    start: int,
    zone_number: int,
) -> None:
    if starts and starts[-1] == start:
        zones[-1] = zone_number
    elif not zones or zones[-1] != zone_number:
        starts.append(start)
        zones.append(zone_number)


def _address_count(network: _Network) -> int:
    # The property num_addresses caches an address object for each block, which
    # costs memory.
    return 1 << (network.max_prefixlen - network.prefixlen)


def _by_start(block: tuple[_Network, int]) -> tuple[int, int]:
    network = block[0]
    return int(network.network_address), network.prefixlen

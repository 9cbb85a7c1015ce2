"""Entry VMs for callers, and the table of client blocks."""

import ipaddress
import unittest
from collections import Counter
from dataclasses import replace
from datetime import timedelta
from types import MappingProxyType

from hypothesis import given, settings
from hypothesis import strategies as st
from plantainstand_core import AvailabilityZoneId, RegionId, VmId
from plantainstand_membership import (
    ClientBlockTable,
    EntrySnapshot,
    EntryVm,
    rank_entries,
)

_ZONES = tuple(AvailabilityZoneId(f'z{number}') for number in range(6))
_REGIONS = MappingProxyType(
    {zone: RegionId(f'r{number // 2}') for number, zone in enumerate(_ZONES)}
)
_CALLERS = tuple(f'caller-{number}' for number in range(3000))


def _vms(per_zone: int, weight: float = 1) -> list[EntryVm]:
    return [
        EntryVm(
            VmId(f'{zone}-{number}'),
            '127.0.0.1',
            8000,
            zone,
            _REGIONS[zone],
            weight if number == 0 else 1,
        )
        for zone in _ZONES
        for number in range(per_zone)
    ]


def _names(snapshot: EntrySnapshot, caller: str, zone: str) -> list[VmId]:
    answer = rank_entries(snapshot, caller, AvailabilityZoneId(zone))
    return [entry.vm for entry in answer.entries]


class RankEntriesTest(unittest.TestCase):
    """Tests the order, spread and stability of entry VMs for callers."""

    def test_tiers(self) -> None:
        """Fails if a VM of another region comes before one of the region."""
        snapshot = EntrySnapshot(7, _vms(2), _REGIONS)
        answer = rank_entries(snapshot, 'me', _ZONES[2])
        zones = [entry.availability_zone for entry in answer.entries]
        self.assertEqual(set(zones[:2]), {'z2'})
        self.assertEqual(set(zones[2:4]), {'z3'})
        self.assertEqual(set(zones[4:8]), {'z0', 'z1', 'z4', 'z5'})
        self.assertEqual(len(zones), 12)
        self.assertEqual(answer.version, 7)
        self.assertEqual(answer.lifetime, timedelta(seconds=3))

    def test_large_zone(self) -> None:
        """Fails if the VMs of a large own zone fill the whole answer."""
        names = _names(EntrySnapshot(1, _vms(50), _REGIONS), 'me', 'z2')
        self.assertEqual(len(names), 12)
        zones = ' '.join(name[:2] for name in names)
        self.assertTrue(zones.startswith('z2 z2 z2 z2 z2 z2 z3 z3 z3 '))
        self.assertEqual(len(set(zones.split()[9:])), 3)

    def test_unknown_availability_zone(self) -> None:
        """Fails if a caller without a known zone gets no entry VMs."""
        snapshot = EntrySnapshot(1, _vms(1), _REGIONS)
        for zone in (None, AvailabilityZoneId('elsewhere')):
            answer = rank_entries(snapshot, 'me', zone)
            self.assertEqual(len(answer.entries), 6)

    def test_empty(self) -> None:
        """Fails if a snapshot without usable VMs raises an error."""
        vms = [replace(vm, usable=False) for vm in _vms(1)]
        self.assertEqual(_names(EntrySnapshot(1, vms, _REGIONS), 'x', 'z0'), [])

    def test_spread(self) -> None:
        """Fails if callers are not distributed according to the weights."""
        for weight, share in ((1.0, 0.25), (3.0, 0.5), (0.5, 1 / 7)):
            with self.subTest(weight):
                snapshot = EntrySnapshot(1, _vms(4, weight), _REGIONS)
                firsts = Counter(
                    _names(snapshot, caller, 'z0')[0] for caller in _CALLERS
                )
                found = firsts[VmId('z0-0')] / len(_CALLERS)
                self.assertLess(abs(found - share), 0.05)

    def test_leaving_moves_only_its_callers(self) -> None:
        """Fails if a leaving VM moves callers of other VMs."""
        vms = _vms(3)
        leaving = replace(vms[1], usable=False)
        before = EntrySnapshot(1, vms, _REGIONS)
        after = EntrySnapshot(2, [leaving, vms[0], *vms[2:]], _REGIONS)
        for caller in _CALLERS[:300]:
            kept = _names(before, caller, 'z0')[:3]
            kept = [name for name in kept if name != leaving.vm]
            self.assertEqual(_names(after, caller, 'z0')[:2], kept)

    @settings(derandomize=True, max_examples=80, deadline=None)
    @given(
        st.lists(st.booleans(), min_size=18, max_size=18),
        st.sampled_from((*_ZONES, None)),
        st.text(max_size=5),
    )
    def test_leaving_is_never_listed(
        self,
        usable: list[bool],
        zone: AvailabilityZoneId | None,
        caller: str,
    ) -> None:
        """Fails if an unusable VM is listed, or a VM is listed twice."""
        vms = [
            replace(vm, usable=flag)
            for vm, flag in zip(_vms(3), usable, strict=True)
        ]
        snapshot = EntrySnapshot(1, vms, _REGIONS)
        entries = rank_entries(snapshot, caller, zone).entries
        self.assertTrue(all(entry.usable for entry in entries))
        self.assertEqual(len({entry.vm for entry in entries}), len(entries))
        self.assertEqual(len(entries), min(sum(usable), 12))


class ClientBlockTableTest(unittest.TestCase):
    """Tests the mapping from addresses to availability zones."""

    def test_cases(self) -> None:
        """Fails if a shorter block hides a longer one, or a gap has a zone."""
        blocks = {
            '10.0.0.0/8': 'z0',
            '10.1.0.0/16': 'z1',
            '10.1.255.0/24': 'z2',
            '10.2.0.0/16': 'z1',
            '255.255.255.0/24': 'z3',
            'fd00::/8': 'z4',
            'fd00::1/128': 'z5',
        }
        table = ClientBlockTable(
            (ipaddress.ip_network(block), AvailabilityZoneId(zone))
            for block, zone in blocks.items()
        )
        cases = (
            ('9.255.255.255', None),
            ('10.0.0.0', 'z0'),
            ('10.1.2.3', 'z1'),
            ('10.1.255.9', 'z2'),
            ('10.2.0.0', 'z1'),
            ('10.3.0.0', 'z0'),
            ('11.0.0.0', None),
            ('255.255.255.255', 'z3'),
            ('fd00::', 'z4'),
            ('fd00::1', 'z5'),
            ('fd00::2', 'z4'),
            ('::1', None),
        )
        for address, zone in cases:
            with self.subTest(address):
                found = table.find(ipaddress.ip_address(address))
                self.assertEqual(found, zone)

    @settings(derandomize=True, max_examples=150, deadline=None)
    @given(
        st.dictionaries(
            st.tuples(st.integers(0, 255), st.integers(24, 32)),
            st.sampled_from(_ZONES),
            max_size=12,
        ),
    )
    def test_matches_linear_search(
        self,
        blocks: dict[tuple[int, int], AvailabilityZoneId],
    ) -> None:
        """Fails if a nested or adjacent block changes another one's range."""
        networks = {
            ipaddress.ip_network((f'10.0.0.{last}', length), strict=False): zone
            for (last, length), zone in blocks.items()
        }
        table = ClientBlockTable(networks.items())
        for last in range(256):
            address = ipaddress.ip_address(f'10.0.0.{last}')
            holding = [block for block in networks if address in block]
            longest = max(
                holding, key=lambda block: block.prefixlen, default=None
            )
            expected = None if longest is None else networks[longest]
            self.assertEqual(table.find(address), expected)

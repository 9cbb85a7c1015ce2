"""Writes the catalogues of the two current deployments.

``python -m plantainstand_bench._deployment_catalogues FOLDER`` writes
``trefila-catalogue.jsonc`` and ``edredao-catalogue.jsonc``. The figures are
those of the design page, section 3.
"""

import itertools
import json
import sys
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any, TypeAlias

_FIRST_PORT = 21000
_HOST = '127.0.0.1'
_KIB = 1024
_ZONES_PER_REGION = ('a', 'b')

Fields: TypeAlias = Mapping[str, Any]


@dataclass(frozen=True)
class _Service:
    name: str
    traffic_class: str
    idempotent: bool
    targets: int
    slots: int
    limits: Fields
    shift: Fields
    hedge_percentile: float | None = None


@dataclass(frozen=True)
class _Deployment:
    name: str
    owner: str
    notes: Sequence[str]
    regions: Sequence[str]
    region_in_flight: int
    zone_in_flight: int
    zone_delay_ms: float
    link_delay_ms: float
    link_bytes_per_second: int
    connections: int
    services: Sequence[_Service]


def _limits(
    deadline_ms: int,
    request_kib: int,
    response_kib: int,
    queue_length: int,
) -> Fields:
    return {
        'deadline_ms': deadline_ms,
        'request_bytes': request_kib * _KIB,
        'response_bytes': response_kib * _KIB,
        'queue_length': queue_length,
    }


def _shift(target_slots: float, region_requests: float) -> Fields:
    return {
        'target_slots_per_second': target_slots,
        'region_requests_per_second': region_requests,
    }


_NOTES = (
    'Entries of the benchmark deployment, written by',
    'plantainstand_bench._deployment_catalogues; figures from docs/design.md,',
    'section 3.',
    '',
    'Links: 95 % of the link, because it also carries the traffic between the',
    'VMs of the system, which link shares do not count.',
    'Regions and zones: about a tenth above the slots of their targets, so',
    'that splitting the limit among entry VMs leaves no slot unused.',
    'Targets: spread over the zones in turn, so that the zones of one region',
    'differ by at most one target of each service.',
)

TREFILA = _Deployment(
    name='trefila',
    owner='trefila-operations',
    notes=(
        'Technicians wait for look-ups beside a stopped press: catalogue is',
        'critical, hedged, and its deadline is short. Orders and dispatches',
        'cost money when doubled: they are never hedged.',
    ),
    regions=('bajio', 'norte', 'occidente'),
    region_in_flight=96,
    zone_in_flight=52,
    zone_delay_ms=0.5,
    link_delay_ms=20,
    link_bytes_per_second=475_000_000,
    connections=330,
    services=(
        _Service(
            'catalogue',
            'critical',
            idempotent=True,
            targets=14,
            slots=9,
            limits=_limits(2000, 8, 128, 64),
            shift=_shift(3, 400),
            hedge_percentile=0.95,
        ),
        _Service(
            'order',
            'normal',
            idempotent=False,
            targets=12,
            slots=7,
            limits=_limits(8000, 64, 16, 48),
            shift=_shift(2, 60),
        ),
        _Service(
            'dispatch',
            'normal',
            idempotent=False,
            targets=12,
            slots=3,
            limits=_limits(10000, 16, 8, 24),
            shift=_shift(1, 30),
        ),
    ),
)

EDREDAO = _Deployment(
    name='edredao',
    owner='edredao-counter',
    notes=(
        'Planned stops must end before the counters open: no deadline is',
        'above 10 s, because a drain can last the longest deadline and 5 s.',
        'A repeated booking sends two vans and a repeated charge is refunded',
        'only the next morning: booking and till are never hedged.',
    ),
    regions=('norte', 'centro', 'sul'),
    region_in_flight=64,
    zone_in_flight=34,
    zone_delay_ms=1.4,
    link_delay_ms=35,
    link_bytes_per_second=33_250_000,
    connections=390,
    services=(
        _Service(
            'status',
            'critical',
            idempotent=True,
            targets=18,
            slots=5,
            limits=_limits(2000, 4, 16, 48),
            shift=_shift(2, 200),
            hedge_percentile=0.95,
        ),
        _Service(
            'booking',
            'normal',
            idempotent=False,
            targets=12,
            slots=4,
            limits=_limits(6000, 16, 8, 32),
            shift=_shift(1, 40),
        ),
        _Service(
            'till',
            'normal',
            idempotent=False,
            targets=12,
            slots=3,
            limits=_limits(10000, 8, 8, 24),
            shift=_shift(1, 30),
        ),
    ),
)


def render(deployment: _Deployment) -> str:
    """Return the text of a deployment's catalogue file."""
    notes = (*_NOTES, '', *deployment.notes)
    lines = [f'// {note}'.rstrip() for note in notes]
    sections = ',\n'.join(
        f'    // {title}\n{_lines(entries)}'
        for title, entries in _sections(deployment)
    )
    return '\n'.join((*lines, '{', '  "entries": [', sections, '  ]', '}', ''))


def _lines(entries: Sequence[Fields]) -> str:
    return ',\n'.join(f'    {json.dumps(entry)}' for entry in entries)


def _sections(
    deployment: _Deployment,
) -> Iterator[tuple[str, Sequence[Fields]]]:
    yield 'Regions.', [_region(deployment, name) for name in deployment.regions]
    yield (
        'Availability zones, two in each region.',
        [_zone(deployment, *pair) for pair in _zone_pairs(deployment)],
    )
    yield (
        'Links, one entry for each direction.',
        [
            _link(deployment, *ends)
            for ends in itertools.permutations(deployment.regions, 2)
        ],
    )
    yield (
        'Services.',
        [_service(deployment, service) for service in deployment.services],
    )
    ports = itertools.count(_FIRST_PORT)
    for service in deployment.services:
        slots = service.targets * service.slots
        yield (
            f'Targets of {service.name}: {slots} slots in all.',
            list(_targets(deployment, service, ports)),
        )


def _zone_pairs(deployment: _Deployment) -> Sequence[tuple[str, str]]:
    # Regions first: the first zones of a list lie in different regions.
    return [
        (region, letter)
        for letter in _ZONES_PER_REGION
        for region in deployment.regions
    ]


def _common(kind: str, name: str, owner: str, traffic_class: str) -> Fields:
    return {'kind': kind, 'id': name, 'owner': owner, 'class': traffic_class}


def _region(deployment: _Deployment, name: str) -> Fields:
    return {
        **_common('region', name, deployment.owner, 'critical'),
        'limits': {'requests_in_flight': deployment.region_in_flight},
        'zone_delay_ms': deployment.zone_delay_ms,
    }


def _zone(deployment: _Deployment, region: str, letter: str) -> Fields:
    name = f'{region}-{letter}'
    return {
        **_common('availability_zone', name, deployment.owner, 'critical'),
        'limits': {'requests_in_flight': deployment.zone_in_flight},
        'region': region,
    }


def _link(deployment: _Deployment, source: str, destination: str) -> Fields:
    name = f'{source}-{destination}'
    return {
        **_common('link', name, deployment.owner, 'critical'),
        'limits': {'bytes_per_second': deployment.link_bytes_per_second},
        'from_region': source,
        'to_region': destination,
        'delay_ms': deployment.link_delay_ms,
    }


def _service(deployment: _Deployment, service: _Service) -> Fields:
    owner = f'{deployment.name}-{service.name}'
    fields = {
        **_common('service', service.name, owner, service.traffic_class),
        'limits': service.limits,
        'idempotent': service.idempotent,
        'shift': service.shift,
    }
    if service.hedge_percentile is not None:
        percentile = service.hedge_percentile
        fields['hedge'] = {'enabled': True, 'percentile': percentile}
    return fields


def _targets(
    deployment: _Deployment,
    service: _Service,
    ports: Iterator[int],
) -> Iterator[Fields]:
    owner = f'{deployment.name}-{service.name}'
    zones = itertools.cycle(_zone_pairs(deployment))
    for number, (region, letter) in zip(
        range(1, service.targets + 1),
        zones,
        strict=False,
    ):
        name = f'{service.name}-{number:02}'
        yield {
            **_common('target', name, owner, service.traffic_class),
            'limits': {
                'slots': service.slots,
                'connections': deployment.connections,
            },
            'service': service.name,
            'availability_zone': f'{region}-{letter}',
            'host': _HOST,
            'port': next(ports),
        }


def main() -> int:
    """Write both files into the folder named by the first argument."""
    folder = Path(sys.argv[1])
    for deployment in (TREFILA, EDREDAO):
        path = folder / f'{deployment.name}-catalogue.jsonc'
        path.write_text(render(deployment), encoding='utf-8')
    return 0


if __name__ == '__main__':
    sys.exit(main())

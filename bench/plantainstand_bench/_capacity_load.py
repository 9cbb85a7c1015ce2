"""Load of each role at a size, worked out from the measured slopes."""

from collections.abc import Iterator, Mapping

from plantainstand_bench._capacity_site import Row, Site

Figures = Mapping[str, float]

_DAY_S = 86400
_MICROSECOND = 1e-6
_INTERVALS_PER_SECOND = 2
"""Heartbeats, exchanges and keep-alives run every 0.5 s."""

_VOTERS = 5
_MEMBERS = (1, 10, 52)


def role_rows(figures: Figures, site: Site) -> Iterator[Row]:
    """Work out every activity of every role."""
    yield from _entry_rows(figures, site)
    yield from _voter_rows(figures, site, 'voter', _VOTERS)
    yield from _leader_rows(figures, site)
    yield from _relay_rows(figures, site)


def totals(rows: Iterator[Row]) -> Mapping[str, Row]:
    """Add up the rows of each role; a leader is also a voter."""
    sums: dict[str, Row] = {}
    for row in rows:
        known = sums.get(row.role, Row(row.role, 'total', 0, 0, 0, 0, ''))
        sums[row.role] = _add(known, row)
    if 'leader' in sums and 'voter' in sums:
        sums['leader'] = _add(sums['leader'], sums['voter'])
    return sums


def on_line(figures: Figures, name: str, size: float) -> float:
    """Return the value of a fitted line."""
    return figures[f'{name}, intercept'] + size * figures[f'{name}, slope']


def commands_per_second(figures: Figures, site: Site) -> float:
    """Return the commands that follow changes and membership events.

    They come in bursts, unlike operators' changes.
    """
    vms = site.vms
    changed = figures[f'commands after a change, count at {vms} VMs']
    event = sum(
        figures[f'{name}, commands at {vms} VMs']
        for name in ('reclaim', 'register')
    )
    changes = site.changes_per_second * changed
    return changes + site.events_per_second * event / 2


def command_bytes_per_second(figures: Figures, site: Site) -> float:
    """Return the bytes of operators' changes and what follows them."""
    vms = site.vms
    changed = figures[f'commands after a change, count at {vms} VMs']
    change_bytes = figures[f'change, bytes at {vms} VMs'] * (1 + changed)
    event_bytes = sum(
        figures[f'{name}, bytes of commands at {vms} VMs']
        for name in ('reclaim', 'register')
    )
    changes = site.changes_per_second * change_bytes
    return changes + site.events_per_second * event_bytes / 2


def followed_core(figures: Figures, site: Site, side: str) -> float:
    """Return the processor time of one stream at one of its sides."""
    idle = figures[f'follow without changes, {side}, us/s, slope']
    change = figures[f'followed change, {side}, us, slope']
    burst = figures[f'command in a burst, {side}, us, slope']
    spent = idle + site.changes_per_second * change
    spent += commands_per_second(figures, site) * burst
    return spent * _MICROSECOND


def exchange_calls(members: float, zones: int) -> float:
    """Return the calls that a VM makes each second, and gets on average."""
    return _INTERVALS_PER_SECOND * (members - 1 + zones - 1)


def exchange_bytes(figures: Figures, members: float) -> float:
    """Return the bytes of one exchange, request and reply."""
    return sum(
        on_line(figures, f'exchange with 3 services, {part}, bytes', members)
        for part in ('request', 'reply')
    )


def rebuild_seconds(figures: Figures, vms: int) -> float:
    """Return the processor time that a VM needs to put a view in force."""
    return sum(
        figures[f'{part}, s at {vms} VMs']
        for part in ('apply shares', 'rebuild services', 'rebuild entries')
    )


def _entry_rows(figures: Figures, site: Site) -> Iterator[Row]:
    heartbeat = sum(
        on_line(figures, f'heartbeat {part}, bytes', site.vms)
        for part in ('request', 'reply')
    )
    vm_us = on_line(figures, 'heartbeat, VM, us', site.vms)
    rate = _INTERVALS_PER_SECOND
    yield Row(
        'entry node',
        'heartbeats',
        rate,
        rate,
        rate * vm_us * _MICROSECOND,
        rate * heartbeat,
        'heartbeat, VM, us',
    )
    yield _exchange_row(figures, site)
    yield _following_row(figures, site)
    rebuilds = site.changes_per_second + site.events_per_second
    yield Row(
        'entry node',
        'put views in force, at least once per change or event',
        0,
        0,
        rebuilds * rebuild_seconds(figures, site.vms),
        0,
        'apply shares + rebuild services + rebuild entries, s',
    )
    polled = site.polled_targets
    yield Row(
        'entry node',
        'health reports of targets',
        polled,
        polled,
        polled * _MICROSECOND * on_line(figures, 'health report, us', polled),
        polled * on_line(figures, 'health report, bytes both ways', polled),
        'health report, us',
    )


def _exchange_row(figures: Figures, site: Site) -> Row:
    calls = exchange_calls(site.members, site.zones)
    # Not linear: the fixed cost of a turn is shared by its calls. A measured
    # zone of n members makes n calls in a turn, one of them to the other zone.
    in_turn = calls / _INTERVALS_PER_SECOND
    measured = min(_MEMBERS, key=lambda size: abs(size - in_turn))
    spent = sum(
        figures[f'exchange with 3 services, {side}, us at {measured}']
        for side in ('caller', 'answering VM')
    )
    size = 2 * calls * exchange_bytes(figures, site.members)
    return Row(
        'entry node',
        'exchanges',
        2 * calls,
        2 * calls,
        calls * spent * _MICROSECOND,
        size,
        'exchange with 3 services, us at the nearest calls; line of bytes',
    )


def _following_row(figures: Figures, site: Site) -> Row:
    commands = site.changes_per_second + commands_per_second(figures, site)
    restarts = site.restarts_per_day / _DAY_S / site.vms
    restored = restarts * figures[f'restore, s at {site.vms} VMs']
    snapshot = restarts * figures[f'snapshot, bytes at {site.vms} VMs']
    return Row(
        'entry node',
        'follow the log',
        _INTERVALS_PER_SECOND + commands,
        0,
        followed_core(figures, site, 'all followers') + restored,
        figures['follow without changes, bytes to all/s, slope']
        + command_bytes_per_second(figures, site)
        + snapshot,
        'follow without changes + followed change + command in a burst',
    )


def _voter_rows(
    figures: Figures,
    site: Site,
    role: str,
    voters: int,
) -> Iterator[Row]:
    streams = site.vms / voters
    commands = site.changes_per_second + commands_per_second(figures, site)
    yield Row(
        role,
        'follow streams',
        0,
        streams * (_INTERVALS_PER_SECOND + commands),
        streams * followed_core(figures, site, 'voter'),
        streams
        * (
            figures['follow without changes, bytes to all/s, slope']
            + command_bytes_per_second(figures, site)
        ),
        'follow without changes + followed change + command in a burst',
    )
    restarts = site.restarts_per_day / _DAY_S / voters
    yield Row(
        role,
        'snapshots of restarted VMs',
        restarts,
        restarts,
        restarts * figures[f'build snapshot, s at {site.vms} VMs'],
        restarts * figures[f'snapshot, bytes at {site.vms} VMs'],
        'snapshot, bytes',
    )
    applied = figures[f'apply change, us at {site.vms} VMs']
    proposal = 1 / figures['proposals_per_second_5_voters'] / _VOTERS
    yield Row(
        role,
        'log: commit and apply',
        commands,
        commands,
        commands * (proposal + applied * _MICROSECOND),
        2 * command_bytes_per_second(figures, site),
        'proposals_per_second_5_voters (part log) + apply change',
    )


def _leader_rows(figures: Figures, site: Site) -> Iterator[Row]:
    rate = _INTERVALS_PER_SECOND * site.vms
    size = sum(
        on_line(figures, f'heartbeat {part}, bytes', site.vms)
        for part in ('request', 'reply')
    )
    spent = on_line(figures, 'heartbeat, leader, us', site.vms)
    yield Row(
        'leader',
        'heartbeats',
        rate,
        rate,
        rate * spent * _MICROSECOND,
        rate * size,
        'heartbeat, leader, us',
    )
    yield Row(
        'leader',
        'lapse checks every 0.2 s',
        0,
        0,
        on_line(figures, 'leader without calls, core', site.vms),
        0,
        'leader without calls, core',
    )
    plans = site.changes_per_second + site.events_per_second
    yield Row(
        'leader',
        'planner, at least once per change or event',
        0,
        0,
        plans * figures[f'settled plan, s at {site.vms} VMs'],
        0,
        'settled plan, s',
    )


def _relay_rows(figures: Figures, site: Site) -> Iterator[Row]:
    """Project a relay from the costs of the leader's and voter's calls."""
    rate = _INTERVALS_PER_SECOND * site.members
    size = sum(
        on_line(figures, f'heartbeat {part}, bytes', site.vms)
        for part in ('request', 'reply')
    )
    spent = on_line(figures, 'heartbeat, leader, us', site.vms)
    yield Row(
        'zone relay (projected)',
        'heartbeats of its zone',
        rate,
        rate,
        rate * spent * _MICROSECOND,
        rate * size,
        'heartbeat, leader, us',
    )
    commands = site.changes_per_second + commands_per_second(figures, site)
    yield Row(
        'zone relay (projected)',
        'follow streams of its zone',
        commands,
        site.members * (_INTERVALS_PER_SECOND + commands),
        site.members * followed_core(figures, site, 'voter'),
        site.members
        * (
            figures['follow without changes, bytes to all/s, slope']
            + command_bytes_per_second(figures, site)
        ),
        'follow without changes + followed change + command in a burst',
    )


def _add(first: Row, second: Row) -> Row:
    return Row(
        first.role,
        first.activity,
        first.received + second.received,
        first.sent + second.sent,
        first.core + second.core,
        first.bytes_both_ways + second.bytes_both_ways,
        '',
    )

"""Times at which authority ends at the VM and the leader reclaims."""

import unittest
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from datetime import timedelta

from plantainstand_core import LogIndex, ManualClock, VmId
from plantainstand_shares import (
    AnyCommand,
    Heartbeat,
    HeartbeatStatus,
    ReclaimVm,
    SetLongestDeadline,
    SupportGrantor,
    SupportHolder,
    SupportTiming,
    VmIncarnation,
    ZoneSupport,
    ZoneSupportAnswer,
)

from tests.shares.builders import (
    Log,
    depart,
    key,
    leave,
    reclaim,
    register,
)

_SECOND = timedelta(seconds=1)
_STEP_SECONDS = 0.02
_HEARTBEAT_INTERVAL_SECONDS = 0.5
_GRACE_SECONDS = 3900


def _registered(vms: str) -> list[AnyCommand]:
    return [register(vm) for vm in vms]


@dataclass(frozen=True)
class _Reclaim:
    """A case in which VM `a` sends its last heartbeat at 10 s.

    The lease ends at 13.06 s and the grace period at 50.8 s. Peers are told to
    revoke their support at 13.5 s and confirm it at 14 s, so zone support ends
    at 17.06 s. Work with a deadline of 10 s takes up to 11.22 s more.
    """

    name: str
    vms: str
    reclaimed_at: float | None
    silent_peers: str = ''
    """Peers that send no heartbeats after 10 s."""

    peers_without_promise: str = ''
    """Peers whose heartbeats contain no revocations."""

    commands: Mapping[float, AnyCommand] = field(default_factory=dict)
    terminated: Mapping[float, str] = field(default_factory=dict)
    last_heartbeat: float = 10
    applied_index: int = 9
    """Applied index in the heartbeats of `a`."""


_RECLAIM_CASES = (
    _Reclaim('two', 'ab', 28.28),
    _Reclaim('three', 'abc', 28.28),
    _Reclaim('three, one peer unreachable', 'abc', None, silent_peers='b'),
    _Reclaim('four, one peer unreachable', 'abcd', 28.28, silent_peers='b'),
    _Reclaim('five, one unreachable', 'abcde', 28.28, silent_peers='b'),
    _Reclaim('five, two unreachable', 'abcde', None, silent_peers='bc'),
    _Reclaim('no promise', 'abc', None, peers_without_promise='bc'),
    _Reclaim('one promise of two', 'abc', None, peers_without_promise='b'),
    _Reclaim('never heard by this leader', 'ab', 19.28, last_heartbeat=-1),
    _Reclaim('sole', 'a', 62.02),
    _Reclaim('sole, terminated', 'a', 31.22, terminated={20: 'a'}),
    _Reclaim('sole, restarted', 'a', 31.22, commands={20: register('a', 2)}),
    _Reclaim('terminated while supported', 'a', 24.28, terminated={5: 'a'}),
    _Reclaim(
        'unreachable peer terminated',
        'abc',
        34.28,
        silent_peers='b',
        terminated={20: 'b'},
    ),
    _Reclaim(
        'unreachable peer departed',
        'abc',
        34.28,
        silent_peers='b',
        commands={20: depart('b')},
    ),
    _Reclaim(
        'peer restarted after its promise',
        'ab',
        35.28,
        commands={20: register('b', 2)},
    ),
    # In its own view `a` is the only member, so it has the grace period.
    _Reclaim('peer unknown to it', 'ab', 62.02, applied_index=2),
    # `a` knows only the members a, b and c, so the support of `b` gives it a
    # majority. All peers but `b` promise not to support it.
    _Reclaim(
        'members unknown to it',
        'abcdef',
        None,
        silent_peers='b',
        applied_index=4,
    ),
)


class _SimulatedLeader:
    """A leader and peers that revoke support when told to."""

    def __init__(self, case: _Reclaim):
        self._case = case
        self._clock = ManualClock()
        vms = ''.join(sorted(case.vms, reverse=case.last_heartbeat < 0))
        self._log = Log(SetLongestDeadline(10000), *_registered(vms))
        self._log.index = LogIndex(9)
        timing = SupportTiming(sole_member_grace=40 * _SECOND)
        self.grantor = SupportGrantor(self._clock, timing)
        self._revoked_peers: dict[VmIncarnation, frozenset[VmIncarnation]] = {}
        self._now_seconds: float = 0

    def first_reclaim(self, until: float) -> float | None:
        """Return the second at which `a` can be reclaimed, if any."""
        step = 0
        while self._now_seconds < until:
            if (
                not step % round(_HEARTBEAT_INTERVAL_SECONDS / _STEP_SECONDS)
                and self._now_seconds < 60
            ):
                self._send_heartbeats()
            for command in self._reclaims():
                if command.vm == 'a':
                    return self._now_seconds
                self._log.apply(command)
            step += 1
            self._clock.advance(_STEP_SECONDS * _SECOND)
            self._now_seconds = round(step * _STEP_SECONDS, 2)
        return None

    def _reclaims(self) -> Sequence[ReclaimVm]:
        command = self._case.commands.get(self._now_seconds)
        if command:
            self._log.apply(command)
        self.grantor.apply(self._log.state.view())
        terminated = self._case.terminated.get(self._now_seconds, '')
        self.grantor.record_terminated([VmId(vm) for vm in terminated])
        return self.grantor.reclaims()

    def _send_heartbeats(self) -> None:
        self.grantor.record_quorum(self._clock.monotonic())
        view = self._log.state.view()
        self.grantor.apply(view)
        for record in view.registry.members(register('a').availability_zone):
            if self._now_seconds <= self._silent_after(record.key):
                self._send_heartbeat(record.key)

    def _silent_after(self, sender: VmIncarnation) -> float:
        if sender == key('a'):
            return self._case.last_heartbeat
        return 10 if sender.vm in self._case.silent_peers else 60

    def _send_heartbeat(self, sender: VmIncarnation) -> None:
        without_promise = sender.vm in self._case.peers_without_promise
        revoked_peers = self._revoked_peers.get(sender, frozenset())
        answer = self.grantor.answer(
            Heartbeat(
                sender,
                LogIndex(self._case.applied_index if sender == key('a') else 9),
                revoked=frozenset() if without_promise else revoked_peers,
            ),
        )
        self._revoked_peers[sender] = revoked_peers | answer.revoke


class ReclaimTest(unittest.TestCase):
    """Tests that shares are reclaimed neither too early nor never."""

    def test_cases(self) -> None:
        """Fails if a VM is reclaimed earlier or later than expected."""
        for case in _RECLAIM_CASES:
            with self.subTest(case.name):
                until = (case.reclaimed_at or 70) + 1
                found = _SimulatedLeader(case).first_reclaim(until)
                if found is None or case.reclaimed_at is None:
                    self.assertEqual(found, case.reclaimed_at)
                else:
                    self.assertAlmostEqual(found, case.reclaimed_at, 1)
                    self.assertGreaterEqual(found, case.reclaimed_at - 1e-6)


# Name, quorum's age in seconds, commands, whether the view is applied, status.
_HEARTBEATS: tuple[tuple[str, float, list[AnyCommand], bool, str], ...] = (
    ('supported', 0.9, _registered('a'), True, 'supported'),
    ('tenure over', 1, _registered('a'), True, 'no_quorum'),
    ('own term not applied', 0, _registered('a'), False, 'no_quorum'),
    ('unknown', 0, [], True, 'unknown_incarnation'),
    ('restarted', 0, [register('a', 2)], True, 'unknown_incarnation'),
    ('ended', 0, [register('a'), reclaim('a')], True, 'unknown_incarnation'),
)


class AnswerTest(unittest.TestCase):
    """Tests the leader's answers to heartbeats."""

    def test_cases(self) -> None:
        """Fails if a replaced or unready leader gives support."""
        for name, age, commands, is_applied, expected in _HEARTBEATS:
            with self.subTest(name):
                clock = ManualClock()
                grantor = SupportGrantor(clock)
                grantor.record_quorum(clock.monotonic())
                clock.advance(age * _SECOND)
                if is_applied:
                    grantor.apply(Log(*commands).state.view())
                answer = grantor.answer(Heartbeat(key('a'), LogIndex(1)))
                self.assertEqual(answer.status, HeartbeatStatus(expected))

    def test_new_member_is_not_revoked(self) -> None:
        """Fails if a new VM counts as lapsed before its first heartbeat.

        Its peers would then refuse it, and it would register again and never
        use a share.
        """
        clock = ManualClock()
        grantor = SupportGrantor(clock)
        log = Log(*_registered('a'))
        grantor.apply(log.state.view())
        clock.advance(100 * _SECOND)
        log.apply(register('b'))
        grantor.apply(log.state.view())
        for seconds, expected in ((0, frozenset()), (3.1, {key('b')})):
            with self.subTest(seconds):
                clock.advance(seconds * _SECOND)
                grantor.record_quorum(clock.monotonic())
                answer = grantor.answer(Heartbeat(key('a'), LogIndex(1)))
                self.assertEqual(answer.revoke, expected)

    def test_no_support_after_the_decision(self) -> None:
        """Fails if a VM gets support while its reclaim is pending."""
        clock = ManualClock()
        grantor = SupportGrantor(clock)
        grantor.apply(Log(*_registered('a')).state.view())
        grantor.record_terminated([VmId('a')])
        clock.advance(100 * _SECOND)
        self.assertEqual(grantor.reclaims(), (reclaim('a', decided_at=1),))
        grantor.record_quorum(clock.monotonic())
        heartbeat = Heartbeat(key('a'), LogIndex(1))
        refused = HeartbeatStatus.UNKNOWN_INCARNATION
        self.assertIs(grantor.answer(heartbeat).status, refused)
        grantor.record_refused_reclaim(reclaim('a', decided_at=1))
        supported = HeartbeatStatus.SUPPORTED
        self.assertIs(grantor.answer(heartbeat).status, supported)


# Name, commands, send times of supported requests to the leader ('L') or to
# peers, seconds until authority ends.
_AUTHORITY_CASES: tuple[
    tuple[str, list[AnyCommand], Mapping[str, float], float | None],
    ...,
] = (
    ('leader', _registered('abc'), {'L': 0}, 3),
    ('late answer to an older request', _registered('abc'), {'L': -1}, 2),
    ('zone of three', _registered('abc'), {'b': 1}, 4),
    ('zone of four, one peer', _registered('abcd'), {'b': 1}, None),
    ('zone of four, two peers', _registered('abcd'), {'b': 1, 'd': 0}, 3),
    ('zone of two', _registered('ab'), {'b': 0}, 3),
    ('leader and zone', _registered('ab'), {'L': 1, 'b': 0}, 4),
    ('sole', _registered('a'), {'L': 0}, _GRACE_SECONDS),
    ('sole, never supported', _registered('a'), {}, None),
    ('not in its view', _registered('b'), {'L': 0, 'b': 0}, None),
    ('leaving', [register('a'), leave('a')], {'L': 0}, _GRACE_SECONDS),
    ('reclaimed', [register('a'), reclaim('a')], {'L': 0}, None),
    ('restarted', [register('a'), register('a', 2)], {'L': 0}, None),
    (
        'peer departed',
        [*_registered('abc'), depart('c')],
        {'b': 0, 'c': 0},
        3,
    ),
    ('support of a stranger', _registered('abc'), {'x': 0}, None),
)


def _record_support(
    holder: SupportHolder, peer: str, sent_at: timedelta
) -> None:
    if peer == 'L':
        holder.record_leader_support(sent_at)
    else:
        holder.record_peer_answer(VmId(peer), sent_at, ZoneSupportAnswer.GIVEN)


class HolderTest(unittest.TestCase):
    """Tests the end of authority at the VM."""

    def test_cases(self) -> None:
        """Fails if authority ends earlier or later than expected."""
        for name, commands, supported, expected in _AUTHORITY_CASES:
            with self.subTest(name):
                clock = ManualClock()
                start = clock.monotonic()
                holder = SupportHolder(key('a'), clock)
                for peer, sent in supported.items():
                    _record_support(holder, peer, start + sent * _SECOND)
                holder.apply(Log(*commands).state.view())
                end = start + (expected or 0) * _SECOND
                almost = end - timedelta(microseconds=1)
                has_authority = expected is not None
                self.assertEqual(holder.has_authority(almost), has_authority)
                self.assertFalse(holder.has_authority(end))


_GIVEN = ZoneSupportAnswer.GIVEN
_REVOKED = ZoneSupportAnswer.REVOKED
_UNKNOWN = ZoneSupportAnswer.NOT_REGISTERED
# Name, commands in the view, revoked before the view, answer to `a`.
_SUPPORT_CASES: tuple[
    tuple[str, list[AnyCommand], list[VmIncarnation], ZoneSupportAnswer],
    ...,
] = (
    ('member', _registered('ab'), [], _GIVEN),
    ('revoked', _registered('ab'), [key('a')], _REVOKED),
    (
        'earlier process revoked',
        [register('b'), register('a')],
        [key('a', 0)],
        _GIVEN,
    ),
    ('own process not registered', _registered('a'), [], _UNKNOWN),
    ('later own process', [*_registered('ab'), register('b', 2)], [], _UNKNOWN),
    ('not registered', _registered('b'), [], _UNKNOWN),
    ('revoked, not in the view', _registered('b'), [key('a')], _REVOKED),
    ('ended', [*_registered('ab'), reclaim('a')], [key('a')], _UNKNOWN),
    ('other zone', [register('a', zone='z2'), register('b')], [], _UNKNOWN),
)


class ZoneSupportTest(unittest.TestCase):
    """Tests the answers to requests for zone support."""

    def test_cases(self) -> None:
        """Fails if VM `b` gives a wrong answer to a request of `a`."""
        for name, commands, revoked, expected in _SUPPORT_CASES:
            with self.subTest(name):
                support = ZoneSupport(key('b'))
                support.revoke(revoked)
                support.apply(Log(*commands).state.view())
                self.assertIs(support.answer(key('a')), expected)
                support.apply(Log(register('a')).state.view())
                if expected is _REVOKED:
                    self.assertIs(support.answer(key('a')), _REVOKED)
                support.close()
                self.assertIsNot(support.answer(key('a')), _GIVEN)

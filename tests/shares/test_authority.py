"""Authority ends in time at the VM, and the leader waits long enough."""

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
_STEP = 0.02
_BEAT = 0.5
_GRACE = 3900


def _registered(vms: str) -> list[AnyCommand]:
    return [register(vm) for vm in vms]


@dataclass(frozen=True)
class _Reclaim:
    """VM `a` sends its last heartbeat at 10 s; deadlines are 10 s.

    The lease ends at 13.06 s and the grace at 50.8 s. Peers
    hear of it at 13.5 s and promise at 14 s, so zone support ends at 17.06 s.
    Work needs 11.22 s more.
    """

    name: str
    vms: str
    reclaimed_at: float | None
    silent: str = ''
    """Peers without heartbeats after 10 s."""

    breaking: str = ''
    """Peers whose heartbeats name no promise."""

    commands: Mapping[float, AnyCommand] = field(default_factory=dict)
    terminated: Mapping[float, str] = field(default_factory=dict)
    last_beat: float = 10
    applied: int = 9
    """Index that `a` reports."""


_RECLAIMS = (
    _Reclaim('two', 'ab', 28.28),
    _Reclaim('three', 'abc', 28.28),
    _Reclaim('three, one peer unreachable', 'abc', None, silent='b'),
    _Reclaim('four, one peer unreachable', 'abcd', 28.28, silent='b'),
    _Reclaim('five, one unreachable', 'abcde', 28.28, silent='b'),
    _Reclaim('five, two unreachable', 'abcde', None, silent='bc'),
    _Reclaim('no promise', 'abc', None, breaking='bc'),
    _Reclaim('one promise of two', 'abc', None, breaking='b'),
    _Reclaim('never heard by this leader', 'ab', 19.28, last_beat=-1),
    _Reclaim('sole', 'a', 62.02),
    _Reclaim('sole, terminated', 'a', 31.22, terminated={20: 'a'}),
    _Reclaim('sole, restarted', 'a', 31.22, commands={20: register('a', 2)}),
    _Reclaim('terminated while supported', 'a', 24.28, terminated={5: 'a'}),
    _Reclaim(
        'unreachable peer terminated',
        'abc',
        34.28,
        silent='b',
        terminated={20: 'b'},
    ),
    _Reclaim(
        'unreachable peer departed',
        'abc',
        34.28,
        silent='b',
        commands={20: depart('b')},
    ),
    _Reclaim(
        'peer restarted after its promise',
        'ab',
        35.28,
        commands={20: register('b', 2)},
    ),
    # In its own view `a` is alone and has the grace.
    _Reclaim('peer unknown to it', 'ab', 62.02, applied=2),
    # Two of the three that it knows can support it; the others promise.
    _Reclaim(
        'members unknown to it',
        'abcdef',
        None,
        silent='b',
        applied=4,
    ),
)


class _Lead:
    """One leader, and peers that do as they are told."""

    def __init__(self, case: _Reclaim):
        self._case = case
        self._clock = ManualClock()
        vms = ''.join(sorted(case.vms, reverse=case.last_beat < 0))
        self._log = Log(SetLongestDeadline(10000), *_registered(vms))
        self._log.index = LogIndex(9)
        timing = SupportTiming(sole_member_grace=40 * _SECOND)
        self.grantor = SupportGrantor(self._clock, timing)
        self._told: dict[VmIncarnation, frozenset[VmIncarnation]] = {}
        self._seconds: float = 0

    def first_reclaim(self, until: float) -> float | None:
        """Return the time when `a` can be reclaimed."""
        step = 0
        while self._seconds < until:
            if not step % round(_BEAT / _STEP) and self._seconds < 60:
                self._beat()
            for command in self._reclaims():
                if command.vm == 'a':
                    return self._seconds
                self._log.apply(command)
            step += 1
            self._clock.advance(_STEP * _SECOND)
            self._seconds = round(step * _STEP, 2)
        return None

    def _reclaims(self) -> Sequence[ReclaimVm]:
        command = self._case.commands.get(self._seconds)
        if command:
            self._log.apply(command)
        self.grantor.apply(self._log.state.view())
        listed = self._case.terminated.get(self._seconds, '')
        self.grantor.record_terminated([VmId(vm) for vm in listed])
        return self.grantor.reclaims()

    def _beat(self) -> None:
        self.grantor.record_quorum(self._clock.monotonic())
        view = self._log.state.view()
        self.grantor.apply(view)
        for record in view.registry.members(register('a').availability_zone):
            if self._seconds <= self._silent_after(record.key):
                self._send_heartbeat(record.key)

    def _silent_after(self, sender: VmIncarnation) -> float:
        if sender == key('a'):
            return self._case.last_beat
        return 10 if sender.vm in self._case.silent else 60

    def _send_heartbeat(self, sender: VmIncarnation) -> None:
        is_broken = sender.vm in self._case.breaking
        told = self._told.get(sender, frozenset())
        answer = self.grantor.answer(
            Heartbeat(
                sender,
                LogIndex(self._case.applied if sender == key('a') else 9),
                revoked=frozenset() if is_broken else told,
            ),
        )
        self._told[sender] = told | answer.revoke


class ReclaimTest(unittest.TestCase):
    """Guards against shares with two users, and against lost shares."""

    def test_cases(self) -> None:
        """Each VM is reclaimable at the stated second, not before."""
        for case in _RECLAIMS:
            with self.subTest(case.name):
                until = (case.reclaimed_at or 70) + 1
                found = _Lead(case).first_reclaim(until)
                if found is None or case.reclaimed_at is None:
                    self.assertEqual(found, case.reclaimed_at)
                else:
                    self.assertAlmostEqual(found, case.reclaimed_at, 1)
                    self.assertGreaterEqual(found, case.reclaimed_at - 1e-6)


# Name, quorum's age in seconds, commands, whether the view is applied, status.
_ANSWERS: tuple[tuple[str, float, list[AnyCommand], bool, str], ...] = (
    ('supported', 0.9, _registered('a'), True, 'supported'),
    ('tenure over', 1, _registered('a'), True, 'no_quorum'),
    ('own term not applied', 0, _registered('a'), False, 'no_quorum'),
    ('unknown', 0, [], True, 'unknown_incarnation'),
    ('restarted', 0, [register('a', 2)], True, 'unknown_incarnation'),
    ('ended', 0, [register('a'), reclaim('a')], True, 'unknown_incarnation'),
)


class AnswerTest(unittest.TestCase):
    """Guards against support by a leader that has been replaced."""

    def test_cases(self) -> None:
        """Each heartbeat has the stated status."""
        for name, age, commands, is_applied, expected in _ANSWERS:
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
        """A VM that has just registered is not given up before it is heard.

        It would otherwise be refused by its peers, register again, and never
        come to use a share.
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
        """A VM that returns while its reclaim commits stays without support."""
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
_AUTHORITIES: tuple[
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
    ('sole', _registered('a'), {'L': 0}, _GRACE),
    ('sole, never supported', _registered('a'), {}, None),
    ('not in its view', _registered('b'), {'L': 0, 'b': 0}, None),
    ('leaving', [register('a'), leave('a')], {'L': 0}, _GRACE),
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


def _answer(holder: SupportHolder, peer: str, sent_at: timedelta) -> None:
    if peer == 'L':
        holder.record_leader_support(sent_at)
    else:
        holder.record_peer_answer(VmId(peer), sent_at, ZoneSupportAnswer.GIVEN)


class HolderTest(unittest.TestCase):
    """Guards against use of shares that others may count as free."""

    def test_cases(self) -> None:
        """Authority ends at the stated second of the VM's clock."""
        for name, commands, answered, expected in _AUTHORITIES:
            with self.subTest(name):
                clock = ManualClock()
                start = clock.monotonic()
                holder = SupportHolder(key('a'), clock)
                for peer, sent in answered.items():
                    _answer(holder, peer, start + sent * _SECOND)
                holder.apply(Log(*commands).state.view())
                end = start + (expected or 0) * _SECOND
                almost = end - timedelta(microseconds=1)
                is_held = expected is not None
                self.assertEqual(holder.has_authority(almost), is_held)
                self.assertFalse(holder.has_authority(end))


_GIVEN = ZoneSupportAnswer.GIVEN
_REVOKED = ZoneSupportAnswer.REVOKED
_UNKNOWN = ZoneSupportAnswer.NOT_REGISTERED
# Name, commands in the view, revoked before the view, answer to `a`.
_SUPPORTS: tuple[
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
    """Guards against support after a promise to the leader."""

    def test_cases(self) -> None:
        """VM `b` gives the stated answer to `a`."""
        for name, commands, revoked, expected in _SUPPORTS:
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

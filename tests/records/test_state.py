"""Request id rules and single steps of the record state machine."""

import unittest
from collections.abc import Sequence
from datetime import UTC, datetime, timedelta

import plantainstand_records as records
from plantainstand_core import Incarnation, LogIndex, RequestId, VmId

from tests.records.examples import uuid7

_NOW = datetime(2026, 1, 1, tzinfo=UTC)
_STEP = timedelta(milliseconds=1)
_MINUTE = timedelta(minutes=1)
_ID = uuid7(_NOW, 1)
_CONTENT = records.content_fingerprint('POST', '/order', b'{}')
_OTHER = records.content_fingerprint('POST', '/order', b'[]')
_HOLDER = records.Admission(VmId('a'), Incarnation(1), 1)
_STRANGERS = (
    records.Admission(VmId('b'), Incarnation(1), 1),
    records.Admission(VmId('a'), Incarnation(2), 1),
    records.Admission(VmId('a'), Incarnation(1), 2),
)
_ANSWER = records.Answer(201, (('Content-Type', 'text/plain'),), b'done')
_LARGE = records.Answer(200, (), b'x' * (records.MAX_ANSWER_BYTES + 1))
_LAST_KEPT = records.Answer(200, (), b'x' * records.MAX_ANSWER_BYTES)

_OLDEST = _NOW - records.RETENTION
_NEWEST = _NOW + records.FUTURE_TOLERANCE
_EXPIRED = records.RequestIdFault.EXPIRED
_IN_FUTURE = records.RequestIdFault.IN_FUTURE
_NOT_UUID7 = records.RequestIdFault.NOT_UUID7

_FAULTS = (
    ('expired', uuid7(_OLDEST - _STEP, 1), _EXPIRED),
    ('oldest', uuid7(_OLDEST, 1), None),
    ('newest', uuid7(_NEWEST, 1), None),
    ('in future', uuid7(_NEWEST + _STEP, 1), _IN_FUTURE),
    ('year 10889', 'ffffffff-ffff-7fff-bfff-ffffffffffff', _IN_FUTURE),
    ('upper case', _ID.upper(), None),
    ('version 4', f'{_ID[:14]}4{_ID[15:]}', _NOT_UUID7),
    ('variant', f'{_ID[:19]}0{_ID[20:]}', _NOT_UUID7),
    ('braces', f'{{{_ID}}}', _NOT_UUID7),
    ('line feed', f'{_ID}\n', _NOT_UUID7),
    ('no hyphens', _ID.replace('-', ''), _NOT_UUID7),
    ('empty', '', _NOT_UUID7),
)


def _admit(
    admission: records.Admission = _HOLDER,
    fingerprint: records.Fingerprint = _CONTENT,
    request_id: RequestId = _ID,
    leader_time: datetime = _NOW,
) -> records.Admit:
    return records.Admit(request_id, fingerprint, admission, leader_time)


def _abandon(
    admission: records.Admission = _HOLDER,
    reason: str = 'shed',
) -> records.Abandon:
    return records.Abandon(_ID, admission, reason, _NOW)


def _complete(answer: records.Answer = _ANSWER) -> records.Complete:
    return records.Complete(_ID, _HOLDER, answer)


_OTHER_VM = _STRANGERS[0]
_DAY_LATER = _NOW + records.RETENTION
_UPPER = _admit(_OTHER_VM, request_id=RequestId(_ID.upper()))
_UPPER_REPORT = records.Complete(RequestId(_ID.upper()), _HOLDER, _ANSWER)
_REFUSED = records.IdRefused(_NOT_UUID7)
_EARLY = _admit(leader_time=_NOW - records.FUTURE_TOLERANCE - _STEP)
_LATE = _admit(leader_time=_DAY_LATER + _STEP)
_NEXT_DAY = _admit(
    request_id=uuid7(_DAY_LATER + _MINUTE, 2),
    leader_time=_DAY_LATER,
)
_FORGET = records.Forget(_DAY_LATER + _MINUTE)
_YEAR_AHEAD = records.Forget(_NOW + timedelta(days=365))
_SECOND = _admit(_OTHER_VM, request_id=uuid7(_NOW, 2))
_ADMITTED = records.Admitted()
_ANSWERED = records.Answered(_ANSWER)
_SHED = records.NotRun('shed')
_MISMATCH = records.FingerprintMismatch()
_UNKEPT = records.AnsweredTooLarge(200, records.MAX_ANSWER_BYTES + 1)

# Name, commands in order, outcome of the last one.
_STEPS: tuple[
    tuple[str, Sequence[records.RecordCommand], records.RecordOutcome], ...
] = (
    ('first', [_admit()], _ADMITTED),
    ('answer lost', [_admit(), _admit()], _ADMITTED),
    ('other content', [_admit(), _admit(_OTHER_VM, _OTHER)], _MISMATCH),
    (
        'other content after the answer',
        [_admit(), _complete(), _admit(_HOLDER, _OTHER)],
        _MISMATCH,
    ),
    ('resend', [_admit(), _complete(), _admit(_OTHER_VM)], _ANSWERED),
    (
        'second report',
        [_admit(), _complete(), _complete(_LAST_KEPT)],
        _ANSWERED,
    ),
    ('abandoned late', [_admit(), _complete(), _abandon()], _ANSWERED),
    ('abandoned', [_admit(), _abandon(), _admit(_OTHER_VM)], _SHED),
    ('cancelled first', [_abandon(_OTHER_VM), _admit()], _SHED),
    ('first reason stays', [_abandon(), _abandon(_HOLDER, 'x')], _SHED),
    ('report after the rejection', [_abandon(), _complete()], _SHED),
    ('report without admission', [_complete()], records.NoRecord()),
    (
        'largest kept answer',
        [_admit(), _complete(_LAST_KEPT), _admit()],
        records.Answered(_LAST_KEPT),
    ),
    ('too large', [_admit(), _complete(_LARGE), _admit()], _UNKEPT),
    ('second spelling', [_admit(), _UPPER], records.InProgress(_HOLDER)),
    ('report in upper case', [_admit(), _UPPER_REPORT, _admit()], _ANSWERED),
    ('no UUID', [_admit(request_id=RequestId('x'))], _REFUSED),
    ('id ahead', [_EARLY], records.IdRefused(_IN_FUTURE)),
    # Another leader with a slower clock is asked last.
    ('expired for good', [_LATE, _admit()], records.Expired()),
    (
        'forgotten for good',
        [_admit(), _NEXT_DAY, _FORGET, _admit()],
        records.Expired(),
    ),
    (
        'report after the record was forgotten',
        [_admit(), _NEXT_DAY, _FORGET, _complete()],
        records.Expired(),
    ),
    ('clock a year ahead', [_admit(), _YEAR_AHEAD, _SECOND], _ADMITTED),
)


class RequestIdTest(unittest.TestCase):
    """Guards against ids under which a request could run twice."""

    def test_faults(self) -> None:
        """Only a UUID of version 7 of about the last day is accepted."""
        for name, text, expected in _FAULTS:
            with self.subTest(name):
                outcome = records.check_request_id(text, _NOW)
                if expected is None:
                    self.assertEqual(outcome.unwrap(), text.lower())
                else:
                    self.assertEqual(outcome.unwrap_err().fault, expected)

    def test_fingerprint(self) -> None:
        """Content that differs in any part has another fingerprint."""
        contents = (
            ('POST', '/order', b'{}'),
            ('PUT', '/order', b'{}'),
            ('POST', '/order{', b'}'),
            ('POST', '/order', b''),
        )
        digests = {
            records.content_fingerprint(*content) for content in contents
        }
        self.assertEqual(len(digests), len(contents))


class StateTest(unittest.TestCase):
    """Guards against wrong outcomes in each order of the commands."""

    def test_steps(self) -> None:
        """The last command of each list has the stated outcome."""
        for name, commands, expected in _STEPS:
            with self.subTest(name):
                state = records.RecordState()
                outcomes = [
                    state.apply(command, LogIndex(index))
                    for index, command in enumerate(commands, start=1)
                ]
                self.assertEqual(outcomes[-1], expected)
                payload = records.encode_outcome(expected)
                self.assertEqual(
                    records.decode_outcome(payload).unwrap(), expected
                )

    def test_strangers(self) -> None:
        """Another attempt can neither run, answer nor cancel the request."""
        for other in _STRANGERS:
            commands: tuple[records.RecordCommand, ...] = (
                _admit(other),
                _abandon(other),
                records.Complete(_ID, other, _ANSWER),
            )
            for command in commands:
                with self.subTest(command=command):
                    state = records.RecordState()
                    state.apply(_admit(), LogIndex(1))
                    outcome = state.apply(command, LogIndex(2))
                    self.assertEqual(outcome, records.InProgress(_HOLDER))

    def test_memory_is_bounded(self) -> None:
        """Forgetting drops what is older than a day, and only that."""
        state = records.RecordState()
        for hour in range(49):
            moment = _NOW + timedelta(hours=hour)
            admit = _admit(request_id=uuid7(moment, 1), leader_time=moment)
            state.apply(admit, LogIndex(hour + 1))
        outcome = state.apply(
            records.Forget(_NOW + timedelta(hours=48)),
            LogIndex(50),
        )
        self.assertEqual(outcome, records.Forgotten(24))
        self.assertEqual(len(state), 25)

    def test_foreign_bytes(self) -> None:
        """Bytes that are no command or snapshot are refused as a value."""
        self.assertTrue(records.decode_command(b'\xc1').is_err())
        state = records.RecordState()
        with self.assertRaises(ValueError):
            state.restore(b'\xc1')

    def test_answer_is_limited_before_it_is_sent(self) -> None:
        """Headers count too, so that no log entry grows without limit."""
        headers = [('X', 'y' * records.MAX_ANSWER_BYTES)]
        kept = records.recordable_answer(200, headers, b'')
        self.assertNotIsInstance(kept, records.Answer)

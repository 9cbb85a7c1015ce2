"""Request id rules and single steps of the record state machine."""

import unittest
from collections.abc import Sequence
from datetime import UTC, datetime, timedelta

from plantainstand_core import Incarnation, LogIndex, RequestId, VmId
from plantainstand_records import (
    FUTURE_TOLERANCE,
    MAX_ANSWER_BYTES,
    RETENTION,
    Abandon,
    Admission,
    Admit,
    Admitted,
    Answer,
    Answered,
    AnsweredUnkept,
    Complete,
    Expired,
    FingerprintMismatch,
    Forget,
    Forgotten,
    IdRefused,
    InProgress,
    NoRecord,
    NotRun,
    RecordCommand,
    RecordOutcome,
    RecordState,
    RequestIdFault,
    check_request_id,
    content_fingerprint,
    decode_command,
    decode_outcome,
    encode_outcome,
    recordable_answer,
)

from tests.records.examples import uuid7

_NOW = datetime(2026, 1, 1, tzinfo=UTC)
_STEP = timedelta(milliseconds=1)
_MINUTE = timedelta(minutes=1)
_ID = uuid7(_NOW, 1)
_CONTENT = content_fingerprint('POST', '/order', b'{}')
_OTHER = content_fingerprint('POST', '/order', b'[]')
_HOLDER = Admission(VmId('a'), Incarnation(1), 1)
_STRANGERS = (
    Admission(VmId('b'), Incarnation(1), 1),
    Admission(VmId('a'), Incarnation(2), 1),
    Admission(VmId('a'), Incarnation(1), 2),
)
_ANSWER = Answer(201, (('Content-Type', 'text/plain'),), b'done')
_LARGE = Answer(200, (), b'x' * (MAX_ANSWER_BYTES + 1))
_LAST_KEPT = Answer(200, (), b'x' * MAX_ANSWER_BYTES)

_FAULTS = (
    ('expired', uuid7(_NOW - RETENTION - _STEP, 1), RequestIdFault.EXPIRED),
    ('oldest', uuid7(_NOW - RETENTION, 1), None),
    ('newest', uuid7(_NOW + FUTURE_TOLERANCE, 1), None),
    (
        'in future',
        uuid7(_NOW + FUTURE_TOLERANCE + _STEP, 1),
        RequestIdFault.IN_FUTURE,
    ),
    (
        'year 10889',
        'ffffffff-ffff-7fff-bfff-ffffffffffff',
        RequestIdFault.IN_FUTURE,
    ),
    ('upper case', _ID.upper(), None),
    ('version 4', f'{_ID[:14]}4{_ID[15:]}', RequestIdFault.NOT_UUID7),
    ('variant', f'{_ID[:19]}0{_ID[20:]}', RequestIdFault.NOT_UUID7),
    ('braces', f'{{{_ID}}}', RequestIdFault.NOT_UUID7),
    ('line feed', f'{_ID}\n', RequestIdFault.NOT_UUID7),
    ('no hyphens', _ID.replace('-', ''), RequestIdFault.NOT_UUID7),
    ('empty', '', RequestIdFault.NOT_UUID7),
)


def _admit(
    admission: Admission = _HOLDER,
    fingerprint: bytes = _CONTENT,
    request_id: RequestId = _ID,
    leader_time: datetime = _NOW,
) -> Admit:
    return Admit(
        request_id, type(_CONTENT)(fingerprint), admission, leader_time
    )


def _abandon(admission: Admission, reason: str = 'shed') -> Abandon:
    return Abandon(_ID, admission, reason, _NOW)


# Name, commands in order, outcome of the last one.
_STEPS: tuple[tuple[str, Sequence[RecordCommand], RecordOutcome], ...] = (
    ('first', [_admit()], Admitted()),
    ('answer to the admission lost', [_admit(), _admit()], Admitted()),
    (
        'other content',
        [_admit(), _admit(_STRANGERS[0], _OTHER)],
        FingerprintMismatch(),
    ),
    (
        'other content after the answer',
        [_admit(), Complete(_ID, _HOLDER, _ANSWER), _admit(_HOLDER, _OTHER)],
        FingerprintMismatch(),
    ),
    (
        'resend after the answer',
        [_admit(), Complete(_ID, _HOLDER, _ANSWER), _admit(_STRANGERS[0])],
        Answered(_ANSWER),
    ),
    (
        'second report',
        [
            _admit(),
            Complete(_ID, _HOLDER, _ANSWER),
            Complete(_ID, _HOLDER, _LAST_KEPT),
        ],
        Answered(_ANSWER),
    ),
    (
        'abandoned after the answer',
        [_admit(), Complete(_ID, _HOLDER, _ANSWER), _abandon(_HOLDER)],
        Answered(_ANSWER),
    ),
    (
        'abandoned by the holder',
        [_admit(), _abandon(_HOLDER), _admit(_STRANGERS[0])],
        NotRun('shed'),
    ),
    (
        'cancelled before the admission',
        [_abandon(_STRANGERS[0], 'cancelled'), _admit()],
        NotRun('cancelled'),
    ),
    (
        'report after the rejection',
        [_abandon(_HOLDER), Complete(_ID, _HOLDER, _ANSWER)],
        NotRun('shed'),
    ),
    (
        'report without admission',
        [Complete(_ID, _HOLDER, _ANSWER)],
        NoRecord(),
    ),
    (
        'largest kept answer',
        [_admit(), Complete(_ID, _HOLDER, _LAST_KEPT), _admit()],
        Answered(_LAST_KEPT),
    ),
    (
        'answer too large',
        [_admit(), Complete(_ID, _HOLDER, _LARGE), _admit()],
        AnsweredUnkept(200, MAX_ANSWER_BYTES + 1),
    ),
    (
        'spelling that would be a second id',
        [_admit(), _admit(_STRANGERS[0], request_id=RequestId(_ID.upper()))],
        IdRefused(RequestIdFault.NOT_UUID7),
    ),
    (
        'time of the id ahead',
        [_admit(leader_time=_NOW - FUTURE_TOLERANCE - _STEP)],
        IdRefused(RequestIdFault.IN_FUTURE),
    ),
    (
        'expired by one leader, asked of another one with a slower clock',
        [_admit(leader_time=_NOW + RETENTION + _STEP), _admit()],
        Expired(),
    ),
    (
        'forgotten by one leader, asked of another one with a slower clock',
        [
            _admit(),
            _admit(
                request_id=uuid7(_NOW + RETENTION + _MINUTE, 2),
                leader_time=_NOW + RETENTION,
            ),
            Forget(_NOW + RETENTION + _MINUTE),
            _admit(),
        ],
        Expired(),
    ),
    (
        'answer after the record was forgotten',
        [
            _admit(),
            _admit(
                request_id=uuid7(_NOW + RETENTION + _MINUTE, 2),
                leader_time=_NOW + RETENTION,
            ),
            Forget(_NOW + RETENTION + _MINUTE),
            Complete(_ID, _HOLDER, _ANSWER),
        ],
        Expired(),
    ),
    (
        'forget by a leader whose clock is a year ahead',
        [
            _admit(),
            Forget(_NOW + timedelta(days=365)),
            _admit(_STRANGERS[0], request_id=uuid7(_NOW, 2)),
        ],
        Admitted(),
    ),
)


class RequestIdTest(unittest.TestCase):
    """Guards against ids under which a request could run twice."""

    def test_faults(self) -> None:
        """Only a UUID of version 7 of about the last day is accepted."""
        for name, text, expected in _FAULTS:
            with self.subTest(name):
                outcome = check_request_id(text, _NOW)
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
        digests = {content_fingerprint(*content) for content in contents}
        self.assertEqual(len(digests), len(contents))


class StateTest(unittest.TestCase):
    """Guards against wrong outcomes in each order of the commands."""

    def test_steps(self) -> None:
        """The last command of each list has the stated outcome."""
        for name, commands, expected in _STEPS:
            with self.subTest(name):
                state = RecordState()
                outcomes = [
                    state.apply(command, LogIndex(index))
                    for index, command in enumerate(commands, start=1)
                ]
                self.assertEqual(outcomes[-1], expected)
                payload = encode_outcome(expected)
                self.assertEqual(decode_outcome(payload).unwrap(), expected)

    def test_strangers(self) -> None:
        """Another attempt can neither run, answer nor cancel the request."""
        for other in _STRANGERS:
            commands: tuple[RecordCommand, ...] = (
                _admit(other),
                _abandon(other),
                Complete(_ID, other, _ANSWER),
            )
            for command in commands:
                with self.subTest(command=command):
                    state = RecordState()
                    state.apply(_admit(), LogIndex(1))
                    outcome = state.apply(command, LogIndex(2))
                    self.assertEqual(outcome, InProgress(_HOLDER))

    def test_memory_is_bounded(self) -> None:
        """Forgetting drops what is older than a day, and only that."""
        state = RecordState()
        for hour in range(49):
            moment = _NOW + timedelta(hours=hour)
            admit = _admit(request_id=uuid7(moment, 1), leader_time=moment)
            state.apply(admit, LogIndex(hour + 1))
        outcome = state.apply(
            Forget(_NOW + timedelta(hours=48)),
            LogIndex(50),
        )
        self.assertEqual(outcome, Forgotten(24))
        self.assertEqual(len(state), 25)

    def test_foreign_bytes(self) -> None:
        """Bytes that are no command or snapshot are refused as a value."""
        self.assertTrue(decode_command(b'\xc1').is_err())
        state = RecordState()
        with self.assertRaises(ValueError):
            state.restore(b'\xc1')

    def test_answer_is_limited_before_it_is_sent(self) -> None:
        """Headers count too, so that no log entry grows without limit."""
        headers = [('X', 'y' * MAX_ANSWER_BYTES)]
        kept = recordable_answer(200, headers, b'')
        self.assertNotIsInstance(kept, Answer)

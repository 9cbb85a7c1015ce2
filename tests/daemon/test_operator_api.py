"""Statuses and bodies of the operator routes, per docs/interfaces.md."""

import unittest
from typing import NamedTuple

import msgspec
import plantainstand_catalogue as catalogue
from plantainstand_daemon._control_problems import ControlFailure

from tests.catalogue import examples
from tests.daemon.operators import OperatorFixture

_ENTRIES = '/operator/v1/entries'
_DRAINS = '/operator/v1/drains'
_TARGET = f'{_ENTRIES}/target/catalogue-1'
_NEW = f'{_ENTRIES}/target/new'
_DRAIN = f'{_DRAINS}/target/catalogue-1'
_HUGE_REVISION = b''.join((b':1', b'0' * 30, b','))
_PROBLEMS = frozenset(('error', 'message', 'problems'))
_CONFLICT = frozenset(('error', 'message', 'current_revision', 'current'))
_ERROR = frozenset(('error', 'message'))
_REVISION = frozenset(('revision',))


def _body(entry: object, expected: object = 0, operation: str = 'o-1') -> bytes:
    return msgspec.json.encode(
        {
            'operation_id': operation,
            'expected_revision': expected,
            'entry': entry,
        },
    )


def _new_target() -> catalogue.Target:
    return examples.target('new', port=23000)


class _Case(NamedTuple):
    name: str
    call: tuple[str, str, bytes]
    status: int
    keys: frozenset[str]


_BAD_QUERIES = (
    '',
    'operation_id=o',
    'expected_revision=8',
    'operation_id=o&expected_revision=x',
    'operation_id=o&expected_revision=-1',
    'operation_id=o&expected_revision=%C2%B2',
    f'operation_id=o&expected_revision={"9" * 30}',
)
_BAD_REVISIONS = ('', 'x', '8/9', '%C2%B2', '9' * 30)

# The entry catalogue-1 has revision 8.
_CASES = (
    _Case('put', ('PUT', _NEW, _body(_new_target())), 200, _REVISION),
    _Case(
        'put again under another operation',
        ('PUT', _TARGET, _body(examples.target('catalogue-1'), 7)),
        409,
        _CONFLICT,
    ),
    _Case(
        'put with the present revision',
        ('PUT', _TARGET, _body(examples.target('catalogue-1'), 8)),
        200,
        _REVISION,
    ),
    _Case(
        'put with the address of another target',
        ('PUT', _NEW, _body(examples.target('new'))),
        422,
        _PROBLEMS,
    ),
    _Case(
        'put under another name',
        ('PUT', _TARGET, _body(_new_target(), 8)),
        422,
        _PROBLEMS,
    ),
    _Case('put without an entry', ('PUT', _NEW, b'{}'), 422, _PROBLEMS),
    _Case('put of no JSON', ('PUT', _NEW, b'{'), 422, _PROBLEMS),
    _Case('put of nothing', ('PUT', _NEW, b''), 422, _PROBLEMS),
    _Case(
        'put without an operation id',
        ('PUT', _NEW, _body(_new_target(), 0, '')),
        422,
        _PROBLEMS,
    ),
    _Case(
        'put with a negative revision',
        ('PUT', _NEW, _body(_new_target(), -1)),
        422,
        _PROBLEMS,
    ),
    _Case(
        'put with a revision above 64 bits',
        ('PUT', _NEW, _body(_new_target()).replace(b':0,', _HUGE_REVISION)),
        422,
        _PROBLEMS,
    ),
    _Case('put too large', ('PUT', _NEW, b' ' * 65537), 413, _ERROR),
    _Case(
        'unknown kind',
        ('PUT', f'{_ENTRIES}/planet/new', _body(_new_target())),
        422,
        _PROBLEMS,
    ),
    _Case(
        'get',
        ('GET', _TARGET, b''),
        200,
        frozenset(('revision', 'entry')),
    ),
    _Case('get of nothing', ('GET', _NEW, b''), 404, _ERROR),
    _Case(
        'list',
        ('GET', _ENTRIES, b''),
        200,
        frozenset(('revision', 'entries')),
    ),
    _Case('too long', ('GET', f'{_TARGET}/x', b''), 404, _ERROR),
    _Case('too short', ('GET', f'{_ENTRIES}/target', b''), 404, _ERROR),
    _Case('other method', ('POST', _TARGET, b''), 405, _ERROR),
    _Case(
        'remove',
        ('DELETE', f'{_TARGET}?operation_id=o&expected_revision=8', b''),
        200,
        _REVISION,
    ),
    _Case(
        'remove after a change',
        ('DELETE', f'{_TARGET}?operation_id=o&expected_revision=7', b''),
        409,
        _CONFLICT,
    ),
    _Case(
        'remove what others refer to',
        (
            'DELETE',
            f'{_ENTRIES}/region/bajio?operation_id=o&expected_revision=1',
            b'',
        ),
        422,
        _PROBLEMS,
    ),
    *(
        _Case(
            f'remove with {query}',
            ('DELETE', f'{_TARGET}?{query}', b''),
            400,
            _ERROR,
        )
        for query in _BAD_QUERIES
    ),
    _Case('drains', ('GET', _DRAINS, b''), 200, frozenset(('drains',))),
    _Case('drain', ('PUT', f'{_DRAIN}?operation_id=o', b''), 200, _REVISION),
    _Case(
        'drain of nothing',
        ('PUT', f'{_DRAINS}/target/new?operation_id=o', b''),
        422,
        _PROBLEMS,
    ),
    _Case(
        'drain of a service',
        ('PUT', f'{_DRAINS}/service/catalogue?operation_id=o', b''),
        404,
        _ERROR,
    ),
    _Case('drain without an operation', ('PUT', _DRAIN, b''), 400, _ERROR),
    _Case(
        'drain by another method',
        ('POST', f'{_DRAIN}?operation_id=o', b''),
        405,
        _ERROR,
    ),
    _Case(
        'progress of a drain',
        ('GET', _DRAIN, b''),
        200,
        frozenset(('state', 'in_flight', 'waiting_for')),
    ),
    _Case(
        'VMs',
        ('GET', '/operator/v1/vms', b''),
        200,
        frozenset(('leader', 'commit_index', 'voters', 'vms')),
    ),
    _Case(
        'change',
        ('GET', '/operator/v1/changes/8', b''),
        200,
        frozenset(('revision', 'in_force', 'pending')),
    ),
    *(
        _Case(
            f'change {name}',
            ('GET', f'/operator/v1/changes/{name}', b''),
            404,
            _ERROR,
        )
        for name in _BAD_REVISIONS
    ),
)

_FAILURES = (
    (ControlFailure.NOT_PROPOSED, 503),
    (ControlFailure.OUTCOME_UNKNOWN, 504),
)
_NEED_THE_LEADER = (
    ('PUT', _NEW, _body(_new_target())),
    ('DELETE', f'{_TARGET}?operation_id=o&expected_revision=8', b''),
    ('PUT', f'{_DRAIN}?operation_id=o', b''),
    ('DELETE', f'{_DRAIN}?operation_id=o', b''),
    ('GET', _DRAIN, b''),
    ('GET', '/operator/v1/vms', b''),
    ('GET', '/operator/v1/changes/8', b''),
)


class RouteTest(unittest.TestCase):
    """Guards against responses that operators' tools cannot read."""

    def test_status_and_body(self) -> None:
        """Each route and error has the documented status and body."""
        for case in _CASES:
            with self.subTest(case.name):
                reply = OperatorFixture().call(*case.call)
                self.assertEqual(reply.status, case.status)
                self.assertEqual(reply.document.keys(), case.keys)

    def test_no_majority(self) -> None:
        """Requests that need the leader fail without one."""
        for arguments in _NEED_THE_LEADER:
            for failure, status in _FAILURES:
                with self.subTest(arguments[1], failure=failure):
                    daemon = OperatorFixture()
                    daemon.failure = failure
                    reply = daemon.call(*arguments)
                    self.assertEqual(reply.status, status)
                    self.assertEqual(reply.document.keys(), _ERROR)

    def test_resend(self) -> None:
        """A resent operation gets the result of the first."""
        daemon = OperatorFixture()
        arguments = ('PUT', _NEW, _body(_new_target()))
        first = daemon.call(*arguments)
        self.assertEqual(daemon.call(*arguments), first)
        found = daemon.call('GET', _NEW).document
        self.assertEqual(found['revision'], first.document['revision'])

    def test_conflict(self) -> None:
        """A conflicting change gets the current entry and its revision."""
        daemon = OperatorFixture()
        body = _body(examples.target('catalogue-1', connections=50), 7)
        conflict = daemon.call('PUT', _TARGET, body).document
        self.assertEqual(conflict['current_revision'], 8)
        self.assertEqual(conflict['current']['limits']['connections'], 100)

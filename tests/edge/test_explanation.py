"""Guards that the explanation of a request is what its handling then does."""

import unittest
from collections import deque
from collections.abc import Mapping
from datetime import timedelta
from types import MappingProxyType, SimpleNamespace
from typing import Any

import msgspec
from plantainstand_allotments import (
    AllotmentHolder,
    AllotmentTerms,
)
from plantainstand_core import (
    AvailabilityZoneId,
    LogIndex,
    ServiceId,
    VmId,
)
from plantainstand_desired import (
    AccountName,
    EvacuationItem,
    WeightedService,
)
from plantainstand_edge._account_limits import AccountLimits
from plantainstand_edge._explain_call import answer_explain
from plantainstand_edge._explanation import ExplainQuestion, Explanation
from plantainstand_fleet import AccountAnswer, Allotment, TargetUpdate
from plantainstand_placement import LoadReport

from tests.desired.builders import account_item, service_item
from tests.edge.builders import ANSWERED, SteeringFixture
from tests.placement.builders import entry

_KEY = b'k1'
_ACCOUNT = AccountName('acme')
_ACME = account_item('acme', 4, 'k1', rank=2, rate=1, home_regions=('norte',))
_ANSWERS = (ANSWERED,) * 40

# Figures that any request derives anew from the state. `_is_doubted` is cleared
# when a target is rated after evidence has ended the doubt; a new doubt also
# changes `_doubted_at`, which is compared.
_CACHES = frozenset(
    (
        '_orders',
        '_failure_limit',
        '_failure_limit_until',
        '_usual_loads',
        '_usual_loads_until',
        '_routes_by_host',
        '_match_by_key',
        '_ranks',
        '_is_doubted',
    )
)


class _Situation:
    """A fixture, and the request that is explained and then handled."""

    def __init__(self, **options: Any):
        self.fixture = SteeringFixture(*_ANSWERS, **options)
        self.path = '/orders/1'
        self.account: str | None = None
        self.key: bytes | None = None

    def explain(self) -> Explanation:
        """Explain the request."""
        name = None if self.account is None else AccountName(self.account)
        question = ExplainQuestion('shop.example', self.path, b'object', name)
        return self.fixture.steering.explain(question)

    async def handle(self) -> tuple[int, str | None, float | None]:
        """Return status, target and Retry-After in ms of the request."""
        before = len(self.fixture.pool.sent)
        headers = () if self.key is None else ((b'key', self.key),)
        request = self.fixture.request(self.path, headers)
        response = await self.fixture.steering.handle(request)
        sent = self.fixture.pool.sent[before:]
        pause = dict(response.headers).get(b'retry-after')
        return (
            response.status,
            sent[0].removesuffix(':80') if sent else None,
            None if pause is None else round(float(pause) * 1000, 1),
        )

    def report(self, running: int, *targets: str) -> None:
        """Let targets report a load; all targets if none is named."""
        now = self.fixture.clock.monotonic()
        for state in self.fixture.target_table.states:
            if not targets or state.entry.target in targets:
                report = LoadReport(4, running - 4, 4, 1.5)
                state.record_response(now, report, failed=False)

    def add_account(self, account: str | None, key: bytes | None) -> None:
        """Require keys, and state one."""
        self.fixture.change(2, _ACME)
        self.account = account
        self.key = key


def _lease(holder: AllotmentHolder, now: timedelta) -> None:
    """Give a holder two runs of an account that has reached its limit."""
    holder.try_use(_ACCOUNT, now)
    question = holder.next_question(now)
    answer = AccountAnswer(
        number=question.number,
        term=1,
        accounts_index=0,
        allotments=(Allotment(_ACCOUNT, 2, is_exhausted=True),),
        incarnation=1,
    )
    holder.apply(answer, now)


async def _first_request(**options: Any) -> _Situation:
    return _Situation(**options)


async def _warm_object() -> _Situation:
    """The object is warm at what is not the first target any more."""
    situation = _Situation()
    await situation.handle()
    first = situation.fixture.pool.sent[0]
    situation.report(9, first.removesuffix(':80'))
    await situation.handle()
    situation.fixture.clock.advance(timedelta(milliseconds=200))
    return situation


async def _object_in_demand() -> _Situation:
    situation = _Situation(targets=6)
    for _ in range(30):
        await situation.handle()
        situation.report(6)
        situation.fixture.clock.advance(timedelta(milliseconds=5))
    return situation


async def _full_targets() -> _Situation:
    situation = _Situation()
    situation.report(60)
    return situation


async def _first_target_full() -> _Situation:
    situation = _Situation()
    first = situation.explain().decision.target
    assert first is not None
    situation.report(40, first)
    return situation


async def _no_route() -> _Situation:
    situation = _Situation()
    situation.path = '/none/'
    return situation


async def _stopping() -> _Situation:
    situation = _Situation()
    now = situation.fixture.clock.monotonic()
    situation.fixture.steering.begin_stop(now, now + timedelta(seconds=0.5))
    return situation


async def _split() -> _Situation:
    """The second of three requests goes to a service without targets."""
    parts = (
        WeightedService(ServiceId('orders'), 2),
        WeightedService(ServiceId('other'), 1),
    )
    situation = _Situation(parts=parts)
    await situation.handle()
    return situation


async def _known_account(**options: Any) -> _Situation:
    situation = _Situation(**options)
    situation.add_account('acme', _KEY)
    return situation


async def _unknown_account() -> _Situation:
    situation = _Situation()
    situation.add_account('k1', b'k9')
    return situation


async def _no_account() -> _Situation:
    situation = _Situation()
    situation.add_account(None, None)
    return situation


async def _keys_not_confirmed() -> _Situation:
    situation = await _known_account()
    situation.fixture.has_current_keys = False
    return situation


async def _account_exhausted() -> _Situation:
    situation = await _limited_account()
    for _ in range(2):
        await situation.handle()
    return situation


async def _limited_account() -> _Situation:
    world = SimpleNamespace()
    clock = SimpleNamespace(monotonic=lambda: world.clock.monotonic())
    accounts = SimpleNamespace(has_limit=lambda _name: True)
    source = SimpleNamespace(scarce=frozenset())
    holder = AllotmentHolder(AllotmentTerms(timedelta(seconds=5), 0.1, 20), 1)
    parts: tuple[Any, ...] = (source, None, accounts, clock)
    limits = AccountLimits(holder, *parts)
    situation = await _known_account(permits=limits)
    world.clock = situation.fixture.clock
    _lease(holder, world.clock.monotonic())
    return situation


async def _evacuated_zone() -> _Situation:
    """One target is in another zone, to which the request has to go."""
    situation = _Situation()
    fixture = situation.fixture
    listed = tuple(entry(f't{number}') for number in range(3))
    other = msgspec.structs.replace(
        entry('t3'), availability_zone=AvailabilityZoneId('norte-b')
    )
    fixture.target_table.update(
        VmId('10.0.0.1'),
        TargetUpdate(
            full=True, updated=(*listed, other), removed=(), age_seconds=0
        ),
        fixture.clock.monotonic(),
    )
    zone = AvailabilityZoneId('norte-a')
    evacuation = EvacuationItem(zone, True, 2)
    fixture.view.merge((), (evacuation,), LogIndex(2))
    return situation


def _snapshot(node: object, seen: set[int]) -> object:
    """Return the product's state below an object, to compare it."""
    if isinstance(node, str | bytes | int | float | timedelta | None):
        return node
    if id(node) in seen:
        return None
    seen.add(id(node))
    if isinstance(node, Mapping):
        return [(str(key), _snapshot(node[key], seen)) for key in node]
    if isinstance(node, list | tuple | set | frozenset | deque):
        return [_snapshot(each, seen) for each in node]
    if not type(node).__module__.startswith(('plantainstand', 'tests')):
        return None
    names = set(getattr(node, '__dict__', ()))
    for each in type(node).__mro__:
        names.update(getattr(each, '__slots__', ()))
    return [
        (name, _snapshot(getattr(node, name, None), seen))
        for name in sorted(names - _CACHES)
    ]


_SITUATIONS: Mapping[str, Any] = MappingProxyType(
    {
        'first request': _first_request,
        'warm object': _warm_object,
        'object in demand': _object_in_demand,
        'full targets': _full_targets,
        'first target full': _first_target_full,
        'no targets': lambda: _first_request(targets=0),
        'no route': _no_route,
        'no desired state': lambda: _first_request(routes=False),
        'stopping': _stopping,
        'traffic split': _split,
        'known account': _known_account,
        'unknown account': _unknown_account,
        'no account': _no_account,
        'keys not confirmed': _keys_not_confirmed,
        'no common home region': lambda: _known_account(home_regions=('sul',)),
        'limited account': _limited_account,
        'account exhausted': _account_exhausted,
        'evacuated zone': _evacuated_zone,
    }
)

_OUTCOMES: Mapping[str, tuple[int, str]] = MappingProxyType(
    {
        'warm object': (200, 'warm for the object'),
        'full targets': (503, 'no capacity'),
        'first target full': (200, 'targets before it are busy'),
        'no route': (404, 'no route'),
        'stopping': (503, 'stopping'),
        'traffic split': (503, 'no target'),
        'unknown account': (401, 'unknown key'),
        'keys not confirmed': (503, 'keys not confirmed'),
        'account exhausted': (429, 'account limit reached'),
    }
)


class ExplanationTests(unittest.IsolatedAsyncioTestCase):
    """An explanation that is wrong or intrusive misleads operators."""

    async def test_same_decision(self) -> None:
        """Guards against explanations that differ from what is done."""
        for name, prepare in _SITUATIONS.items():
            with self.subTest(name):
                situation = await prepare()
                explained = situation.explain()
                decision = explained.decision
                status, target, retry_after = await situation.handle()
                self.assertEqual(decision.target, target)
                self.assertEqual(decision.status or 200, status)
                self.assertEqual(decision.retry_after_ms, retry_after)
                expected = _OUTCOMES.get(name)
                if expected is not None:
                    self.assertEqual((status, decision.reason), expected)
                named = [each.target for each in explained.targets]
                if target is not None:
                    self.assertIn(target, named)
                if name == 'evacuated zone':
                    self.assertEqual(named, ['t3'])
                if name == 'object in demand':
                    self.assertEqual(len(named), 6)

    async def test_no_side_effects(self) -> None:
        """Guards against counts, probes or records that a question leaves."""
        for name, prepare in _SITUATIONS.items():
            with self.subTest(name):
                situation = await prepare()
                before = _snapshot(situation.fixture, set())
                first = situation.explain()
                for _ in range(3):
                    self.assertEqual(situation.explain(), first)
                self.assertEqual(_snapshot(situation.fixture, set()), before)

    async def test_snapshot_sees_requests(self) -> None:
        """Guards against a comparison that would miss a change."""
        situation = await _limited_account()
        before = _snapshot(situation.fixture, set())
        await situation.handle()
        self.assertNotEqual(_snapshot(situation.fixture, set()), before)

    async def test_figures(self) -> None:
        """Guards against figures of another target or account."""
        situation = await _limited_account()
        await situation.handle()
        situation.report(6)
        situation.fixture.clock.advance(timedelta(milliseconds=30))
        explained = situation.explain()
        self.assertEqual(explained.allotment_left, 1)
        self.assertEqual(
            (explained.rank, explained.home_regions[0]), (2, 'norte')
        )
        self.assertTrue(explained.requires_keys and explained.keys_confirmed)
        assert explained.account is not None
        self.assertEqual(explained.account.version, 4)
        warm = {each.target: each.familiarity for each in explained.targets}
        assert explained.decision.target is not None
        self.assertEqual(warm[explained.decision.target], 'repeated')
        for each in explained.targets:
            self.assertEqual(each.load_age_ms, 30)
            self.assertEqual(each.slots, 4)
            self.assertGreater(each.slowdown, 1)

    async def test_targets_are_probed(self) -> None:
        """Guards against "reject" where the answer of a probe decides."""
        situation = _Situation()
        situation.fixture.clock.advance(timedelta(minutes=1))
        fixture = situation.fixture
        self.assertEqual(situation.explain().decision.outcome, 'reject')
        fixture.change(2, service_item())
        explained = situation.explain()
        self.assertEqual(explained.decision.outcome, 'wait')
        self.assertTrue(all(each.to_be_probed for each in explained.targets))
        self.assertEqual(fixture.pool.sent, [])

    async def test_allotment_is_asked_for(self) -> None:
        """Guards against a target where a request would first have to wait."""
        situation = await _limited_account()
        situation.fixture.clock.advance(timedelta(seconds=60))
        decision = situation.explain().decision
        self.assertEqual((decision.outcome, decision.target), ('wait', None))

    async def test_nothing_secret_is_echoed(self) -> None:
        """Guards against a key, given by mistake as a name, in the answer."""
        situation = await _known_account()
        query = b'host=shop.example&path=/orders/1&account=secret'
        explain = situation.fixture.steering.explain
        response = answer_explain(query, explain)
        self.assertNotIn(b'secret', response.body)
        known = answer_explain(query.replace(b'secret', b'acme'), explain)
        self.assertNotIn(_KEY, known.body)
        self.assertIn(b'"name":"acme"', known.body)

"""Command ``explain``."""

from collections.abc import Sequence
from urllib.parse import urlencode

from plantainstand_ctl._client import OperatorClient
from plantainstand_ctl._explain_body import (
    EXPLAIN_PATH,
    ExplainedTarget,
    Explanation,
    ItemVersion,
)
from plantainstand_ctl._report import CommandResult, make_report

_COLUMNS = (
    'target',
    'zone',
    'may receive',
    'familiarity',
    'load',
    'age ms',
    'in flight',
    'slowdown',
    'wait ms',
    'run ms',
)


def explain_request(
    client: OperatorClient,
    host: str,
    path: str,
    *,
    object_key: str | None,
    account: str | None,
) -> CommandResult:
    """Show where an entry VM would send a request now; nothing is sent."""
    stated = {
        'host': host,
        'path': path,
        'object': object_key,
        'account': account,
    }
    query = urlencode(
        {name: text for name, text in stated.items() if text is not None}
    )
    found = client.get(f'{EXPLAIN_PATH}?{query}', Explanation)
    return make_report(found, _lines)


def _lines(found: Explanation) -> Sequence[str]:
    if found.route is None:
        return (_decision_line(found),)
    lines = [
        f'route {_item_text(found.route)}, service {_service_text(found)}',
        f'account {_account_text(found)}',
    ]
    if found.rank is not None:
        regions = ', '.join(found.home_regions) or 'all'
        lines.append(f'rank {found.rank}, home regions {regions}')
    if found.targets:
        if not found.states_object:
            lines.append('no object: this order is that of one request')
        lines.extend(_table(found.targets))
    return (*lines, _decision_line(found))


def _item_text(item: ItemVersion) -> str:
    return f'{item.name} version {item.version}'


def _service_text(found: Explanation) -> str:
    if not found.parts:
        return str(found.service)
    parts = ', '.join(f'{part.service} {part.weight:g}' for part in found.parts)
    return f'{found.service} (next of {parts})'


def _account_text(found: Explanation) -> str:
    text = 'none'
    if found.account is not None:
        text = _item_text(found.account)
    elif found.denial is not None:
        text = f'denied: {found.denial}'
    if not found.requires_keys:
        return f'{text}, keys not required'
    if found.allotment_left is not None:
        text = f'{text}, allotment left {found.allotment_left}'
    confirmed = 'confirmed' if found.keys_confirmed else 'not confirmed'
    return f'{text}, keys {confirmed}'


def _decision_line(found: Explanation) -> str:
    decision = found.decision
    words = [decision.outcome]
    if decision.target is not None:
        words.append(f'to {decision.target}')
    if decision.status is not None:
        words.append(f'with {decision.status}')
    line = f'decision: {" ".join(words)}: {decision.reason}'
    if decision.retry_after_ms is None:
        return line
    return f'{line}, Retry-After {decision.retry_after_ms:g} ms'


def _table(targets: Sequence[ExplainedTarget]) -> Sequence[str]:
    rows = [_COLUMNS, *(_row(target) for target in targets)]
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    return ['  '.join(map(str.ljust, row, widths)).rstrip() for row in rows]


def _row(target: ExplainedTarget) -> Sequence[str]:
    may_receive = 'yes' if target.may_receive else 'no'
    if target.to_be_probed:
        may_receive = f'{may_receive}, to be probed'
    age = target.load_age_ms
    return [
        target.target,
        target.availability_zone,
        may_receive,
        target.familiarity,
        f'{target.load:g} of {target.slots}',
        '-' if age is None else f'{age:g}',
        str(target.in_flight),
        f'{target.slowdown:g}',
        f'{target.expected_wait_ms:g}',
        f'{target.expected_run_ms:g}',
    ]

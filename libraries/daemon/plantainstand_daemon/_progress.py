"""How far changes and drains have come, from the leader's report."""

from collections.abc import Iterator, Mapping, Sequence
from datetime import timedelta

from plantainstand_catalogue import DrainSubjectKind
from plantainstand_core import (
    AvailabilityZoneId,
    RegionId,
    ResourceId,
    TargetId,
    VmId,
)
from plantainstand_protocol.steering_pb2 import ReportReply, VmReport
from plantainstand_shares import SupportTiming, VmRecord, VmState

from plantainstand_daemon._control_state import ControlView
from plantainstand_daemon._demands import build_demands, target_resource

_MILLISECOND = timedelta(milliseconds=1)

Document = dict[str, object]


def vm_reports(view: ControlView, report: ReportReply) -> Sequence[Document]:
    """Describe every registered VM."""
    heard = _heard(report)
    return [
        _describe_vm(record, heard.get(record.vm), report.commit_index)
        for record in view.shares.registry.newest.values()
    ]


def change_progress(
    view: ControlView,
    report: ReportReply,
    revision: int,
) -> Document:
    """Tell where a change is in force and where not yet.

    A lowered limit is in force at a VM only when that VM can use no share
    under the old one.
    """
    heard = _heard(report)
    over_limit = set(_holders_over_capacity(view))
    in_force: list[str] = []
    pending: list[str] = []
    for record in _present(view):
        told = heard.get(record.vm)
        has_applied = told is not None and told.applied_index >= revision
        if has_applied and record.vm not in over_limit:
            in_force.append(record.vm)
        else:
            pending.append(record.vm)
    return {'revision': revision, 'in_force': in_force, 'pending': pending}


def drain_progress(
    view: ControlView,
    report: ReportReply,
    kind: DrainSubjectKind,
    name: str,
) -> Document:
    """Tell whether a drain has ended, and what it waits for."""
    zone = None
    if kind is DrainSubjectKind.VM:
        record = view.shares.registry.newest.get(VmId(name))
        zone = record.availability_zone if record else None
    if not view.catalogue.is_draining(kind, name, zone):
        return {'state': 'not-draining', 'in_flight': 0, 'waiting_for': []}
    waiting = [
        *_busy_targets(view, kind, name),
        *_busy_vms(view, kind, name),
    ]
    heard = _heard(report)
    in_flight = sum(
        heard[record.vm].in_flight
        for record in _covered_vms(view, kind, name)
        if record.vm in heard and record.ended_at is None
    )
    return {
        'state': 'draining' if waiting else 'drained',
        'in_flight': in_flight,
        'waiting_for': waiting,
    }


def _describe_vm(
    record: VmRecord,
    told: VmReport | None,
    commit_index: int,
) -> Document:
    lease_ms = SupportTiming().lease / _MILLISECOND
    is_heard = told is not None and told.heartbeat_age_ms < lease_ms
    described: Document = {
        'vm': record.vm,
        'availability_zone': record.availability_zone,
        'region': record.region,
        'state': record.state.value,
        'heard': is_heard,
        'address': f'{record.host}:{record.http_port}',
    }
    if told is not None:
        described['applied_index'] = told.applied_index
        described['behind'] = max(commit_index - told.applied_index, 0)
        described['in_flight'] = told.in_flight
    return described


def _heard(report: ReportReply) -> Mapping[VmId, VmReport]:
    newest: dict[VmId, VmReport] = {}
    for told in report.vms:
        known = newest.get(VmId(told.vm.vm))
        if known is None or known.vm.incarnation < told.vm.incarnation:
            newest[VmId(told.vm.vm)] = told
    return newest


def _present(view: ControlView) -> Iterator[VmRecord]:
    for record in view.shares.registry.newest.values():
        if record.ended_at is None:
            yield record


def _holders_over_capacity(view: ControlView) -> Iterator[VmId]:
    """Yield the VMs that may still use more than their new share.

    Until the leader has planned shares under a lowered limit, that is every
    holder.
    """
    limits = {
        demand.resource: demand.capacity for demand in build_demands(view)
    }
    for resource, shares in view.shares.resources.items():
        is_over = shares.held > limits.get(resource, 0)
        for share in shares.holders.values():
            allowed = 0 if is_over else share.share
            if share.held > allowed:
                yield share.vm


def _busy_targets(
    view: ControlView,
    kind: DrainSubjectKind,
    name: str,
) -> Iterator[str]:
    for target in view.catalogue.targets.values():
        if not _covers_target(view, kind, name, target.target_id):
            continue
        held = _held(view, target_resource(target.target_id))
        if held:
            yield f'target {target.id}: {held} slots may still be in use'


def _busy_vms(
    view: ControlView,
    kind: DrainSubjectKind,
    name: str,
) -> Iterator[str]:
    for record in _covered_vms(view, kind, name):
        if record.ended_at is None:
            state = record.state
            if state is VmState.LEAVING:
                yield f'VM {record.vm}: finishing its requests'
            else:
                yield f'VM {record.vm}: has not begun to leave'


def _covered_vms(
    view: ControlView,
    kind: DrainSubjectKind,
    name: str,
) -> Iterator[VmRecord]:
    for record in view.shares.registry.newest.values():
        covered = {
            DrainSubjectKind.VM: record.vm,
            DrainSubjectKind.AVAILABILITY_ZONE: record.availability_zone,
            DrainSubjectKind.REGION: record.region,
        }
        if covered.get(kind) == name:
            yield record


def _covers_target(
    view: ControlView,
    kind: DrainSubjectKind,
    name: str,
    target_id: TargetId,
) -> bool:
    target = view.catalogue.targets[target_id]
    zone = target.availability_zone
    match kind:
        case DrainSubjectKind.TARGET:
            return target_id == name
        case DrainSubjectKind.AVAILABILITY_ZONE:
            return zone == AvailabilityZoneId(name)
        case DrainSubjectKind.REGION:
            return view.catalogue.region_of_zone(zone) == RegionId(name)
    return False


def _held(view: ControlView, resource: ResourceId) -> float:
    shares = view.shares.resources.get(resource)
    return shares.held if shares else 0

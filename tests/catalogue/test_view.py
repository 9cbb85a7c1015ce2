"""Indexes, delays and drains of a catalogue view."""

import operator
import unittest
from typing import Any, cast

from plantainstand_catalogue import (
    AnnounceDrain,
    CatalogueView,
    DrainSubjectKind,
    RegionPair,
    empty_view,
)
from plantainstand_core import (
    AvailabilityZoneId,
    LogIndex,
    OperationId,
    RegionId,
    ServiceId,
)

from tests.catalogue import examples

_DELAYS_MS = (
    ('bajio-a', 'bajio-a', 0),
    ('bajio-a', 'bajio-b', 0.5),
    ('bajio-b', 'norte-a', 20.0),
    ('norte-a', 'bajio-a', None),
    ('bajio-a', 'sul-a', None),
    ('sul-a', 'sul-a', None),
)

# Announced drain: subjects that it covers | subjects that it does not cover.
# The availability zone of a VM follows its id after "@".
_DRAIN_COVERAGE = """
target/catalogue-1: target/catalogue-1 | target/catalogue-2
target/catalogue-1: | availability_zone/bajio-a vm/catalogue-1@bajio-a
vm/vm-1: vm/vm-1@bajio-a vm/vm-1 | vm/vm-2@bajio-a
availability_zone/bajio-a: availability_zone/bajio-a target/catalogue-1 |
availability_zone/bajio-a: vm/vm-1@bajio-a | vm/vm-1@bajio-b vm/vm-1
availability_zone/bajio-a: | region/bajio target/catalogue-2
availability_zone/bajio-a: | availability_zone/bajio-b
region/bajio: region/bajio availability_zone/bajio-b target/catalogue-1 |
region/bajio: vm/vm-1@bajio-b | region/norte vm/vm-1@unknown vm/vm-1
region/bajio: | availability_zone/norte-a target/unknown target/catalogue-2
"""


class IndexTest(unittest.TestCase):
    """Guards against entries under the wrong key of an index."""

    def test_indexes(self) -> None:
        """Each key of an index has the entries of that key and no others."""
        view = examples.filled_state().view()
        zone = AvailabilityZoneId('bajio-a')
        cases = (
            (view.targets_of_service(ServiceId('catalogue')), 2),
            (view.targets_of_service(ServiceId('x')), 0),
            (view.targets_of_zone(zone), 1),
            (view.zones_of_region(RegionId('bajio')), 2),
            (view.services, 1),
            (view.entries, len(examples.ENTRIES)),
        )
        for found, count in cases:
            self.assertEqual(len(found), count)
        self.assertEqual(
            list(view.links),
            [RegionPair(RegionId('bajio'), RegionId('norte'))],
        )
        self.assertEqual(view.revision, len(examples.ENTRIES))

    def test_delays(self) -> None:
        """The delay is that of the region or of the link between regions."""
        view = examples.filled_state().view()
        for source, destination, expected in _DELAYS_MS:
            with self.subTest(source=source, destination=destination):
                delay = view.delay_ms(
                    AvailabilityZoneId(source),
                    AvailabilityZoneId(destination),
                )
                self.assertEqual(delay, expected)

    def test_old_view_is_unchanged(self) -> None:
        """A change does not affect views that were returned before."""
        state = examples.filled_state()
        old = state.view()
        state.apply(examples.put(examples.region('sul'), 'op'), LogIndex(50))
        self.assertNotIn('sul', old.regions)
        self.assertIn('sul', state.view().regions)
        with self.assertRaises(TypeError):
            operator.setitem(cast(Any, old.regions), 'sul', None)

    def test_empty(self) -> None:
        """The view of the empty catalogue can be queried."""
        view = empty_view()
        self.assertEqual(view.revision, 0)
        self.assertFalse(view.is_draining(DrainSubjectKind.VM, 'vm-1'))


class DrainTest(unittest.TestCase):
    """Guards against new requests to a subject that is draining."""

    def test_covered_subjects(self) -> None:
        """A drain covers its subject and everything in it, nothing else."""
        for row in _DRAIN_COVERAGE.strip().splitlines():
            announced, _, subjects = row.partition(':')
            view = _view_with_drain(announced)
            covered, _, not_covered = subjects.partition('|')
            with self.subTest(row):
                for subject in covered.split():
                    self.assertTrue(_is_draining(view, subject), subject)
                for other in not_covered.split():
                    self.assertFalse(_is_draining(view, other), other)


def _is_draining(view: CatalogueView, subject: str) -> bool:
    name, _, zone = subject.partition('@')
    kind, _, name = name.partition('/')
    availability_zone = AvailabilityZoneId(zone) if zone else None
    return view.is_draining(DrainSubjectKind(kind), name, availability_zone)


def _view_with_drain(subject: str) -> CatalogueView:
    kind, _, name = subject.partition('/')
    state = examples.filled_state()
    command = AnnounceDrain(OperationId('op'), DrainSubjectKind(kind), name)
    state.apply(command, LogIndex(50))
    return state.view()

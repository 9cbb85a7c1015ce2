"""Indexes, delays and drains of the catalogue view."""

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

_TARGET = DrainSubjectKind.TARGET
_VM = DrainSubjectKind.VM
_ZONE = DrainSubjectKind.AVAILABILITY_ZONE
_REGION = DrainSubjectKind.REGION

_DELAYS = (
    ('bajio-a', 'bajio-a', 0),
    ('bajio-a', 'bajio-b', 0.5),
    ('bajio-b', 'norte-a', 20.0),
    ('norte-a', 'bajio-a', None),
    ('bajio-a', 'sul-a', None),
    ('sul-a', 'sul-a', None),
)

# What is announced, and for each question whether it is covered.
_DRAINS = (
    (
        (_TARGET, 'catalogue-1'),
        (
            (_TARGET, 'catalogue-1', None, True),
            (_TARGET, 'catalogue-2', None, False),
            (_ZONE, 'bajio-a', None, False),
            (_VM, 'catalogue-1', 'bajio-a', False),
        ),
    ),
    (
        (_VM, 'vm-1'),
        (
            (_VM, 'vm-1', 'bajio-a', True),
            (_VM, 'vm-1', None, True),
            (_VM, 'vm-2', 'bajio-a', False),
        ),
    ),
    (
        (_ZONE, 'bajio-a'),
        (
            (_ZONE, 'bajio-a', None, True),
            (_ZONE, 'bajio-b', None, False),
            (_TARGET, 'catalogue-1', None, True),
            (_TARGET, 'catalogue-2', None, False),
            (_VM, 'vm-1', 'bajio-a', True),
            (_VM, 'vm-1', 'bajio-b', False),
            (_VM, 'vm-1', None, False),
            (_REGION, 'bajio', None, False),
        ),
    ),
    (
        (_REGION, 'bajio'),
        (
            (_REGION, 'bajio', None, True),
            (_REGION, 'norte', None, False),
            (_ZONE, 'bajio-b', None, True),
            (_ZONE, 'norte-a', None, False),
            (_TARGET, 'catalogue-1', None, True),
            (_TARGET, 'unknown', None, False),
            (_VM, 'vm-1', 'bajio-b', True),
            (_VM, 'vm-1', 'unknown', False),
        ),
    ),
)


class IndexTest(unittest.TestCase):
    """Guards against readers that see an entry in the wrong place."""

    def test_indexes(self) -> None:
        """Each index holds the entries of its key and nothing else."""
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
        """The delay between two zones is that of their region or link."""
        view = examples.filled_state().view()
        for source, destination, expected in _DELAYS:
            with self.subTest(source=source, destination=destination):
                delay = view.delay_ms(
                    AvailabilityZoneId(source),
                    AvailabilityZoneId(destination),
                )
                self.assertEqual(delay, expected)

    def test_old_view_is_unchanged(self) -> None:
        """A change makes a new view and leaves readers of the old alone."""
        state = examples.filled_state()
        old = state.view()
        state.apply(examples.put(examples.region('sul'), 'op'), LogIndex(50))
        self.assertNotIn('sul', old.regions)
        self.assertIn('sul', state.view().regions)
        with self.assertRaises(TypeError):
            operator.setitem(cast(Any, old.regions), 'sul', None)

    def test_empty(self) -> None:
        """The empty catalogue answers every question."""
        view = empty_view()
        self.assertEqual(view.revision, 0)
        self.assertFalse(view.is_draining(_VM, 'vm-1'))


class DrainTest(unittest.TestCase):
    """Guards against new work at something that is leaving."""

    def test_covered_subjects(self) -> None:
        """A drain covers its subject and what lies in it, nothing else."""
        for announced, questions in _DRAINS:
            view = _view_with_drain(*announced)
            for kind, name, zone, expected in questions:
                with self.subTest(announced=announced, kind=kind, name=name):
                    place = AvailabilityZoneId(zone) if zone else None
                    self.assertEqual(
                        view.is_draining(kind, name, place),
                        expected,
                    )


def _view_with_drain(kind: DrainSubjectKind, name: str) -> CatalogueView:
    state = examples.filled_state()
    command = AnnounceDrain(OperationId('op'), kind, name)
    state.apply(command, LogIndex(50))
    return state.view()

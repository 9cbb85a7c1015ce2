"""Guards messages between processes of this build and of the one before it."""

import unittest

import msgspec
from plantainstand_core import AvailabilityZoneId, RegionId, TargetId
from plantainstand_fleet import (
    EntryReport,
    LimitStatement,
    Roster,
    TargetLoad,
    decode_fleet_message,
    encode_fleet_message,
)

_REPORT_FIELDS = ('10.0.0.9:80', 'norte-a', 'norte', True)
_ROSTER_FIELDS = ((), 9, 3)


class OlderProcessTests(unittest.TestCase):
    """A message that can't be decoded would close the link, each time anew."""

    def test_message_of_an_older_process(self) -> None:
        """Fields that it does not send have defaults."""
        cases = (
            (
                ('EntryReport', *_REPORT_FIELDS),
                EntryReport(
                    '10.0.0.9:80',
                    AvailabilityZoneId('norte-a'),
                    RegionId('norte'),
                    ready=True,
                ),
            ),
            (('Roster', *_ROSTER_FIELDS), Roster((), 9, 3)),
        )
        for fields, expected in cases:
            with self.subTest(fields[0]):
                decoded = decode_fleet_message(msgspec.msgpack.encode(fields))
                self.assertEqual(decoded.unwrap(), expected)

    def test_fields_are_added_at_the_end(self) -> None:
        """An older process reads the first fields and ignores the others."""
        limits = (LimitStatement(TargetId('t1'), 1, 6.5, 0),)
        roster = Roster((), 9, 3, 4, 2, limits)
        report = EntryReport(
            '10.0.0.9:80',
            AvailabilityZoneId('norte-a'),
            RegionId('norte'),
            ready=True,
            loads=(TargetLoad(TargetId('t1'), 1, 4, 2, 250, 100),),
        )
        for message, known in (
            (roster, [[], 9, 3]),
            (report, [*_REPORT_FIELDS, [], 0]),
        ):
            with self.subTest(type(message).__name__):
                fields = msgspec.msgpack.decode(encode_fleet_message(message))
                self.assertEqual(fields[1 : len(known) + 1], known)
                longer = msgspec.msgpack.encode([*fields, 'later field'])
                self.assertEqual(decode_fleet_message(longer).unwrap(), message)

"""Guards that faulty settings are rejected with a helpful message."""

import unittest

import msgspec
from plantainstand_core import parse_settings


class _Limits(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    timeout_ms: int


class _Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    limits: _Limits


_CASES = (
    ('comment', '{"limits": {"timeout_ms": 5} /* ok */}', None),
    ('syntax', '{"limits": ', 'is not valid JSON'),
    ('unknown', '{"limits": {"timeout": 5}}', 'did you mean `timeout_ms`'),
    ('type', '{"limits": {"timeout_ms": "5"}}', '$.limits.timeout_ms'),
    ('missing', '{}', 'missing required field `limits`'),
)


class ParseSettingsTest(unittest.TestCase):
    """A faulty setting must not be ignored or misread silently."""

    def test_faults_are_named(self) -> None:
        """A faulty document is rejected with its fault; a valid one loads."""
        for name, text, expected in _CASES:
            with self.subTest(name):
                outcome = parse_settings(text, _Settings)
                if expected is None:
                    self.assertEqual(outcome.unwrap().limits.timeout_ms, 5)
                else:
                    self.assertIn(expected, str(outcome.unwrap_err()))

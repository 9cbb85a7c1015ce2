"""Acknowledged changes outlast the loss of two disks, as real processes."""

import asyncio
import unittest

from tests.soak._programs import installed_packages
from tests.soak.final_fault import Outcome, Verdict, run_play

_REPLACED_VOTER = ('replaced-voter', 1)
_OVERLAPPING_LOSSES = ('few-random', 1)


class FinalFaultTests(unittest.TestCase):
    """Each loss of a day has to be repaired before the next one."""

    _verdicts: dict[tuple[str, int], Verdict]

    @classmethod
    def setUpClass(cls) -> None:
        """Run the plays side by side: they mostly wait."""
        cls.enterClassContext(installed_packages())
        cls._verdicts = asyncio.run(
            _run_plays(_REPLACED_VOTER, _OVERLAPPING_LOSSES)
        )

    def test_replaced_voter(self) -> None:
        """Guards against a lost disk that stays in the voter set.

        A voter was replaced while it was down and does not know it, and its
        successor leads. It is chosen to take the place of a lost disk.
        """
        self._assert_held(_REPLACED_VOTER)

    def test_overlapping_losses(self) -> None:
        """Guards against changes that are lost with overlapping losses."""
        self._assert_held(_OVERLAPPING_LOSSES)

    def _assert_held(self, play: tuple[str, int]) -> None:
        verdict = self._verdicts[play]
        self.assertIs(verdict.outcome, Outcome.HELD, verdict.detail)


async def _run_plays(
    *plays: tuple[str, int],
) -> dict[tuple[str, int], Verdict]:
    verdicts = await asyncio.gather(
        *(run_play(plan, seed) for plan, seed in plays)
    )
    return dict(zip(plays, verdicts, strict=True))

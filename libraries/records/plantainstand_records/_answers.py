"""Answers of targets, as far as records keep them."""

from collections.abc import Iterable
from typing import TypeAlias

import msgspec

MAX_ANSWER_BYTES = 65536
"""Largest answer that is kept, headers and body together."""


class Answer(msgspec.Struct, frozen=True, tag='kept'):
    """A target's whole answer."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class LargeAnswer(msgspec.Struct, frozen=True, tag='large'):
    """An answer of which only the size is kept.

    The request ran. A resend cannot get the answer: it is told so, and
    neither "answered" nor "not run".
    """

    status: int
    answer_bytes: int


AnyAnswer: TypeAlias = Answer | LargeAnswer


def recordable_answer(
    status: int,
    headers: Iterable[tuple[str, str]],
    body: bytes,
) -> AnyAnswer:
    """Return what a record keeps of an answer."""
    return limit_answer(Answer(status, tuple(headers), body))


def limit_answer(answer: AnyAnswer) -> AnyAnswer:
    """Replace an answer above :data:`MAX_ANSWER_BYTES` by its size."""
    if isinstance(answer, LargeAnswer):
        return answer
    answer_bytes = len(answer.body) + sum(
        len(name.encode()) + len(text.encode()) for name, text in answer.headers
    )
    if answer_bytes <= MAX_ANSWER_BYTES:
        return answer
    return LargeAnswer(answer.status, answer_bytes)

"""Answers of targets in the form in which records store them."""

from collections.abc import Iterable
from typing import TypeAlias

import msgspec

MAX_ANSWER_BYTES = 65536
"""Largest answer that is stored; headers and body together."""


class Answer(msgspec.Struct, frozen=True, tag='kept'):
    """The complete answer of a target."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class LargeAnswer(msgspec.Struct, frozen=True, tag='large'):
    """An answer that is too large to be stored.

    The request ran, but a resend cannot get the answer. Its outcome is
    therefore neither "answered" nor "not run".
    """

    status: int
    answer_bytes: int


AnyAnswer: TypeAlias = Answer | LargeAnswer


def recordable_answer(
    status: int,
    headers: Iterable[tuple[str, str]],
    body: bytes,
) -> AnyAnswer:
    """Return an answer in the form in which records store it."""
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

"""Median, spread and straight line of repeated measurements."""

import statistics
from collections.abc import Mapping, Sequence
from dataclasses import dataclass


@dataclass(frozen=True)
class Line:
    """Least-squares line through measured medians."""

    slope: float
    intercept: float
    residual: float
    """Largest distance of a point from the line, over the largest median."""


def fit_line(points: Mapping[float, float]) -> Line:
    """Fit medians by size; at least two sizes."""
    sizes = tuple(points)
    medians = tuple(points.values())
    slope, intercept = statistics.linear_regression(sizes, medians)
    distances = [
        abs(median - slope * size - intercept)
        for size, median in points.items()
    ]
    return Line(slope, intercept, max(distances) / (max(medians) or 1))


def describe(name: str, samples: Sequence[float]) -> Mapping[str, float]:
    """Return median and spread (largest minus smallest) under a name."""
    return {
        name: statistics.median(samples),
        f'{name}, spread': max(samples) - min(samples),
    }


def describe_line(
    name: str,
    samples: Mapping[float, Sequence[float]],
) -> Mapping[str, float]:
    """Return each size's median and spread, and the line through them."""
    figures: dict[str, float] = {}
    for measured, found in samples.items():
        figures.update(describe(f'{name} at {measured:g}', found))
    line = fit_line(
        {size: statistics.median(times) for size, times in samples.items()},
    )
    return {
        **figures,
        f'{name}, slope': line.slope,
        f'{name}, intercept': line.intercept,
        f'{name}, residual': line.residual,
    }

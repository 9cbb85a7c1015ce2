"""Metrics of a process, rendered in the Prometheus text format."""

from collections.abc import Mapping

from aioprometheus import Counter, Gauge, Histogram, Registry, render

_LATENCY_BUCKETS_SECONDS = (
    0.001,
    0.002,
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.5,
    1.0,
    2.0,
    5.0,
    10.0,
)


class Metrics:
    """Counters, gauges and latency histograms by name.

    A metric is created on first use, with the help text given to the
    constructor, so that all names and help texts are listed in one place. Not
    thread-safe: one event loop owns the object.
    """

    def __init__(self, help_texts: Mapping[str, str]) -> None:
        """Accept only the metric names in ``help_texts``."""
        self._help_texts = help_texts
        self._registry = Registry()
        self._counters: dict[str, Counter] = {}
        self._gauges: dict[str, Gauge] = {}
        self._histograms: dict[str, Histogram] = {}

    def count(self, name: str, amount: float = 1, **labels: str) -> None:
        """Add ``amount`` to a counter."""
        counter = self._counters.get(name)
        if counter is None:
            counter = Counter(
                name,
                self._help_texts[name],
                registry=self._registry,
            )
            self._counters[name] = counter
        counter.add(labels, amount)

    def gauge(self, name: str, reading: float, **labels: str) -> None:
        """Set a gauge to ``reading``."""
        gauge = self._gauges.get(name)
        if gauge is None:
            gauge = Gauge(
                name,
                self._help_texts[name],
                registry=self._registry,
            )
            self._gauges[name] = gauge
        gauge.set(labels, reading)

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Add one latency in seconds to a histogram."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = Histogram(
                name,
                self._help_texts[name],
                registry=self._registry,
                buckets=_LATENCY_BUCKETS_SECONDS,
            )
            self._histograms[name] = histogram
        histogram.add(labels, seconds)

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        text, _headers = render(self._registry, ())
        return bytes(text)

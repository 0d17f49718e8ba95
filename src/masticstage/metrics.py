"""Latency histograms, counters and gauges in the Prometheus text format."""

from datetime import timedelta
from typing import Final, final

from hdrh.histogram import HdrHistogram
from prometheus_client import (
    CollectorRegistry,
    Counter,
    generate_latest,
)
from prometheus_client.core import GaugeMetricFamily

#: Range and precision of the histograms.
_LOWEST_US: Final = 1
_HIGHEST_US: Final = 600_000_000
_US_PER_S: Final = 1_000_000
_SIGNIFICANT_DIGITS: Final = 2
_PERCENTILES: Final = (50.0, 95.0, 99.0, 99.9)
#: Names with counters of their own; callers or configurations determine them.
_MAX_NAMES: Final = 64
_OTHER_NAMES: Final = 'others'


@final
class Metrics:
    """Metrics of one instance."""

    def __init__(self) -> None:
        """Creates a registry of its own, since a test holds several."""
        self._registry = CollectorRegistry()
        self._histograms: dict[str, HdrHistogram] = {}
        self._gauges: dict[str, float] = {}
        self._names: set[str] = set()
        self._counters: dict[str, Counter] = {}
        self._events = Counter(
            'masticstage_events',
            'Events by name.',
            ['event'],
            registry=self._registry,
        )
        self._registry.register(self)

    def count(self, event: str, amount: int = 1) -> None:
        """Adds to the counter of an event."""
        counter = self._counters.get(event)
        if counter is None:
            counter = self._events.labels(event)
            self._counters[event] = counter
        counter.inc(amount)

    def count_named(self, event: str, name: str, amount: int = 1) -> None:
        """Adds to the counter of an event for a name, such as a team's.

        Only the first names have counters of their own; all others share one.
        """
        if len(self._names) < _MAX_NAMES:
            self._names.add(name)
        label = name if name in self._names else _OTHER_NAMES
        self.count(f'{event}.{label}', amount)

    def set_gauge(self, name: str, amount: float) -> None:
        """Sets the gauge of a name, such as a count of open requests."""
        self._gauges[name] = amount

    def record(self, name: str, duration: timedelta) -> None:
        """Adds a duration to the histogram of a name."""
        histogram = self._histograms.get(name)
        if histogram is None:
            histogram = HdrHistogram(
                _LOWEST_US, _HIGHEST_US, _SIGNIFICANT_DIGITS
            )
            self._histograms[name] = histogram
        histogram.record_value(duration // timedelta(microseconds=1))

    def collect(self) -> list[GaugeMetricFamily]:
        """Returns all percentiles, in seconds, and all gauges.

        The registry calls it for each scrape.
        """
        percentiles = GaugeMetricFamily(
            'masticstage_latency_seconds',
            'Latency percentiles since the start.',
            labels=['name', 'percentile'],
        )
        for name, histogram in self._histograms.items():
            for percentile in _PERCENTILES:
                microseconds = histogram.get_value_at_percentile(percentile)
                percentiles.add_metric(
                    [name, str(percentile)],
                    microseconds / _US_PER_S,
                )
        gauges = GaugeMetricFamily(
            'masticstage_level',
            'Levels of what is held or believed now.',
            labels=['name'],
        )
        for name, amount in self._gauges.items():
            gauges.add_metric([name], amount)
        return [percentiles, gauges]

    def render(self) -> bytes:
        """Returns all metrics in the text format."""
        return generate_latest(self._registry)

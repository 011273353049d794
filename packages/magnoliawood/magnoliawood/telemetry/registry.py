"""Registry of counters, gauges and latency histograms."""

import collections
import collections.abc
import datetime
import typing

import hdrh.histogram

_LOWEST_MICROSECONDS = 1
_HIGHEST_MICROSECONDS = 24 * 3600 * 1_000_000
_SIGNIFICANT_DIGITS = 2
_QUANTILES = (0.5, 0.95, 0.99)
_MICROSECONDS_PER_SECOND = 1_000_000


class _Series(typing.NamedTuple):
    name: str
    labels: tuple[tuple[str, str], ...]

    def text(self, *extra: tuple[str, str]) -> str:
        pairs = [f'{key}="{value}"' for key, value in (*self.labels, *extra)]
        return f'{self.name}{{{",".join(pairs)}}}' if pairs else self.name


class Registry:
    """Metrics of one process.

    Examples
    ========

    >>> registry = Registry()
    >>> registry.count('refusals_total', reason='overloaded')
    >>> registry.counter('refusals_total', reason='overloaded')
    1
    >>> print(registry.exposition())
    # TYPE refusals_total counter
    refusals_total{reason="overloaded"} 1
    <BLANKLINE>
    """

    def __init__(self) -> None:
        self._counters: collections.Counter[_Series] = collections.Counter()
        self._gauges: dict[_Series, float] = {}
        self._histograms: dict[_Series, hdrh.histogram.HdrHistogram] = {}
        # Series by their name and labels, in the order of each call.
        self._series: dict[tuple[object, ...], _Series] = {}

    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        """Add ``amount`` to a counter."""
        self._counters[self._find_series(name, labels)] += amount

    def counter(self, name: str, **labels: str) -> int:
        """Return the value of a counter."""
        return self._counters[self._find_series(name, labels)]

    def counters(self) -> dict[str, int]:
        """Return the counters by series, as in ``name{label="value"}``."""
        return {
            series.text(): self._counters[series]
            for series in sorted(self._counters)
        }

    def set_gauge(self, name: str, value: float, **labels: str) -> None:
        """Set a gauge to ``value``."""
        self._gauges[self._find_series(name, labels)] = value

    def record(
        self, name: str, duration: datetime.timedelta, **labels: str
    ) -> None:
        """Record a duration in a histogram."""
        series = self._find_series(name, labels)
        histogram = self._histograms.get(series)
        if histogram is None:
            histogram = hdrh.histogram.HdrHistogram(
                _LOWEST_MICROSECONDS,
                _HIGHEST_MICROSECONDS,
                _SIGNIFICANT_DIGITS,
            )
            self._histograms[series] = histogram
        microseconds = duration // datetime.timedelta(microseconds=1)
        histogram.record_value(max(_LOWEST_MICROSECONDS, microseconds))

    def _find_series(self, name: str, labels: dict[str, str]) -> _Series:
        key = (name, *labels.items())
        series = self._series.get(key)
        if series is None:
            series = _Series(name, tuple(sorted(labels.items())))
            self._series[key] = series
        return series

    def exposition(self) -> str:
        """Return all metrics in the Prometheus text exposition format."""
        lines = [
            *_typed_lines('counter', self._counters),
            *_typed_lines('gauge', self._gauges),
        ]
        for series in sorted(self._histograms):
            lines += _summary_lines(series, self._histograms[series])
        return '\n'.join(lines) + '\n'


def _typed_lines(
    kind: str, values: collections.abc.Mapping[_Series, float]
) -> list[str]:
    lines = []
    previous = ''
    for series in sorted(values):
        if series.name != previous:
            lines.append(f'# TYPE {series.name} {kind}')
            previous = series.name
        lines.append(f'{series.text()} {values[series]}')
    return lines


def _summary_lines(
    series: _Series, histogram: hdrh.histogram.HdrHistogram
) -> list[str]:
    values = [
        (
            quantile,
            histogram.get_value_at_percentile(quantile * 100)
            / _MICROSECONDS_PER_SECOND,
        )
        for quantile in _QUANTILES
    ]
    count = histogram.get_total_count()
    mean = histogram.get_mean_value() / _MICROSECONDS_PER_SECOND
    count_series = series._replace(name=f'{series.name}_count')
    sum_series = series._replace(name=f'{series.name}_sum')
    return [
        f'# TYPE {series.name} summary',
        *(
            f'{series.text(("quantile", str(quantile)))} {value:.6f}'
            for quantile, value in values
        ),
        f'{sum_series.text()} {mean * count:.6f}',
        f'{count_series.text()} {count}',
    ]

"""Event counters and latency histograms of a forwarding process."""

from hdrh.histogram import HdrHistogram

LOWEST_MS = 1
HIGHEST_MS = 60_000
SIGNIFICANT_DIGITS = 2
MAX_ROUTES = 64
PERCENTILES = (50.0, 90.0, 99.0, 99.9)
PREFIX = "sesameplank_front"


class FrontMetrics:
    """Event counters of the process, and a latency histogram for each route."""

    def __init__(self) -> None:
        self.counts: dict[str, int] = {}
        self.latencies: dict[str, HdrHistogram] = {}

    def count(self, event: str, number: int = 1) -> None:
        """Increase the counter of an event."""
        self.counts[event] = self.counts.get(event, 0) + number

    def observe(self, route: str, latency_s: float) -> None:
        """Record the latency of an answer, for the first MAX_ROUTES routes seen."""
        histogram = self.latencies.get(route)
        if histogram is None:
            if len(self.latencies) >= MAX_ROUTES:
                self.count("latencies_unrecorded")
                return
            histogram = HdrHistogram(LOWEST_MS, HIGHEST_MS, SIGNIFICANT_DIGITS)
            self.latencies[route] = histogram
        histogram.record_value(max(LOWEST_MS, int(latency_s * 1_000)))

    def render(self, gauges: dict[str, float]) -> str:
        """Return all metrics in the Prometheus text format."""
        lines = [f"# TYPE {PREFIX}_events_total counter"]
        lines += [
            f'{PREFIX}_events_total{{event="{event}"}} {count}'
            for event, count in sorted(self.counts.items())
        ]
        for name, value in gauges.items():
            lines.append(f"# TYPE {PREFIX}_{name} gauge")
            lines.append(f"{PREFIX}_{name} {value}")
        lines.append(f"# TYPE {PREFIX}_latency_ms summary")
        for route, histogram in sorted(self.latencies.items()):
            lines += self.render_route(route, histogram)
        return "\n".join(lines) + "\n"

    def render_route(self, route: str, histogram: HdrHistogram) -> list[str]:
        """Return the latency summary of one route as lines of text."""
        name = f"{PREFIX}_latency_ms"
        lines = [
            f'{name}{{route="{route}",quantile="{percentile / 100}"}} '
            f"{histogram.get_value_at_percentile(percentile)}"
            for percentile in PERCENTILES
        ]
        lines.append(f'{name}_count{{route="{route}"}} {histogram.total_count}')
        return lines

"""Figures of one run: latency, coverage, extra load and service."""

from collections.abc import Iterable, Sequence

import msgspec
from hdrh.histogram import HdrHistogram

from ..conf.documents import CallerClass
from ..core.search.messages import Explanation
from ..ids import CollectionName
from ..standins.control import Truth
from ..standins.deployments import Deployment
from .arrivals import Arrival
from .capacity import count_shards
from .checks import Violations
from .observations import Observation, Outcome

MAX_LATENCY_US = 120_000_000
SIGNIFICANT_DIGITS = 3
US_PER_MS = 1_000


class Percentiles(msgspec.Struct):
    """Percentiles of a time, in milliseconds."""

    p50: float = 0.0
    p95: float = 0.0
    p99: float = 0.0
    max: float = 0.0


class ControlOverhead(msgspec.Struct):
    """The cost of control traffic, measured without load, as a mean over the entries.

    `bytes_per_s` is None if the variant does not report it. `cpu_share` is the
    processor time as a share of one core.
    """

    bytes_per_s: float | None = None
    cpu_share: float = 0.0


class ProcessorUse(msgspec.Struct):
    """Processor time under load, as shares of one core and per query.

    `generators` and `standins` are those of the busiest process of their kind,
    `entries` is the mean over the entry processes. `entry_ms_per_query` is in
    milliseconds. `other_cores` is the number of cores that other processes on the
    machine kept busy.
    """

    generators: float = 0.0
    standins: float = 0.0
    entries: float = 0.0
    entry_ms_per_query: float = 0.0
    other_cores: float = 0.0


class Figures(msgspec.Struct):
    """The results of one variant in one run.

    `crest_service` is the share of the queries due in the scenario's window that
    were answered completely within the deadline; `first_class_service` is the
    same share of the queries of the first priority class. `extra_load` is the
    number of shard runs at targets, divided by the number that the answers
    needed, minus one. `offered` counts all arrivals due in the measured window.
    `answered_whole` counts complete answers to queries, and answered bookings.
    `refused_not_run` counts requests that were refused with the guarantee that
    they had not run. `unknown` counts requests whose outcome is unknown.
    `added_ms` is the time that the tier added to its slowest target's answer, over
    the complete answers with an explanation. `refusals` holds the number of failed
    requests by kind of error.
    """

    latency_ms: Percentiles
    coverage: float
    extra_load: float
    crest_service: float
    first_class_service: float
    offered: int
    answered_whole: int
    refused_not_run: int
    unknown: int
    control: ControlOverhead
    violations: Violations
    generator_late_ms: Percentiles
    added_ms: Percentiles
    processor: ProcessorUse
    refusals: dict[str, int] = {}


class Window(msgspec.Struct, frozen=True):
    """An interval of a run, in seconds since its start."""

    start_s: float
    end_s: float

    def contains(self, at_s: float) -> bool:
        """Return whether a time, in seconds since the start, lies in the window."""
        return self.start_s <= at_s < self.end_s


def get_percentiles(values_ms: Iterable[float]) -> Percentiles:
    """Return the percentiles of times in milliseconds, computed by hdrhistogram."""
    histogram = HdrHistogram(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
    for value in values_ms:
        histogram.record_value(max(1, int(value * US_PER_MS)))
    if not histogram.get_total_count():
        return Percentiles()
    return Percentiles(
        *(
            histogram.get_value_at_percentile(percentile) / US_PER_MS
            for percentile in (50, 95, 99)
        ),
        histogram.get_max_value() / US_PER_MS,
    )


def make_figures(
    deployment: Deployment,
    arrivals: Sequence[Arrival],
    observations: Sequence[Observation],
    truth: Truth,
    measured: Window,
    scenario_window: Window,
    deadline_ms: int,
) -> Figures:
    """Return the figures of the arrivals that were due in the measured window.

    An arrival without an observation counts as an unknown outcome. The extra load
    is that of the whole run, including the warm-up.
    """
    observed = [
        item for item in observations if measured.contains(arrivals[item.index].at_s)
    ]
    offered = [item for item in arrivals if measured.contains(item.at_s)]
    queries = [item for item in observed if arrivals[item.index].search is not None]
    answered = [item for item in queries if item.answer is not None]
    complete = [item for item in answered if item.answer.coverage.is_whole]
    in_scenario_window = [
        item for item in offered if item.search and scenario_window.contains(item.at_s)
    ]
    served = {item.index for item in complete if item.latency_ms <= deadline_ms}
    first = [item for item in in_scenario_window if item.priority is CallerClass.FIRST]
    return Figures(
        latency_ms=get_percentiles(item.latency_ms for item in answered),
        coverage=get_mean(item.answer.coverage.fraction for item in answered),
        extra_load=get_extra_load(deployment, arrivals, observations, truth),
        crest_service=get_mean(item.index in served for item in in_scenario_window),
        first_class_service=get_mean(item.index in served for item in first),
        offered=len(offered),
        answered_whole=len(complete)
        + sum(item.booking is not None for item in observed),
        refused_not_run=sum(item.outcome is Outcome.NOT_RUN for item in observed),
        unknown=sum(item.outcome is Outcome.UNKNOWN for item in observed)
        + len(offered)
        - len(observed),
        control=ControlOverhead(),
        violations=Violations(),
        generator_late_ms=get_percentiles(item.late_ms for item in observed),
        added_ms=get_percentiles(
            max(0.0, get_added_ms(item.answer.explanation))
            for item in complete
            if item.answer.explanation is not None
        ),
        processor=ProcessorUse(),
        refusals=count_kinds(observed),
    )


def get_mean(values: Iterable[float]) -> float:
    """Return the mean, or 0 if there are no values."""
    values = list(values)
    return sum(values) / len(values) if values else 0.0


def get_added_ms(explanation: Explanation) -> float:
    """Return the milliseconds that the tier added to its slowest target's answer."""
    return explanation.elapsed_ms - explanation.slowest_target_ms


def get_extra_load(
    deployment: Deployment,
    arrivals: Sequence[Arrival],
    observations: Sequence[Observation],
    truth: Truth,
) -> float:
    """Return the shard runs beyond those needed, as a fraction of those needed.

    An answer needs as many as its collection has shards, times its coverage. Both
    counts are those of the whole run, including the warm-up.
    """
    shards: dict[CollectionName, int] = {
        item.collection: count_shards(item) for item in deployment.services
    }
    needed = sum(
        item.answer.coverage.fraction * shards[arrivals[item.index].collection]
        for item in observations
        if item.answer is not None
    )
    runs = sum(target.shard_runs for target in truth.targets.values())
    return runs / needed - 1 if needed else 0.0


def count_kinds(observations: Iterable[Observation]) -> dict[str, int]:
    """Return the number of requests that failed with each kind of error."""
    counts: dict[str, int] = {}
    for item in observations:
        if item.kind:
            counts[item.kind] = counts.get(item.kind, 0) + 1
    return counts

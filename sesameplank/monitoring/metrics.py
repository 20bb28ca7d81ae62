"""Metrics of an entry, in the text exposition format of Prometheus."""

from collections.abc import Iterator
from typing import TYPE_CHECKING

import msgspec
from prometheus_client import CollectorRegistry, ProcessCollector, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric

from ..conf import PresetName
from ..core.quarantine.request_quarantine import Standing
from .dump import dump_admission, dump_budgets, dump_connections, dump_targets

if TYPE_CHECKING:
    from ..entry import Entry

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
PREFIX = "sesameplank_"
Sample = tuple[tuple[str, ...], float]


class MetricSpec(msgspec.Struct, frozen=True):
    """One metric: its name without the prefix, its kind, help text and labels."""

    name: str
    kind: str
    help: str
    labels: tuple[str, ...] = ()

    @property
    def full_name(self) -> str:
        """The name with the prefix, as in the exposition format."""
        return PREFIX + self.name


METRICS = tuple(
    MetricSpec(*item)
    for item in (
        ("requests_total", "counter", "Requests ended.", ("path", "outcome")),
        ("requests_in_flight", "gauge", "Requests of callers in flight."),
        (
            "request_latency_seconds",
            "gauge",
            "Latency of answered requests over the last 30 to 60 seconds.",
            ("path", "quantile"),
        ),
        ("caller_connections", "gauge", "Open connections of callers."),
        (
            "caller_connections_refused_total",
            "counter",
            "Connections of callers refused over the limit.",
        ),
        (
            "requests_unanswered_total",
            "counter",
            "Requests that ended without a whole answer.",
        ),
        ("serving", "gauge", "1 for the serving state the entry is in.", ("state",)),
        ("config_version", "gauge", "Version of the configuration in force."),
        (
            "config_age_seconds",
            "gauge",
            "Seconds since the platform last confirmed the configuration.",
        ),
        (
            "view_is_stale",
            "gauge",
            "1 while the platform has not confirmed the configuration for 10 s.",
        ),
        ("config_refused", "gauge", "1 while a newer version stands refused."),
        ("vms_version", "gauge", "Version of the VM list in force."),
        (
            "vms_age_seconds",
            "gauge",
            "Seconds since the platform last confirmed the VM list.",
        ),
        (
            "read_failures_total",
            "counter",
            "Failed reads of a document of the platform.",
            ("document",),
        ),
        ("preset", "gauge", "1 for the preset in force.", ("preset",)),
        ("members", "gauge", "Entries known, by health.", ("health",)),
        (
            "peer_messages_total",
            "counter",
            "Messages between entries.",
            ("direction", "type"),
        ),
        (
            "peer_bytes_total",
            "counter",
            "Bytes between entries.",
            ("direction", "type"),
        ),
        ("peer_dropped_total", "counter", "Messages dropped.", ("reason",)),
        ("platform_calls_total", "counter", "Calls to the platform's service."),
        ("task_failures_total", "counter", "Failures of background tasks.", ("task",)),
        (
            "task_age_seconds",
            "gauge",
            "Seconds since a background task last completed.",
            ("task",),
        ),
        ("pauses_total", "counter", "Times that the process woke up late."),
        ("targets", "gauge", "Targets by state.", ("state",)),
        ("targets_limited", "gauge", "Targets that name a rate limit."),
        ("targets_lost", "gauge", "1 if no target can be reached."),
        ("requests_in_quarantine", "gauge", "Requests that crash targets."),
        ("target_calls_in_flight", "gauge", "Calls to targets in flight."),
        ("target_calls_waiting", "gauge", "Calls that wait for a connection."),
        ("budget_tokens", "gauge", "Tokens left of a budget.", ("budget",)),
        (
            "budget_refused_total",
            "counter",
            "Extra calls that a budget refused.",
            ("budget",),
        ),
        ("hedges_total", "counter", "Hedges, by what became of them.", ("result",)),
        ("retries_total", "counter", "Retries, by cause or refusal.", ("result",)),
        ("ejections_total", "counter", "Ejections, by reason.", ("reason",)),
        ("probes_total", "counter", "Probes of ejected targets.", ("result",)),
        (
            "admission_refusals_total",
            "counter",
            "Queries refused before planning.",
            ("reason",),
        ),
        (
            "missing_ranges_total",
            "counter",
            "Ranges missing from answers.",
            ("reason",),
        ),
        ("first_shards_total", "counter", "Shards asked for the first time."),
        ("extra_shards_total", "counter", "Shards asked again or twice."),
        (
            "admission_limit",
            "gauge",
            "Queries that may be in flight.",
            ("collection", "priority"),
        ),
        ("booking_writers", "gauge", "Writers remembered."),
        ("booking_keys", "gauge", "Booking keys remembered."),
        ("decisions_total", "counter", "Decisions noted, by kind.", ("kind",)),
    )
)


class EntryMetrics:
    """The metrics of one entry, collected from its state on each scrape."""

    def __init__(self, entry: "Entry") -> None:
        self.entry = entry
        self.registry = CollectorRegistry()
        self.registry.register(self)
        ProcessCollector(registry=self.registry)

    def render(self) -> tuple[str, bytes]:
        """Return the content type and the text of all metrics."""
        return CONTENT_TYPE, generate_latest(self.registry)

    def describe(self) -> list[Metric]:
        """Return no metrics, so that registration does not collect them."""
        return []

    def collect(self) -> Iterator[Metric]:
        """Yield every metric of METRICS."""
        samples = collect_samples(self.entry)
        for spec in METRICS:
            yield make_family(spec, samples.get(spec.name, []))


def make_family(spec: MetricSpec, samples: list[Sample]) -> Metric:
    """Return one metric with its samples."""
    is_counter = spec.kind == "counter"
    family_type = CounterMetricFamily if is_counter else GaugeMetricFamily
    family = family_type(spec.full_name, spec.help, labels=spec.labels)
    for labels, value in samples:
        family.add_metric(labels, value)
    return family


def collect_samples(entry: "Entry") -> dict[str, list[Sample]]:
    """Return the samples of all metrics by metric name."""
    return {
        **collect_requests(entry),
        **collect_configuration(entry),
        **collect_fleet(entry),
        **collect_targets(entry),
        **collect_policies(entry),
    }


def make_unlabelled_sample(value: float) -> list[Sample]:
    """Return the single sample of a metric without labels."""
    return [((), value)]


def make_labelled_samples(counts: dict) -> list[Sample]:
    """Return one sample per key; a key is an Enum member or a string."""
    return [
        ((str(getattr(key, "value", key)),), count) for key, count in counts.items()
    ]


def collect_requests(entry: "Entry") -> dict[str, list[Sample]]:
    """Return the samples of the metrics of callers' requests."""
    ledger = entry.ledger
    connections = dump_connections(entry)
    return {
        "requests_total": list(ledger.outcomes.items()),
        "requests_in_flight": make_unlabelled_sample(len(ledger.open)),
        "request_latency_seconds": [
            ((path, f"{quantile:g}"), seconds)
            for path, window in ledger.latencies.items()
            for quantile, seconds in window.get_quantiles().items()
        ],
        "caller_connections": make_unlabelled_sample(connections.open),
        "caller_connections_refused_total": make_unlabelled_sample(connections.refused),
        "requests_unanswered_total": make_unlabelled_sample(
            entry.server.unanswered_requests
        ),
        "decisions_total": make_labelled_samples(entry.decisions.counts),
        "booking_writers": make_unlabelled_sample(len(entry.bookings.registry.writers)),
        "booking_keys": make_unlabelled_sample(entry.bookings.registry.key_count),
    }


def collect_configuration(entry: "Entry") -> dict[str, list[Sample]]:
    """Return the samples of the metrics of the configuration in force."""
    store = entry.store
    current = store.current
    age_s = store.age_s
    fleet = entry.coordination.get_state()
    vms_age_s = fleet["vms_age_s"]
    return {
        "serving": [
            ((state.value,), state is entry.gate.state)
            for state in type(entry.gate.state)
        ],
        "config_version": make_unlabelled_sample(store.version),
        "config_age_seconds": [] if age_s is None else make_unlabelled_sample(age_s),
        "view_is_stale": make_unlabelled_sample(entry.coordination.view_check.is_stale),
        "config_refused": make_unlabelled_sample(store.refused is not None),
        "vms_version": make_unlabelled_sample(entry.coordination.vms.version),
        "vms_age_seconds": []
        if vms_age_s is None
        else make_unlabelled_sample(vms_age_s),
        "read_failures_total": make_labelled_samples(fleet["read_failures"]),
        "preset": [
            ((name.value,), bool(current and current.configuration.preset is name))
            for name in PresetName
        ],
    }


def collect_fleet(entry: "Entry") -> dict[str, list[Sample]]:
    """Return the samples of the metrics of membership and control traffic."""
    counters = entry.links.counters
    health: dict[str, int] = {}
    for member in entry.coordination.membership.members.values():
        name = member.health.name.lower()
        health[name] = health.get(name, 0) + 1
    traffic = [
        (direction, name, item)
        for direction, table in (("out", counters.sent), ("in", counters.received))
        for name, item in table.items()
    ]
    fleet = entry.coordination.get_state()
    return {
        "members": make_labelled_samples(health),
        "peer_messages_total": [
            ((direction, name), item.messages) for direction, name, item in traffic
        ],
        "peer_bytes_total": [
            ((direction, name), item.bytes) for direction, name, item in traffic
        ],
        "peer_dropped_total": make_labelled_samples(counters.dropped),
        "platform_calls_total": make_unlabelled_sample(fleet["platform_calls"]),
        "task_failures_total": [
            ((name,), task.failures) for name, task in entry.loops.tasks.items()
        ],
        "task_age_seconds": [
            ((name,), task.age_s) for name, task in entry.loops.tasks.items()
        ],
        "pauses_total": make_unlabelled_sample(fleet["pauses"]),
    }


def collect_targets(entry: "Entry") -> dict[str, list[Sample]]:
    """Return the samples of the metrics of targets."""
    targets = dump_targets(entry).values()
    counts: dict[str, int] = {}
    for target in targets:
        counts[target.state] = counts.get(target.state, 0) + 1
    return {
        "targets": make_labelled_samples(counts),
        "targets_limited": make_unlabelled_sample(len(entry.limits.limits)),
        "targets_lost": make_unlabelled_sample(int(entry.reach.is_lost)),
        "requests_in_quarantine": make_unlabelled_sample(
            entry.quarantine.count(Standing.QUARANTINED, entry.clock.now())
        ),
        "target_calls_in_flight": make_unlabelled_sample(
            sum(item.in_flight for item in targets)
        ),
        "target_calls_waiting": make_unlabelled_sample(
            sum(item.waiting for item in targets)
        ),
    }


def collect_policies(entry: "Entry") -> dict[str, list[Sample]]:
    """Return the samples of the metrics of hedges, retries, ejection and admission."""
    counters = entry.policies.counters
    budgets = dump_budgets(entry)
    return {
        "budget_tokens": [((name,), item.tokens) for name, item in budgets.items()],
        "budget_refused_total": [
            ((name,), item.refused) for name, item in budgets.items()
        ],
        "hedges_total": make_labelled_samples(counters.hedges),
        "retries_total": make_labelled_samples(counters.retries),
        "ejections_total": make_labelled_samples(counters.ejections),
        "probes_total": make_labelled_samples(counters.probes),
        "admission_refusals_total": make_labelled_samples(counters.refusals),
        "missing_ranges_total": make_labelled_samples(counters.missing),
        "first_shards_total": make_unlabelled_sample(counters.first_shards),
        "extra_shards_total": make_unlabelled_sample(counters.extra_shards),
        "admission_limit": [
            ((name, priority), limit)
            for name, gate in dump_admission(entry).items()
            for priority, limit in (
                ("first", gate.first_limit),
                ("lower", gate.lower_limit),
            )
        ],
    }

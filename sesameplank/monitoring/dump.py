"""The state dump of an entry, which shows the inputs of its decisions."""

import sys
from typing import TYPE_CHECKING

import msgspec

from .. import __version__
from ..conf import PublishedVms
from ..core.search.counters import PolicyCounters
from ..logs import log_event
from .decisions import Decision
from .requests import RequestsState

if TYPE_CHECKING:
    from ..entry import Entry


class RefusedConfigurationState(msgspec.Struct, frozen=True):
    """A published configuration that was refused, and the reason."""

    version: int
    reason: str


class ConnectionsState(msgspec.Struct, frozen=True):
    """The number of open connections of callers, their limit and refusals."""

    open: int
    limit: int
    refused: int


class TargetDump(msgspec.Struct, frozen=True):
    """One target as this process sees it.

    `state` is serving, leaving, ejected or ramping. `reason` explains any state
    other than serving. `size` is the connection limit of this process, and `idle` the
    number of idle connections. `in_flight` and `waiting` are numbers of calls.
    `slowness` is the latency of its calls as a multiple of the usual one. `limit` is
    the rate limit that it names, with this process's part and the age of the news.
    """

    state: str
    reason: str
    address: str
    size: int
    idle: int
    in_flight: int
    waiting: int
    slowness: float
    health: str
    limit: dict | None


class BudgetState(msgspec.Struct, frozen=True):
    """A token bucket for extra load, and how often it refused a request.

    `fraction` is the number of tokens that each ordinary shard request adds.
    """

    tokens: float
    fraction: float
    refused: int


class AdmissionState(msgspec.Struct, frozen=True):
    """The number of queries in flight for one collection, and its limits.

    `first_limit` is for the first priority class, `lower_limit` for the lower ones.
    """

    in_flight: int
    first_limit: float
    lower_limit: float


class BookingsState(msgspec.Struct, frozen=True):
    """The number of writers and booking keys that the process stores.

    `issued` is the number of writer ids that it has issued since its start.
    """

    writers: int
    keys: int
    issued: int


class SnapshotState(msgspec.Struct, frozen=True):
    """The snapshots of one collection, as its replicas last reported them.

    `oldest_newest` is the newest snapshot of the replica that lags most.
    `seconds_each` is the mean time between snapshots.
    """

    replicas: int
    newest: int
    oldest_newest: int
    seconds_each: float | None


class EntryDump(msgspec.Struct, frozen=True):
    """The state of one entry; times in seconds."""

    entry: str
    data_centre: str
    incarnation: int
    release: str
    uptime_s: float
    serving: str
    config_version: int
    config_age_s: float | None
    view_is_stale: bool
    config_ignored: dict[str, int]
    preset: str | None
    refused: RefusedConfigurationState | None
    vms: PublishedVms | None
    fleet: dict
    tasks: dict[str, dict[str, float]]
    requests: RequestsState
    connections: ConnectionsState
    targets: dict[str, TargetDump]
    leaving_targets: dict[str, str]
    quarantine: dict[str, dict]
    relayed_calls: int
    calls_served_for_peers: int
    budgets: dict[str, BudgetState]
    policies: PolicyCounters
    admission: dict[str, AdmissionState]
    bookings: BookingsState
    snapshots: dict[str, SnapshotState]
    decisions: tuple[Decision, ...]


def make_dump(entry: "Entry") -> EntryDump:
    """Return the state of an entry at this moment."""
    store = entry.store
    return EntryDump(
        entry=entry.settings.entry_id,
        data_centre=entry.settings.data_centre,
        incarnation=entry.incarnation,
        release=__version__,
        uptime_s=entry.clock.now() - entry.started_at,
        serving=entry.gate.state.value,
        config_version=store.version,
        config_age_s=store.age_s,
        view_is_stale=entry.coordination.view_check.is_stale,
        config_ignored={item.value: count for item, count in store.ignored.items()},
        preset=store.current and store.current.configuration.preset.value,
        refused=store.refused
        and RefusedConfigurationState(store.refused.version, store.refused.reason),
        vms=entry.coordination.vms.current,
        fleet=entry.coordination.get_state(),
        tasks=entry.loops.describe(),
        requests=entry.ledger.get_state(),
        connections=dump_connections(entry),
        targets=dump_targets(entry),
        leaving_targets={
            target: mark.source.value
            for target, mark in entry.leaving_targets.marks.items()
        },
        quarantine={
            fingerprint: entry.quarantine.describe(fingerprint, entry.clock.now())
            for fingerprint in entry.quarantine.records
        },
        relayed_calls=entry.dispatcher.relayed_calls,
        calls_served_for_peers=entry.dispatcher.calls_served_for_peers,
        budgets=dump_budgets(entry),
        policies=entry.policies.counters,
        admission=dump_admission(entry),
        bookings=dump_bookings(entry),
        snapshots=dump_snapshots(entry),
        decisions=entry.decisions.get_state(),
    )


def dump_connections(entry: "Entry") -> ConnectionsState:
    """Return the connections of callers."""
    server = entry.server
    return ConnectionsState(
        open=server.open_connections,
        limit=server.max_connections,
        refused=server.refused_connections,
    )


def dump_targets(entry: "Entry") -> dict[str, TargetDump]:
    """Return the state of every target that calls are sent to."""
    now = entry.clock.now()
    return {
        target: dump_target(entry, target, pool, now)
        for target, pool in entry.dispatcher.pools.items()
    }


def dump_target(entry: "Entry", target: str, pool, now: float) -> TargetDump:
    """Return the state of one target."""
    state, reason = find_target_state(entry, target)
    report = entry.poller.reports.get(target)
    return TargetDump(
        state=state,
        reason=reason,
        address=str(pool.address),
        size=pool.size,
        idle=len(pool.idle),
        in_flight=pool.in_flight,
        waiting=pool.waiting,
        slowness=entry.policies.scoreboard.get(target).slowness.get(now),
        health=getattr(report, "state", "") or "none",
        limit=entry.limits.describe(target, now),
    )


def find_target_state(entry: "Entry", target: str) -> tuple[str, str]:
    """Return the state of a target, and the reason if it is not serving."""
    mark = entry.leaving_targets.marks.get(target)
    if mark is not None:
        age_s = entry.clock.now() - mark.marked_at
        return "leaving", f"reported by {mark.source.value} {age_s:.1f} s ago"
    ejected = entry.policies.ejector.ejected.get(target)
    if ejected is not None:
        age_s = entry.clock.now() - ejected.since
        return "ejected", f"{ejected.reason.value} for {age_s:.1f} s"
    if entry.policies.scoreboard.get(target).ramp_started_at is not None:
        return "ramping", "new or back from an ejection"
    return "serving", ""


def dump_budgets(entry: "Entry") -> dict[str, BudgetState]:
    """Return the budgets of extra load."""
    budgets = {
        "hedges": entry.policies.hedge_budget,
        "retries": entry.policies.retry_budget,
    }
    return {
        name: BudgetState(item.tokens, item.fraction, item.refused)
        for name, item in budgets.items()
    }


def dump_admission(entry: "Entry") -> dict[str, AdmissionState]:
    """Return the admission state of all collections."""
    return {
        name: AdmissionState(
            gate.in_flight, gate.first_limit.limit, gate.lower_limit.limit
        )
        for name, gate in entry.admission.gates.items()
    }


def dump_bookings(entry: "Entry") -> BookingsState:
    """Return the number of stored writers and keys, but not the keys themselves."""
    registry = entry.bookings.registry
    return BookingsState(len(registry.writers), registry.key_count, registry.issued)


def dump_snapshots(entry: "Entry") -> dict[str, SnapshotState]:
    """Return the known snapshots of each collection."""
    tracker = entry.snapshots
    newest: dict[str, list[int]] = {}
    for (collection, _, _), known in tracker.known.items():
        newest.setdefault(collection, []).append(known.held.newest)
    return {
        name: SnapshotState(
            len(found),
            max(found),
            min(found),
            tracker.rates[name].seconds_per_snapshot,
        )
        for name, found in newest.items()
    }


def print_dump(entry: "Entry") -> None:
    """Log an event, and write the dump to standard error as one line of JSON."""
    log_event("state_dump", entry=entry.settings.entry_id)
    print(msgspec.json.encode(make_dump(entry)).decode(), file=sys.stderr, flush=True)

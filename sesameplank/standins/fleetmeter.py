"""Measures the cost of coordination in a fleet of entries, and its latency."""

import os
import re
import time

import gevent
import msgspec
from geventhttpclient import HTTPClient

from .fleet import EntryProcess, Fleet
from .world import World

# The log line that an entry writes when a configuration version comes into force.
IN_FORCE_PATTERN = re.compile(r"event=config_in_force version=(\d+) after_s=([\d.]+)")
CLOCK_TICKS_HZ = os.sysconf("SC_CLK_TCK")
SETTLE_S = 6.0  # The delay before the first samples of a started fleet.
CHANGE_WAIT_S = 2.0


class CoordinationCost(msgspec.Struct, frozen=True):
    """The coordination overhead of one entry process without load.

    `cpu_share` is a fraction of one core; `neighbours` is the number of its
    neighbours on the membership overlay; `rss_mb` is in MiB.
    """

    sent_bytes_per_s: float
    received_bytes_per_s: float
    messages_per_s: float
    cpu_share: float
    platform_calls_per_s: float
    neighbours: float
    rss_mb: float


class FleetFigures(msgspec.Struct, frozen=True):
    """The measurements of one fleet size.

    `in_force_last_s` holds, for each published configuration, the seconds until
    it was in force at the last entry. `platform_calls_per_s` is the sum over all
    entries; `mean` holds the mean of one entry.
    """

    entries: int
    in_force_last_s: tuple[float, ...]
    mean: CoordinationCost
    worst_cpu_share: float
    worst_sent_bytes_per_s: float
    platform_calls_per_s: float


class Sample(msgspec.Struct, frozen=True):
    """The counters of one process at one point in time, in monotonic seconds."""

    taken_at: float
    cpu_s: float
    sent_bytes: int
    received_bytes: int
    messages: int
    platform_calls: int
    neighbours: int
    rss_mb: float


def get_state(entry: EntryProcess) -> dict:
    """Return the state dump of an entry."""
    client = HTTPClient(entry.address.host, entry.address.port, concurrency=1)
    try:
        return msgspec.json.decode(bytes(client.get("/state").read()))
    finally:
        client.close()


def get_cpu_s(pid: int) -> float:
    """Return the user and system CPU time of a process, in seconds."""
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_HZ


def get_rss_mb(pid: int) -> float:
    """Return the resident memory of a process, in MiB."""
    with open(f"/proc/{pid}/status") as file:
        line = next(item for item in file if item.startswith("VmRSS"))
    return int(line.split()[1]) / 1_024


def take_sample(entry: EntryProcess) -> Sample:
    """Return the current counters of one entry."""
    fleet = get_state(entry)["fleet"]
    sent = fleet["sent"].values()
    received = fleet["received"].values()
    return Sample(
        time.monotonic(),
        get_cpu_s(entry.process.pid),
        sum(item["bytes"] for item in sent),
        sum(item["bytes"] for item in received),
        sum(item["messages"] for item in sent),
        fleet["platform_calls"],
        len(fleet["neighbours"]),
        get_rss_mb(entry.process.pid),
    )


def compute_cost(first: Sample, last: Sample) -> CoordinationCost:
    """Return the rates between two samples, and the gauges of the last one."""
    seconds = last.taken_at - first.taken_at
    return CoordinationCost(
        (last.sent_bytes - first.sent_bytes) / seconds,
        (last.received_bytes - first.received_bytes) / seconds,
        (last.messages - first.messages) / seconds,
        (last.cpu_s - first.cpu_s) / seconds,
        (last.platform_calls - first.platform_calls) / seconds,
        last.neighbours,
        last.rss_mb,
    )


def measure_fleet(
    world: World, fleet: Fleet, window_s: float, changes: int
) -> FleetFigures:
    """Measure a running fleet over a window, then publish some configurations."""
    gevent.sleep(SETTLE_S)
    first = [take_sample(entry) for entry in fleet.entries]
    gevent.sleep(window_s)
    last = [take_sample(entry) for entry in fleet.entries]
    costs = [compute_cost(*pair) for pair in zip(first, last, strict=True)]
    in_force = tuple(measure_propagation_s(world, fleet) for _ in range(changes))
    return FleetFigures(
        len(fleet.entries),
        in_force,
        compute_mean(costs),
        max(cost.cpu_share for cost in costs),
        max(cost.sent_bytes_per_s for cost in costs),
        sum(cost.platform_calls_per_s for cost in costs),
    )


def compute_mean(costs: list[CoordinationCost]) -> CoordinationCost:
    """Return the mean of each field."""
    rows = [msgspec.structs.astuple(cost) for cost in costs]
    return CoordinationCost(
        *(sum(column) / len(rows) for column in zip(*rows, strict=True))
    )


def measure_propagation_s(world: World, fleet: Fleet) -> float:
    """Publish a configuration and return the seconds until all entries apply it.

    The result is infinite if an entry has not applied it within CHANGE_WAIT_S.
    """
    version = world.platform.publish_config(msgspec.json.encode(world.configuration))
    gevent.sleep(CHANGE_WAIT_S)
    return max(get_in_force_s(entry, version) for entry in fleet.entries)


def get_in_force_s(entry: EntryProcess, version: int) -> float:
    """Return the seconds from the publication of a version until an entry applied it.

    The value is read from the log of the entry. The result is infinite if
    the log does not mention the version.
    """
    for match in IN_FORCE_PATTERN.finditer(entry.log_path.read_text()):
        if int(match[1]) == version:
            return float(match[2])
    return float("inf")

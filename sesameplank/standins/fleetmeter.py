"""Measures what acting together costs a fleet of entries, and how fast it is."""

import os
import re
import time

import gevent
import msgspec
from geventhttpclient import HTTPClient

from .fleet import EntryProcess, Fleet
from .world import World

IN_FORCE = re.compile(r"event=config_in_force version=(\d+) after_s=([\d.]+)")
CLOCK_TICKS_HZ = os.sysconf("SC_CLK_TCK")
SETTLE_S = 6.0
PER_CHANGE_S = 2.0


class ControlCost(msgspec.Struct, frozen=True):
    """What one process spends on control while nothing happens."""

    sent_bytes_per_s: float
    received_bytes_per_s: float
    messages_per_s: float
    cpu_share: float
    platform_calls_per_s: float
    neighbours: float
    rss_mb: float


class FleetFigures(msgspec.Struct, frozen=True):
    """The figures of one size of fleet; times in seconds."""

    entries: int
    in_force_last_s: tuple[float, ...]
    mean: ControlCost
    worst_cpu_share: float
    worst_sent_bytes_per_s: float
    platform_calls_per_s: float


class Sample(msgspec.Struct, frozen=True):
    """The counters of one process at one moment."""

    at: float
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
    """Return the processor time that a process has used, in seconds."""
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_HZ


def get_rss_mb(pid: int) -> float:
    """Return the resident memory of a process."""
    with open(f"/proc/{pid}/status") as file:
        line = next(item for item in file if item.startswith("VmRSS"))
    return int(line.split()[1]) / 1_024


def take_sample(entry: EntryProcess) -> Sample:
    """Return the counters of one entry."""
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


def compare(first: Sample, last: Sample) -> ControlCost:
    """Return the rates between two samples."""
    seconds = last.at - first.at
    return ControlCost(
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
    """Return the figures of a running fleet."""
    gevent.sleep(SETTLE_S)
    first = [take_sample(entry) for entry in fleet.entries]
    gevent.sleep(window_s)
    last = [take_sample(entry) for entry in fleet.entries]
    costs = [compare(*pair) for pair in zip(first, last, strict=True)]
    in_force = tuple(time_change(world, fleet) for _ in range(changes))
    return FleetFigures(
        len(fleet.entries),
        in_force,
        make_mean(costs),
        max(cost.cpu_share for cost in costs),
        max(cost.sent_bytes_per_s for cost in costs),
        sum(cost.platform_calls_per_s for cost in costs),
    )


def make_mean(costs: list[ControlCost]) -> ControlCost:
    """Return the mean of each figure."""
    rows = [msgspec.structs.astuple(cost) for cost in costs]
    return ControlCost(*(sum(column) / len(rows) for column in zip(*rows, strict=True)))


def time_change(world: World, fleet: Fleet) -> float:
    """Publish a configuration and return when it was in force everywhere."""
    version = world.platform.publish_config(msgspec.json.encode(world.configuration))
    gevent.sleep(PER_CHANGE_S)
    return max(get_in_force_s(entry, version) for entry in fleet.entries)


def get_in_force_s(entry: EntryProcess, version: int) -> float:
    """Return the seconds after which an entry had a version, by its log."""
    for match in IN_FORCE.finditer(entry.log_path.read_text()):
        if int(match[1]) == version:
            return float(match[2])
    return float("inf")

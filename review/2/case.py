"""One unreadable entry in the store ends the reading of the store for good."""

import sys
import time
from collections import Counter
from pathlib import Path

import gevent

from review.world import (
    BROKEN,
    COULD_NOT_RUN,
    HELD,
    Client,
    World,
    is_trouble_on,
    make_config,
    make_id,
    make_request,
    make_route,
)

FRONTS = 3
STABLE_S = 4.5
PROPAGATION_S = 3.0
RECOVERY_S = 12.0
DEADLINE_MS = 1_500
REQUESTS = 60
MIN_SERVED = 0.25
NESTED = 2_000
LOGGED_LINES = 6


def ask(world: World, count: int) -> Counter:
    """Send requests to all processes in turn, and count their answers by status."""
    statuses: Counter = Counter()
    for number in range(count):
        front = world.fronts[number % len(world.fronts)]
        request_id = make_id()
        world.record.note("sent", front=front.ip, id=request_id)
        try:
            with Client(front.caller_address) as client:
                data = make_request("/sheet/1", request_id, DEADLINE_MS)
                status = client.exchange(data, DEADLINE_MS / 1_000 + 1.0).status
        except OSError:
            status = 0
        world.record.note("answered", id=request_id, status=status)
        statuses[status] += 1
        gevent.sleep(0.02)
    return statuses


def count_runs(world: World, service: str) -> int:
    """Return how many requests the searchers of a service have run."""
    searchers = world.searchers.values()
    return sum(len(item.runs) for item in searchers if item.service == service)


def note_logs(world: World) -> None:
    """Copy the lines of the processes' logs that name an error to the record."""
    for front in world.fronts:
        lines = front.log_path.read_text(errors="replace").splitlines()
        errors = [line for line in lines if "Error" in line][:LOGGED_LINES]
        for line in errors:
            world.record.note("log", front=front.ip, line=line)


def run(world: World) -> int:
    """Play the case and return the exit code."""
    for number, service in enumerate(("before", "before", "after", "after")):
        world.add_searcher(f"i-{service}-{number}", service)
    world.put_config(make_config(3, [make_route("sheet", "/sheet/", "before")]))
    world.start_fronts(FRONTS)
    gevent.sleep(STABLE_S)
    first = ask(world, REQUESTS)
    if is_trouble_on():
        value = b'{"owner":' + b"[" * NESTED + b"]" * NESTED + b"}"
        world.store.put("servers/i-of-another-writer", value)
        world.record.note("unreadable_entry_written", bytes=len(value))
    gevent.sleep(STABLE_S)
    acknowledged_at = world.put_config(
        make_config(8, [make_route("sheet", "/sheet/", "after")])
    )
    gevent.sleep(max(0.0, acknowledged_at + PROPAGATION_S + 0.5 - time.monotonic()))
    runs_before = count_runs(world, "before")
    second = ask(world, REQUESTS)
    old_runs = count_runs(world, "before") - runs_before
    new_runs = count_runs(world, "after")
    note_logs(world)
    for front in world.fronts:
        front.kill()
        front.start()
    gevent.sleep(RECOVERY_S + 0.5)
    third = ask(world, REQUESTS)
    note_logs(world)
    served = third[200] / REQUESTS
    world.record.conclude(
        f"first {dict(first)}; after the propagation time {dict(second)}, run by the "
        f"old service {old_runs}, by the new one {new_runs}; after a restart of all "
        f"and the recovery time {dict(third)}, served {served:.2f}"
    )
    if first[200] < REQUESTS / 2:
        return COULD_NOT_RUN
    return BROKEN if old_runs or served < MIN_SERVED else HELD


def main() -> int:
    """Run the case and return its exit code."""
    try:
        with World(Path(__file__).resolve().parent) as world:
            return run(world)
    except (OSError, RuntimeError) as error:
        print(f"could not run: {error!r}")
        return COULD_NOT_RUN


if __name__ == "__main__":
    sys.exit(main())

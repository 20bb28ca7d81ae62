"""Requests that may run once reach searchers long after their clients have left."""

import os
import random
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
    Front,
    World,
    is_trouble_on,
    make_config,
    make_id,
    make_request,
    make_route,
)

FRONTS = 7
SERVICES = 8
CLIENTS_PER_FRONT = 2  # Of each service.
STABLE_S = 4.5
LOAD_S = 75.0
DEADLINE_MS = 6_000
# The disruption: so many of the requests are left by their clients after so long, for
# some seconds at a time.
LEFT_SHARE = 0.2
LEAVING_S = 5.5
PAUSE_S = 1.0
LEFT_AFTER_S = 0.25
GONE_S = 0.5
A_FEW = 10
ROUTE_TYPE = os.environ.get("ROUTE_TYPE", "unsafe")


class Outcomes:
    """What became of the requests: their statuses, and when clients left them."""

    def __init__(self) -> None:
        self.statuses: Counter = Counter()
        self.left_at: dict[str, float] = {}


def send(
    world: World, front: Front, path: str, outcomes: Outcomes, leaves: bool
) -> None:
    """Send one request on a new connection, and leave before the answer if asked."""
    request_id = make_id()
    data = make_request(path, request_id, DEADLINE_MS, method="POST", body=b"one")
    timeout_s = LEFT_AFTER_S if leaves else DEADLINE_MS / 1_000 + 1.0
    world.record.note("sent", front=front.ip, id=request_id, leaves=leaves)
    status = 0
    try:
        with Client(front.caller_address) as client:
            status = client.exchange(data, timeout_s).status
    except OSError:
        if leaves:
            outcomes.left_at[request_id] = time.monotonic()
            world.record.note("client_left", id=request_id)
            return
    outcomes.statuses[status] += 1
    world.record.note("answered", id=request_id, status=status)


def keep_sending(
    world: World, front: Front, path: str, outcomes: Outcomes, started_at: float
) -> None:
    """Send requests one after the other, and leave some of them in some windows."""
    while (elapsed_s := time.monotonic() - started_at) < LOAD_S:
        is_window = elapsed_s % (LEAVING_S + PAUSE_S) < LEAVING_S
        is_leaving = is_trouble_on() and is_window and random.random() < LEFT_SHARE
        send(world, front, path, outcomes, is_leaving)
        gevent.sleep(random.uniform(0.0, 0.05))


def run(world: World) -> int:
    """Play the case and return the exit code."""
    routes = []
    for number in range(SERVICES):
        service = f"desk-{number}"
        for replica in "ab":
            name = f"i-{number}{replica}"
            world.add_searcher(name, service, slots=2, queue=2, work_s=0.16)
        prefix = f"/book/{number}/"
        options = {"type": ROUTE_TYPE, "timeout_ms": DEADLINE_MS, "goal_ms": 600}
        routes.append(make_route(f"book-{number}", prefix, service, **options))
    world.put_config(make_config(3, routes))
    world.start_fronts(FRONTS)
    gevent.sleep(STABLE_S)
    outcomes = Outcomes()
    started_at = time.monotonic()
    clients = [
        gevent.spawn(
            keep_sending, world, front, f"/book/{number}/lamp", outcomes, started_at
        )
        for front in world.fronts
        for number in range(SERVICES)
        for _ in range(CLIENTS_PER_FRONT)
    ]
    gevent.joinall(clients)
    gevent.sleep(1.0)
    late = [
        (request_id, at - outcomes.left_at[request_id])
        for item in world.searchers.values()
        for request_id, at, _ in item.arrivals
        if at - outcomes.left_at.get(request_id, at) > GONE_S
    ]
    for request_id, after_s in late:
        world.record.note("arrived_late", id=request_id, after_s=f"{after_s:.3f}")
    latest_s = max((after_s for _, after_s in late), default=0.0)
    world.record.conclude(
        f"answers {dict(outcomes.statuses)}, left by clients {len(outcomes.left_at)}, "
        f"reached a searcher over {GONE_S} s later {len(late)}, at most "
        f"{latest_s:.2f} s later"
    )
    if not outcomes.statuses[200]:
        return COULD_NOT_RUN
    return BROKEN if len(late) > A_FEW else HELD


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

"""Runs one soak: load with faults, load without faults, then the checks."""

import random
import time

import gevent

from ..integration.front_world import RawConnection, make_request
from .callers import CALLERS, ROUTE_PREFIXES, Caller, note_answer
from .checks import find_violations
from .faults import LINK_KINDS, RESTORE_KINDS, SoakFault, run_series
from .observations import Record
from .world import SoakFront, SoakWorld

CONCURRENT_SERIES = 3
MAX_SERIES_DELAY_S = 0.8
RECOVERY_TIMEOUT_S = 30.0
FAULT_FREE_LOAD_S = 2.5
POLL_INTERVAL_S = 0.1


def run_soak(
    seed: int,
    seconds: float,
    fronts: int,
    *,
    restores: bool = False,
    links: bool = False,
) -> Record:
    """Run `fronts` processes under faults for `seconds`, and return the record.

    With `restores`, the store also returns to a copy from time to time. With `links`,
    processes also lose their links to all targets, and targets name limits or send
    answers without end.
    """
    rng = random.Random(seed)
    with SoakWorld(rng, fronts) as world:
        world.wait_until_ready()
        callers = [
            gevent.spawn(Caller(world, number, random.Random(rng.random())).run)
            for number in range(CALLERS)
        ]
        until = time.monotonic() + seconds
        chosen = (("restores", RESTORE_KINDS, restores), ("links", LINK_KINDS, links))
        others = [
            gevent.spawn(
                run_kinds, world, random.Random(f"{seed}-{name}"), until, kinds
            )
            for name, kinds, is_chosen in chosen
            if is_chosen
        ]
        inject_faults(world, rng, until)
        gevent.joinall(others, raise_error=True)
        world.record.recovered = wait_for_recovery(world)
        gevent.sleep(FAULT_FREE_LOAD_S)
        gevent.killall(callers)
        mark_unfinished(world.record)
        world.read_logs()
        return world.record


def inject_faults(world: SoakWorld, rng: random.Random, until: float) -> None:
    """Run concurrent series of faults until a time, and wait for them to end."""

    def run_successive_series(series_rng: random.Random) -> None:
        while time.monotonic() < until:
            gevent.sleep(series_rng.uniform(0.0, MAX_SERIES_DELAY_S))
            run_series(world, series_rng)

    gevent.joinall(
        [
            gevent.spawn(run_successive_series, random.Random(rng.random()))
            for _ in range(CONCURRENT_SERIES)
        ],
        raise_error=True,
    )


def run_kinds(
    world: SoakWorld,
    rng: random.Random,
    until: float,
    kinds: tuple[type[SoakFault], ...],
) -> None:
    """Inject faults of some kinds from time to time, until a time."""
    while time.monotonic() < until:
        kind = rng.choice(kinds) if len(kinds) > 1 else kinds[0]
        kind(world, rng).run()
        gevent.sleep(rng.uniform(0.0, MAX_SERIES_DELAY_S))


def wait_for_recovery(world: SoakWorld) -> bool:
    """Wait until every process has served every route again.

    Return False if that takes longer than RECOVERY_TIMEOUT_S.
    """
    waiting = [(front, route) for front in world.fronts for route in ROUTE_PREFIXES]
    until = time.monotonic() + RECOVERY_TIMEOUT_S
    while waiting and time.monotonic() < until:
        waiting = [item for item in waiting if not is_served(world, *item)]
        gevent.sleep(POLL_INTERVAL_S)
    return not waiting


def is_served(world: SoakWorld, front: SoakFront, route: str) -> bool:
    """Send a request to a process and return whether it succeeds."""
    request_id = f"calm-{front.name}-{route}-{len(world.record.arrivals)}"
    path = f"{ROUTE_PREFIXES[route]}{request_id}"
    method, body = ("POST", b"order") if route == "booking" else ("GET", b"")
    data = make_request(path, request_id, 2_000, method, body)
    request = world.note_recovery_request(front, route, request_id, path)
    try:
        with RawConnection(front.front_process.caller_address) as client:
            note_answer(request, client.request(data))
    except OSError:
        request.ended_at = time.monotonic()
    return request.status == 200


def mark_unfinished(record: Record) -> None:
    """Mark the requests that were in flight when the callers ended as abandoned."""
    now = time.monotonic()
    for request in record.asked:
        if request.ended_at > now and request.left_at > now:
            request.left_at = now


def run_and_check(
    seed: int, seconds: float, fronts: int, *, timed: bool, **others: bool
) -> list[str]:
    """Run one soak and return its violations; `others` are those of `run_soak`."""
    record = run_soak(seed, seconds, fronts, **others)
    return find_violations(record, timed=timed)

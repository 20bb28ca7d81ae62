"""Plays one soak: load and troubles, then calm, then the checks."""

import random
import time

import gevent

from ..integration.front_world import Client, make_request
from .callers import CALLERS, ROUTES, Caller, note_answer
from .checks import find_violations
from .observations import Record
from .troubles import play_series
from .world import SoakFront, World

OVERLAPPING_SERIES = 3
LULL_S = 0.8
CALM_TIMEOUT_S = 30.0
LAST_REQUESTS_S = 2.5
POLL_S = 0.1


def play(seed: int, seconds: float, fronts: int) -> Record:
    """Return the record of one soak."""
    rng = random.Random(seed)
    with World(rng, fronts) as world:
        world.wait_until_ready()
        callers = [
            gevent.spawn(Caller(world, number, random.Random(rng.random())).run)
            for number in range(CALLERS)
        ]
        play_troubles(world, rng, time.monotonic() + seconds)
        world.record.recovered = wait_for_recovery(world)
        gevent.sleep(LAST_REQUESTS_S)
        gevent.killall(callers)
        drop_unfinished(world.record)
        world.read_logs()
        return world.record


def play_troubles(world: World, rng: random.Random, until: float) -> None:
    """Play overlapping series of troubles until a time, and wait for their ends."""

    def play_one_after_the_other(own: random.Random) -> None:
        while time.monotonic() < until:
            gevent.sleep(own.uniform(0.0, LULL_S))
            play_series(world, own)

    gevent.joinall(
        [
            gevent.spawn(play_one_after_the_other, random.Random(rng.random()))
            for _ in range(OVERLAPPING_SERIES)
        ],
        raise_error=True,
    )


def wait_for_recovery(world: World) -> bool:
    """Tell whether every process comes to serve every route again."""
    waiting = [(front, route) for front in world.fronts for route in ROUTES]
    until = time.monotonic() + CALM_TIMEOUT_S
    while waiting and time.monotonic() < until:
        waiting = [item for item in waiting if not is_served(world, *item)]
        gevent.sleep(POLL_S)
    return not waiting


def is_served(world: World, front: SoakFront, route: str) -> bool:
    """Tell whether a process serves a route now."""
    request_id = f"calm-{front.name}-{route}-{len(world.record.arrivals)}"
    path = f"{ROUTES[route]}{request_id}"
    method, body = ("POST", b"order") if route == "booking" else ("GET", b"")
    data = make_request(path, request_id, 2_000, method, body)
    asked = world.note_probe(front, route, request_id, path)
    try:
        with Client(front.process.front) as client:
            note_answer(asked, client.request(data))
    except OSError:
        asked.ended_at = time.monotonic()
    return asked.status == 200


def drop_unfinished(record: Record) -> None:
    """Forget the requests that were in flight when the callers ended."""
    now = time.monotonic()
    for asked in record.asked:
        if asked.ended_at > now and asked.left_at > now:
            asked.left_at = now


def run(seed: int, seconds: float, fronts: int, *, timed: bool) -> list[str]:
    """Play one soak and return what was broken."""
    return find_violations(play(seed, seconds, fronts), timed=timed)

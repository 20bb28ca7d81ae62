"""The scenario "stops" of the soak: processes stop while callers use them."""

import random
import time
from signal import SIGCONT, SIGHUP, SIGKILL, SIGSTOP, SIGTERM, Signals

import gevent

from .checks import GRACE_S
from .observations import NEVER, FaultPeriod, Record
from .run import mark_unfinished, wait_for_recovery
from .stop_callers import start_callers
from .stop_world import StopWorld
from .world import START_TIMEOUT_S, SoakFront

POLL_INTERVAL_S = 0.01
MAX_DELAYS_S = (0.2, 3.0, 6.0)
MAX_RESTART_DELAY_S = 1.0
CHANGE_INTERVAL_S = (0.2, 1.0)
LAST_READS_S = 2.0


def run_stops(seed: int, seconds: float, fronts: int) -> Record:
    """Stop and start `fronts` processes for `seconds`, and return the record."""
    rng = random.Random(f"{seed}-stops")
    with StopWorld(rng, fronts) as world:
        world.wait_until_ready()
        callers = start_callers(world, rng)
        changes = gevent.spawn(make_changes, world, random.Random(rng.random()))
        until = time.monotonic() + seconds
        series = [
            gevent.spawn(run_series, world, front, random.Random(rng.random()), until)
            for front in world.fronts
        ]
        gevent.joinall(series, raise_error=True)
        world.record.recovered = wait_for_recovery(world)
        last = [gevent.spawn(stop, world, front, rng) for front in world.fronts]
        gevent.joinall(last, raise_error=True)
        gevent.sleep(LAST_READS_S)
        gevent.killall([changes, *callers])
        mark_unfinished(world.record)
        world.read_logs()
        return world.record


def run_series(
    world: StopWorld, front: SoakFront, rng: random.Random, until: float
) -> None:
    """Stop and start a process until a time, at times soon after its start."""
    while time.monotonic() < until:
        gevent.sleep(rng.random() * rng.choice(MAX_DELAYS_S))
        stop(world, front, rng)
        gevent.sleep(rng.uniform(0.0, MAX_RESTART_DELAY_S))
        start(front)


def stop(world: StopWorld, front: SoakFront, rng: random.Random) -> None:
    """Send SIGTERM to a process, a disturbance and SIGKILL after the grace time."""
    steps = [(0.0, SIGTERM), (GRACE_S, SIGKILL), *draw_disturbance(rng)]
    steps.sort(key=lambda step: step[0])
    term_at = time.monotonic() - steps[0][0]
    suspensions: list[FaultPeriod] = []
    for offset_s, number in steps:
        if is_gone_by(front, term_at + offset_s):
            break
        if number is SIGSTOP:
            suspensions.append(world.note_fault("pause", front.name))
        if number is SIGTERM and front.stop_requested_at is None:
            front.stop()
            term_at = front.stop_requested_at or term_at
        else:
            front.send_signal(number)
        if number is SIGCONT:
            suspensions[0].ended_at = time.monotonic()
    is_gone_by(front, NEVER)
    front.watch()
    for period in suspensions:
        period.ended_at = min(period.ended_at, time.monotonic())


def draw_disturbance(rng: random.Random) -> list[tuple[float, Signals]]:
    """Return the signals that disturb a stop, with their times.

    The times are in seconds relative to the first SIGTERM.
    """
    first, second = rng.uniform(0.0, GRACE_S), rng.uniform(0.0, GRACE_S)
    return rng.choice(
        (
            [],
            [(first, SIGTERM)],
            [(0.0, SIGHUP), (first, SIGHUP)],
            [(-0.05 - first / 4, SIGSTOP), (-0.05, SIGCONT)],
            [(-first / 8, SIGSTOP), (second, SIGCONT)],
            [(first, SIGSTOP), (first + second / 2, SIGCONT)],
        )
    )


def is_gone_by(front: SoakFront, at: float) -> bool:
    """Wait until a time or until a process has exited; return whether it has."""
    while front.is_running and time.monotonic() < at:
        gevent.sleep(POLL_INTERVAL_S)
    return not front.is_running


def start(front: SoakFront) -> None:
    """Start a process, and wait until it listens, for at most START_TIMEOUT_S."""
    front.start()
    with gevent.Timeout(START_TIMEOUT_S, AssertionError("a process did not start")):
        while not front.is_listening:
            gevent.sleep(POLL_INTERVAL_S)


def make_changes(world: StopWorld, rng: random.Random) -> None:
    """Publish configurations and reload processes, until killed."""
    while True:
        gevent.sleep(rng.uniform(*CHANGE_INTERVAL_S))
        if rng.random() < 0.5:
            world.publish()
        else:
            rng.choice(world.fronts).reload()

"""Runs the soaks of several seeds, each in a subprocess.

Run as `python -m tests.soak --seeds=1-50 [--seconds=12] [--fronts=4] [--jobs=3]`,
with --restores for a store that returns to a copy, or with --scenario=stops.
"""

import pickle
import subprocess
import sys
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

from absl import app, flags

from .checks import find_violations
from .observations import Record
from .run import run_soak
from .stop_checks import count_outcomes, find_stop_violations
from .stops import run_stops

SEEDS = flags.DEFINE_string("seeds", "1-3", "the first and the last seed")
SECONDS = flags.DEFINE_float(
    "seconds", 12.0, "how long new faults are injected, in seconds"
)
FRONTS = flags.DEFINE_integer("fronts", 4, "processes under test")
JOBS = flags.DEFINE_integer("jobs", 3, "number of soaks that run concurrently")
OUT = flags.DEFINE_string(
    "out", "runs/soak", "folder for the records of soaks with violations"
)
RESTORES = flags.DEFINE_bool(
    "restores", False, "whether the store also returns to a copy from time to time"
)
LINKS = flags.DEFINE_bool(
    "links", False, "whether processes also lose all targets, and targets name limits"
)
SCENARIO = flags.DEFINE_enum(
    "scenario", "faults", ["faults", "stops"], "faults of all kinds, or only stops"
)
ONE = flags.DEFINE_integer("one", None, "run only this seed, in this process")
MAX_SHOWN = 10


def main(arguments: list[str]) -> int:
    """Run the soaks and return 1 if any has a violation or an error, 0 otherwise."""
    if ONE.value is not None:
        return run_in_this_process(ONE.value)
    first, _, last = SEEDS.value.partition("-")
    seeds = range(int(first), int(last or first) + 1)
    with ThreadPoolExecutor(JOBS.value) as pool:
        passed = list(pool.map(run_in_subprocess, seeds))
    failed = [seed for seed, ok in zip(seeds, passed, strict=True) if not ok]
    print(
        f"{len(seeds)} soaks of {SECONDS.value:.0f} s, {len(failed)} broken: {failed}"
    )
    return 1 if failed else 0


def run_in_subprocess(seed: int) -> bool:
    """Run a seed in a subprocess, print its output and return whether it passed."""
    command = [sys.executable, "-m", "tests.soak", f"--one={seed}"]
    command += [
        f"--{name}={FLAGS[name].value}"
        for name in ("seconds", "fronts", "out", "restores", "links", "scenario")
    ]
    completed = subprocess.run(command, capture_output=True, text=True)
    print(completed.stdout + completed.stderr[-2_000:], end="", flush=True)
    return completed.returncode == 0


def run_in_this_process(seed: int) -> int:
    """Run one seed, and store its record if there are violations.

    Return the exit code: 1 if there are violations, 0 otherwise.
    """
    if SCENARIO.value == "stops":
        record = run_stops(seed, SECONDS.value, FRONTS.value)
        violations = find_stop_violations(record)
        print_stops(record)
    else:
        record = run_soak(
            seed,
            SECONDS.value,
            FRONTS.value,
            restores=RESTORES.value,
            links=LINKS.value,
        )
        violations = find_violations(record, timed=True)
    served = sum(request.status == 200 for request in record.asked)
    print(
        f"seed {seed}: {len(record.asked)} asked, {served} served, "
        f"{len(violations)} broken"
    )
    for violation in violations[:MAX_SHOWN]:
        print(f"  {violation}")
    if violations:
        folder = Path(OUT.value)
        folder.mkdir(parents=True, exist_ok=True)
        (folder / f"{seed}.pickle").write_bytes(pickle.dumps(record))
    return 1 if violations else 0


def print_stops(record: Record) -> None:
    """Print what the requests got that ended in a stop, and the times of the stops."""
    for (kind, outcome), count in sorted(count_outcomes(record).items()):
        print(f"  {kind or 'recovery'}: {count} {outcome}")
    times = [stop.at - stop.asked_at for stop in record.ended if stop.asked_at]
    print("  stops, in seconds:", *[f"{time_s:.2f}" for time_s in times])


FLAGS = flags.FLAGS

if __name__ == "__main__":
    app.run(main)

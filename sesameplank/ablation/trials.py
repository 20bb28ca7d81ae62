"""Trials: one variant played with one seed each."""

import subprocess
from collections.abc import Iterator, Sequence
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import msgspec

from ..exceptions import AblationError
from .checkouts import Checkout
from .study import Study, Variant

MAX_ERROR_CHARACTERS = 500


class Trial(msgspec.Struct, frozen=True):
    """The figures of a variant for one seed, or the error that ended it."""

    variant: str
    seed: int
    figures: dict[str, float]
    error: str | None = None


def run_trials(
    study: Study, repository: Path, parent: Path, jobs: int, timeout_s: float
) -> Iterator[list[Trial]]:
    """Play the variants of a study, and yield the trials of each.

    Up to `jobs` trials of a variant run at a time, each for `timeout_s` seconds at
    most. Checkouts are made below `parent`.
    Raises AblationError if a variant's changes don't fit the code.
    """
    for variant in study.with_baseline():
        with Checkout(repository, parent, variant) as checkout:
            yield run_variant(study, variant, checkout, jobs, timeout_s)


def run_variant(
    study: Study, variant: Variant, checkout: Path, jobs: int, timeout_s: float
) -> list[Trial]:
    """Play a variant with every seed."""

    def play(seed: int) -> Trial:
        command = study.make_command(checkout, seed)
        return run_trial(variant.name, seed, command, checkout, timeout_s)

    with ThreadPoolExecutor(jobs) as pool:
        return list(pool.map(play, study.seeds))


def run_trial(
    name: str, seed: int, command: Sequence[str], folder: Path, timeout_s: float
) -> Trial:
    """Run the runner's command once, and return the figures that it printed."""
    try:
        done = subprocess.run(
            command, cwd=folder, capture_output=True, text=True, timeout=timeout_s
        )
    except subprocess.TimeoutExpired:
        return Trial(name, seed, {}, f"did not end within {timeout_s} s")
    except OSError as error:
        raise AblationError(
            f"cannot run {command[0]}: {error}; correct the runner"
        ) from error
    if done.returncode:
        return Trial(name, seed, {}, describe_failure(done))
    try:
        return Trial(name, seed, parse_figures(done.stdout))
    except msgspec.DecodeError:
        return Trial(name, seed, {}, "the last line of output is no JSON object")


def parse_figures(output: str) -> dict[str, float]:
    """Return the numbers in the last line of output.

    Raises msgspec.DecodeError if it is no JSON object of numbers.
    """
    lines = output.strip().splitlines()
    return msgspec.json.decode(lines[-1] if lines else "", type=dict[str, float])


def describe_failure(done: subprocess.CompletedProcess) -> str:
    """Return the exit code and the end of the messages of a failed command."""
    messages = done.stderr.strip()[-MAX_ERROR_CHARACTERS:]
    return f"exit code {done.returncode}: {messages}"

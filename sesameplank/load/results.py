"""Results of runs: one document for each call of the load tool."""

import statistics
import subprocess
import time
from pathlib import Path

import msgspec

from ..exceptions import LoadError
from .figures import Figures


class Result(msgspec.Struct):
    """The result of one call of the load tool.

    `variants` holds the medians over all seeds, with violations summed up. `runs`
    holds the figures of each seed, in the order of `seeds`. `seconds` is the length
    of the measured part of a run. `taken_at` is in seconds since the Unix epoch.
    """

    deployment: str
    scenario: str
    seeds: tuple[int, ...]
    seconds: float
    entries: int
    deadline_ms: int
    commit: str
    taken_at: float
    variants: dict[str, Figures]
    runs: dict[str, list[Figures]] = {}

    @property
    def has_violations(self) -> bool:
        """Return whether any run broke a rule."""
        return any(item.violations.total for item in self.variants.values())


def get_median(runs: list[Figures]) -> Figures:
    """Return the median of every figure over several runs; violations are summed."""
    merged = merge_values([msgspec.to_builtins(item) for item in runs])
    return msgspec.convert(merged, Figures)


def merge_values(values: list, path: tuple[str, ...] = ()):
    """Return the median of each number in values of the same structure.

    Violations are summed. A key that one of the values lacks counts as 0 there.
    Return None where one of the values is None.
    """
    if isinstance(values[0], dict):
        keys = dict.fromkeys(key for value in values for key in value)
        return {
            key: merge_values([value.get(key, 0) for value in values], (*path, key))
            for key in keys
        }
    if path[0] == "violations":
        return sum(values)
    if None in values:
        return None
    middle = statistics.median(values)
    return round(middle) if isinstance(values[0], int) else middle


def get_commit() -> str:
    """Return the abbreviated id of the checked-out commit, or "unknown"."""
    command = ["git", "describe", "--always", "--dirty"]
    try:
        result = subprocess.run(command, capture_output=True, text=True, check=True)
    except (OSError, subprocess.CalledProcessError):
        return "unknown"
    return result.stdout.strip()


def save(result: Result, directory: Path) -> Path:
    """Write a result to a new file in the directory and return its path."""
    directory.mkdir(parents=True, exist_ok=True)
    stamp = time.strftime("%Y%m%dT%H%M%S", time.gmtime(result.taken_at))
    name = f"{stamp}-{result.commit}-{result.deployment}-{result.scenario}.json"
    path = directory / name
    path.write_bytes(msgspec.json.format(msgspec.json.encode(result), indent=2))
    return path


def load_results(paths: list[Path]) -> list[Result]:
    """Return the results saved in files or directories, oldest first."""
    files = [
        file
        for path in paths
        for file in (sorted(path.glob("*.json")) if path.is_dir() else [path])
    ]
    results = [read_result(file) for file in files]
    return sorted(results, key=lambda item: item.taken_at)


def read_result(path: Path) -> Result:
    """Return one saved result, or raise LoadError."""
    try:
        return msgspec.json.decode(path.read_bytes(), type=Result)
    except (OSError, msgspec.DecodeError) as error:
        raise LoadError(
            f"{path} is not a saved result: {error}; use files written by --save"
        ) from error

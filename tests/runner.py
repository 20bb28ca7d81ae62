"""Runs each test module in its own process and counts the results.

A failure of a test that KNOWN-RED.txt lists is printed but not counted.
Run as `python -m tests.runner [MODULE ...]`.
"""

import io
import json
import subprocess
import sys
import unittest
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import testtools

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
MODULE_TIMEOUT_S = 900
PARALLEL_MODULES = 4


def main(arguments: list[str]) -> int:
    """Run the named test modules, or all modules, and return the exit code.

    The exit code is 1 if a test failed or none passed, and 0 otherwise.
    """
    if arguments[:1] == ["--module"]:
        return run_module(arguments[1])
    modules = arguments or find_modules()
    with ThreadPoolExecutor(PARALLEL_MODULES) as pool:
        reports = list(pool.map(run_in_subprocess, modules))
    known_red = read_known_red()
    passed = sum(len(report["passed"]) for report in reports)
    failed = 0
    for report in reports:
        for test, traceback in report["failed"].items():
            is_known_red = test in known_red
            failed += not is_known_red
            print(f"{'KNOWN RED' if is_known_red else 'FAILED'}: {test}\n{traceback}")
    print(f"{passed} passed, {failed} failed")
    return 1 if failed or not passed else 0


def find_modules() -> list[str]:
    """Return the names of all test modules, the slow integration tests first."""
    paths = sorted(
        (ROOT / "tests").rglob("test_*.py"),
        key=lambda path: ("integration" not in path.parts, path),
    )
    return [".".join(path.relative_to(ROOT).with_suffix("").parts) for path in paths]


def read_known_red() -> set[str]:
    """Return the ids of tests that are known to fail, from lines `test: ID`."""
    if not KNOWN_RED.exists():
        return set()
    lines = KNOWN_RED.read_text().splitlines()
    return {line[5:].strip() for line in lines if line.startswith("test:")}


def run_in_subprocess(module: str) -> dict:
    """Run one module in its own process and return its report."""
    command = [sys.executable, "-m", "tests.runner", "--module", module]
    try:
        completed = subprocess.run(
            command, cwd=ROOT, capture_output=True, text=True, timeout=MODULE_TIMEOUT_S
        )
        return json.loads(completed.stdout.splitlines()[-1])
    except subprocess.TimeoutExpired:
        return {"passed": [], "failed": {module: f"over {MODULE_TIMEOUT_S} s"}}
    except (IndexError, ValueError):
        return {"passed": [], "failed": {module: completed.stdout + completed.stderr}}


class PassCollector(testtools.TestResult):
    """A test result that also stores the ids of the passed tests."""

    def __init__(self) -> None:
        super().__init__()
        self.passed: list[str] = []

    def addSuccess(self, test, details=None) -> None:  # noqa: N802
        """Record a passed test."""
        super().addSuccess(test, details)
        self.passed.append(test.id())


def run_module(module: str) -> int:
    """Run one module in this process and print its report as a line of JSON."""
    suite = unittest.defaultTestLoader.loadTestsFromName(module)
    result = PassCollector()
    output, sys.stdout = sys.stdout, io.StringIO()
    try:
        suite.run(result)
    finally:
        sys.stdout = output
    failed = {
        test if isinstance(test, str) else test.id(): traceback
        for test, traceback in [*result.failures, *result.errors]
    }
    print(json.dumps({"passed": result.passed, "failed": failed}))
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))

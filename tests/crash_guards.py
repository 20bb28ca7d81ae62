"""Crash guards for tests of components that send calls."""

from sesameplank.core.common.clock import Clock
from sesameplank.core.forwarding.target_reach import TargetReach
from sesameplank.core.quarantine.request_quarantine import RequestQuarantine
from sesameplank.crash_guard import CrashGuard


def make_crash_guard(
    clock: Clock, reach: TargetReach, quarantine: RequestQuarantine | None = None
) -> CrashGuard:
    """Return a guard to which every target is in use."""
    return CrashGuard(
        clock, quarantine or RequestQuarantine(), reach, lambda target: True, dict
    )

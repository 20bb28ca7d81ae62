"""Probes whether this process reaches targets, and logs lost and regained links."""

from collections.abc import Callable, Sequence

import gevent
import gevent.pool
import gevent.socket

from .core.common.clock import Clock
from .core.forwarding.target_reach import (
    SILENCE_S,
    ProbedTarget,
    ProbeOutcome,
    ReachState,
    TargetReach,
)
from .logs import log_event
from .net import Address

CHECK_INTERVAL_S = 0.1
PROBE_TIMEOUT_S = 0.4
RESET_WAIT_S = 0.05  # A link that is cut may reset new connections.

Listener = Callable[[ReachState], None]


class ReachProbes:
    """Runs the probes of this process; `listeners` are told of each change.

    A probe opens a connection to a target and closes it. `get_longest_wait_s` returns
    for how long a call has had no answer, and `get_versions` further fields of log
    lines.
    """

    def __init__(
        self,
        reach: TargetReach,
        clock: Clock,
        source_host: str | None,
        get_targets: Callable[[], Sequence[ProbedTarget]],
        get_longest_wait_s: Callable[[float], float],
        get_versions: Callable[[], dict],
    ) -> None:
        self.reach = reach
        self.clock = clock
        self.source_host = source_host
        self.get_targets = get_targets
        self.get_longest_wait_s = get_longest_wait_s
        self.get_versions = get_versions
        self.listeners: list[Listener] = []
        self.round: gevent.Greenlet | None = None

    def run_round(self) -> None:
        """Check whether probes are due, and wait for CHECK_INTERVAL_S."""
        self.check(is_active=True)
        gevent.sleep(CHECK_INTERVAL_S)

    def check(self, *, is_active: bool) -> None:
        """Start a round of probes if one is due and none is running."""
        now = self.clock.now()
        is_silent = now - self.reach.heard_at >= SILENCE_S
        if is_silent and self.get_longest_wait_s(now) >= SILENCE_S:
            self.reach.note_suspicion()
        if self.round is None and self.reach.is_probe_due(now, is_active=is_active):
            sample = self.reach.choose_sample(self.get_targets(), now)
            self.round = gevent.spawn(self.probe_targets, sample)

    def probe_targets(self, sample: list[ProbedTarget]) -> None:
        """Probe targets at the same time, and record how many were reached."""
        started_at = self.clock.now()
        try:
            probes = gevent.pool.Group()
            outcomes = probes.map(self.probe, sample)
        finally:
            self.round = None
        now = self.clock.now()
        is_late = now - started_at > 2 * PROBE_TIMEOUT_S  # This process stood still.
        if not is_late and self.reach.note_probes(outcomes, now):
            self.report(outcomes, now)

    def probe(self, target: ProbedTarget) -> ProbeOutcome:
        """Return whether a target accepts a connection."""
        try:
            sock = gevent.socket.create_connection(
                Address.parse(target.address),
                PROBE_TIMEOUT_S,
                source_address=(self.source_host, 0) if self.source_host else None,
            )
        except ConnectionRefusedError:
            return ProbeOutcome.REFUSED
        except (OSError, ValueError):  # `report` logs a round without success.
            return ProbeOutcome.FAILED
        with sock:
            return ProbeOutcome.FAILED if is_reset(sock) else ProbeOutcome.REACHED

    def report(self, outcomes: Sequence[ProbeOutcome], now: float) -> None:
        """Log a change, and tell the listeners."""
        state = self.reach.state
        log_event(
            "targets_lost" if state is ReachState.LOST else "targets_regained",
            reached=outcomes.count(ProbeOutcome.REACHED),
            refused=outcomes.count(ProbeOutcome.REFUSED),
            probed=len(outcomes),
            heard_ms=int((now - self.reach.heard_at) * 1_000),
            **self.get_versions(),
        )
        for listener in self.listeners:
            listener(state)


def is_reset(sock: gevent.socket.socket) -> bool:
    """Return whether the other side ends a new connection at once."""
    sock.settimeout(RESET_WAIT_S)
    try:
        return not sock.recv(1)
    except TimeoutError:
        return False
    except OSError:
        return True

"""Probes whether this process reaches targets, and logs lost and regained links."""

from collections.abc import Callable

import gevent
import gevent.pool
import gevent.socket

from ..core.clock import Clock
from ..core.target_reach import SILENCE_S, ReachState, TargetReach
from ..core.target_table import TargetRecord, TargetTable
from ..logs import log_event
from ..net import Address
from .target_connections import TargetPools

PROBE_TIMEOUT_S = 0.4
RESET_WAIT_S = 0.05  # A link that is cut may reset new connections.

Listener = Callable[[ReachState], None]


class ReachProbes:
    """Runs the probes of this process; `listeners` are told of each change.

    A probe opens a connection to a target and closes it.
    """

    def __init__(
        self,
        reach: TargetReach,
        table: TargetTable,
        pools: TargetPools,
        clock: Clock,
        source_host: str,
    ) -> None:
        self.reach = reach
        self.table = table
        self.pools = pools
        self.clock = clock
        self.source_host = source_host
        self.listeners: list[Listener] = []
        self.round: gevent.Greenlet | None = None

    def check(self, *, is_active: bool) -> None:
        """Start a round of probes if one is due and none is running."""
        now = self.clock.now()
        if self.pools.get_longest_wait_s(now) >= SILENCE_S <= now - self.reach.heard_at:
            self.reach.note_suspicion()
        if self.round is None and self.reach.is_probe_due(now, is_active=is_active):
            targets = list(self.table.records.values())
            sample = self.reach.choose_sample(targets, now)
            self.round = gevent.spawn(self.run_round, sample)

    def run_round(self, sample: list[TargetRecord]) -> None:
        """Probe targets at the same time, and record how many were reached."""
        started_at = self.clock.now()
        try:
            probes = gevent.pool.Group()
            reached = sum(probes.map(self.probe, sample))
        finally:
            self.round = None
        now = self.clock.now()
        is_late = now - started_at > 2 * PROBE_TIMEOUT_S  # This process stood still.
        if not is_late and self.reach.note_probes(reached, len(sample), now):
            self.report(reached, len(sample), now)

    def probe(self, record: TargetRecord) -> bool:
        """Return whether a target accepts a connection."""
        try:
            sock = gevent.socket.create_connection(
                Address.parse(record.address),
                PROBE_TIMEOUT_S,
                source_address=(self.source_host, 0),
            )
        except OSError:
            return False  # `report` logs a round without success.
        with sock:
            return not is_reset(sock)

    def report(self, reached: int, probed: int, now: float) -> None:
        """Log a change, and tell the listeners."""
        state = self.reach.state
        log_event(
            "targets_lost" if state is ReachState.LOST else "targets_regained",
            reached=reached,
            probed=probed,
            heard_ms=int((now - self.reach.heard_at) * 1_000),
            targets_revision=self.table.revision,
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

"""Polling of the targets' health reports, which may be stale or wrong."""

import gevent
from gevent.pool import Pool

from ..core.common.clock import Clock
from ..core.common.outcomes import Failure, FailureReason
from ..core.search.snapshots import HeldSnapshots, SnapshotTracker
from ..ids import TargetId
from .relay import RelayDispatcher

POLL_TIMEOUT_S = 0.5
MAX_CONCURRENT_POLLS = 16
DRAINING = "draining"


class HealthPoller:
    """Polls the health of every target at an interval in seconds."""

    def __init__(
        self,
        dispatcher: RelayDispatcher,
        snapshots: SnapshotTracker,
        clock: Clock,
        interval_s: float,
    ) -> None:
        self.dispatcher = dispatcher
        self.snapshots = snapshots
        self.clock = clock
        self.interval_s = interval_s
        self.leaving = dispatcher.direct.leaving
        self.reports = {}

    def run_round(self) -> None:
        """Poll each target, and wait for the interval."""
        self.poll_all()
        gevent.sleep(self.interval_s)

    def poll_all(self) -> None:
        """Poll each target once and wait for all reports."""
        pool = Pool(MAX_CONCURRENT_POLLS)
        try:
            pool.map(self.poll, self.dispatcher.get_targets())
        finally:
            pool.kill(block=False)

    def poll(self, target: TargetId) -> None:
        """Poll one target and record its state and the snapshots that it holds.

        A poll that the target's rate limit holds back says nothing about the target.
        """
        deadline_at = self.clock.now() + POLL_TIMEOUT_S
        report = self.dispatcher.get_health(target, deadline_at)
        if isinstance(report, Failure) and report.reason is FailureReason.LIMITED:
            return
        self.reports[target] = report
        if isinstance(report, Failure):
            self.leaving.on_unreachable(target)
            return
        self.leaving.on_health(target, report.state == DRAINING)
        for shard in report.shards:
            self.snapshots.observe(
                shard.collection,
                shard.shard,
                target,
                HeldSnapshots(shard.oldest, shard.newest),
            )

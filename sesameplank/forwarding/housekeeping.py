"""The periodic tasks of a forwarding process."""

from __future__ import annotations

from typing import TYPE_CHECKING

import gevent

from ..core.common.pauses import BootClock, PauseDetector
from ..core.common.recent_maximum import RecentMaximum
from ..core.limits.slack_share import SlackShare
from ..logs import log_event
from ..loops import Task

if TYPE_CHECKING:
    from .front import Front

HOUSEKEEPING_INTERVAL_S = 0.1
FLEET_SIZE_WINDOW_S = 60.0
TASK_LIMIT_S = 5.0  # None of the tasks waits for anything.
WARM_UP_TARGETS = 8  # Per round, to avoid a connection burst at start.
COUNTS_INTERVAL_S = 10.0


class Housekeeping:
    """Runs the periodic tasks of a process; one that fails doesn't stop the others.

    Nor does one that hangs, since each has a limit.
    """

    def __init__(self, front: Front) -> None:
        self.front = front
        self.clock = front.clock
        self.pauses = PauseDetector(BootClock())
        self.fleet_sizes = RecentMaximum(FLEET_SIZE_WINDOW_S)
        self.slack_share = SlackShare()
        self.applied_targets = front.table.version
        self.logged_at = self.clock.now()
        self.tasks = self.make_tasks()

    def make_tasks(self) -> list[Task]:
        """Return the tasks in the order in which a round runs them."""
        functions = (
            ("pauses", self.check_pause),
            ("targets", self.apply_table_changes),
            ("shares", self.update_shares),
            ("limits", self.update_limits),
            ("quarantine", self.front.quarantine_notices.repeat),
            ("target_pauses", self.drop_ended_pauses),
            ("reach", self.check_reach),
            ("warm_up", self.warm_up),
            ("counts", self.log_counts),
        )
        return [self.front.loops.add_task(*item, TASK_LIMIT_S) for item in functions]

    def run_round(self) -> None:
        """Run each of the tasks, and wait for HOUSEKEEPING_INTERVAL_S."""
        self.front.loop_delay.note_round(self.clock.now())
        for task in self.tasks:
            task.run()
        gevent.sleep(HOUSEKEEPING_INTERVAL_S)

    def watch_pauses(self) -> None:
        """Check for a pause, and wait for HOUSEKEEPING_INTERVAL_S.

        This loop goes on while a task hangs, which is no pause. The tasks begin with a
        check too, since those after it rely on it.
        """
        self.check_pause()
        gevent.sleep(HOUSEKEEPING_INTERVAL_S)

    def check_pause(self) -> None:
        """Refresh members, targets and documents after a pause of this process."""
        pause_s = self.pauses.check()
        if not pause_s:
            return
        front = self.front
        log_event("pause_noticed", pause_s=pause_s)
        front.reach.note_pause(self.clock.now())
        front.membership_service.on_pause()
        front.follower.request_full_read()
        gevent.spawn(front.relay.catch_up, front.membership.get_present())

    def apply_table_changes(self) -> None:
        """Expire targets, and release the state of those that are gone."""
        front = self.front
        table = front.table
        table.expire(self.clock.now())
        if self.applied_targets == table.version:
            return
        self.applied_targets = table.version
        front.pools.keep_only(table.is_listed)
        front.placement.keep_only([*table.records, *table.leaving])
        front.limits.keep_only(table.is_listed)
        front.aggregator_choice.keep_only(front.membership.members)

    def update_shares(self) -> None:
        """Update this process's parts of the connections and of the extra load.

        The connections are divided among the largest number of VMs that callers were
        sent to recently. Sizes from before the first configuration don't count:
        callers were sent to all VMs then, but no request was served.
        """
        front = self.front
        now = self.clock.now()
        active = fleet_size = len(front.get_active())
        if front.store.current is not None:
            fleet_size = self.fleet_sizes.update(active, now)
        front.connection_shares.set_fleet_size(fleet_size)
        share = self.slack_share.update(
            now,
            present=front.heard_vms,
            active=active,
            useful=front.useful_vms or 0,
            is_active=front.is_active,
        )
        front.budget.set_slack_share(share, now)

    def update_limits(self) -> None:
        """Update the parts of the targets' rate limits, and pass the limits on."""
        front = self.front
        now = self.clock.now()
        active = [member.id for member in front.get_active()]
        front.limit_parts.update(active, front.heard_vms, now)
        front.limits.update(now)
        front.limit_notices.repeat()

    def drop_ended_pauses(self) -> None:
        """Forget the pauses that targets asked for and that are over."""
        self.front.availability.pauses.drop_ended(self.clock.now())

    def check_reach(self) -> None:
        """Probe targets if it is time to."""
        self.front.reach_probes.check(is_active=self.front.is_active)

    def warm_up(self) -> None:
        """Open first connections to targets if callers are sent here."""
        if self.front.is_active:
            self.front.connection_shares.warm_up(WARM_UP_TARGETS)

    def log_counts(self) -> None:
        """Log the gauges and the counters since the start every COUNTS_INTERVAL_S."""
        now = self.clock.now()
        if now - self.logged_at < COUNTS_INTERVAL_S:
            return
        self.logged_at = now
        front = self.front
        log_event("counts", **front.get_gauges(), **front.forwarder.metrics.counts)

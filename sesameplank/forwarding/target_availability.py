"""Targets that say in their answers that they leave, or want no requests for a while.

Both hold for the incarnation that says so, and for all ways of sending a call. The list
of targets may show neither for long. A target that leaves is told to the other VMs; a
pause is asked of each VM by itself.
"""

from collections.abc import Callable, Sequence

from ..core.common.clock import Clock
from ..core.limits.target_pauses import TargetPauses
from ..core.membership.peer_messages import TargetAnnouncedLeaving
from ..core.published.target_table import TargetRecord, TargetTable
from ..ids import EntryId
from ..logs import LogLimiter, log_event
from ..peers import PeerContext, PeerLinks

MAX_NOTICE_AGE_S = 1.0
LINES_PER_S = 20.0
LINES_BURST = 200.0  # All targets of a service may be replaced at once.
OWN_CALL = "own_call"


class TargetAvailability:
    """What targets have said of their leaving and their pauses.

    `get_others` returns the other VMs that serve, also those that have lost their links
    to targets, and `count` gets the name of a counter.
    """

    def __init__(
        self,
        links: PeerLinks,
        clock: Clock,
        table: TargetTable,
        get_others: Callable[[], Sequence[EntryId]],
        count: Callable[[str], None],
    ) -> None:
        self.links = links
        self.clock = clock
        self.table = table
        self.get_others = get_others
        self.count = count
        self.pauses = TargetPauses()
        self.limiter = LogLimiter(clock, LINES_PER_S, LINES_BURST)
        links.register(TargetAnnouncedLeaving, self.on_notice)

    def may_send(self, record: TargetRecord) -> bool:
        """Return whether a target may get a call now."""
        now = self.clock.now()
        if self.pauses.get_remaining_s(record, now):
            return False
        return self.table.may_call(record, now)

    def get_wait_s(self, records: Sequence[TargetRecord]) -> float:
        """Return the time until one of the targets may be called, 0 without any."""
        now = self.clock.now()
        waits = (self.pauses.get_remaining_s(item, now) for item in records)
        return min(waits, default=0.0)

    def note_leaving(self, record: TargetRecord) -> None:
        """Record that a target has said that it leaves, and tell the other VMs."""
        if not self.apply(record.id, record.started_ms, OWN_CALL):
            return
        notice = TargetAnnouncedLeaving(record.id, record.started_ms)
        for entry in self.get_others():
            self.links.send(entry, notice)

    def on_notice(self, message: TargetAnnouncedLeaving, context: PeerContext) -> None:
        """Record a target that leaves, as another VM tells, unless that is old."""
        if context.age_s <= MAX_NOTICE_AGE_S:
            self.apply(message.target, message.started_ms, context.sender)

    def apply(self, target: str, started_ms: int, source: str) -> bool:
        """Stop the calls to a target that leaves; return False if that was known."""
        if not self.table.note_announced(target, started_ms, self.clock.now()):
            return False
        self.count("targets_announced_leaving")
        self.log("target_leaving", target=target, source=source)
        return True

    def note_pause(self, record: TargetRecord, wait_s: float) -> None:
        """Record for how long a target wants no requests of this process."""
        if self.pauses.note(record, wait_s, self.clock.now()):
            self.count("targets_paused")
            self.log("target_paused", target=record.id, pause_ms=int(wait_s * 1_000))

    def log(self, event: str, **fields: object) -> None:
        """Write a line unless there are too many."""
        left_out = self.limiter.take()
        if left_out is not None:
            revision = self.table.revision
            log_event(event, **fields, targets_revision=revision, left_out=left_out)

"""Applies what becomes known of suspect requests to those in progress."""

from ..core.common.clock import Clock
from ..core.forwarding.down_targets import DownTargets
from ..core.published.target_table import TargetTable
from ..core.quarantine.request_quarantine import CrashRecord, QuarantineEvent
from ..crash_guard import CrashGuard
from ..ids import Fingerprint
from .forwarder import Forwarder
from .target_pools import TargetPools


class SuspectRequests:
    """Follows the quarantine of this process, whoever observed what it learns."""

    def __init__(
        self,
        clock: Clock,
        crash_guard: CrashGuard,
        table: TargetTable,
        down_targets: DownTargets,
        pools: TargetPools,
        forwarder: Forwarder,
    ) -> None:
        self.clock = clock
        self.crash_guard = crash_guard
        self.table = table
        self.down_targets = down_targets
        self.pools = pools
        self.forwarder = forwarder
        crash_guard.quarantine.listeners.append(self.on_change)

    def on_change(
        self, event: QuarantineEvent, fingerprint: Fingerprint, record: CrashRecord
    ) -> None:
        """Apply a change of what is known of a request."""
        if event is QuarantineEvent.CLEARED:
            return
        self.avoid_targets(record)
        self.update_requests(fingerprint, record)
        if event is QuarantineEvent.QUARANTINED:
            self.pools.stop_calls(fingerprint)

    def avoid_targets(self, record: CrashRecord) -> None:
        """Avoid the targets that have just crashed, also under calls of other VMs."""
        now = self.clock.now()
        for crash in record.crashes:
            listed = self.table.find_ready(crash.target)
            if listed is not None:
                self.down_targets.note_down(listed, now, now - crash.ended_at)

    def update_requests(self, fingerprint: Fingerprint, record: CrashRecord) -> None:
        """Tell the requests in progress; one of them with an answer clears them all."""
        for forwarded in list(self.forwarder.in_progress):
            if forwarded.sent_request.fingerprint != fingerprint:
                continue
            if forwarded.sent_request.is_answered:
                self.crash_guard.note_answer(forwarded.sent_request)
                return
            forwarded.note_record(record)

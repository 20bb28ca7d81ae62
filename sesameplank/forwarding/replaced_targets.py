"""Targets whose addresses other targets have taken over, shared between VMs.

A call to a target that is gone may arrive at the next owner of its address. The owner
refuses it, but the call is extra load on the owner's service. The list of targets may
show the lost target for as long as the store is unavailable, so the first VM that
notices tells the others.
"""

from collections.abc import Callable, Sequence

from ..core.common.clock import Clock
from ..core.membership.peer_messages import TargetReplaced
from ..core.published.target_table import TargetRecord, TargetTable
from ..ids import EntryId, ServiceName, TargetId
from ..logs import log_event
from ..peers import PeerContext, PeerLinks
from .target_pools import TargetPools

MAX_NOTICE_AGE_S = 1.0
OWN_CALL = "own_call"


class ReplacedTargets:
    """Records replaced targets, and sends and receives the notices about them.

    `get_others` returns the other VMs that callers are sent to.
    """

    def __init__(
        self,
        links: PeerLinks,
        clock: Clock,
        table: TargetTable,
        pools: TargetPools,
        get_others: Callable[[], Sequence[EntryId]],
    ) -> None:
        self.links = links
        self.clock = clock
        self.table = table
        self.pools = pools
        self.get_others = get_others
        links.register(TargetReplaced, self.on_notice)

    def add(self, record: TargetRecord) -> None:
        """Record that another target answered at an address; notify the other VMs."""
        if not self.apply(record.id, record.address, OWN_CALL):
            return
        notice = TargetReplaced(record.id, record.address)
        for entry in self.get_others():
            self.links.send(entry, notice)

    def on_notice(self, message: TargetReplaced, context: PeerContext) -> None:
        """Record a replaced target that another VM reports, unless it is old."""
        if context.age_s <= MAX_NOTICE_AGE_S:
            self.apply(message.target, message.address, context.sender)

    def apply(self, target: TargetId, address: str, source: str) -> bool:
        """Stop the calls to a target; return False if this was known already.

        `source` is the VM that reports it, or OWN_CALL.
        """
        if not self.table.note_replaced(target, address, self.clock.now()):
            return False
        log_event("target_replaced", target=target, address=address, source=source)
        self.pools.close_idle(target)
        return True

    def find_service(self, target: TargetId | None) -> ServiceName | None:
        """Return the service of a target, or None if the target is not listed."""
        record = self.table.records.get(target)
        return None if record is None else record.service

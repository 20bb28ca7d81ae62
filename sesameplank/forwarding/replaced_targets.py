"""Targets whose addresses other targets have taken over, shared between VMs.

A call to a target that is gone may arrive at the next owner of its address. The owner
refuses it, but the call is extra load on the owner's service. The list of targets may
show the lost target for as long as the store is unavailable, so the first VM that
notices tells the others.
"""

from collections.abc import Callable, Sequence

from ..core.clock import Clock
from ..core.peer_messages import Member, TargetReplaced
from ..core.target_table import TargetRecord, TargetTable
from ..ids import EntryId, ServiceName, TargetId
from ..logs import log_event
from ..peers import PeerContext, PeerLinks
from .target_connections import TargetPools

MAX_NOTICE_AGE_S = 1.0


class ReplacedTargets:
    """Records replaced targets, and sends and receives the notices about them.

    `get_active` returns the VMs that callers are sent to.
    """

    def __init__(
        self,
        own_id: EntryId,
        links: PeerLinks,
        clock: Clock,
        table: TargetTable,
        pools: TargetPools,
        get_active: Callable[[], Sequence[Member]],
    ) -> None:
        self.own_id = own_id
        self.links = links
        self.clock = clock
        self.table = table
        self.pools = pools
        self.get_active = get_active
        links.register(TargetReplaced, self.on_notice)

    def add(self, record: TargetRecord) -> None:
        """Record that another target answered at an address; notify the other VMs."""
        if not self.apply(record.id, record.address, self.own_id):
            return
        notice = TargetReplaced(record.id, record.address)
        for member in self.get_active():
            if member.id != self.own_id:
                self.links.send(member.id, notice)

    def on_notice(self, message: TargetReplaced, context: PeerContext) -> None:
        """Record a replaced target that another VM reports, unless it is old."""
        if context.age_s <= MAX_NOTICE_AGE_S:
            self.apply(message.target, message.address, context.sender)

    def apply(self, target: TargetId, address: str, source: EntryId) -> bool:
        """Stop the calls to a target; return False if this was known already."""
        if not self.table.note_replaced(target, address, self.clock.now()):
            return False
        log_event("target_replaced", target=target, address=address, source=source)
        self.pools.close_idle(target)
        return True

    def find_service(self, target: TargetId | None) -> ServiceName | None:
        """Return the service of a target, or None if the target is not listed."""
        record = self.table.records.get(target)
        return None if record is None else record.service

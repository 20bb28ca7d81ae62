"""Notices between VMs about callers that look up addresses.

A request that follows a look-up has less time left. Its caller connects to any of the
addresses, so the VM that answered the look-up notifies the others. In a large fleet
this would cost more than it gains; every request then counts as following a look-up.
"""

from collections.abc import Callable, Sequence

from ..core.common.clock import Clock
from ..core.forwarding.lookups import RecentLookups
from ..core.membership.peer_messages import CallerLookup
from ..ids import EntryId
from ..peers import PeerContext, PeerLinks

MAX_NOTIFIED = 16  # VMs


class LookupNotices:
    """Sends and receives the notices of this process.

    `get_others` returns the other VMs to which callers may connect.
    """

    def __init__(
        self,
        links: PeerLinks,
        clock: Clock,
        get_others: Callable[[], Sequence[EntryId]],
    ) -> None:
        self.links = links
        self.clock = clock
        self.get_others = get_others
        self.recent = RecentLookups()
        links.register(CallerLookup, self.on_notice)

    def on_lookup(self, caller: str) -> None:
        """Record a look-up that this process answered, and notify the other VMs."""
        self.recent.note(caller, self.clock.now())
        others = self.get_others()
        if len(others) > MAX_NOTIFIED:
            return
        for entry in others:
            self.links.send(entry, CallerLookup(caller))

    def on_notice(self, message: CallerLookup, context: PeerContext) -> None:
        """Record a look-up that another VM answered."""
        self.recent.note(message.caller, self.clock.now() - context.age_s)

    def may_have_looked_up(self, caller: str) -> bool:
        """Return whether a caller's request may follow a look-up.

        Return True if notices could be missing.
        """
        others = self.get_others()
        if len(others) > MAX_NOTIFIED:
            return True
        if not all(self.links.is_connected(entry) for entry in others):
            return True
        return self.recent.is_recent(caller, self.clock.now())

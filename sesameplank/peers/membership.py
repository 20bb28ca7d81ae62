"""Runs the membership protocol of `core.membership.membership` over the links."""

from collections.abc import Callable, Iterable

import gevent
import msgspec

from ..conf import PublishedVms
from ..core.common.clock import Clock
from ..core.membership.membership import Membership, Outgoing
from ..core.membership.peer_messages import (
    Heartbeat,
    MemberTable,
    MemberUpdates,
    PeerMessage,
    Phase,
    ProbeAnswer,
    ProbeRequest,
    Versions,
)
from ..ids import EntryId, Incarnation
from ..logs import log_event
from ..net import Address
from .links import PeerContext, PeerLinks

TICK_INTERVAL_S = 0.1
MAX_CONTACT_AGE_S = 1.0
MESSAGE_TYPES = (Heartbeat, MemberUpdates, MemberTable, ProbeRequest, ProbeAnswer)

VersionListener = Callable[[EntryId, Versions, float], None]


class MembershipService:
    """Passes messages and the time to `Membership`, and sends what it returns."""

    def __init__(
        self,
        membership: Membership,
        links: PeerLinks,
        clock: Clock,
        get_versions: Callable[[], Versions],
        on_versions: VersionListener,
    ) -> None:
        self.membership = membership
        self.links = links
        self.clock = clock
        self.get_versions = get_versions
        self.on_versions = on_versions
        self.published_addresses: dict[EntryId, str] = {}
        self.addresses_as_of = float("-inf")
        links.contact_listeners.append(self.on_contact)
        for message_type in MESSAGE_TYPES:
            links.register(message_type, self.on_message)

    def run_round(self) -> None:
        """Call `Membership.on_tick`, and wait `TICK_INTERVAL_S` seconds.

        `on_tick` returns the messages that are due and updates its view of the members.
        """
        self.send(self.membership.on_tick(self.clock.now()))
        gevent.sleep(TICK_INTERVAL_S)

    def on_contact(
        self, sender: EntryId, incarnation: Incarnation, age_s: float
    ) -> None:
        """Record contact with the sender, unless the message waited in a buffer."""
        if age_s <= MAX_CONTACT_AGE_S:
            self.send(self.membership.on_contact(sender, self.clock.now()))

    def on_message(self, message: PeerMessage, context: PeerContext) -> None:
        """Pass a message to the membership, and its versions to `on_versions`."""
        if isinstance(message, Heartbeat):
            self.on_versions(context.sender, message.versions, context.age_s)
        self.send(self.membership.on_message(context.sender, message, self.clock.now()))

    def on_published(self, vms: PublishedVms) -> None:
        """Apply the platform's list of VMs to the membership."""
        self.published_addresses = {vm.id: vm.peer_address for vm in vms.vms}
        self.addresses_as_of = float("-inf")
        self.send(self.membership.on_published(vms, self.clock.now()))

    def on_pause(self) -> None:
        """Notify the membership that this process was paused."""
        self.send(self.membership.on_pause(self.clock.now()))

    def set_store_unavailable(self, is_unavailable: bool) -> None:
        """Announce whether the configuration service is unavailable to this VM."""
        self.send(
            self.membership.set_store_unavailable(is_unavailable, self.clock.now())
        )

    def set_reaches_targets(self, reaches_targets: bool) -> None:
        """Announce whether this VM has links to targets."""
        self.send(
            self.membership.set_reaches_targets(reaches_targets, self.clock.now())
        )

    def set_view_stale(self, is_view_stale: bool) -> None:
        """Announce whether this process's view of the platform is stale."""
        self.send(self.membership.set_view_stale(is_view_stale, self.clock.now()))

    def leave(self, phase: Phase) -> None:
        """Announce that this process is leaving or has left.

        A stop goes on if that fails: the others notice later that it is gone.
        """
        try:
            self.send(self.membership.leave(phase, self.clock.now()))
        except Exception as error:
            log_event("announcement_failed", phase=phase.name, error=repr(error))

    def send(self, messages: Iterable[Outgoing]) -> None:
        """Send messages of the membership; add the versions to heartbeats."""
        self.refresh_addresses()
        for outgoing in messages:
            message = outgoing.message
            if isinstance(message, Heartbeat):
                message = msgspec.structs.replace(message, versions=self.get_versions())
            if outgoing.peer in self.links.addresses:
                self.links.send(outgoing.peer, message)

    def refresh_addresses(self) -> None:
        """Update the addresses of the links if the membership has changed.

        A published address takes precedence over the address in a member's record.
        """
        if self.addresses_as_of == self.membership.last_change_at:
            return
        self.addresses_as_of = self.membership.last_change_at
        for entry in set(self.links.addresses) - set(self.membership.members):
            self.links.remove_address(entry)
        for entry, member in self.membership.members.items():
            address = self.published_addresses.get(entry, member.peer_address)
            self.set_address(entry, address)

    def set_address(self, entry: EntryId, text: str) -> None:
        """Set the address of a link; log one that can't be read, and keep the old."""
        try:
            self.links.set_address(entry, Address.parse(text))
        except ValueError as error:
            log_event("peer_address_refused", peer=entry, reason=str(error))

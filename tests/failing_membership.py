"""A membership service whose announcements fail."""

from unittest.mock import Mock

from sesameplank.core.common.clock import SystemClock
from sesameplank.peers.membership import MembershipService


class FailingMembership:
    """A membership that can't tell the other VMs."""

    def leave(self, phase, now: float) -> None:
        """Raise an error."""
        raise ValueError("not an address")


def make_failing_membership_service() -> MembershipService:
    """Return a service whose announcements fail."""
    links = Mock(contact_listeners=[])
    return MembershipService(FailingMembership(), links, SystemClock(), Mock(), Mock())

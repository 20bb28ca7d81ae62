"""Election of the VMs that read the configuration service for the whole fleet.

The few readers relay what they read to all others. If the service is unavailable
to a reader, it publishes this, and the next VM by rank replaces it. A VM whose
view was not confirmed recently reads the service itself, whoever is elected.
"""

from collections.abc import Container, Iterable

from ...ids import EntryId
from .homes import rank
from .peer_messages import Member

READERS = 2
MAX_VIEW_AGE_S = 2.3  # A change must be in force within 3 s.
ELECTION_KEY = "reader"
# Contacts that run answer a starting process well before it ends.
START_WINDOW_S = 0.3


def elect_readers(members: Iterable[Member]) -> list[EntryId]:
    """Return the readers: members with access to the service, or any if none has."""
    known = list(members)
    able = [member.id for member in known if not member.is_store_unavailable]
    return rank(ELECTION_KEY, able or [member.id for member in known])[:READERS]


def is_elected_reader(
    own_id: EntryId,
    members: Iterable[Member],
    view_age_s: float | None,
    contacts: Container[EntryId] = (),
    has_waited: bool = True,
) -> bool:
    """Return whether this process has to read the configuration service.

    `view_age_s` is the time since its view was known to be current, None if it
    never was. A starting process first waits for an update from its `contacts`, the
    VMs that it connects to first; `has_waited` states whether it has. The contacts
    read at once, in case all VMs start together.
    """
    if view_age_s is None:
        return not contacts or own_id in contacts or has_waited
    if view_age_s > MAX_VIEW_AGE_S:
        return True
    return own_id in elect_readers(members)

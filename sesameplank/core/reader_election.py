"""Which VMs read the platform's service for the whole fleet.

A few read, and all others hear from them within moments. A reader that is turned
away says so, and the next takes its place; whoever has not heard for a while
that its view is current reads for itself, whatever it believes of the others.
"""

from collections.abc import Container, Iterable

from ..ids import EntryId
from .homes import rank
from .peer_messages import Member

MAX_READERS = 2
MAX_VIEW_AGE_S = 2.3  # A change must be in force within 3 s.
ELECTION_KEY = "reader"
START_GRACE_PERIOD_S = 1.0  # Links to contacts are there sooner than that.


def elect_readers(members: Iterable[Member]) -> list[EntryId]:
    """Return the members that read: those that can, or any if none can."""
    known = list(members)
    able = [member.id for member in known if not member.is_store_unavailable]
    return rank(ELECTION_KEY, able or [member.id for member in known])[:MAX_READERS]


def is_elected_reader(
    own_id: EntryId,
    members: Iterable[Member],
    view_age_s: float | None,
    contacts: Container[EntryId] = (),
    running_s: float = START_GRACE_PERIOD_S,
) -> bool:
    """Tell whether this process has to read.

    `view_age_s` is the time since its view was known to be current, None if it
    never was; `running_s` that since its start. A process that has just started
    first lets its `contacts` tell it, which read at once when all start together.
    """
    if view_age_s is None:
        return not contacts or own_id in contacts or running_s >= START_GRACE_PERIOD_S
    if view_age_s > MAX_VIEW_AGE_S:
        return True
    return own_id in elect_readers(members)

"""The bounded-degree graph over which entries monitor and notify each other.

Each ring orders all entries by a hash. The neighbours of an entry are the ones
next to it on each ring. A union of a few random rings is an expander graph with
high probability, so an update reaches all entries in a number of hops that is
logarithmic in their number.
"""

from collections.abc import Iterable

from ...ids import EntryId
from ..common.hashing import hash_text

RINGS = 3


def choose_neighbours(
    own_id: EntryId, entries: Iterable[EntryId], rings: int = RINGS
) -> list[EntryId]:
    """Return the sorted neighbours of `own_id`, at most two per ring."""
    members = {*entries, own_id}
    neighbours: set[EntryId] = set()
    for ring in range(rings):
        neighbours.update(choose_on_ring(own_id, members, ring))
    neighbours.discard(own_id)
    return sorted(neighbours)


def choose_on_ring(
    own_id: EntryId, members: Iterable[EntryId], ring: int
) -> tuple[EntryId, EntryId]:
    """Return the members before and after `own_id` on one ring."""
    ordered = sorted(
        members,
        key=lambda entry: (hash_text(ring, entry), entry),
    )
    position = ordered.index(own_id)
    return ordered[position - 1], ordered[(position + 1) % len(ordered)]

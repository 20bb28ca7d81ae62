"""Chooses entries for a duty by rendezvous hashing, and divides connections.

Rendezvous hashing: D. Thaler and C. Ravishankar, "Using name-based mappings to
increase hit rates", IEEE/ACM Transactions on Networking 6(1), 1998.
"""

from collections.abc import Iterable

from ..ids import EntryId
from .hashing import hash_text

HOLD_DOWN_S = 5.0


def rank(key: str, entries: Iterable[EntryId]) -> list[EntryId]:
    """Return the entries in the order in which they take the duty `key`.

    An entry that joins or goes changes the order of no other two.
    """
    return sorted(
        entries,
        key=lambda entry: (hash_text(key, entry), entry),
    )


def choose_homes(key: str, entries: Iterable[EntryId], count: int) -> list[EntryId]:
    """Return the first `count` entries of the rank, or all if there are fewer."""
    return rank(key, entries)[:count]


def get_connection_share(limit: int, homes: int, headroom: int) -> int:
    """Return how many of a target's connections one home may hold.

    `headroom` is how many entries may at once act on an outdated VM list. As
    long as no more do, the sum over all entries stays within the limit. The
    share is 0 when there are more homes than connections.
    """
    return limit // (homes + headroom)


class ConnectionPlan:
    """How many connections this process may hold to each target.

    Homes are chosen over the published list, never over the live view: in a
    partition each part would take the other's share. An entry that the list
    does not name holds none, and so does one that the list has just made a home
    until `HOLD_DOWN_S` have passed, while its forerunner lets go.
    """

    def __init__(self, own: EntryId, homes: int, headroom: int) -> None:
        self.own = own
        self.homes = homes
        self.headroom = headroom
        self.entries: frozenset[EntryId] = frozenset()
        self.homes_by_key: dict[str, list[EntryId]] = {}
        self.home_since: dict[str, float] = {}

    def update(self, entries: Iterable[EntryId], now: float) -> None:
        """Take a newer published list in.

        Costs one hash for each known key and added entry, and a new rank only
        for keys that lost a home.
        """
        known, self.entries = self.entries, frozenset(entries)
        removed, added = known - self.entries, self.entries - known
        for key, homes in list(self.homes_by_key.items()):
            if removed.intersection(homes):
                del self.homes_by_key[key]
            elif added:
                self.homes_by_key[key] = choose_homes(key, {*homes, *added}, self.homes)
        for key in list(self.home_since):
            if self.own not in self.get_homes(key):
                del self.home_since[key]

    def get_homes(self, key: str) -> list[EntryId]:
        """Return the homes of a target in their order."""
        homes = self.homes_by_key.get(key)
        if homes is None:
            homes = choose_homes(key, self.entries, self.homes)
            self.homes_by_key[key] = homes
        return homes

    def get_connection_limit(self, key: str, limit: int, now: float) -> int:
        """Return how many connections this process may hold to a target now."""
        if self.own not in self.get_homes(key):
            self.home_since.pop(key, None)
            return 0
        since = self.home_since.setdefault(key, now)
        is_alone = len(self.entries) <= self.homes + self.headroom
        if not is_alone and now - since < HOLD_DOWN_S:
            return 0
        return get_connection_share(limit, self.homes, self.headroom)

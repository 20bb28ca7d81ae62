"""Choice of the homes of targets, and the division of connections among them.

The homes of a target are the entries that hold connections to it. Rendezvous
hashing chooses them: D. Thaler and C. Ravishankar, "Using name-based mappings to
increase hit rates", IEEE/ACM Transactions on Networking 6(1), 1998.
"""

from collections.abc import Iterable

from ...ids import EntryId
from ..common.hashing import hash_text

HOLD_DOWN_S = 5.0  # Time for the previous home to close its connections.


def rank(key: str, entries: Iterable[EntryId]) -> list[EntryId]:
    """Return the entries ranked for `key` by rendezvous hashing.

    Adding or removing an entry does not change the relative order of the others.
    """
    return sorted(
        entries,
        key=lambda entry: (hash_text(key, entry), entry),
    )


def choose_homes(key: str, entries: Iterable[EntryId], count: int) -> list[EntryId]:
    """Return the first `count` entries ranked for `key`, or all if there are fewer."""
    return rank(key, entries)[:count]


def get_connection_share(limit: int, homes: int, headroom: int) -> int:
    """Return how many of a target's connections each home may hold.

    `limit` is the number of connections that the target allows. `headroom` is
    the number of entries that may still hold a home's share because their VM list
    is outdated. As long as there are no more of them, the sum over all entries
    stays within the limit. The share is 0 if `homes + headroom` exceeds the limit.
    """
    return limit // (homes + headroom)


class ConnectionPlan:
    """The number of connections that this process may hold to each target.

    Homes are chosen from the published VM list and never from the live
    membership view: in a network partition, each side would otherwise claim the
    connections of the other side as well. An entry that is not listed holds no
    connections. A new home holds none for `HOLD_DOWN_S`, so that the previous
    home can close its connections first. The wait is not needed while there are
    at most `homes + headroom` entries: their shares add up to no more than the
    limit.
    """

    def __init__(self, own_id: EntryId, homes: int, headroom: int) -> None:
        self.own_id = own_id
        self.homes = homes
        self.headroom = headroom
        self.entries: frozenset[EntryId] = frozenset()
        self.homes_by_key: dict[str, list[EntryId]] = {}
        self.home_since: dict[str, float] = {}

    def update(self, entries: Iterable[EntryId], now: float) -> None:
        """Apply a newer published list.

        For a key that lost a home, all entries are ranked again. For any other known
        key, only its homes and the added entries are ranked.
        """
        known, self.entries = self.entries, frozenset(entries)
        removed, added = known - self.entries, self.entries - known
        for key, homes in list(self.homes_by_key.items()):
            if removed.intersection(homes):
                del self.homes_by_key[key]
            elif added:
                self.homes_by_key[key] = choose_homes(key, {*homes, *added}, self.homes)
        for key in list(self.home_since):
            if self.own_id not in self.get_homes(key):
                del self.home_since[key]

    def get_homes(self, key: str) -> list[EntryId]:
        """Return the homes of a target in the order of their ranking."""
        homes = self.homes_by_key.get(key)
        if homes is None:
            homes = choose_homes(key, self.entries, self.homes)
            self.homes_by_key[key] = homes
        return homes

    def get_connection_limit(self, key: str, limit: int, now: float) -> int:
        """Return how many connections this process may hold to a target at `now`."""
        if self.own_id not in self.get_homes(key):
            self.home_since.pop(key, None)
            return 0
        since = self.home_since.setdefault(key, now)
        is_small_fleet = len(self.entries) <= self.homes + self.headroom
        if not is_small_fleet and now - since < HOLD_DOWN_S:
            return 0
        return get_connection_share(limit, self.homes, self.headroom)

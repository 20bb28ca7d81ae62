"""Chooses entries for a duty by rendezvous hashing, and divides connections.

Rendezvous hashing: D. Thaler and C. Ravishankar, "Using name-based mappings to
increase hit rates", IEEE/ACM Transactions on Networking 6(1), 1998.
"""

from collections.abc import Iterable

from ..ids import EntryId
from .hashing import hash_text


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


def get_share(limit: int, homes: int, headroom: int) -> int:
    """Return how many of a target's connections one home may hold.

    `headroom` is how many entries may at once act on an outdated VM list. As
    long as no more do, the sum over all entries stays within the limit. The
    share is 0 when there are more homes than connections.
    """
    return limit // (homes + headroom)

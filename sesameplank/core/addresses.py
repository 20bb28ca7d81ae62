"""Which entries a caller is told to use."""

import random
from collections.abc import Sequence

import msgspec

MAX_ADDRESSES = 3


class AddressAnswer(msgspec.Struct, frozen=True):
    """Entries to use, in order, and for how many milliseconds."""

    addresses: tuple[str, ...]
    ttl_ms: int


def choose_addresses(live: Sequence[str], rng: random.Random) -> tuple[str, ...]:
    """Return a few live addresses in random order, so that load spreads evenly."""
    return tuple(rng.sample(list(live), min(MAX_ADDRESSES, len(live))))

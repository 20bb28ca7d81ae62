"""Choice of the entry addresses that are returned to callers."""

import random
from collections.abc import Sequence

import msgspec

MAX_ADDRESSES = 3


class AddressAnswer(msgspec.Struct, frozen=True):
    """Addresses of entries in the order to try them, valid for `ttl_ms`."""

    addresses: tuple[str, ...]
    ttl_ms: int


def choose_addresses(live: Sequence[str], rng: random.Random) -> tuple[str, ...]:
    """Return at most `MAX_ADDRESSES` live addresses, chosen at random.

    The random choice and order spread the load evenly.
    """
    return tuple(rng.sample(list(live), min(MAX_ADDRESSES, len(live))))

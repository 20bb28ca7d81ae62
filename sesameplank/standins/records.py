"""Generates records of orders and stock from a seed."""

import random

from ..core.search.messages import Record
from ..ids import RecordKey

ITEMS = ("float", "lantern", "frame", "jute", "polypropylene", "sack", "garland")
COLOURS = ("red", "gold", "white", "green", "blue", "plain")
PLACES = ("nadi", "lautoka", "ba", "khon_kaen", "korat", "ubon", "chaiyaphum")
MAX_STOCK = 500


def make_records(count: int, seed: int) -> list[Record]:
    """Return `count` records that depend on nothing but the seed."""
    rng = random.Random(seed)
    return [make_record(index, rng) for index in range(count)]


def make_record(index: int, rng: random.Random) -> Record:
    """Return one record with a random item, colour, place, stock and price."""
    return Record(
        key=RecordKey(f"r{index:06d}"),
        fields={
            "item": rng.choice(ITEMS),
            "colour": rng.choice(COLOURS),
            "place": rng.choice(PLACES),
            "stock": rng.randint(0, MAX_STOCK),
            "price": rng.randint(10, 900),
        },
    )

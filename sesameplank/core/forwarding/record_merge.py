"""Merging of the shards' answers (parts) into the greatest records of all parts."""

import struct
from collections.abc import Iterable
from functools import lru_cache

RECORD_BYTES = 16
CACHED_LAYOUTS = 256
MAX_LAYOUT_RECORDS = 1_024  # Longer parts are rare and need large layouts.
PRUNE_FACTOR = 4  # Sorting occasionally is cheaper than keeping records sorted.


@lru_cache(CACHED_LAYOUTS)
def get_layout(records: int) -> struct.Struct:
    """Return the layout of a part with the given number of records."""
    return struct.Struct(f"{RECORD_BYTES}s" * records)


def split_records(part: bytes | bytearray) -> tuple[bytes, ...]:
    """Return the records of a part; ignore an incomplete one at the end."""
    count = len(part) // RECORD_BYTES
    if count <= MAX_LAYOUT_RECORDS:
        return get_layout(count).unpack_from(part)
    ends = range(RECORD_BYTES, count * RECORD_BYTES + 1, RECORD_BYTES)
    return tuple(bytes(part[end - RECORD_BYTES : end]) for end in ends)


class RecordMerge:
    """An accumulator of the greatest `limit` records of all added parts.

    Records are compared byte by byte. Duplicates are kept.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.records: list[bytes] = []
        self.threshold = b""

    def add(self, part: bytes | bytearray) -> None:
        """Add the records of a part."""
        threshold = self.threshold
        self.records += [item for item in split_records(part) if item > threshold]
        if len(self.records) > PRUNE_FACTOR * self.limit:
            self.prune()

    def prune(self) -> None:
        """Sort the records in descending order and drop those beyond the limit."""
        self.records.sort(reverse=True)
        del self.records[self.limit :]
        if self.limit and len(self.records) == self.limit:
            self.threshold = self.records[-1]

    def get_body(self) -> bytes:
        """Return the greatest records in descending order."""
        self.prune()
        return b"".join(self.records)


def merge_parts(parts: Iterable[bytes], limit: int) -> bytes:
    """Return the greatest `limit` records of the parts in descending order."""
    merge = RecordMerge(limit)
    for part in parts:
        merge.add(part)
    return merge.get_body()

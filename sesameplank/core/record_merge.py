"""Merging of parts: the greatest records of all shards, in falling order."""

import heapq
from collections.abc import Iterable

RECORD_BYTES = 16


def split_records(part: bytes) -> list[bytes]:
    """Return the records of a part; a shorter remainder is no record."""
    whole = len(part) - len(part) % RECORD_BYTES
    return [part[at : at + RECORD_BYTES] for at in range(0, whole, RECORD_BYTES)]


def merge_parts(parts: Iterable[bytes], limit: int) -> bytes:
    """Return the greatest `limit` records of the parts, greatest first.

    Records compare byte by byte; equal ones all count.
    """
    records = [record for part in parts for record in split_records(part)]
    return b"".join(heapq.nlargest(limit, records))

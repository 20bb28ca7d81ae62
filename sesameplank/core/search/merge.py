"""Merging of shard results into one ordered answer."""

import heapq
from collections.abc import Iterable

from .messages import Order, Record, ShardResult

MISSING_RANK = 2
TYPE_RANKS = {bool: 0, int: 0, float: 0, str: 1}


def get_sort_key(record: Record, field: str) -> tuple:
    """Return a sort key that orders numbers before strings before missing values."""
    value = record.key if field == "key" else record.fields.get(field)
    rank = TYPE_RANKS.get(type(value), MISSING_RANK)
    return (rank, value if rank != MISSING_RANK else 0)


def sort_records(records: Iterable[Record], order: Order) -> list[Record]:
    """Return the records in the requested order, ties by ascending key."""
    by_key = sorted(records, key=lambda record: record.key)
    return sorted(
        by_key,
        key=lambda record: get_sort_key(record, order.field),
        reverse=order.descending,
    )


def merge_hits(
    results: Iterable[ShardResult], order: Order, limit: int
) -> tuple[Record, ...]:
    """Return the first `limit` hits of all shards in the requested order."""
    hits = [record for result in results for record in result.hits]
    if limit >= len(hits) or order.descending:
        return tuple(sort_records(hits, order)[:limit])
    return tuple(
        heapq.nsmallest(
            limit,
            hits,
            key=lambda record: (get_sort_key(record, order.field), record.key),
        )
    )


def count_total(results: Iterable[ShardResult]) -> int:
    """Return the number of matching records in all shards."""
    return sum(result.total for result in results)

"""A naive reference implementation of queries, to compare answers with."""

from sesameplank.core.search.messages import Order, SearchAnswer, SearchRequest
from sesameplank.core.search.ranges import KEY_SPACE, KeyRange, merge_ranges
from sesameplank.standins.store import RecordStore


def find_difference(
    store: RecordStore, request: SearchRequest, answer: SearchAnswer
) -> str:
    """Return how an answer differs from a naive scan, or an empty string.

    The scan covers the key ranges that the answer states as covered.
    """
    missing = [item.range for item in answer.coverage.missing]
    try:
        merged = merge_ranges([*answer.coverage.covered, *missing])
    except ValueError as error:
        return f"coverage: {error}"
    if merged != (KeyRange(0, KEY_SPACE),):
        return f"coverage leaves a gap: {merged}"
    if answer.snapshot < request.at_least_snapshot:
        return f"snapshot {answer.snapshot} is older than requested"
    found = [
        record
        for covered in answer.coverage.covered
        for record in store.scan(
            covered, answer.snapshot, request.terms, request.filters
        )
    ]
    if len(found) != answer.total:
        return f"total {answer.total}, not {len(found)}"
    expected = sort_naively(found, request.order)[: request.limit]
    if list(answer.hits) != expected:
        return f"hits {answer.hits}, not {expected}"
    return ""


def sort_naively(records: list, order: Order) -> list:
    """Return the records in the requested order, with ties by ascending key."""
    records = sorted(records, key=lambda record: record.key)
    if order.field == "key":
        return sorted(records, key=lambda record: record.key, reverse=order.descending)
    return sorted(
        records,
        key=lambda record: record.fields[order.field],
        reverse=order.descending,
    )

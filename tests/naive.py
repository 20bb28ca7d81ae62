"""The naive version that answers are compared with: a scan and a sort."""

from sesameplank.core.messages import Order, SearchAnswer, SearchRequest
from sesameplank.core.ranges import KEY_SPACE, KeyRange, merge_ranges
from sesameplank.standins.store import Store


def find_difference(store: Store, request: SearchRequest, answer: SearchAnswer) -> str:
    """Return how an answer differs from a naive scan, empty if it does not."""
    missing = [item.range for item in answer.coverage.missing]
    try:
        tiles = merge_ranges([*answer.coverage.covered, *missing])
    except ValueError as error:
        return f"coverage: {error}"
    if tiles != (KeyRange(0, KEY_SPACE),):
        return f"coverage leaves a gap: {tiles}"
    if answer.snapshot < request.at_least_snapshot:
        return f"snapshot {answer.snapshot} is older than asked"
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
    """Return the records in the order asked, ties by ascending key."""
    records = sorted(records, key=lambda record: record.key)
    if order.field == "key":
        return sorted(records, key=lambda record: record.key, reverse=order.descending)
    return sorted(
        records,
        key=lambda record: record.fields[order.field],
        reverse=order.descending,
    )

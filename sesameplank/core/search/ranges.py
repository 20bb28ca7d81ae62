"""Ranges of positions in the key space, and how many positions they cover."""

from collections.abc import Iterable

import msgspec
import xxhash

KEY_SPACE = 65_536


class KeyRange(msgspec.Struct, frozen=True, order=True):
    """A half-open range of positions, with 0 <= start < end <= KEY_SPACE."""

    start: int
    end: int

    def contains(self, position: int) -> bool:
        """Return whether the position lies in the range."""
        return self.start <= position < self.end

    def covers(self, other: "KeyRange") -> bool:
        """Return whether this range contains all of the other range."""
        return self.start <= other.start and other.end <= self.end

    def overlaps(self, other: "KeyRange") -> bool:
        """Return whether the ranges share a position."""
        return self.start < other.end and other.start < self.end

    @property
    def size(self) -> int:
        """The number of positions."""
        return self.end - self.start


def get_position(key: str) -> int:
    """Return the position of a record key, by xxHash of its UTF-8 bytes."""
    return xxhash.xxh32_intdigest(key.encode()) % KEY_SPACE


def merge_ranges(ranges: Iterable[KeyRange]) -> tuple[KeyRange, ...]:
    """Return the sorted ranges, with adjacent ranges joined.

    Raise ValueError if two ranges overlap, since a position must never be counted
    twice.
    """
    merged: list[KeyRange] = []
    for item in sorted(ranges):
        if merged and item.start < merged[-1].end:
            raise ValueError(f"{item} overlaps {merged[-1]}; ranges must be disjoint")
        if merged and item.start == merged[-1].end:
            merged[-1] = KeyRange(merged[-1].start, item.end)
        else:
            merged.append(item)
    return tuple(merged)


def count_positions(ranges: Iterable[KeyRange]) -> int:
    """Return the number of positions in disjoint ranges."""
    return sum(item.size for item in ranges)

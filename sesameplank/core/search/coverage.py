"""The coverage of an answer: its key ranges, and why others are missing."""

from enum import Enum

import msgspec

from .ranges import KEY_SPACE, KeyRange, count_positions


class MissingReason(Enum):
    """Why a range is missing from an answer."""

    DEADLINE = "deadline"
    UNREACHABLE = "unreachable"
    OVERLOADED = "overloaded"
    NOT_OWNED = "not_owned"
    SNAPSHOT_GONE = "snapshot_gone"
    RETRY_BUDGET = "retry_budget"


class MissingRange(msgspec.Struct, frozen=True):
    """A half-open range of positions that an answer lacks."""

    start: int
    end: int
    reason: MissingReason

    @property
    def range(self) -> KeyRange:
        """The positions that are missing."""
        return KeyRange(self.start, self.end)


class Coverage(msgspec.Struct, frozen=True):
    """The ranges that an answer covers and those that it lacks."""

    covered: tuple[KeyRange, ...]
    missing: tuple[MissingRange, ...] = ()

    @property
    def fraction(self) -> float:
        """The fraction of the key space that is covered, from 0 to 1."""
        return count_positions(self.covered) / KEY_SPACE

    @property
    def is_whole(self) -> bool:
        """Return whether the whole key space is covered."""
        return count_positions(self.covered) == KEY_SPACE

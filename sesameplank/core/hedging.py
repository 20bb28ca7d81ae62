"""When a second copy of a read is sent, and how much extra load that may cost."""

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .query import Attempt


class HedgePolicy(ABC):
    """Decides on hedges and retries; the extension point for other policies."""

    @abstractmethod
    def get_hedge_time(self, attempt: "Attempt") -> float | None:
        """Return when the attempt should be hedged, in seconds, or None."""

    @abstractmethod
    def take_hedge(self) -> bool:
        """Take one hedge of one shard from the budget, or return False."""

    @abstractmethod
    def take_retry(self) -> bool:
        """Take one retry of one shard from the budget, or return False."""


class NoHedges(HedgePolicy):
    """Never hedges; retries without limit."""

    def get_hedge_time(self, attempt: "Attempt") -> float | None:
        """Return None: no attempt is hedged."""
        return None

    def take_hedge(self) -> bool:
        """Return False: there is no budget."""
        return False

    def take_retry(self) -> bool:
        """Return True: every retry is allowed."""
        return True

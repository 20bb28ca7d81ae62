"""Policies that decide when reads are hedged and retried, within budgets."""

from abc import ABC, abstractmethod

from ..common.latency import LatencyStatistics
from .attempts import Attempt
from .budgets import TokenBudget
from .counters import HedgeResult, PolicyCounters, RetryResult
from .coverage import MissingReason

MIN_HEDGE_DELAY_S = 0.002


class HedgePolicy(ABC):
    """Decides on hedges and retries; the extension point for other policies."""

    @abstractmethod
    def get_hedge_time(self, attempt: Attempt) -> float | None:
        """Return when the attempt should be hedged, in seconds, or None."""

    @abstractmethod
    def take_hedge(self, shards: int) -> bool:
        """Take one token for each of `shards` hedged shards, or return False."""

    @abstractmethod
    def take_retry(self, reason: MissingReason) -> bool:
        """Take one token for the retry of one shard, or return False.

        `reason` is why the shard has no result yet.
        """

    def note_first_shards(self, shards: int) -> None:
        """Record the shards of the first calls of a query, which earn budget."""
        return

    def note_hedge_won(self) -> None:
        """Record a hedge that was answered before the attempt that it duplicates."""
        return


class NoHedges(HedgePolicy):
    """Never hedges; retries without limit."""

    def get_hedge_time(self, attempt: Attempt) -> float | None:
        """Return None: no attempt is hedged."""
        return None

    def take_hedge(self, shards: int) -> bool:
        """Return False: there is no budget."""
        return False

    def take_retry(self, reason: MissingReason) -> bool:
        """Return True: every retry is allowed."""
        return True


class AdaptiveHedges(HedgePolicy):
    """Hedges after a quantile of the latency of recent calls, within budgets.

    The quantile is taken over calls with the same number of shards to all targets
    of the collection, so a slow target does not raise its own hedge delay. The
    budgets are shared by the whole process.
    """

    def __init__(
        self,
        quantile: float,
        latencies: LatencyStatistics,
        hedge_budget: TokenBudget,
        retry_budget: TokenBudget,
        counters: PolicyCounters,
    ) -> None:
        self.quantile = quantile
        self.latencies = latencies
        self.hedge_budget = hedge_budget
        self.retry_budget = retry_budget
        self.counters = counters

    def get_hedge_time(self, attempt: Attempt) -> float | None:
        """Return the send time plus the quantile in seconds, or None.

        None means that too few latencies are known or that hedging is disabled.
        """
        delay_s = self.latencies.get_quantile(
            attempt.collection, len(attempt.shards), self.quantile
        )
        if delay_s is None or self.hedge_budget.fraction <= 0.0:
            return None
        return attempt.sent_at + max(MIN_HEDGE_DELAY_S, delay_s)

    def take_hedge(self, shards: int) -> bool:
        """Take one token for each hedged shard from the process's hedge budget."""
        if not self.hedge_budget.take(shards):
            self.counters.hedges[HedgeResult.BUDGET] += 1
            return False
        self.counters.hedges[HedgeResult.SENT] += 1
        self.counters.extra_shards += shards
        return True

    def take_retry(self, reason: MissingReason) -> bool:
        """Take one token for one shard from the process's retry budget."""
        if not self.retry_budget.take():
            self.counters.retries[RetryResult.BUDGET] += 1
            return False
        self.counters.retries[RetryResult[reason.name]] += 1
        self.counters.extra_shards += 1
        return True

    def note_first_shards(self, shards: int) -> None:
        """Add to both budgets their fraction of the shards of first calls."""
        self.counters.first_shards += shards
        self.hedge_budget.earn(shards)
        self.retry_budget.earn(shards)

    def note_hedge_won(self) -> None:
        """Count a hedge that was answered first."""
        self.counters.hedges[HedgeResult.WON] += 1

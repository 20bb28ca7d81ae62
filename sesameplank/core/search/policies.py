"""The load policies of one process, and the measurements that they share."""

import random
from collections.abc import Sequence

from ...conf import Configuration
from ...ids import AttemptId, TargetId
from ..common.clock import Clock
from ..common.latency import LatencyStatistics
from ..common.outcomes import Failure, FailureReason
from ..limits.target_limits import TargetLimits
from ..published.versions import AcceptedConfiguration
from .attempts import Attempt, AttemptKind
from .budgets import TokenBudget
from .choice import LeastCostChooser, ReplicaChooser
from .counters import PolicyCounters
from .coverage import MissingRange
from .ejection import Ejector, ReplicaSet
from .hedging import AdaptiveHedges, HedgePolicy
from .messages import ShardStatus, TargetSearchAnswer
from .observer import CallObserver
from .plan import Plan
from .scoreboard import Scoreboard

HEDGE_BURST_TOKENS = 25.0
RETRY_BURST_TOKENS = 100.0
PROBE_ATTEMPT_ID = AttemptId(-1)


class LoadPolicies(CallObserver):
    """Owns the latencies, scoreboard, ejector and budgets of one process."""

    def __init__(
        self, clock: Clock, rng: random.Random, limits: TargetLimits | None = None
    ) -> None:
        self.clock = clock
        self.rng = rng
        self.counters = PolicyCounters()
        self.latencies = LatencyStatistics()
        self.scoreboard = Scoreboard(self.latencies)
        self.ejector = Ejector(self.scoreboard, self.counters, 0.0)
        self.hedge_budget = TokenBudget(0.0, HEDGE_BURST_TOKENS)
        self.retry_budget = TokenBudget(0.0, RETRY_BURST_TOKENS, RETRY_BURST_TOKENS)
        self.chooser: ReplicaChooser = LeastCostChooser(
            self.scoreboard, self.ejector, clock, rng, limits
        )
        self.known_targets: set[TargetId] = set()

    def apply(self, accepted: AcceptedConfiguration) -> None:
        """Apply the preset and the added and removed targets of a configuration.

        Records of targets and earned tokens are retained when the preset changes.
        """
        configuration = accepted.configuration
        policy = configuration.policy
        self.hedge_budget.set_fraction(policy.hedge_budget)
        self.retry_budget.set_fraction(policy.retry_budget)
        self.ejector.max_fraction = policy.max_ejected
        self.ejector.update_replicas(list_replica_sets(configuration))
        self.update_targets(set(configuration.targets))

    def update_targets(self, targets: set[TargetId]) -> None:
        """Ramp up added targets and remove the records of removed ones.

        The targets of the first configuration are not ramped up.
        """
        now = self.clock.now()
        if self.known_targets:
            for target in targets - self.known_targets:
                self.scoreboard.get(target).start_ramp(now)
        for target in self.known_targets - targets:
            self.scoreboard.remove(target)
        self.known_targets = targets

    def make_hedge_policy(self, pinned: AcceptedConfiguration) -> HedgePolicy:
        """Return the hedge policy of a query, based on its pinned preset."""
        return AdaptiveHedges(
            pinned.configuration.policy.hedge_quantile,
            self.latencies,
            self.hedge_budget,
            self.retry_budget,
            self.counters,
        )

    def note_sent(self, attempt: Attempt) -> None:
        """Record the call as in flight."""
        self.scoreboard.note_sent(
            attempt.target,
            id(attempt),
            attempt.collection,
            len(attempt.shards),
            attempt.sent_at,
        )

    def note_ended(self, attempt: Attempt) -> None:
        """Record the call as no longer in flight."""
        self.scoreboard.note_ended(attempt.target, id(attempt))

    def note_answer(
        self, attempt: Attempt, answer: TargetSearchAnswer, now: float
    ) -> None:
        """Record an answer's latency, or that the target shed a shard.

        An answer that refuses a shard is quick and does not indicate the latency
        of searches, so its latency is not recorded.
        """
        if any(result.status is ShardStatus.SHED for result in answer.results):
            self.scoreboard.note_shed(attempt.target, now)
            return
        if any(result.status is not ShardStatus.OK for result in answer.results):
            return
        slowness = self.scoreboard.note_answer(
            attempt.target,
            attempt.collection,
            len(attempt.shards),
            now - attempt.sent_at,
            now,
        )
        if slowness is not None:
            self.ejector.note_latency(attempt.target, slowness, now)

    def note_failure(self, attempt: Attempt, failure: Failure, now: float) -> None:
        """Record a failure; a timeout also gives a lower bound of the latency."""
        if failure.reason is FailureReason.TIMEOUT:
            self.note_latency_lower_bound(attempt, now)
        self.ejector.note_failure(attempt.target, failure, now)

    def note_cancelled(self, attempt: Attempt, now: float) -> None:
        """Record that the call was cancelled; this is not a failure."""
        self.note_latency_lower_bound(attempt, now)

    def note_latency_lower_bound(self, attempt: Attempt, now: float) -> None:
        """Record the elapsed time of an unanswered call as a lower latency bound."""
        slowness = self.scoreboard.note_latency_lower_bound(
            attempt.target,
            attempt.collection,
            len(attempt.shards),
            now - attempt.sent_at,
            now,
        )
        if slowness is not None:
            self.ejector.note_latency(attempt.target, slowness, now)

    def take_probes(self, plan: Plan, now: float) -> list[Attempt]:
        """Return due probes of the plan's ejected targets, and mark them as started."""
        if not self.ejector.ejected:
            return []
        probes = []
        for shard in plan.shards:
            for target in shard.replicas:
                if not self.ejector.take_probe(target, now):
                    continue
                self.counters.extra_shards += 1
                probes.append(
                    Attempt(
                        PROBE_ATTEMPT_ID,
                        AttemptKind.PROBE,
                        plan.collection,
                        target,
                        (shard.id,),
                        now,
                    )
                )
        return probes

    def note_probe(
        self, attempt: Attempt, outcome: TargetSearchAnswer | Failure, now: float
    ) -> None:
        """Record the outcome of a probe of an ejected target."""
        slowness = None
        if is_served(outcome):
            slowness = self.latencies.get_relative_latency(
                attempt.collection, len(attempt.shards), now - attempt.sent_at
            )
        self.ejector.note_probe(attempt.target, slowness, now)

    def note_missing(self, missing: Sequence[MissingRange]) -> None:
        """Count the missing ranges of an answer by reason."""
        for item in missing:
            self.counters.missing[item.reason] += 1


def is_served(outcome: TargetSearchAnswer | Failure) -> bool:
    """Return whether a target served every shard of a call."""
    return not isinstance(outcome, Failure) and all(
        result.status is ShardStatus.OK for result in outcome.results
    )


def list_replica_sets(configuration: Configuration) -> list[ReplicaSet]:
    """Return the replicas of every shard of every collection."""
    return [
        ReplicaSet(name, shard.replicas)
        for name, collection in configuration.collections.items()
        for shard in collection.shards
    ]

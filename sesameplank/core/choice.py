"""Choice of the replica that serves a shard."""

import random
from abc import ABC, abstractmethod
from collections.abc import Sequence

from ..ids import TargetId
from .clock import Clock
from .ejection import Ejector
from .scoreboard import Scoreboard


class ReplicaChooser(ABC):
    """Chooses among replicas; the extension point for other policies."""

    @abstractmethod
    def choose_replica(
        self, candidates: Sequence[TargetId], already_chosen: dict[TargetId, int]
    ) -> TargetId:
        """Return one of the candidates, which are never empty.

        `already_chosen` counts the shards that the same query sends to each
        target, so that shards for one target can travel together.
        """

    def is_usable(self, target: TargetId) -> bool:
        """Tell whether a second copy of a read should be sent to the target."""
        return True


class FirstReplicaChooser(ReplicaChooser):
    """Always takes the first replica, as the naive version does."""

    def choose_replica(
        self, candidates: Sequence[TargetId], already_chosen: dict[TargetId, int]
    ) -> TargetId:
        """Return the first candidate."""
        return candidates[0]


class RandomReplicaChooser(ReplicaChooser):
    """Takes a random replica, but joins a call that the query already makes."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng

    def choose_replica(
        self, candidates: Sequence[TargetId], already_chosen: dict[TargetId, int]
    ) -> TargetId:
        """Return a candidate that the query already calls, else a random one."""
        joined = [target for target in candidates if target in already_chosen]
        return self.rng.choice(joined or list(candidates))


class LeastCostChooser(ReplicaChooser):
    """Takes the replica whose next call is expected to end first.

    The expectation comes from this process's own calls in flight and their
    latency. Ejected targets are taken only when every candidate is ejected, and
    a target that ramps up is weighed in only as often as its weight says. A
    call that the query already makes to a candidate is joined, since shards of
    one target travel together and each further call costs processor time.
    """

    def __init__(
        self,
        scoreboard: Scoreboard,
        ejector: Ejector,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.scoreboard = scoreboard
        self.ejector = ejector
        self.clock = clock
        self.rng = rng

    def choose_replica(
        self, candidates: Sequence[TargetId], already_chosen: dict[TargetId, int]
    ) -> TargetId:
        """Return the joined or cheapest candidate, ties at random."""
        if len(candidates) == 1:
            return candidates[0]
        for target in candidates:
            if target in already_chosen and not self.ejector.contains(target):
                return target
        now = self.clock.now()
        serving = [item for item in candidates if not self.ejector.is_failing(item)]
        warm = self.get_warm(serving or candidates, now)
        costs = [(self.get_cost(item, now), self.rng.random(), item) for item in warm]
        return min(costs)[-1]

    def get_cost(self, target: TargetId, now: float) -> float:
        """Return the cost of one more call, in multiples of the median."""
        if self.ejector.contains(target):
            return self.ejector.get_overflow_cost(target)
        return self.scoreboard.get(target).get_cost(now)

    def is_usable(self, target: TargetId) -> bool:
        """Tell whether the target serves; hedges to an ejected one are wasted."""
        return not self.ejector.contains(target)

    def get_warm(
        self, candidates: Sequence[TargetId], now: float
    ) -> Sequence[TargetId]:
        """Return the candidates that are due for work, or all if none is."""
        warm = [
            item
            for item in candidates
            if (weight := self.scoreboard.get(item).get_weight(now)) >= 1.0
            or self.rng.random() < weight
        ]
        return warm or candidates

"""Choice of the replica that serves a shard."""

import random
from abc import ABC, abstractmethod
from collections.abc import Sequence

from ...ids import TargetId
from ..common.clock import Clock
from ..limits.limit_parts import WholePart
from ..limits.target_limits import NEVER, TargetLimits
from .ejection import Ejector
from .scoreboard import Scoreboard


class ReplicaChooser(ABC):
    """Base of policies that choose among replicas; the extension point for others."""

    @abstractmethod
    def choose_replica(
        self, candidates: Sequence[TargetId], already_chosen: dict[TargetId, int]
    ) -> TargetId:
        """Return one of the candidates; there is at least one.

        `already_chosen` maps the targets chosen for other shards of the same query
        to their number of shards, so that one call can carry several shards.
        """

    def can_receive_hedge(self, target: TargetId) -> bool:
        """Return whether a read may be hedged to the target."""
        return True


class FirstReplicaChooser(ReplicaChooser):
    """Always chooses the first replica, as the naive baseline does."""

    def choose_replica(
        self, candidates: Sequence[TargetId], already_chosen: dict[TargetId, int]
    ) -> TargetId:
        """Return the first candidate."""
        return candidates[0]


class RandomReplicaChooser(ReplicaChooser):
    """Chooses a random replica, but prefers those already chosen for other shards."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng

    def choose_replica(
        self, candidates: Sequence[TargetId], already_chosen: dict[TargetId, int]
    ) -> TargetId:
        """Return a random candidate, of those already chosen if there are any."""
        preferred = [target for target in candidates if target in already_chosen]
        return self.rng.choice(preferred or list(candidates))


class LeastCostChooser(ReplicaChooser):
    """Chooses the replica whose next call is expected to end first.

    The expectation is based on the calls in flight of this process and their
    latency. A target ejected as failing is chosen only if every candidate is; a
    target ejected as slow takes part at its overflow cost. A target that is
    ramping up is considered with a probability equal to its weight. A candidate
    that was already chosen for another shard and is not ejected comes first, since
    one call can carry several shards and each further call costs processor time.
    """

    def __init__(
        self,
        scoreboard: Scoreboard,
        ejector: Ejector,
        clock: Clock,
        rng: random.Random,
        limits: TargetLimits | None = None,
    ) -> None:
        self.scoreboard = scoreboard
        self.ejector = ejector
        self.limits = limits or TargetLimits(WholePart())
        self.clock = clock
        self.rng = rng

    def choose_replica(
        self, candidates: Sequence[TargetId], already_chosen: dict[TargetId, int]
    ) -> TargetId:
        """Return a candidate already chosen, or the cheapest; ties are random.

        Candidates whose rate limit leaves no room are chosen only if all are such.
        """
        candidates = [item for item in candidates if self.has_room(item)] or candidates
        if len(candidates) == 1:
            return candidates[0]
        for target in candidates:
            if target in already_chosen and not self.ejector.is_ejected(target):
                return target
        now = self.clock.now()
        serving = [item for item in candidates if not self.ejector.is_failing(item)]
        selected = self.filter_by_ramp_weight(serving or candidates, now)
        costs = [
            (self.get_cost(item, now), self.rng.random(), item) for item in selected
        ]
        return min(costs)[-1]

    def get_cost(self, target: TargetId, now: float) -> float:
        """Return the cost of one more call, in multiples of the median."""
        if self.ejector.is_ejected(target):
            return self.ejector.get_overflow_cost(target)
        return self.scoreboard.get(target).get_cost(now)

    def can_receive_hedge(self, target: TargetId) -> bool:
        """Return whether the target is not ejected, and its rate limit leaves room.

        A hedge to an ejected target would be wasted.
        """
        return not self.ejector.is_ejected(target) and self.has_room(target)

    def has_room(self, target: TargetId) -> bool:
        """Return whether the target's rate limit leaves room for a call, here or not.

        A target of whose limit this process has no part is called through others.
        """
        return self.limits.get_wait_s(target, self.clock.now()) in (0.0, NEVER)

    def filter_by_ramp_weight(
        self, candidates: Sequence[TargetId], now: float
    ) -> Sequence[TargetId]:
        """Return each candidate with a probability equal to its ramp-up weight.

        Return all candidates if this selects none.
        """
        selected = [
            item
            for item in candidates
            if (weight := self.scoreboard.get(item).get_weight(now)) >= 1.0
            or self.rng.random() < weight
        ]
        return selected or candidates

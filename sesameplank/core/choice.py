"""Choice of the replica that serves a shard."""

import random
from abc import ABC, abstractmethod
from collections.abc import Sequence

from ..ids import TargetId


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

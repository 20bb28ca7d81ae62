"""Scenarios: how much load comes when, and what goes wrong meanwhile."""

from abc import ABC, abstractmethod

from ..ids import TargetId
from ..standins.control import SlowTargets, StartTargets, StopTargets
from .arrivals import Phase
from .capacity import BOOKING_SHARE
from .figures import Window
from .stage import Stage

ORDINARY_LOAD = 0.5
CREST_LOAD = 2.0
SLOWED_SHARE = 0.1
SLOW_FACTOR = 8.0
LOST_SHARE = 0.1


class Scenario(ABC):
    """One experiment. Times are shares of the measured seconds, 0 to 1.

    `window` is the stretch that `crest_service` and `first_class_service` count.
    """

    name = ""
    booking_share = BOOKING_SHARE
    proxied_targets = False
    proxied_peers = False
    noise = True
    window = (0.0, 1.0)
    loads: tuple[tuple[float, float], ...] = ((1.0, ORDINARY_LOAD),)

    def get_phases(self, seconds: float) -> tuple[Phase, ...]:
        """Return the load; `loads` holds pairs of an end and a load."""
        phases = []
        start_s = 0.0
        for end, load in self.loads:
            phases.append(Phase(start_s, end * seconds, load))
            start_s = end * seconds
        return tuple(phases)

    def get_window(self, seconds: float) -> Window:
        """Return the window of interest."""
        return Window(self.window[0] * seconds, self.window[1] * seconds)

    @abstractmethod
    def run(self, stage: Stage) -> None:
        """Bring the scenario's faults about, in time."""


class Steady(Scenario):
    """Half load and no fault."""

    name = "steady"

    def run(self, stage: Stage) -> None:
        """Do nothing."""


class Slowed(Scenario):
    """Half load; from a quarter on, a tenth of all targets is much slower."""

    name = "slowed"
    window = (0.25, 1.0)

    def run(self, stage: Stage) -> None:
        """Slow some targets of every large service down."""
        stage.wait_until(0.25)
        stage.steer(SlowTargets(choose_one_a_pair(stage, SLOWED_SHARE), SLOW_FACTOR))


class Crest(Scenario):
    """Load jumps from a third to twice the capacity for half the time."""

    name = "crest"
    window = (0.25, 0.75)
    loads = ((0.25, 0.33), (0.75, CREST_LOAD), (1.0, 0.33))

    def run(self, stage: Stage) -> None:
        """Do nothing; the load is the fault."""


class ReplicaLoss(Scenario):
    """Half load; a tenth of all targets dies and comes back."""

    name = "replica-loss"
    window = (0.25, 0.75)

    def run(self, stage: Stage) -> None:
        """Kill one replica of some shards, and restore it later."""
        lost = choose_one_a_pair(stage, LOST_SHARE)
        stage.wait_until(0.25)
        stage.steer(StopTargets(lost))
        stage.wait_until(0.75)
        stage.steer(StartTargets(lost))


def choose_one_a_pair(stage: Stage, share: float) -> tuple[TargetId, ...]:
    """Return a share of every service's targets, at most one replica of a shard."""
    chosen: list[TargetId] = []
    for collection in stage.configuration.collections.values():
        pairs = list(dict.fromkeys(shard.replicas for shard in collection.shards))
        count = round(share * 2 * len(pairs))
        chosen += [stage.rng.choice(pair) for pair in stage.rng.sample(pairs, count)]
    return tuple(chosen)


SCENARIOS: dict[str, Scenario] = {
    item.name: item for item in (Steady(), Slowed(), Crest(), ReplicaLoss())
}

"""Scenarios: the load over time and the faults that are injected meanwhile."""

from abc import ABC, abstractmethod

from ..conf import PresetName
from ..standins import control
from ..standins.proxy import Faults
from .arrivals import Phase
from .capacity import BOOKING_SHARE
from .figures import Window
from .scenario_context import ScenarioContext
from .storm import draw_connection_faults, run_storm

ORDINARY_LOAD = 0.5
CREST_LOAD = 2.0
SLOWED_SHARE = 0.1
SLOW_FACTOR = 8.0
LOST_SHARE = 0.1
LEAVING_SHARE = 0.2
PAUSE_S = 4.0
RESTART_COUNT = 2
BOOKINGS_SCENARIO_LOAD = 0.26
BOOKINGS_SCENARIO_SHARE = 0.6
FAULT_INTERVAL_SHARE = 0.05


class Scenario(ABC):
    """The load and the faults of one experiment.

    Times are shares of the measured part, from 0 to 1. `loads` holds pairs of the
    end of a phase and its load, a multiple of the first service's capacity.
    `window` is the interval that `crest_service` and `first_class_service` cover.
    """

    name = ""
    booking_share = BOOKING_SHARE
    proxied_targets = False
    proxied_peers = False
    noise = True
    window = (0.0, 1.0)
    loads: tuple[tuple[float, float], ...] = ((1.0, ORDINARY_LOAD),)

    def get_phases(self, seconds: float) -> tuple[Phase, ...]:
        """Return the phases of constant load of a measured part of this length.

        Times are relative to the start of the measured part.
        """
        phases = []
        start_s = 0.0
        for end, load in self.loads:
            phases.append(Phase(start_s, end * seconds, load))
            start_s = end * seconds
        return tuple(phases)

    def get_window(self, seconds: float) -> Window:
        """Return the window, relative to the start of the measured part."""
        return Window(self.window[0] * seconds, self.window[1] * seconds)

    @abstractmethod
    def run(self, context: ScenarioContext) -> None:
        """Inject the scenario's faults at their times."""


class Steady(Scenario):
    """Half load without faults."""

    name = "steady"

    def run(self, context: ScenarioContext) -> None:
        """Do nothing."""


class Slowed(Scenario):
    """Half load; after a quarter of the run, a tenth of all targets is very slow."""

    name = "slowed"
    window = (0.25, 1.0)

    def run(self, context: ScenarioContext) -> None:
        """Slow down some targets of every service that is large enough."""
        slowed = context.choose_targets(SLOWED_SHARE)
        context.wait_until(0.25)
        context.send_command(control.SlowTargets(slowed, SLOW_FACTOR))


class Crest(Scenario):
    """A third of the capacity, but twice the capacity in the middle half of the run."""

    name = "crest"
    window = (0.25, 0.75)
    loads = ((0.25, 0.33), (0.75, CREST_LOAD), (1.0, 0.33))

    def run(self, context: ScenarioContext) -> None:
        """Do nothing, because the overload itself is the fault."""


class ReplicaLoss(Scenario):
    """Half load; a tenth of all targets is killed and started again."""

    name = "replica-loss"
    window = (0.25, 0.75)

    def run(self, context: ScenarioContext) -> None:
        """Kill one replica of some shards and start it again later."""
        lost = context.choose_targets(LOST_SHARE)
        context.wait_until(0.25)
        context.send_command(control.StopTargets(lost))
        context.wait_until(0.75)
        context.send_command(control.StartTargets(lost))


class Drain(Scenario):
    """Half load; some targets report that they are leaving.

    The configuration marks other targets as leaving.
    """

    name = "drain"
    window = (0.1, 1.0)

    def run(self, context: ScenarioContext) -> None:
        """Drain targets in both ways and stop them later."""
        leaving = context.choose_targets(LEAVING_SHARE)
        context.wait_until(0.1)
        context.send_command(control.DrainTargets(leaving[::2]))
        context.wait_until(0.2)
        context.send_command(control.LeaveTargets(leaving[1::2]))
        context.wait_until(0.8)
        context.send_command(control.StopTargets(leaving))


class RollingRestart(Scenario):
    """Half load; entries are stopped gracefully and started again, one by one."""

    name = "rolling-restart"

    def run(self, context: ScenarioContext) -> None:
        """Restart some entries."""
        for number, entry in enumerate(context.choose_entries(RESTART_COUNT)):
            context.wait_until(0.1 + 0.45 * number)
            context.stop_entry(entry)
            context.start_entry(entry)


class StaleConfig(Scenario):
    """Half load; the configuration service answers an old version, then nothing.

    An entry is killed and started again meanwhile; it must not assume that the
    old version is the newest.
    """

    name = "stale-config"

    def run(self, context: ScenarioContext) -> None:
        """Change the preset, then freeze the service at an old version and stop it."""
        (entry,) = context.choose_entries(1)
        context.wait_until(0.05)
        context.send_command(control.SetPreset(PresetName.PEAK))
        context.wait_until(0.2)
        context.send_command(control.SetPlatform(frozen_version=1))
        context.kill_entry(entry)
        context.wait_until(0.25)
        entry.start()
        context.wait_until(0.5)
        context.send_command(control.SetPlatform(down=True, frozen_version=1))
        context.wait_until(0.7)
        context.send_command(control.SetPlatform())
        context.send_command(control.SetPreset(PresetName.ORDINARY))


class Repartition(Scenario):
    """Half load; shards are split and moved while queries run."""

    name = "repartition"

    def run(self, context: ScenarioContext) -> None:
        """Split two shards and move two others, alternately."""
        shards = context.configuration.collections[context.first_collection].shards
        replicas = list(dict.fromkeys(shard.replicas for shard in shards))
        for step in range(2):
            split, moved = context.rng.sample(shards[step::2], 2)
            context.wait_until(0.1 + 0.4 * step)
            context.send_command(control.SplitShard(context.first_collection, split.id))
            context.wait_until(0.3 + 0.4 * step)
            other = context.get_next_pair_in_group(replicas.index(moved.replicas))
            context.send_command(
                control.MoveShard(context.first_collection, moved.id, other)
            )


class Partition(Scenario):
    """Half load; a network partition divides the entries into two serving groups."""

    name = "partition"
    proxied_peers = True

    def run(self, context: ScenarioContext) -> None:
        """Partition the entries, change the preset meanwhile, and end the partition."""
        left, right = context.split_entries()
        context.wait_until(0.2)
        context.send_command(control.PartitionEntries(left, right))
        context.wait_until(0.4)
        context.send_command(control.SetPreset(PresetName.PEAK))
        context.wait_until(0.7)
        context.send_command(control.HealEntries())


class PausedEntry(Scenario):
    """Half load; an entry's process is suspended for some seconds."""

    name = "paused-entry"

    def run(self, context: ScenarioContext) -> None:
        """Suspend an entry right after a change of the preset."""
        (entry,) = context.choose_entries(1)
        context.wait_until(0.2)
        context.send_command(control.SetPreset(PresetName.PEAK))
        context.pause_entry(entry, PAUSE_S)


class Bookings(Scenario):
    """About 2,000 bookings in 20 s while connections to targets break."""

    name = "bookings"
    booking_share = BOOKINGS_SCENARIO_SHARE
    proxied_targets = True
    loads = ((1.0, BOOKINGS_SCENARIO_LOAD),)

    def run(self, context: ScenarioContext) -> None:
        """Periodically replace the connection faults by others at random targets."""
        targets = list(context.configuration.targets)
        share = 0.05
        while share < 1.0:
            context.wait_until(share)
            chosen = context.rng.sample(targets, len(targets) // 4)
            context.send_command(control.SetTargetFaults(Faults()))
            faults = draw_connection_faults(context)
            context.send_command(control.SetTargetFaults(faults, tuple(chosen)))
            share += FAULT_INTERVAL_SHARE
        context.send_command(control.SetTargetFaults(Faults()))


class Storm(Scenario):
    """Half load; several concurrent faults, drawn from the seed."""

    name = "storm"
    proxied_targets = True
    proxied_peers = True

    def run(self, context: ScenarioContext) -> None:
        """Inject and remove each drawn fault while others are active."""
        run_storm(context)


SCENARIOS: dict[str, Scenario] = {
    item.name: item
    for item in (
        Steady(),
        Crest(),
        Slowed(),
        ReplicaLoss(),
        Drain(),
        RollingRestart(),
        StaleConfig(),
        Repartition(),
        Partition(),
        PausedEntry(),
        Bookings(),
        Storm(),
    )
}

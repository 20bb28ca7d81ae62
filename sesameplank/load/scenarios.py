"""Scenarios: how much load comes when, and what goes wrong meanwhile."""

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
BOOKINGS_LOAD = 0.26
BOOKINGS_SHARE = 0.6
FAULT_INTERVAL_SHARE = 0.05


class Scenario(ABC):
    """One experiment. Times are shares of the measured seconds, 0 to 1.

    `loads` holds pairs of an end and a load, a share of the first service's
    capacity. `window` is the stretch that `crest_service` and
    `first_class_service` count.
    """

    name = ""
    booking_share = BOOKING_SHARE
    proxied_targets = False
    proxied_peers = False
    noise = True
    window = (0.0, 1.0)
    loads: tuple[tuple[float, float], ...] = ((1.0, ORDINARY_LOAD),)

    def get_phases(self, seconds: float) -> tuple[Phase, ...]:
        """Return the stretches of constant load."""
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
    def run(self, context: ScenarioContext) -> None:
        """Bring the scenario's faults about, in time."""


class Steady(Scenario):
    """Half load and no fault."""

    name = "steady"

    def run(self, context: ScenarioContext) -> None:
        """Do nothing."""


class Slowed(Scenario):
    """Half load; from a quarter on, a tenth of all targets is much slower."""

    name = "slowed"
    window = (0.25, 1.0)

    def run(self, context: ScenarioContext) -> None:
        """Slow some targets of every large service down."""
        slowed = context.choose_targets(SLOWED_SHARE)
        context.wait_until(0.25)
        context.send_command(control.SlowTargets(slowed, SLOW_FACTOR))


class Crest(Scenario):
    """Load jumps from a third to twice the capacity for half the time."""

    name = "crest"
    window = (0.25, 0.75)
    loads = ((0.25, 0.33), (0.75, CREST_LOAD), (1.0, 0.33))

    def run(self, context: ScenarioContext) -> None:
        """Do nothing; the load is the fault."""


class ReplicaLoss(Scenario):
    """Half load; a tenth of all targets dies and comes back."""

    name = "replica-loss"
    window = (0.25, 0.75)

    def run(self, context: ScenarioContext) -> None:
        """Kill one replica of some shards, and start it again later."""
        lost = context.choose_targets(LOST_SHARE)
        context.wait_until(0.25)
        context.send_command(control.StopTargets(lost))
        context.wait_until(0.75)
        context.send_command(control.StartTargets(lost))


class Drain(Scenario):
    """Half load; some targets say that they leave, others are said to leave."""

    name = "drain"
    window = (0.1, 1.0)

    def run(self, context: ScenarioContext) -> None:
        """Let targets leave in both ways, and end them later."""
        leaving = context.choose_targets(LEAVING_SHARE)
        context.wait_until(0.1)
        context.send_command(control.DrainTargets(leaving[::2]))
        context.wait_until(0.2)
        context.send_command(control.LeaveTargets(leaving[1::2]))
        context.wait_until(0.8)
        context.send_command(control.StopTargets(leaving))


class RollingRestart(Scenario):
    """Half load; entries are stopped as planned and started, one by one."""

    name = "rolling-restart"

    def run(self, context: ScenarioContext) -> None:
        """Replace some entries."""
        for number, entry in enumerate(context.choose_entries(RESTART_COUNT)):
            context.wait_until(0.1 + 0.45 * number)
            context.stop_entry(entry)
            context.start_entry(entry)


class StaleConfig(Scenario):
    """Half load; the service answers an old version, then nothing.

    An entry is killed and started anew meanwhile, and must not take the old
    version for the newest.
    """

    name = "stale-config"

    def run(self, context: ScenarioContext) -> None:
        """Change the preset, then let the service fall behind and go down."""
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
        """Split two shards and move two others."""
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
    """Half load; the entries are cut into two groups, which both serve."""

    name = "partition"
    proxied_peers = True

    def run(self, context: ScenarioContext) -> None:
        """Cut the entries apart, change the preset meanwhile, and heal."""
        left, right = context.split_entries()
        context.wait_until(0.2)
        context.send_command(control.PartitionEntries(left, right))
        context.wait_until(0.4)
        context.send_command(control.SetPreset(PresetName.PEAK))
        context.wait_until(0.7)
        context.send_command(control.HealEntries())


class PausedEntry(Scenario):
    """Half load; an entry's process stands still for seconds, and wakes up."""

    name = "paused-entry"

    def run(self, context: ScenarioContext) -> None:
        """Pause an entry over a change of the configuration."""
        (entry,) = context.choose_entries(1)
        context.wait_until(0.2)
        context.send_command(control.SetPreset(PresetName.PEAK))
        context.pause_entry(entry, PAUSE_S)


class Bookings(Scenario):
    """About 2,000 bookings in 20 s while connections to targets break."""

    name = "bookings"
    booking_share = BOOKINGS_SHARE
    proxied_targets = True
    loads = ((1.0, BOOKINGS_LOAD),)

    def run(self, context: ScenarioContext) -> None:
        """Put other faults before other targets, again and again."""
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
    """Half load; several faults at once, drawn from the seed."""

    name = "storm"
    proxied_targets = True
    proxied_peers = True

    def run(self, context: ScenarioContext) -> None:
        """Bring each drawn fault about and lift it, overlapping others."""
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

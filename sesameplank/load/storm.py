"""Random faults that are drawn from the seed and overlap in time.

The constants for start and duration are shares of the measured part of the run.
"""

from abc import ABC, abstractmethod

import gevent

from ..conf import PresetName
from ..standins import control
from ..standins.proxy import Direction, Faults
from .scenario_context import ScenarioContext

STORM_FAULT_COUNT = 6
MIN_START_SHARE = 0.1
MAX_START_SHARE = 0.6
MIN_DURATION_SHARE = 0.1
MAX_DURATION_SHARE = 0.3
PAUSE_S = 2.0


def draw_connection_faults(context: ScenarioContext) -> Faults:
    """Return a random delay and one random kind of other connection fault."""
    rng = context.rng
    kind = rng.randrange(5)
    return Faults(
        refuse=kind == 0,
        delay_s=rng.uniform(0.0, 0.02),
        request_reset_rate=0.1 if kind == 1 else 0.0,
        answer_reset_rate=0.1 if kind == 2 else 0.0,
        reset_at_byte=rng.randint(0, 500) if kind == 3 else None,
        stalled=(Direction.ANSWER,) if kind == 4 else (),
    )


class StormFault(ABC):
    """One kind of fault, whose parameters are drawn from the seed."""

    def __init__(self, context: ScenarioContext) -> None:
        self.context = context

    @abstractmethod
    def begin(self) -> None:
        """Inject the fault."""

    @abstractmethod
    def end(self) -> None:
        """Remove the fault."""


class SlowFault(StormFault):
    """Some targets are slow."""

    def __init__(self, context: ScenarioContext) -> None:
        super().__init__(context)
        self.targets = context.choose_targets(0.1)
        self.factor = context.rng.uniform(3.0, 10.0)

    def begin(self) -> None:
        """Slow down the targets."""
        self.context.send_command(control.SlowTargets(self.targets, self.factor))

    def end(self) -> None:
        """Restore the usual speed of the targets."""
        self.context.send_command(control.SlowTargets(self.targets, 1.0))


class LossFault(StormFault):
    """Some targets are killed, and serve slowly right after their restart."""

    def __init__(self, context: ScenarioContext) -> None:
        super().__init__(context)
        self.targets = context.choose_targets(0.1)

    def begin(self) -> None:
        """Kill the targets."""
        self.context.send_command(control.StopTargets(self.targets))

    def end(self) -> None:
        """Start the targets again."""
        self.context.send_command(control.StartTargets(self.targets))


class ConnectionFault(StormFault):
    """Connections to some targets are slow, and may be refused, break or stall."""

    def __init__(self, context: ScenarioContext) -> None:
        super().__init__(context)
        self.targets = context.choose_targets(0.1)
        self.faults = draw_connection_faults(context)

    def begin(self) -> None:
        """Inject the faults into the connections."""
        self.context.send_command(control.SetTargetFaults(self.faults, self.targets))

    def end(self) -> None:
        """Remove the faults from the connections."""
        self.context.send_command(control.SetTargetFaults(Faults(), self.targets))


class PartitionFault(StormFault):
    """A network partition divides the entries into two groups."""

    def __init__(self, context: ScenarioContext) -> None:
        super().__init__(context)
        self.halves = context.split_entries()

    def begin(self) -> None:
        """Partition the entries."""
        self.context.send_command(control.PartitionEntries(*self.halves))

    def end(self) -> None:
        """End the partition."""
        self.context.send_command(control.HealEntries())


class PlatformFault(StormFault):
    """The configuration service is down or stale after a change of the preset."""

    def __init__(self, context: ScenarioContext) -> None:
        super().__init__(context)
        self.down = context.rng.random() < 0.5
        self.preset = context.rng.choice(list(PresetName))

    def begin(self) -> None:
        """Change the preset, then stop the service or freeze it at an old version."""
        self.context.send_command(control.SetPreset(self.preset))
        self.context.send_command(control.SetPlatform(down=self.down, frozen_version=1))

    def end(self) -> None:
        """Restore the service."""
        self.context.send_command(control.SetPlatform())


class PauseFault(StormFault):
    """An entry's process is suspended for some seconds."""

    def __init__(self, context: ScenarioContext) -> None:
        super().__init__(context)
        (self.entry,) = context.choose_entries(1)

    def begin(self) -> None:
        """Suspend the entry and return when it runs again."""
        self.context.pause_entry(self.entry, PAUSE_S)

    def end(self) -> None:
        """Do nothing, because `begin` has already resumed the entry."""


class KillFault(StormFault):
    """An entry is killed and started again."""

    def __init__(self, context: ScenarioContext) -> None:
        super().__init__(context)
        (self.entry,) = context.choose_entries(1)

    def begin(self) -> None:
        """Kill the entry's process."""
        self.context.kill_entry(self.entry)

    def end(self) -> None:
        """Start the entry again without waiting until it is ready.

        It cannot become ready before it obtains its configuration.
        """
        self.entry.start()


FAULT_KINDS: tuple[type[StormFault], ...] = (
    SlowFault,
    LossFault,
    ConnectionFault,
    PartitionFault,
    PlatformFault,
    PauseFault,
    KillFault,
)


def run_storm(context: ScenarioContext) -> None:
    """Draw faults with their times, run them concurrently and wait for all."""
    rng = context.rng
    greenlets = []
    for kind in rng.sample(FAULT_KINDS, STORM_FAULT_COUNT):
        start_share = rng.uniform(MIN_START_SHARE, MAX_START_SHARE)
        duration_share = rng.uniform(MIN_DURATION_SHARE, MAX_DURATION_SHARE)
        greenlets.append(
            gevent.spawn(run_fault, context, kind(context), start_share, duration_share)
        )
    try:
        gevent.joinall(greenlets, raise_error=True)
    finally:
        gevent.killall(greenlets)


def run_fault(
    context: ScenarioContext,
    fault: StormFault,
    start_share: float,
    duration_share: float,
) -> None:
    """Inject a fault at its start and remove it after its duration."""
    context.wait_until(start_share)
    fault.begin()
    context.wait_until(start_share + duration_share)
    fault.end()

"""Faults drawn from the seed, several of them in force at once."""

from abc import ABC, abstractmethod

import gevent

from ..conf import PresetName
from ..standins import control
from ..standins.proxy import Direction, Faults
from .stage import Stage

FAULTS_IN_A_STORM = 6
MIN_SHARE = 0.1
MAX_SHARE = 0.6
MIN_LENGTH = 0.1
MAX_LENGTH = 0.3
PAUSE_S = 2.0


def draw_faults(stage: Stage) -> Faults:
    """Return faults of connections, of one kind or two."""
    rng = stage.rng
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
    """One kind of fault, made from the seed, begun and ended."""

    def __init__(self, stage: Stage) -> None:
        self.stage = stage

    @abstractmethod
    def begin(self) -> None:
        """Bring the fault about."""

    @abstractmethod
    def end(self) -> None:
        """Lift the fault."""


class SlowFault(StormFault):
    """Some targets are slower."""

    def __init__(self, stage: Stage) -> None:
        super().__init__(stage)
        self.targets = stage.choose_targets(0.1)
        self.factor = stage.rng.uniform(3.0, 10.0)

    def begin(self) -> None:
        """Slow targets down."""
        self.stage.steer(control.SlowTargets(self.targets, self.factor))

    def end(self) -> None:
        """Restore them."""
        self.stage.steer(control.SlowTargets(self.targets, 1.0))


class LossFault(StormFault):
    """Some targets die and come back cold."""

    def __init__(self, stage: Stage) -> None:
        super().__init__(stage)
        self.targets = stage.choose_targets(0.1)

    def begin(self) -> None:
        """Kill targets."""
        self.stage.steer(control.StopTargets(self.targets))

    def end(self) -> None:
        """Start them again."""
        self.stage.steer(control.StartTargets(self.targets))


class ConnectionFault(StormFault):
    """Connections to some targets break or stall."""

    def __init__(self, stage: Stage) -> None:
        super().__init__(stage)
        self.targets = stage.choose_targets(0.1)
        self.faults = draw_faults(stage)

    def begin(self) -> None:
        """Put the faults in force."""
        self.stage.steer(control.SetTargetFaults(self.faults, self.targets))

    def end(self) -> None:
        """Lift them."""
        self.stage.steer(control.SetTargetFaults(Faults(), self.targets))


class PartitionFault(StormFault):
    """The entries are cut into two groups."""

    def __init__(self, stage: Stage) -> None:
        super().__init__(stage)
        self.halves = stage.split_entries()

    def begin(self) -> None:
        """Cut the entries apart."""
        self.stage.steer(control.PartitionEntries(*self.halves))

    def end(self) -> None:
        """Heal the cut."""
        self.stage.steer(control.HealEntries())


class PlatformFault(StormFault):
    """The configuration service is down or stale, and a preset changes."""

    def __init__(self, stage: Stage) -> None:
        super().__init__(stage)
        self.down = stage.rng.random() < 0.5
        self.preset = stage.rng.choice(list(PresetName))

    def begin(self) -> None:
        """Change the preset, then let the service fail."""
        self.stage.steer(control.SetPreset(self.preset))
        self.stage.steer(control.SetPlatform(down=self.down, frozen_version=1))

    def end(self) -> None:
        """Let the service answer."""
        self.stage.steer(control.SetPlatform())


class PauseFault(StormFault):
    """An entry's process stands still for seconds."""

    def __init__(self, stage: Stage) -> None:
        super().__init__(stage)
        (self.entry,) = stage.choose_entries(1)

    def begin(self) -> None:
        """Pause the entry and wake it up."""
        self.stage.pause_entry(self.entry, PAUSE_S)

    def end(self) -> None:
        """Do nothing; the entry runs again."""


class KillFault(StormFault):
    """An entry is killed and started again."""

    def __init__(self, stage: Stage) -> None:
        super().__init__(stage)
        (self.entry,) = stage.choose_entries(1)

    def begin(self) -> None:
        """Kill the entry."""
        self.stage.kill_entry(self.entry)

    def end(self) -> None:
        """Start it again; it may have to wait for its configuration."""
        self.entry.start()


KINDS: tuple[type[StormFault], ...] = (
    SlowFault,
    LossFault,
    ConnectionFault,
    PartitionFault,
    PlatformFault,
    PauseFault,
    KillFault,
)


def draw_storm(stage: Stage) -> None:
    """Draw kinds of faults and their times, and carry all of them out."""
    rng = stage.rng
    greenlets = []
    for kind in rng.sample(KINDS, FAULTS_IN_A_STORM):
        start = rng.uniform(MIN_SHARE, MAX_SHARE)
        length = rng.uniform(MIN_LENGTH, MAX_LENGTH)
        greenlets.append(gevent.spawn(carry_out, stage, kind(stage), start, length))
    try:
        gevent.joinall(greenlets, raise_error=True)
    finally:
        gevent.killall(greenlets)


def carry_out(stage: Stage, fault: StormFault, start: float, length: float) -> None:
    """Begin a fault and end it in time."""
    stage.wait_until(start)
    fault.begin()
    stage.wait_until(start + length)
    fault.end()

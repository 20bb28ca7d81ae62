"""The troubles that a soak draws; they come in series and overlap."""

import random
import signal
import time
from abc import ABC, abstractmethod
from typing import ClassVar

import gevent

from sesameplank.standins.front_store import StoreFaultMode
from sesameplank.standins.front_targets import TargetFaultMode
from sesameplank.standins.proxy import Direction, Faults

from .observations import Trouble
from .world import SoakFront, World

LONGEST_S = 3.0
SHORTEST_S = 0.3
SERIES_GAP_S = 0.7
MOST_IN_SERIES = 4
STOP_TIMEOUT_S = 8.0
MOST_SLOWER = 8.0
LINK_FAULTS = (
    Faults(delay_s=0.02, jitter_s=0.1),
    Faults(request_reset_rate=0.2),
    Faults(answer_reset_rate=0.2),
    Faults(stalled=(Direction.REQUEST,)),
    Faults(stalled=(Direction.ANSWER,)),
    Faults(stalled=(Direction.REQUEST, Direction.ANSWER)),
    Faults(refuse=True),
    Faults(reset_at_byte=150),
)


class SoakTrouble(ABC):
    """One kind of trouble: it begins, lasts a drawn time, and ends."""

    name: ClassVar[str]

    def __init__(self, world: World, rng: random.Random) -> None:
        self.world = world
        self.rng = rng

    def run(self) -> None:
        """Play the trouble once; the record names whom it touched, and when."""
        noted = [self.world.begin(self.name, subject) for subject in self.begin()]
        try:
            gevent.sleep(self.rng.uniform(SHORTEST_S, LONGEST_S))
        finally:
            self.end()
            self.note_end(noted)

    def note_end(self, noted: list[Trouble]) -> None:
        """Record that the trouble is over."""
        for trouble in noted:
            trouble.ended_at = time.monotonic()

    @abstractmethod
    def begin(self) -> list[str]:
        """Begin the trouble and return the names of what it touches."""

    @abstractmethod
    def end(self) -> None:
        """End the trouble."""


class FrontTrouble(SoakTrouble):
    """Trouble of one process."""

    def __init__(self, world: World, rng: random.Random) -> None:
        super().__init__(world, rng)
        self.front: SoakFront = rng.choice(world.fronts)

    def begin(self) -> list[str]:
        """Harm the process."""
        self.harm()
        return [self.front.name]

    @abstractmethod
    def harm(self) -> None:
        """Harm the process."""


class Stop(FrontTrouble):
    """A process is asked to end and started again."""

    name = "stop"

    def harm(self) -> None:
        """Ask the process to end."""
        self.front.stop()

    def end(self) -> None:
        """Start the process again once it has ended."""
        until = time.monotonic() + STOP_TIMEOUT_S
        while self.front.is_running and time.monotonic() < until:
            gevent.sleep(SHORTEST_S)
        self.front.start()


class Kill(FrontTrouble):
    """A process is killed and started again."""

    name = "kill"

    def harm(self) -> None:
        """Kill the process."""
        self.front.kill()

    def end(self) -> None:
        """Start the process again."""
        self.front.start()


class KillAll(SoakTrouble):
    """All processes are killed at one moment, and a configuration changes."""

    name = "kill"

    def begin(self) -> list[str]:
        """Publish and kill."""
        self.world.publish()
        for front in self.world.fronts:
            front.kill()
        return [front.name for front in self.world.fronts]

    def end(self) -> None:
        """Start them again."""
        for front in self.world.fronts:
            front.start()


class Pause(FrontTrouble):
    """A process is stopped by a signal, and wakes on what it knew."""

    name = "pause"

    def harm(self) -> None:
        """Stop the process."""
        self.front.send_signal(signal.SIGSTOP)

    def end(self) -> None:
        """Let the process go on."""
        self.front.send_signal(signal.SIGCONT)


class Reload(FrontTrouble):
    """A process is told to read its settings again, several times."""

    name = "reload"

    def harm(self) -> None:
        """Tell the process."""
        self.front.reload()

    def end(self) -> None:
        """Tell the process once more."""
        self.harm()


class TargetFault(SoakTrouble):
    """One or a few targets answer wrongly."""

    name = "target"

    def begin(self) -> list[str]:
        """Let targets answer wrongly, each in the same manner."""
        trouble = self.rng.choice([t for t in TargetFaultMode if t.value != "none"])
        names = self.rng.sample(sorted(self.world.targets), self.rng.randint(1, 4))
        self.targets = [self.world.targets[name] for name in names]
        for target in self.targets:
            target.fault_mode = trouble
        return names

    def end(self) -> None:
        """Let them answer well."""
        for target in self.targets:
            target.fault_mode = TargetFaultMode.NONE


class Drain(SoakTrouble):
    """A target drains, or vanishes, and comes back."""

    name = "drain"

    def begin(self) -> list[str]:
        """Take a target out of the list, with notice or without."""
        self.target = self.rng.choice(sorted(self.world.targets))
        if self.rng.random() < 0.5:
            self.world.list_target(self.target, "draining")
        else:
            self.world.store.remove_target(self.target)
        return [self.target]

    def end(self) -> None:
        """List the target again."""
        self.world.list_target(self.target)


class TargetLink(SoakTrouble):
    """The way from one or all processes to a target is harmed."""

    name = "target_link"

    def begin(self) -> list[str]:
        """Harm the way."""
        self.target = self.rng.choice(sorted(self.world.targets))
        front = self.rng.choice([None, *self.world.fronts])
        source = front.name if front else None
        faults = self.rng.choice(LINK_FAULTS)
        self.world.proxies[self.target].set_faults(faults, source)
        return [self.target]

    def end(self) -> None:
        """Mend the way."""
        self.world.proxies[self.target].clear_faults()


class PeerLink(SoakTrouble):
    """What processes send to one of them is harmed."""

    name = "peer_link"

    def begin(self) -> list[str]:
        """Harm the links."""
        front = self.rng.choice(self.world.fronts)
        self.proxy = self.world.peer_proxies[front.name]
        self.proxy.set_faults(self.rng.choice(LINK_FAULTS))
        return [item.name for item in self.world.fronts]

    def end(self) -> None:
        """Mend the links."""
        self.proxy.clear_faults()


class StoreLink(SoakTrouble):
    """The way of some or all processes to the store is harmed."""

    name = "store_link"

    def begin(self) -> list[str]:
        """Harm the way."""
        fronts = self.world.fronts
        self.hit = self.rng.sample(fronts, self.rng.randint(1, len(fronts)))
        faults = self.rng.choice(LINK_FAULTS)
        for front in self.hit:
            self.world.store_proxy.set_faults(faults, front.name)
        return ["store"] if len(self.hit) == len(fronts) else self.get_names()

    def get_names(self) -> list[str]:
        """Return the names of the processes that are cut off."""
        return [front.name for front in self.hit]

    def end(self) -> None:
        """Mend the way."""
        for front in self.hit:
            self.world.store_proxy.set_faults(Faults(), front.name)
        self.world.store_proxy.reset_all()


class StoreFault(SoakTrouble):
    """The store is busy, silent, or forgets its history."""

    name = "store"

    def begin(self) -> list[str]:
        """Let the store do wrong."""
        troubles = (StoreFaultMode.BUSY, StoreFaultMode.SILENT, StoreFaultMode.NONE)
        self.world.store.fault_mode = self.rng.choice(troubles)
        self.world.store.compact()
        return ["store"]

    def end(self) -> None:
        """Let the store serve."""
        self.world.store.fault_mode = StoreFaultMode.NONE
        self.world.store_proxy.reset_all()


class Publish(SoakTrouble):
    """The configuration changes, and again a moment later."""

    name = "publish"

    def begin(self) -> list[str]:
        """Publish a configuration."""
        self.world.publish()
        return []

    def end(self) -> None:
        """Publish another one."""
        self.world.publish()


class SlowWork(SoakTrouble):
    """All targets take several times as long."""

    name = "slow"

    def begin(self) -> list[str]:
        """Slow the work down."""
        self.factor = self.rng.uniform(2.0, MOST_SLOWER)
        self.world.slower.append(self.factor)
        return []

    def end(self) -> None:
        """Let work take as long as before."""
        self.world.slower.remove(self.factor)


KINDS: tuple[type[SoakTrouble], ...] = (
    Stop,
    Stop,
    Kill,
    KillAll,
    Pause,
    Reload,
    TargetFault,
    TargetFault,
    Drain,
    TargetLink,
    PeerLink,
    StoreLink,
    StoreFault,
    Publish,
    SlowWork,
)


def play_series(world: World, rng: random.Random) -> None:
    """Play one kind of trouble a few times in a row, without waiting for its end."""
    kind = rng.choice(KINDS)
    running = []
    for _ in range(rng.randint(1, MOST_IN_SERIES)):
        running.append(gevent.spawn(kind(world, rng).run))
        gevent.sleep(rng.uniform(0.0, SERIES_GAP_S))
    gevent.joinall(running)

"""The kinds of faults that a soak chooses from at random.

Faults run in series, and several series run concurrently.
"""

import random
import signal
import time
from abc import ABC, abstractmethod
from typing import ClassVar

import gevent

from sesameplank.standins.front_store import StoreFaultMode
from sesameplank.standins.front_targets import ENDLESS_BEGINNINGS, TargetFaultMode
from sesameplank.standins.proxy import Direction, Faults

from .observations import FaultPeriod
from .world import SoakFront, SoakWorld

MAX_DURATION_S = 3.0
MIN_DURATION_S = 0.3
MAX_START_DELAY_S = 0.7
MAX_FAULTS_IN_SERIES = 4
STOP_TIMEOUT_S = 8.0
MAX_SLOWDOWN = 8.0
MAX_REWRITE_DELAY_S = 2.0
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

LOST_DIRECTIONS = (
    (),
    (Direction.REQUEST,),
    (Direction.ANSWER,),
    (Direction.REQUEST, Direction.ANSWER),
)


class SoakFault(ABC):
    """A kind of fault, which begins, lasts for a random time and ends."""

    name: ClassVar[str]

    def __init__(self, world: SoakWorld, rng: random.Random) -> None:
        self.world = world
        self.rng = rng
        self.detail = ""

    def run(self) -> None:
        """Inject the fault once, and record what it affects and for how long."""
        subjects = self.begin()
        periods = [
            self.world.note_fault(self.name, subject, self.detail)
            for subject in subjects
        ]
        try:
            gevent.sleep(self.rng.uniform(MIN_DURATION_S, MAX_DURATION_S))
        finally:
            self.end()
            self.note_end(periods)

    def note_end(self, periods: list[FaultPeriod]) -> None:
        """Record the end of the fault."""
        for period in periods:
            period.ended_at = time.monotonic()

    @abstractmethod
    def begin(self) -> list[str]:
        """Begin the fault and return the names of the processes or targets it affects.

        For a fault of the store, the name is "store".
        """

    @abstractmethod
    def end(self) -> None:
        """End the fault."""


class FrontFault(SoakFault):
    """A fault of one process."""

    def __init__(self, world: SoakWorld, rng: random.Random) -> None:
        super().__init__(world, rng)
        self.front: SoakFront = rng.choice(world.fronts)

    def begin(self) -> list[str]:
        """Inject the fault into the process."""
        self.inject()
        return [self.front.name]

    @abstractmethod
    def inject(self) -> None:
        """Inject the fault into the process."""


class Stop(FrontFault):
    """A process shuts down gracefully and is started again."""

    name = "stop"

    def inject(self) -> None:
        """Send SIGTERM to the process."""
        self.front.stop()

    def end(self) -> None:
        """Start the process again when it has exited.

        Stop waiting for the exit after STOP_TIMEOUT_S.
        """
        until = time.monotonic() + STOP_TIMEOUT_S
        while self.front.is_running and time.monotonic() < until:
            gevent.sleep(MIN_DURATION_S)
        self.front.start()


class Kill(FrontFault):
    """A process is killed and started again."""

    name = "kill"

    def inject(self) -> None:
        """Kill the process."""
        self.front.kill()

    def end(self) -> None:
        """Start the process again."""
        self.front.start()


class KillAll(SoakFault):
    """All processes are killed at once, just after the configuration has changed."""

    name = "kill"

    def begin(self) -> list[str]:
        """Publish a configuration and kill the processes."""
        self.world.publish()
        for front in self.world.fronts:
            front.kill()
        return [front.name for front in self.world.fronts]

    def end(self) -> None:
        """Start the processes again."""
        for front in self.world.fronts:
            front.start()


class Pause(FrontFault):
    """A process is suspended by a signal, and resumes with outdated state."""

    name = "pause"

    def inject(self) -> None:
        """Suspend the process with SIGSTOP."""
        self.front.send_signal(signal.SIGSTOP)

    def end(self) -> None:
        """Resume the process with SIGCONT."""
        self.front.send_signal(signal.SIGCONT)


class Reload(FrontFault):
    """A process reloads its settings twice."""

    name = "reload"

    def inject(self) -> None:
        """Send SIGHUP to the process."""
        self.front.reload()

    def end(self) -> None:
        """Send SIGHUP to the process again."""
        self.inject()


class TargetFault(SoakFault):
    """One to four targets inject the same kind of fault into their answers."""

    name = "target"
    modes = tuple(
        mode
        for mode in TargetFaultMode
        if mode is not TargetFaultMode.NONE and mode not in ENDLESS_BEGINNINGS
    )

    def begin(self) -> list[str]:
        """Set one fault mode for random targets."""
        fault_mode = self.rng.choice(self.modes)
        self.detail = fault_mode.value
        names = self.rng.sample(sorted(self.world.targets), self.rng.randint(1, 4))
        self.targets = [self.world.targets[name] for name in names]
        for target in self.targets:
            target.fault_mode = fault_mode
        return names

    def end(self) -> None:
        """Let the targets answer correctly again."""
        for target in self.targets:
            target.fault_mode = TargetFaultMode.NONE


class EndlessAnswers(TargetFault):
    """One to four targets never end their answers."""

    modes = tuple(ENDLESS_BEGINNINGS)


class NamedLimits(SoakFault):
    """Several targets name a rate limit, or something that is none."""

    name = "limit"

    def begin(self) -> list[str]:
        """Let random targets state the same value."""
        names = self.rng.sample(sorted(self.world.targets), self.rng.randint(1, 6))
        self.targets = [self.world.targets[name] for name in names]
        stated = self.rng.choice((b"0", b"0.5", b"5", b"50", b"none", b"-1"))
        for target in self.targets:
            target.stated_limit = stated
        return names

    def end(self) -> None:
        """Let the targets state nothing."""
        for target in self.targets:
            target.stated_limit = None


class LostTargets(SoakFault):
    """Some processes, or all, lose their links to all targets, whole or one way."""

    name = "targets_lost"

    def begin(self) -> list[str]:
        """Refuse new connections to targets, and silence or keep the open ones."""
        fronts = self.world.fronts
        affected = self.rng.sample(fronts, self.rng.randint(1, len(fronts)))
        faults = Faults(refuse=True, stalled=self.rng.choice(LOST_DIRECTIONS))
        for proxy in self.world.proxies.values():
            for front in affected:
                proxy.set_faults(faults, front.name)
        return [front.name for front in affected]

    def end(self) -> None:
        """Restore the links, and reset the connections that were open."""
        for proxy in self.world.proxies.values():
            proxy.clear_faults()


class Drain(SoakFault):
    """A target drains, or is removed from the list, and is listed again."""

    name = "drain"

    def begin(self) -> list[str]:
        """List a target as draining, or remove it from the list without notice."""
        self.target_name = self.rng.choice(sorted(self.world.targets))
        if self.rng.random() < 0.5:
            self.world.list_target(self.target_name, "draining")
        else:
            self.world.store.remove_target(self.target_name)
        return [self.target_name]

    def end(self) -> None:
        """List the target again."""
        self.world.list_target(self.target_name)


class TargetLinkFault(SoakFault):
    """The network between a target and one or all processes has faults."""

    name = "target_link"

    def begin(self) -> list[str]:
        """Inject faults into the connections."""
        self.target_name = self.rng.choice(sorted(self.world.targets))
        front = self.rng.choice([None, *self.world.fronts])
        source = front.name if front else None
        faults = self.rng.choice(LINK_FAULTS)
        self.world.proxies[self.target_name].set_faults(faults, source)
        return [self.target_name]

    def end(self) -> None:
        """Remove the faults."""
        self.world.proxies[self.target_name].clear_faults()


class PeerLinkFault(SoakFault):
    """The network from all processes to one of them has faults."""

    name = "peer_link"

    def begin(self) -> list[str]:
        """Inject faults into the connections."""
        front = self.rng.choice(self.world.fronts)
        self.proxy = self.world.peer_proxies[front.name]
        self.proxy.set_faults(self.rng.choice(LINK_FAULTS))
        return [item.name for item in self.world.fronts]

    def end(self) -> None:
        """Remove the faults."""
        self.proxy.clear_faults()


class StoreLinkFault(SoakFault):
    """The network between the store and some or all processes has faults."""

    name = "store_link"

    def begin(self) -> list[str]:
        """Inject faults into the connections."""
        fronts = self.world.fronts
        self.affected = self.rng.sample(fronts, self.rng.randint(1, len(fronts)))
        faults = self.rng.choice(LINK_FAULTS)
        for front in self.affected:
            self.world.store_proxy.set_faults(faults, front.name)
        names = [front.name for front in self.affected]
        return ["store"] if len(names) == len(fronts) else names

    def end(self) -> None:
        """Remove the faults and reset all connections to the store."""
        for front in self.affected:
            self.world.store_proxy.set_faults(Faults(), front.name)
        self.world.store_proxy.reset_all()


class StoreFault(SoakFault):
    """The store discards its event history, and may refuse or delay its answers."""

    name = "store"

    def begin(self) -> list[str]:
        """Set a random fault mode of the store and compact its history."""
        fault_modes = (StoreFaultMode.BUSY, StoreFaultMode.SILENT, StoreFaultMode.NONE)
        self.world.store.fault_mode = self.rng.choice(fault_modes)
        self.world.store.compact()
        return ["store"]

    def end(self) -> None:
        """Let the store serve normally, and reset its connections."""
        self.world.store.fault_mode = StoreFaultMode.NONE
        self.world.store_proxy.reset_all()


class StoreRestore(SoakFault):
    """The store returns to a copy, and what it lost is written again."""

    name = "store_restore"

    def begin(self) -> list[str]:
        """Copy the store."""
        self.world.store.copy()
        return ["store"]

    def end(self) -> None:
        """Restore the store, and write the lost items a moment later."""
        self.world.store.restore()
        self.world.store_proxy.reset_all()
        gevent.sleep(self.rng.uniform(0.0, MAX_REWRITE_DELAY_S))
        self.world.store.write_lost_items()


class Publish(SoakFault):
    """The configuration changes twice."""

    name = "publish"

    def begin(self) -> list[str]:
        """Publish a configuration."""
        self.world.publish()
        return []

    def end(self) -> None:
        """Publish another one."""
        self.world.publish()


class SlowWork(SoakFault):
    """All targets take several times their usual service time."""

    name = "slow"

    def begin(self) -> list[str]:
        """Slow all targets down by a random factor."""
        self.factor = self.rng.uniform(2.0, MAX_SLOWDOWN)
        self.world.slowdowns.append(self.factor)
        return []

    def end(self) -> None:
        """Remove this slowdown."""
        self.world.slowdowns.remove(self.factor)


# A kind that is listed twice is chosen twice as often.
KINDS: tuple[type[SoakFault], ...] = (
    Stop,
    Stop,
    Kill,
    KillAll,
    Pause,
    Reload,
    TargetFault,
    TargetFault,
    Drain,
    TargetLinkFault,
    PeerLinkFault,
    StoreLinkFault,
    StoreFault,
    Publish,
    SlowWork,
)


# These run besides, if they are chosen, so that earlier seeds stay as they are.
RESTORE_KINDS: tuple[type[SoakFault], ...] = (StoreRestore,)
LINK_KINDS: tuple[type[SoakFault], ...] = (LostTargets, NamedLimits, EndlessAnswers)


def run_series(world: SoakWorld, rng: random.Random) -> None:
    """Start one kind of fault one or more times at random intervals.

    The faults may overlap; return when all have ended.
    """
    kind = rng.choice(KINDS)
    running = []
    for _ in range(rng.randint(1, MAX_FAULTS_IN_SERIES)):
        running.append(gevent.spawn(kind(world, rng).run))
        gevent.sleep(rng.uniform(0.0, MAX_START_DELAY_S))
    gevent.joinall(running)

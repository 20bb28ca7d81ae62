"""Gives a scenario access to the stand-ins, the entries and the clock of a run."""

import random
import signal
import time

import gevent

from ..conf import Configuration
from ..exceptions import LoadError
from ..ids import CollectionName, EntryId, TargetId
from ..logs import log_event
from ..standins import control
from ..standins.deployments import Deployment
from ..standins.fleet import EntryProcess, Fleet
from .processes import GROUP_COUNT, Standins, get_processor_s


class ScenarioContext:
    """The interface of one run to its scenario.

    `faulted_addresses` holds the addresses, as callers use them, of entries that
    the scenario killed or paused: connections that break there are not a fault of
    the entry. `ended_processor_s` is the processor time, in seconds, of entry
    processes that have ended.
    """

    def __init__(
        self,
        deployment: Deployment,
        configuration: Configuration,
        standins: Standins,
        fleet: Fleet,
        rng: random.Random,
    ) -> None:
        self.deployment = deployment
        self.configuration = configuration
        self.standins = standins
        self.fleet = fleet
        self.rng = rng
        self.measured_start_at = 0.0
        self.seconds = 0.0
        self.faulted_addresses: set[str] = set()
        self.leaving: set[EntryId] = set()
        self.ended_processor_s = 0.0

    def start_clock(self, measured_start_at: float, seconds: float) -> None:
        """Set the start of the measured part, in monotonic seconds, and its length."""
        self.measured_start_at = measured_start_at
        self.seconds = seconds

    def wait_until(self, share: float) -> None:
        """Sleep until this share of the measured part, from 0 to 1, has passed."""
        due_at = self.measured_start_at + share * self.seconds
        gevent.sleep(max(0.0, due_at - time.monotonic()))

    def send_command(self, command: control.Command) -> None:
        """Send a command to the stand-ins and log it."""
        log_event("standins_steered", command=type(command).__name__)
        self.standins.send_command(command)

    @property
    def first_collection(self) -> CollectionName:
        """The collection of the deployment's first service."""
        return self.deployment.services[0].collection

    @property
    def processor_s(self) -> float:
        """The processor time of all entry processes so far, in seconds."""
        return self.ended_processor_s + sum(
            get_processor_s(entry.process.pid) for entry in self.fleet.entries
        )

    def choose_targets(self, share: float) -> tuple[TargetId, ...]:
        """Return a random share of each service's targets.

        Of a pair of replicas, at most one is chosen.
        """
        chosen: list[TargetId] = []
        for collection in self.configuration.collections.values():
            pairs = list(dict.fromkeys(item.replicas for item in collection.shards))
            count = round(share * 2 * len(pairs))
            chosen += [self.rng.choice(pair) for pair in self.rng.sample(pairs, count)]
        return tuple(chosen)

    def choose_entries(self, count: int) -> list[EntryProcess]:
        """Return `count` random entries, or all if there are fewer."""
        return self.rng.sample(self.fleet.entries, min(count, len(self.fleet.entries)))

    def get_next_pair_in_group(self, number: int) -> tuple[TargetId, ...]:
        """Return the next pair of replicas in the same stand-in process.

        `number` is the index of a pair of the first service.
        """
        shards = self.configuration.collections[self.first_collection].shards
        pairs = list(dict.fromkeys(shard.replicas for shard in shards))
        return pairs[(number + GROUP_COUNT) % len(pairs)]

    def stop_entry(self, entry: EntryProcess) -> None:
        """Mark an entry as leaving, send SIGTERM and wait until its process has ended.

        Raise LoadError if the exit code is not 0.
        """
        self.leaving.add(entry.vm.id)
        self.send_command(control.SetVms(leaving=tuple(self.leaving)))
        processor_s = get_processor_s(entry.process.pid)
        entry.signal(signal.SIGTERM)
        code = entry.wait()
        self.ended_processor_s += processor_s
        log_event("entry_stopped", entry=entry.vm.id, code=code)
        if code:
            raise LoadError(
                f"{entry.vm.id} exited with {code} on a planned stop; its log ends:\n"
                f"{entry.log_path.read_text()[-2000:]}"
            )

    def start_entry(self, entry: EntryProcess) -> None:
        """Start an entry that has ended and mark it as not leaving once it is ready."""
        entry.start()
        entry.wait_until_ready()
        if entry.vm.id in self.leaving:
            self.leaving.remove(entry.vm.id)
            self.send_command(control.SetVms(leaving=tuple(self.leaving)))

    def kill_entry(self, entry: EntryProcess) -> None:
        """Kill an entry with SIGKILL."""
        self.faulted_addresses.add(str(entry.address))
        self.ended_processor_s += get_processor_s(entry.process.pid)
        entry.kill()

    def pause_entry(self, entry: EntryProcess, pause_s: float) -> None:
        """Suspend an entry's process with SIGSTOP for `pause_s` seconds."""
        self.faulted_addresses.add(str(entry.address))
        entry.signal(signal.SIGSTOP)
        try:
            gevent.sleep(pause_s)
        finally:
            entry.signal(signal.SIGCONT)

    def split_entries(self) -> tuple[tuple[EntryId, ...], tuple[EntryId, ...]]:
        """Return the ids of the entries, divided into two random halves."""
        ids = [entry.vm.id for entry in self.fleet.entries]
        self.rng.shuffle(ids)
        middle = len(ids) // 2
        return tuple(ids[:middle]), tuple(ids[middle:])

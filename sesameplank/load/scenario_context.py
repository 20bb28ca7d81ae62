"""What a scenario acts on: the stand-ins, the entries and the clock of a run."""

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
    """One run as a scenario sees it.

    `faulted_addresses` holds the addresses, as callers use them, of entries that
    the scenario killed or paused: connections that break there are not the
    entry's fault. `ended_processor_s` is the processor time, in seconds, of entry
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
        self.start_at = 0.0
        self.seconds = 0.0
        self.faulted_addresses: set[str] = set()
        self.leaving: set[EntryId] = set()
        self.ended_processor_s = 0.0

    def start_clock(self, start_at: float, seconds: float) -> None:
        """Fix when the measured part begins, monotonic, and how long it lasts."""
        self.start_at = start_at
        self.seconds = seconds

    def wait_until(self, share: float) -> None:
        """Return when this share of the measured part has passed."""
        due_at = self.start_at + share * self.seconds
        gevent.sleep(max(0.0, due_at - time.monotonic()))

    def send_command(self, command: control.Command) -> None:
        """Send a command to the stand-ins."""
        log_event("standins_steered", command=type(command).__name__)
        self.standins.send_command(command)

    @property
    def first_collection(self) -> CollectionName:
        """The collection of the deployment's first service."""
        return self.deployment.services[0].collection

    @property
    def processor_s(self) -> float:
        """The processor seconds of all entry processes so far."""
        return self.ended_processor_s + sum(
            get_processor_s(entry.process.pid) for entry in self.fleet.entries
        )

    def choose_targets(self, share: float) -> tuple[TargetId, ...]:
        """Return a share of each service's targets, at most one of a pair."""
        chosen: list[TargetId] = []
        for collection in self.configuration.collections.values():
            pairs = list(dict.fromkeys(item.replicas for item in collection.shards))
            count = round(share * 2 * len(pairs))
            chosen += [self.rng.choice(pair) for pair in self.rng.sample(pairs, count)]
        return tuple(chosen)

    def choose_entries(self, count: int) -> list[EntryProcess]:
        """Return some entries."""
        return self.rng.sample(self.fleet.entries, min(count, len(self.fleet.entries)))

    def get_next_pair_in_group(self, number: int) -> tuple[TargetId, ...]:
        """Return the next pair of the first service in the same stand-in process."""
        shards = self.configuration.collections[self.first_collection].shards
        pairs = list(dict.fromkeys(shard.replicas for shard in shards))
        return pairs[(number + GROUP_COUNT) % len(pairs)]

    def stop_entry(self, entry: EntryProcess) -> None:
        """Announce a planned stop, ask for it, and return when it has ended."""
        self.leaving.add(entry.vm.id)
        self.send_command(control.SetVms(leaving=tuple(self.leaving)))
        processor_s = get_processor_s(entry.process.pid)
        entry.signal(signal.SIGTERM)
        code = entry.wait()
        self.ended_processor_s += processor_s
        log_event("entry_stopped", entry=entry.vm.id, code=code)
        if code:
            raise LoadError(
                f"{entry.vm.id} ended with {code} on a planned stop; its log says:\n"
                f"{entry.log_path.read_text()[-2000:]}"
            )

    def start_entry(self, entry: EntryProcess) -> None:
        """Start an entry that has ended, and list it again."""
        entry.start()
        entry.wait_until_ready()
        if entry.vm.id in self.leaving:
            self.leaving.remove(entry.vm.id)
            self.send_command(control.SetVms(leaving=tuple(self.leaving)))

    def kill_entry(self, entry: EntryProcess) -> None:
        """End an entry without notice."""
        self.faulted_addresses.add(str(entry.address))
        self.ended_processor_s += get_processor_s(entry.process.pid)
        entry.kill()

    def pause_entry(self, entry: EntryProcess, pause_s: float) -> None:
        """Stop an entry's process for a while, and let it go on."""
        self.faulted_addresses.add(str(entry.address))
        entry.signal(signal.SIGSTOP)
        try:
            gevent.sleep(pause_s)
        finally:
            entry.signal(signal.SIGCONT)

    def split_entries(self) -> tuple[tuple[EntryId, ...], tuple[EntryId, ...]]:
        """Return two halves of the entries, drawn at random."""
        ids = [entry.vm.id for entry in self.fleet.entries]
        self.rng.shuffle(ids)
        middle = len(ids) // 2
        return tuple(ids[:middle]), tuple(ids[middle:])

"""Books once for each record under seeded faults, and holds it to the ledger."""

import random
import signal
import time
from collections import Counter

import gevent
import msgspec

from sesameplank.client import Client
from sesameplank.core.messages import BookingAnswer
from sesameplank.exceptions import CallError
from sesameplank.standins.proxy import Faults

from .faulty_tier import COLLECTION, FaultyTier

CALLERS = 12
DEADLINE_MS = 2_000
MAX_PAUSE_S = 0.08
FAULT_DURATION_S = 1.5
FAULT_INTERVAL_S = 1.0
IN_FLIGHT_GRACE_S = 2.0


class Tally(msgspec.Struct):
    """What callers were outcome, against what the ledger says."""

    answered: int = 0
    not_run: int = 0
    unknown: int = 0
    doubled: int = 0
    false_not_run: int = 0
    lost: int = 0
    kinds: dict[str, int] = {}
    p50_ms: float = 0.0
    p99_ms: float = 0.0


class BookingDriver:
    """Several callers book every record once, while entries and links fail."""

    def __init__(self, tier: FaultyTier, count: int) -> None:
        self.tier = tier
        self.rng = random.Random(tier.seed)
        self.records = tier.records[:count]
        self.outcomes: dict[str, BookingAnswer | CallError] = {}
        self.latencies_ms: list[float] = []

    def run(self, cut_rate: float, with_process_faults: bool) -> Tally:
        """Book everything and return the tally; `cut_rate` is for each chunk."""
        cuts = Faults(request_reset_rate=cut_rate, answer_reset_rate=cut_rate)
        for proxy in [*self.tier.callers, *self.tier.targets.values()]:
            proxy.set_faults(cuts)
        callers = [gevent.spawn(self.book_share, number) for number in range(CALLERS)]
        faults = gevent.spawn(self.inject_entry_faults) if with_process_faults else None
        gevent.joinall(callers, raise_error=True)
        if faults is not None:
            faults.kill()
            self.restore_entries()
        self.tier.heal()
        gevent.sleep(IN_FLIGHT_GRACE_S)
        return self.make_tally()

    def book_share(self, number: int) -> None:
        """Book one caller's share of the records, one after the other."""
        rng = random.Random(f"{self.tier.seed}-{number}")
        with Client("order-desk", self.tier.addresses, rng) as client:
            for record in self.records[number::CALLERS]:
                gevent.sleep(rng.uniform(0.0, MAX_PAUSE_S))
                started_at = time.monotonic()
                try:
                    self.outcomes[record] = client.book(
                        COLLECTION, record, 1, deadline_ms=DEADLINE_MS
                    )
                except CallError as error:
                    self.outcomes[record] = error
                    continue
                self.latencies_ms.append((time.monotonic() - started_at) * 1_000)

    def inject_entry_faults(self) -> None:
        """Kill, stop and cut off one entry after the other until killed."""
        faults = (self.kill_entry, self.pause_entry, self.isolate_entry)
        while True:
            for fault in faults:
                fault(self.rng.randrange(len(self.tier.fleet.entries)))
                gevent.sleep(FAULT_INTERVAL_S)

    def kill_entry(self, number: int) -> None:
        """Kill an entry and start it again."""
        entry = self.tier.fleet.entries[number]
        entry.kill()
        entry.start()
        entry.wait_until_ready()

    def pause_entry(self, number: int) -> None:
        """Stop an entry for a while."""
        entry = self.tier.fleet.entries[number]
        entry.signal(signal.SIGSTOP)
        gevent.sleep(FAULT_DURATION_S)
        entry.signal(signal.SIGCONT)

    def isolate_entry(self, number: int) -> None:
        """Cut an entry off from the others for a while."""
        hosts = list(self.tier.world.peer_proxies.proxies)
        others = [host for host in hosts if host != hosts[number]]
        self.tier.world.peer_proxies.partition([hosts[number]], others)
        for proxy in self.tier.peers:
            proxy.reset_all()
        gevent.sleep(FAULT_DURATION_S)
        self.tier.world.peer_proxies.heal()

    def restore_entries(self) -> None:
        """Let every entry run again."""
        self.tier.world.peer_proxies.heal()
        for entry in self.tier.fleet.entries:
            if entry.process.poll() is not None:
                entry.start()
            entry.signal(signal.SIGCONT)
            entry.wait_until_ready()

    def make_tally(self) -> Tally:
        """Compare what callers were outcome with the ledger."""
        ledger = self.tier.world.stores[COLLECTION].ledger
        runs = Counter(run.record for run in ledger)
        results = {(run.idempotency_key, run.record, run.result) for run in ledger}
        tally = Tally(doubled=sum(count - 1 for count in runs.values()))
        for record, outcome in self.outcomes.items():
            if isinstance(outcome, BookingAnswer):
                tally.answered += 1
                key = (outcome.idempotency_key, record, outcome.result)
                tally.lost += key not in results
                continue
            tally.kinds[outcome.kind] = tally.kinds.get(outcome.kind, 0) + 1
            if outcome.ran == "not_run":
                tally.not_run += 1
                tally.false_not_run += record in runs
            else:
                tally.unknown += 1
        ordered = sorted(self.latencies_ms)
        if ordered:
            tally.p50_ms = ordered[len(ordered) // 2]
            tally.p99_ms = ordered[len(ordered) * 99 // 100]
        return tally

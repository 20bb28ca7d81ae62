"""Books each record once under seeded faults and compares outcomes with the ledger."""

import random
import signal
import time
from collections import Counter

import gevent
import msgspec

from sesameplank.client import Client
from sesameplank.core.search.messages import BookingAnswer
from sesameplank.exceptions import CallError
from sesameplank.standins.proxy import Faults

from .faulty_tier import COLLECTION, FaultyTier

CALLERS = 12
DEADLINE_MS = 2_000
MAX_DELAY_S = 0.08
FAULT_DURATION_S = 1.5
FAULT_INTERVAL_S = 1.0
IN_FLIGHT_GRACE_S = 2.0


class Tally(msgspec.Struct):
    """Counts of the outcomes that callers received, compared with the ledger.

    `doubled` counts runs of a record beyond its first, `false_not_run` bookings
    that ran although the caller received "not run", and `lost` answered bookings
    that are not in the ledger. `kinds` counts the errors by kind. `p50_ms` and
    `p99_ms` are latencies of answered bookings.
    """

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
    """Books every record once by several callers, while entries and links fail."""

    def __init__(self, tier: FaultyTier, count: int) -> None:
        self.tier = tier
        self.rng = random.Random(tier.seed)
        self.records = tier.records[:count]
        self.outcomes: dict[str, BookingAnswer | CallError] = {}
        self.latencies_ms: list[float] = []

    def run(self, reset_rate: float, with_process_faults: bool) -> Tally:
        """Book every record and return the tally.

        `reset_rate` is the probability, for each chunk, that its connection is reset.
        """
        resets = Faults(request_reset_rate=reset_rate, answer_reset_rate=reset_rate)
        for proxy in [*self.tier.caller_proxies, *self.tier.target_proxies.values()]:
            proxy.set_faults(resets)
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
        """Book one caller's share of the records, one after another."""
        rng = random.Random(f"{self.tier.seed}-{number}")
        with Client("order-desk", self.tier.addresses, rng) as client:
            for record in self.records[number::CALLERS]:
                gevent.sleep(rng.uniform(0.0, MAX_DELAY_S))
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
        """Kill, pause or isolate random entries until this greenlet is killed."""
        faults = (self.kill_entry, self.pause_entry, self.isolate_entry)
        while True:
            for fault in faults:
                fault(self.rng.randrange(len(self.tier.fleet.entries)))
                gevent.sleep(FAULT_INTERVAL_S)

    def kill_entry(self, number: int) -> None:
        """Kill an entry, restart it and wait until it is ready."""
        entry = self.tier.fleet.entries[number]
        entry.kill()
        entry.start()
        entry.wait_until_ready()

    def pause_entry(self, number: int) -> None:
        """Pause an entry by SIGSTOP for `FAULT_DURATION_S` seconds."""
        entry = self.tier.fleet.entries[number]
        entry.signal(signal.SIGSTOP)
        gevent.sleep(FAULT_DURATION_S)
        entry.signal(signal.SIGCONT)

    def isolate_entry(self, number: int) -> None:
        """Partition an entry from the others for `FAULT_DURATION_S` seconds."""
        hosts = list(self.tier.world.peer_proxies.proxies)
        others = [host for host in hosts if host != hosts[number]]
        self.tier.world.peer_proxies.partition([hosts[number]], others)
        for proxy in self.tier.peer_proxies:
            proxy.reset_all()
        gevent.sleep(FAULT_DURATION_S)
        self.tier.world.peer_proxies.heal()

    def restore_entries(self) -> None:
        """Heal partitions, and resume or restart every entry."""
        self.tier.world.peer_proxies.heal()
        for entry in self.tier.fleet.entries:
            if entry.process.poll() is not None:
                entry.start()
            entry.signal(signal.SIGCONT)
            entry.wait_until_ready()

    def make_tally(self) -> Tally:
        """Compare the outcomes that callers received with the ledger."""
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

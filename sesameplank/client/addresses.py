"""Which entries the client library uses, and for how long."""

import math
import random
import time
from collections.abc import Sequence

from ..core.addresses import AddressAnswer
from ..exceptions import CallError
from ..net import Address
from .connections import Connections

ADDRESSES_TIMEOUT_S = 1.0
UNUSABLE_S = 2.0


class AddressCache:
    """Keeps the address answer for its time to live, then asks again."""

    def __init__(
        self, connections: Connections, seeds: Sequence[Address], rng: random.Random
    ) -> None:
        self.connections = connections
        self.seeds = list(seeds)
        self.rng = rng
        self.addresses: list[Address] = []
        self.addresses_expire_at = 0.0
        self.unusable_until: dict[Address, float] = {}

    def note_unusable(self, address: Address) -> None:
        """Leave an entry out for a while, since it is leaving or gives no answer.

        The next call asks another entry for a fresh address list.
        """
        self.unusable_until[address] = time.monotonic() + UNUSABLE_S
        self.addresses_expire_at = 0.0

    def get_addresses(self, give_up_at: float = math.inf) -> list[Address]:
        """Return the entries to use; those known as unusable come last.

        No entry is asked for its list after `give_up_at`, in seconds of the
        monotonic clock.
        """
        now = time.monotonic()
        return sorted(
            self.get_listed(give_up_at),
            key=lambda item: self.unusable_until.get(item, 0.0) > now,
        )

    def get_listed(self, give_up_at: float) -> list[Address]:
        """Return the listed entries, asking again when the answer is too old."""
        now = time.monotonic()
        if now < self.addresses_expire_at:
            return self.addresses
        known = [*self.addresses, *self.rng.sample(self.seeds, len(self.seeds))]
        known.sort(key=lambda item: self.unusable_until.get(item, 0.0) > now)
        for address in dict.fromkeys(known):
            budget_s = min(ADDRESSES_TIMEOUT_S, give_up_at - time.monotonic())
            if budget_s <= 0:
                break
            try:
                answer = self.connections.get(
                    address, "/v1/addresses", AddressAnswer, budget_s
                )
            except CallError:
                continue
            self.addresses = [Address.parse(item) for item in answer.addresses]
            self.addresses_expire_at = time.monotonic() + answer.ttl_ms / 1_000
            return self.addresses
        return self.addresses or self.seeds

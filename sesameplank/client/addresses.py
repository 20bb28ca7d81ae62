"""Which entries the client library uses, and for how long."""

import random
import time
from collections.abc import Sequence

from ..core.addresses import AddressAnswer
from ..exceptions import CallError
from ..net import Address
from .connections import Connections

ADDRESSES_TIMEOUT_S = 1.0


class AddressKeeper:
    """Keeps the address answer for its time to live, then asks again."""

    def __init__(
        self, connections: Connections, seeds: Sequence[Address], rng: random.Random
    ) -> None:
        self.connections = connections
        self.seeds = list(seeds)
        self.rng = rng
        self.addresses: list[Address] = []
        self.addresses_until = 0.0

    def get_addresses(self) -> list[Address]:
        """Return the entries to use, asking again when the answer is too old."""
        if time.monotonic() < self.addresses_until:
            return self.addresses
        known = [*self.addresses, *self.rng.sample(self.seeds, len(self.seeds))]
        for address in dict.fromkeys(known):
            try:
                answer = self.connections.get(
                    address, "/v1/addresses", AddressAnswer, ADDRESSES_TIMEOUT_S
                )
            except CallError:
                continue
            self.addresses = [Address.parse(item) for item in answer.addresses]
            self.addresses_until = time.monotonic() + answer.ttl_ms / 1_000
            return self.addresses
        return self.addresses or self.seeds

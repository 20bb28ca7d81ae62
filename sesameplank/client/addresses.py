"""Cache of the entry addresses that the client library uses."""

import math
import random
import time
from collections.abc import Iterable, Sequence

from ..core.membership.addresses import AddressAnswer
from ..exceptions import CallError
from ..logs import log_event
from ..net import Address
from .connections import Connections

ADDRESSES_TIMEOUT_S = 1.0
UNUSABLE_S = 2.0


class AddressCache:
    """Caches the address list of an entry for its time to live.

    `seeds` are the entries to request the first list from. Expiry times are in
    seconds of the monotonic clock.
    """

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
        """Record that an entry is leaving or returned no answer.

        The entry is listed after the others for UNUSABLE_S. The address list
        expires, so that the next call requests a new one, from another entry if
        possible.
        """
        self.unusable_until[address] = time.monotonic() + UNUSABLE_S
        self.addresses_expire_at = 0.0

    def get_addresses(self, deadline_at: float = math.inf) -> list[Address]:
        """Return the entries to use, with those recorded as unusable at the end.

        No address list is requested after `deadline_at`, in seconds of the
        monotonic clock.
        """
        now = time.monotonic()
        return sorted(
            self.get_listed_addresses(deadline_at),
            key=lambda item: self.unusable_until.get(item, 0.0) > now,
        )

    def get_listed_addresses(self, deadline_at: float) -> list[Address]:
        """Return the cached address list, or request a new one if it has expired.

        If no entry returns a new list, return the expired one, or the seeds.
        """
        now = time.monotonic()
        if now < self.addresses_expire_at:
            return self.addresses
        candidates = [*self.addresses, *self.rng.sample(self.seeds, len(self.seeds))]
        candidates.sort(key=lambda item: self.unusable_until.get(item, 0.0) > now)
        for address in dict.fromkeys(candidates):
            budget_s = min(ADDRESSES_TIMEOUT_S, deadline_at - time.monotonic())
            if budget_s <= 0:
                break
            try:
                answer = self.connections.get(
                    address, "/v1/addresses", AddressAnswer, budget_s
                )
            except CallError:
                continue
            listed = parse_usable(answer.addresses)
            if not listed:
                continue
            self.addresses = listed
            self.addresses_expire_at = time.monotonic() + answer.ttl_ms / 1_000
            return self.addresses
        return self.addresses or self.seeds


def parse_usable(texts: Iterable[str]) -> list[Address]:
    """Return the addresses that can be read; log the others."""
    addresses = []
    for text in texts:
        try:
            addresses.append(Address.parse(text))
        except ValueError as error:
            log_event("entry_address_refused", reason=str(error))
    return addresses

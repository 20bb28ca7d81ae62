"""A fleet whose connections to callers, peers and targets have fault proxies."""

import contextlib
import random
from collections import Counter

import msgspec

from sesameplank.net import Address
from sesameplank.standins.deployments import VATUWAQA
from sesameplank.standins.fleet import Fleet, reserve_block
from sesameplank.standins.proxy import FaultProxy, Faults
from sesameplank.standins.world import World, WorldOptions

COLLECTION = "order-desk"


class FaultyTier:
    """Stand-ins, entries and fault proxies; a context manager.

    `caller_proxies` are the proxies that callers connect to, and `peer_proxies`
    those through which entries connect to each other; both are in the order of
    the entries. `target_proxies` holds the proxies in front of targets by target id.
    """

    def __init__(self, entries: int, seed: int) -> None:
        self.options = WorldOptions(
            entries=entries, proxied_targets=True, proxied_peers=True
        )
        self.seed = seed
        self.rng = random.Random(seed)
        self.caller_proxies: list[FaultProxy] = []
        self.resources = contextlib.ExitStack()

    def __enter__(self) -> "FaultyTier":
        with contextlib.ExitStack() as stack:
            block = stack.enter_context(reserve_block())
            self.world = stack.enter_context(
                World(VATUWAQA, block, self.seed, options=self.options)
            )
            for number, vm in enumerate(self.world.vms):
                upstream = Address.parse(vm.address)
                listen = Address(f"{block}.2.{1 + number}", upstream.port)
                proxy = FaultProxy(listen, upstream, self.rng)
                self.caller_proxies.append(stack.enter_context(proxy))
            self.world.platform.publish_vms(
                tuple(
                    msgspec.structs.replace(vm, address=str(proxy.listen))
                    for vm, proxy in zip(
                        self.world.published_vms, self.caller_proxies, strict=True
                    )
                )
            )
            self.fleet = stack.enter_context(
                Fleet(self.world.vms, self.world.platform_address)
            )
            self.resources = stack.pop_all()
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.resources.close()

    @property
    def target_proxies(self) -> dict[str, FaultProxy]:
        """The proxies in front of the targets, by target id."""
        return self.world.target_proxies

    @property
    def peer_proxies(self) -> list[FaultProxy]:
        """The proxies between the entries, in the order of the entries."""
        return list(self.world.peer_proxies.proxies.values())

    def heal(self) -> None:
        """Clear the faults of every proxy."""
        for proxy in [
            *self.caller_proxies,
            *self.peer_proxies,
            *self.target_proxies.values(),
        ]:
            if proxy.faults != Faults():
                proxy.clear_faults()

    @property
    def addresses(self) -> list[Address]:
        """The addresses that callers connect to."""
        return [proxy.listen for proxy in self.caller_proxies]

    @property
    def records(self) -> list[str]:
        """The keys of all records that can be booked."""
        return sorted(self.world.stores[COLLECTION].records)

    def count_runs(self) -> Counter:
        """Return how often each idempotency key ran, according to the ledger."""
        ledger = self.world.stores[COLLECTION].ledger
        return Counter(run.idempotency_key for run in ledger)

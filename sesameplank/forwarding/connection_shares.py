"""The number of connections to each target, and the warm-up of the first ones.

A target accepts a small number of connections from all processes together. Each
process therefore opens only its share of them, and no more than it can use.
"""

from ..core.published.routes import RoutingConfiguration, Service
from ..core.published.target_table import TargetRecord, TargetTable
from ..ids import ServiceName
from .target_pools import TargetPool, TargetPools

MIN_CONNECTIONS = 1
DEFAULT_SLOTS = 2
SPARE_CONNECTIONS = 1  # Calls beyond a target's slots would only queue there.
FLEET_LIMIT_SHARE = 0.9  # Share of a target's limit that all processes use together.
WARM_UP_SCAN_TARGETS = 64  # Per call; spreads the scan of many targets over seconds.


class ConnectionShares:
    """This process's share of the connections to each target."""

    def __init__(self, table: TargetTable, pools: TargetPools) -> None:
        self.table = table
        self.pools = pools
        self.services: dict[ServiceName, Service] = {}
        self.shards: set[ServiceName] = set()
        self.fleet_size = 1
        self.unscanned: list[TargetRecord] = []

    def set_routing(self, routing: RoutingConfiguration) -> None:
        """Apply the connection limits and shards of a new configuration."""
        self.services = routing.services
        self.shards = {shard for route in routing.routes for shard in route.shards}

    def set_fleet_size(self, size: int) -> None:
        """Set how many processes share the targets."""
        self.fleet_size = max(1, size)

    def get_useful_fleet_size(self) -> int | None:
        """Return how many processes can open enough connections to each target.

        Only the sharded services count, because a request needs every shard of
        its route. Return None if no configuration names a sharded service with a
        connection limit.
        """
        useful = [
            int(
                FLEET_LIMIT_SHARE
                * service.max_connections
                / self.get_useful_connections(service)
            )
            for shard in self.shards
            if (service := self.services.get(shard)) is not None
            and service.max_connections > 0
        ]
        return min(useful, default=None)

    def get_useful_connections(self, service: Service) -> int:
        """Return how many connections to one target a process can make use of."""
        ready = self.table.get_ready(service.name)
        slots = max((record.slots for record in ready), default=DEFAULT_SLOTS)
        return slots + SPARE_CONNECTIONS

    def get_pool(self, record: TargetRecord) -> TargetPool:
        """Return the connection pool of a target, with its limit updated."""
        return self.pools.get(record, self.get_limit(record))

    def get_limit(self, record: TargetRecord) -> int:
        """Return how many connections this process may open to a target."""
        service = self.services.get(record.service)
        useful = record.slots + SPARE_CONNECTIONS
        if service is None or service.max_connections <= 0:
            return useful
        share = FLEET_LIMIT_SHARE * service.max_connections / self.fleet_size
        return max(MIN_CONNECTIONS, min(useful, int(share)))

    def warm_up(self, max_targets: int) -> None:
        """Open the first connection to at most `max_targets` targets."""
        for record in self.find_unconnected_targets(max_targets):
            if self.table.is_listed(record.id):
                self.get_pool(record).warm_up()

    def find_unconnected_targets(self, max_targets: int) -> list[TargetRecord]:
        """Return ready targets of sharded services that need a first connection.

        Each call continues the scan where the previous one stopped, and examines
        at most WARM_UP_SCAN_TARGETS targets.
        """
        if not self.unscanned:
            self.unscanned = [
                record
                for shard in self.shards
                for record in self.table.get_ready(shard)
            ]
        unconnected: list[TargetRecord] = []
        for _ in range(min(WARM_UP_SCAN_TARGETS, len(self.unscanned))):
            record = self.unscanned.pop()
            pool = self.pools.pools.get(record.id)
            if pool is None or pool.needs_warm_up:
                unconnected.append(record)
            if len(unconnected) >= max_targets:
                break
        return unconnected

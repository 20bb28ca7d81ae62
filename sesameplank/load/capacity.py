"""The capacity of the stand-in services, in multiples of which load is stated.

A search of one shard holds a slot of its target for a lognormally distributed
time with median `SHARD_SERVICE_S` and shape `SERVICE_SIGMA`, whose mean is
`SHARD_SERVICE_S * exp(SERVICE_SIGMA ** 2 / 2)`. A query needs one such run for
each shard of its collection, regardless of how the runs are grouped into calls.
Therefore

    capacity in queries/s = instances * slots / (shards * mean run in seconds)

with `shards = instances * searchers / REPLICAS`. A service of 20 instances with
2 slots and 2 searchers has 20 shards and a capacity of
40 / (20 * 0.0085) = 235 queries/s. A load of 0.5 means that the first service
receives queries at half of its capacity. Queries to the other services are added
in the proportions of `SERVICE_SHARES`. Bookings are added to the queries as a
share of all arrivals; a booking uses about a thirtieth of the slot time of a
query.
"""

import math

from ..standins.deployments import REPLICAS, Deployment, Service
from ..standins.targets import SERVICE_SIGMA, SHARD_SERVICE_S

SERVICE_SHARES = (0.80, 0.10, 0.05, 0.05)
BOOKING_SHARE = 0.03


def count_shards(service: Service) -> int:
    """Return the number of shards of the service's collection."""
    return service.instances * service.searchers // REPLICAS


def get_capacity(service: Service) -> float:
    """Return the queries per second that keep every slot of a service busy."""
    run_s = SHARD_SERVICE_S * math.exp(SERVICE_SIGMA**2 / 2)
    slots = service.instances * service.slots
    return slots / (count_shards(service) * run_s)


def get_arrival_rate(
    deployment: Deployment, load: float, booking_share: float = BOOKING_SHARE
) -> float:
    """Return the arrivals per second, to all services, at a load.

    `load` is a multiple of the first service's capacity.
    """
    first = get_capacity(deployment.services[0])
    return load * first / SERVICE_SHARES[0] / (1 - booking_share)

"""The two simulated deployments: their services and configuration documents."""

import msgspec

from ..conf import Caller, Collection, Configuration, PresetName, Shard, Target
from ..conf.documents import CallerClass
from ..core.search.ranges import KEY_SPACE
from ..ids import CallerName, CollectionName, DataCentre, ShardId, TargetId
from ..net import Address

TARGET_PORT = 7100
REPLICAS = 2


class Service(msgspec.Struct, frozen=True):
    """One backend: the number of its instances and the limits of each.

    `searchers` is the number of shard replicas per instance, `slots` that of the
    requests served concurrently, `connections` that of the open connections, and
    `open_ms` the time to accept a connection.
    """

    collection: CollectionName
    instances: int
    searchers: int
    slots: int
    connections: int
    open_ms: float


class Deployment(msgspec.Struct, frozen=True):
    """The services, data centres and callers of one user of the query tier."""

    name: str
    data_centres: tuple[DataCentre, ...]
    services: tuple[Service, ...]
    callers: dict[CallerName, CallerClass]
    caller_delay_ms: float


def make_service(name: str, instances: int) -> Service:
    """Return a service of many small instances, which accept connections slowly."""
    return Service(CollectionName(name), instances, 2, 2, 25, 6.0)


VATUWAQA = Deployment(
    name="vatuwaqa",
    data_centres=(DataCentre("lautoka"), DataCentre("nadi"), DataCentre("ba")),
    services=(
        make_service("order-desk", 20),
        make_service("payments", 30),
        Service(CollectionName("dispatch"), 2, 3, 3, 110, 1.0),
        Service(CollectionName("job-board"), 2, 3, 3, 110, 1.0),
    ),
    callers={
        CallerName("order-desk"): CallerClass.FIRST,
        CallerName("payments"): CallerClass.SECOND,
        CallerName("dispatch"): CallerClass.SECOND,
        CallerName("job-board"): CallerClass.THIRD,
    },
    caller_delay_ms=1.0,
)

CHAIYAPHUM = Deployment(
    name="chaiyaphum",
    data_centres=tuple(
        DataCentre(name) for name in ("mueang", "kaeng-khro", "phu-khiao", "korat")
    ),
    services=(
        make_service("sales-desk", 20),
        make_service("ledger", 30),
        Service(CollectionName("gate-scanner"), 2, 4, 4, 40, 1.0),
        Service(CollectionName("price-board"), 2, 4, 4, 40, 1.0),
    ),
    callers={
        CallerName("sales-desk"): CallerClass.FIRST,
        CallerName("warehouse-gate"): CallerClass.SECOND,
        CallerName("ledger"): CallerClass.THIRD,
        CallerName("price-board"): CallerClass.THIRD,
    },
    caller_delay_ms=3.0,
)

DEPLOYMENTS = {item.name: item for item in (VATUWAQA, CHAIYAPHUM)}


def make_configuration(deployment: Deployment, block: str) -> Configuration:
    """Return the configuration document for targets in an address block.

    `block` is the first two octets of the IPv4 addresses, such as "127.20".
    """
    targets: dict[TargetId, Target] = {}
    collections: dict[CollectionName, Collection] = {}
    for number, service in enumerate(deployment.services):
        ids = []
        for index in range(service.instances):
            target_id = TargetId(f"{service.collection}-{index:02d}")
            ids.append(target_id)
            targets[target_id] = Target(
                address=str(Address(f"{block}.{10 + number}.{1 + index}", TARGET_PORT)),
                data_centre=deployment.data_centres[
                    index % len(deployment.data_centres)
                ],
                slots=service.slots,
                connections=service.connections,
            )
        collections[service.collection] = make_collection(service, ids)
    return Configuration(
        deployment=deployment.name,
        preset=PresetName.ORDINARY,
        targets=targets,
        collections=collections,
        callers={name: Caller(item) for name, item in deployment.callers.items()},
    )


def make_collection(service: Service, ids: list[TargetId]) -> Collection:
    """Return shards of equal size, each with its two replicas on a pair of instances.

    The two instances of a pair hold the same shards, so that one call can cover
    all of them.
    """
    count = service.instances * service.searchers // REPLICAS
    bounds = [round(index * KEY_SPACE / count) for index in range(count + 1)]
    return Collection(
        tuple(
            Shard(
                id=ShardId(f"{service.collection}-s{index:02d}"),
                start=bounds[index],
                end=bounds[index + 1],
                replicas=choose_pair(ids, index // service.searchers),
            )
            for index in range(count)
        )
    )


def choose_pair(ids: list[TargetId], pair: int) -> tuple[TargetId, ...]:
    """Return the two instances of a pair, which are in different data centres."""
    return (ids[2 * pair], ids[2 * pair + 1])

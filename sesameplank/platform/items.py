"""Decoding of items of the platform's store into the project's types.

The `Wire...` types have the field names of the stored JSON, with an explanation
where a name is unclear. They are used only for decoding.
"""

import base64
import binascii
import ipaddress
import re
from typing import Annotated

import msgspec

from ..core.published.routes import (
    RequestLimits,
    Route,
    RoutingConfiguration,
    Service,
    WeightedService,
)
from ..core.published.target_table import TargetPhase, TargetRecord
from ..decoding import decode_json
from ..exceptions import ConfigurationError, MalformedDocumentError
from ..ids import ConfigVersion, DataCentre, ServiceName, TargetId
from ..net import Address

CONFIG_KEY = "op/config"
TARGET_PREFIX = "servers/"
IDEMPOTENT_TYPE = "safe"
PHASES = {"ready": TargetPhase.READY, "draining": TargetPhase.DRAINING}
# The integers that every encoding of the project can carry.
MAX_INTEGER = 2**63 - 1
MAX_SLOTS = 65_535
MAX_WARM_UP_MS = 24 * 3_600 * 1_000
MAX_NAME_CHARACTERS = 200
MAX_LOGGED_CHARACTERS = 300
TARGET_ID_PATTERN = re.compile("[!-~]+")  # It is sent in a header.
WireInt = Annotated[int, msgspec.Meta(ge=-MAX_INTEGER, le=MAX_INTEGER)]
NonNegativeInt = Annotated[int, msgspec.Meta(ge=0, le=MAX_INTEGER)]
NonEmptyStr = Annotated[str, msgspec.Meta(min_length=1)]
ShortStr = Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARACTERS)]


class WireWeightedService(msgspec.Struct):
    """One of the services that share a route, with its weight."""

    service: NonEmptyStr
    weight: float


class WireRoute(msgspec.Struct):
    """A route.

    `type` is `safe` if its requests are idempotent and may be retried. `goal_ms`
    is the latency objective; 0 stands for `timeout_ms`. `min_share` is the least
    share of the shards in a successful answer.
    """

    name: str
    host: NonEmptyStr
    prefix: NonEmptyStr
    type: str
    timeout_ms: float
    goal_ms: float = 0.0
    attempts: WireInt = 1
    priority: WireInt = 0
    service: str = ""
    weighted_services: list[WireWeightedService] = []
    # The services that are searched together; each holds one shard of an index.
    gather: list[str] = []
    top_k: WireInt = 0
    min_share: float = 1.0


class WireService(msgspec.Struct):
    """A service.

    `max_conns` is the greatest number of connections that one of its targets
    accepts from all VMs together; 0 means that there is no known limit.
    """

    name: NonEmptyStr
    health_path: str = ""
    max_conns: WireInt = 0


class WireLimits(msgspec.Struct):
    """Limits on the size of callers' requests, the time to send one and idle time."""

    max_header_bytes: WireInt = 16_384
    max_body_bytes: WireInt = 262_144
    header_timeout_ms: float = 3_000
    idle_timeout_ms: float = 15_000


class WireConfig(msgspec.Struct):
    """The configuration; each version replaces the previous one completely."""

    version: Annotated[int, msgspec.Meta(ge=1, le=MAX_INTEGER)]
    routes: list[WireRoute] = []
    services: list[WireService] = []
    limits: WireLimits = msgspec.field(default_factory=WireLimits)


class WireTarget(msgspec.Struct):
    """The item that a target writes about itself; its key ends with the target's id.

    `zone` is its data centre and `version` the version of its software. `seq`
    counts its writes. `cold_left_ms` is the remaining time of its warm-up. `born`
    is the Unix time of its start in milliseconds, 0 if unknown.
    """

    service: Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_CHARACTERS)]
    addr: ShortStr
    zone: ShortStr
    slots: Annotated[int, msgspec.Meta(ge=0, le=MAX_SLOTS)]
    state: str
    version: str
    seq: NonNegativeInt
    cold_left_ms: Annotated[float, msgspec.Meta(le=MAX_WARM_UP_MS)] = 0.0
    born: NonNegativeInt = 0


def decode_value(text: str) -> bytes:
    """Return the bytes of an item's value, or raise ConfigurationError."""
    try:
        return base64.b64decode(text, validate=True)
    except (binascii.Error, ValueError) as error:
        raise ConfigurationError(
            f"an item's value is not valid base64: {error}; check its writer"
        ) from error


def decode_routing(document: bytes) -> RoutingConfiguration:
    """Return a configuration's routes, services and limits.

    Raises ConfigurationError if the document is malformed.
    """
    try:
        wire = decode_json(document, WireConfig)
    except MalformedDocumentError as error:
        raise ConfigurationError(
            f"the configuration is malformed: {error}; correct that field"
        ) from error
    limits = RequestLimits(
        wire.limits.max_header_bytes,
        wire.limits.max_body_bytes,
        wire.limits.header_timeout_ms / 1_000,
        wire.limits.idle_timeout_ms / 1_000,
    )
    return RoutingConfiguration(
        ConfigVersion(wire.version),
        tuple(make_route(route) for route in wire.routes),
        tuple(
            Service(ServiceName(item.name), item.health_path, item.max_conns)
            for item in wire.services
        ),
        limits,
    )


def make_route(wire: WireRoute) -> Route:
    """Return a decoded route as the project's type."""
    weighted = [
        WeightedService(ServiceName(item.service), item.weight)
        for item in wire.weighted_services
    ]
    if wire.service:
        weighted.append(WeightedService(ServiceName(wire.service), 1.0))
    return Route(
        name=wire.name,
        host=wire.host,
        prefix=wire.prefix,
        idempotent=wire.type == IDEMPOTENT_TYPE,
        timeout_s=wire.timeout_ms / 1_000,
        objective_s=(wire.goal_ms or wire.timeout_ms) / 1_000,
        max_attempts=max(1, wire.attempts),
        priority=wire.priority,
        services=tuple(weighted),
        shards=tuple(ServiceName(name) for name in wire.gather),
        top_k=wire.top_k,
        min_coverage=wire.min_share,
    )


def decode_target(key: str, value: bytes, revision: int) -> TargetRecord:
    """Return the target that an item describes, or raise ConfigurationError."""
    try:
        target = parse_target_id(key)
        wire = decode_json(value, WireTarget)
        check_address(Address.parse(wire.addr))
        phase = PHASES[wire.state]
    except (MalformedDocumentError, ValueError, KeyError) as error:
        reason = repr(error)[:MAX_LOGGED_CHARACTERS]
        raise ConfigurationError(
            f"the item {key!r} is not a valid target: {reason}; check its writer"
        ) from error
    return TargetRecord(
        id=target,
        service=ServiceName(wire.service),
        address=wire.addr,
        data_centre=DataCentre(wire.zone),
        slots=max(1, wire.slots),
        phase=phase,
        warm_up_ms=max(0, int(wire.cold_left_ms)),
        started_ms=wire.born,
        revision=revision,
    )


def check_address(address: Address) -> None:
    """Raise ValueError unless calls can be sent to an address."""
    ipaddress.IPv4Address(address.host)
    if not address.port:
        raise ValueError("port 0 accepts no calls; name the port that listens")


def parse_target_id(key: str) -> TargetId:
    """Return the target's id that ends a key, or raise ValueError."""
    name = key.removeprefix(TARGET_PREFIX)
    if not TARGET_ID_PATTERN.fullmatch(name):
        raise ValueError(f"{name!r} is no target's id; use printable ASCII characters")
    return TargetId(name)

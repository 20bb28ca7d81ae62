"""The items of the platform's store, decoded into the project's types.

Some names of the wire say little; the types here keep them, with a comment each
where they mislead, and are left behind at once.
"""

import base64
import binascii
from typing import Annotated

import msgspec

from ..core.routes import (
    RequestLimits,
    Route,
    RoutingConfiguration,
    Service,
    WeightedService,
)
from ..core.target_table import TargetPhase, TargetRecord
from ..exceptions import ConfigurationError
from ..ids import ConfigVersion, DataCentre, ServiceName, TargetId
from ..net import Address

CONFIG_KEY = "op/config"
TARGET_PREFIX = "servers/"
IDEMPOTENT_TYPE = "safe"
PHASES = {"ready": TargetPhase.READY, "draining": TargetPhase.DRAINING}
Whole = Annotated[int, msgspec.Meta(ge=0)]
Text = Annotated[str, msgspec.Meta(min_length=1)]


class WireWeighted(msgspec.Struct):
    """One of the services that share a route."""

    service: Text
    weight: float


class WireRoute(msgspec.Struct):
    """A route. `type` says what may be repeated; `goal_ms` is the objective."""

    name: str
    host: Text
    prefix: Text
    type: str
    timeout_ms: float
    goal_ms: float = 0.0
    attempts: int = 1
    priority: int = 0
    service: str = ""
    weighted_services: list[WireWeighted] = []
    # The services that are the shards of one index.
    gather: list[str] = []
    top_k: int = 0
    min_share: float = 1.0


class WireService(msgspec.Struct):
    """A service. `max_conns` counts the connections of all callers together."""

    name: Text
    health_path: str = ""
    max_conns: int = 0


class WireLimits(msgspec.Struct):
    """What a caller may send, and how long it may take."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 262_144
    header_timeout_ms: float = 3_000
    idle_timeout_ms: float = 15_000


class WireConfig(msgspec.Struct):
    """The newest configuration in full."""

    version: int
    routes: list[WireRoute] = []
    services: list[WireService] = []
    limits: WireLimits = msgspec.field(default_factory=WireLimits)


class WireTarget(msgspec.Struct):
    """What a target writes of itself; its id is the end of the key.

    `version` is that of its software. `seq` counts its writes. `born` is the
    Unix time of its start in milliseconds.
    """

    service: Text
    addr: Text
    zone: str
    slots: Whole
    state: str
    version: str
    seq: Whole
    cold_left_ms: float = 0.0
    born: int = 0


def decode_value(text: str) -> bytes:
    """Return the bytes of an item's value, or raise ConfigurationError."""
    try:
        return base64.b64decode(text, validate=True)
    except (binascii.Error, ValueError) as error:
        raise ConfigurationError(
            f"an item's value is not base64: {error}; look at its writer"
        ) from error


def decode_routing(document: bytes) -> RoutingConfiguration:
    """Return the routes of a configuration, or raise ConfigurationError."""
    try:
        wire = msgspec.json.decode(document, type=WireConfig)
    except msgspec.DecodeError as error:
        raise ConfigurationError(
            f"the configuration is refused: {error}; correct that field"
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
    """Return one route in the project's terms."""
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
    """Return the target that an item names, or raise ConfigurationError."""
    try:
        wire = msgspec.json.decode(value, type=WireTarget)
        Address.parse(wire.addr)
        phase = PHASES[wire.state]
    except (msgspec.DecodeError, ValueError, KeyError) as error:
        raise ConfigurationError(
            f"the entry {key!r} names no target: {error!r}; look at its writer"
        ) from error
    return TargetRecord(
        id=TargetId(key.removeprefix(TARGET_PREFIX)),
        service=ServiceName(wire.service),
        address=wire.addr,
        data_centre=DataCentre(wire.zone),
        slots=max(1, wire.slots),
        phase=phase,
        warm_up_ms=int(wire.cold_left_ms),
        started_ms=wire.born,
        revision=revision,
    )

"""Orders that a run gives its stand-ins, as they travel to the host process."""

import msgspec

from ..conf import Configuration, Vm
from ..ids import TargetId


class StandinOrder(msgspec.Struct, frozen=True, tag=True):
    """Base of the orders."""


class SlowTargets(StandinOrder, frozen=True):
    """Make targets slower by a factor; 1 restores them."""

    targets: tuple[TargetId, ...]
    factor: float


class KillTargets(StandinOrder, frozen=True):
    """Reset every connection of the targets and listen no more."""

    targets: tuple[TargetId, ...]


class RestoreTargets(StandinOrder, frozen=True):
    """Let killed targets listen again."""

    targets: tuple[TargetId, ...]


class DrainTargets(StandinOrder, frozen=True):
    """Let targets say that they are leaving, from now on."""

    targets: tuple[TargetId, ...]


class PublishConfiguration(StandinOrder, frozen=True):
    """Publish a configuration as the next version."""

    configuration: Configuration


class PublishVms(StandinOrder, frozen=True):
    """Publish a VM list."""

    vms: tuple[Vm, ...]


class SetPlatformDown(StandinOrder, frozen=True):
    """Let the platform refuse every call, or answer again."""

    down: bool


AnyStandinOrder = (
    SlowTargets
    | KillTargets
    | RestoreTargets
    | DrainTargets
    | PublishConfiguration
    | PublishVms
    | SetPlatformDown
)

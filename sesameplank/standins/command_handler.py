"""Carries out the commands that steer the stand-ins."""

import functools
from collections.abc import Callable
from typing import TYPE_CHECKING

import msgspec

from ..conf import TargetState, VmState
from ..ids import TargetId
from . import control
from .targets import TargetStandin

if TYPE_CHECKING:
    from .world import World


class CommandHandler:
    """Applies commands to a world of stand-ins."""

    def __init__(self, world: "World") -> None:
        self.world = world

    @functools.singledispatchmethod
    def apply(self, command: control.Command) -> None:
        """Carry out one command."""
        raise NotImplementedError(f"{type(command).__name__} has no implementation")

    def for_each_target(
        self, ids: tuple[TargetId, ...], action: Callable[[TargetStandin], None]
    ) -> None:
        """Do something to those of the targets that this group holds."""
        for target_id in ids:
            target = self.world.targets.get(target_id)
            if target is not None:
                action(target)

    @apply.register
    def apply_slow(self, command: control.SlowTargets) -> None:
        """Multiply service times."""

        def slow(target: TargetStandin) -> None:
            target.slow_factor = command.factor

        self.for_each_target(command.targets, slow)

    @apply.register
    def apply_stop(self, command: control.StopTargets) -> None:
        """Kill targets."""
        self.for_each_target(
            command.targets, lambda item: self.world.stop_server(item.target_id)
        )

    @apply.register
    def apply_start(self, command: control.StartTargets) -> None:
        """Start stopped targets, cold."""

        def start(target: TargetStandin) -> None:
            target.start_cold()
            if target.target_id not in self.world.servers:
                self.world.start_server(target.target_id)

        self.for_each_target(command.targets, start)

    @apply.register
    def apply_drain(self, command: control.DrainTargets) -> None:
        """Let targets say that they are leaving."""
        self.for_each_target(command.targets, TargetStandin.drain)

    @apply.register
    def apply_leave(self, command: control.LeaveTargets) -> None:
        """Publish targets as leaving."""
        self.for_each_target(command.targets, TargetStandin.note_leaving)
        targets = {
            target_id: msgspec.structs.replace(target, state=TargetState.LEAVING)
            if target_id in command.targets
            else target
            for target_id, target in self.world.direct_configuration.targets.items()
        }
        self.world.publish(
            msgspec.structs.replace(self.world.direct_configuration, targets=targets)
        )

    @apply.register
    def apply_preset(self, command: control.SetPreset) -> None:
        """Publish another preset."""
        self.world.publish(
            msgspec.structs.replace(
                self.world.direct_configuration, preset=command.preset
            )
        )

    @apply.register
    def apply_document(self, command: control.PublishDocument) -> None:
        """Publish a document as it is."""
        self.world.platform.publish_config(command.document.encode())

    @apply.register
    def apply_split(self, command: control.SplitShard) -> None:
        """Split a shard."""
        self.world.split_shard(command.collection, command.shard)

    @apply.register
    def apply_move(self, command: control.MoveShard) -> None:
        """Move a shard."""
        self.world.move_shard(command.collection, command.shard, command.replicas)

    @apply.register
    def apply_vms(self, command: control.SetVms) -> None:
        """Publish another VM list."""
        self.world.platform.publish_vms(
            tuple(
                msgspec.structs.replace(vm, state=VmState.LEAVING)
                if vm.id in command.leaving
                else vm
                for vm in self.world.published_vms
                if vm.id not in command.gone
            )
        )

    @apply.register
    def apply_platform(self, command: control.SetPlatform) -> None:
        """Take the service down or freeze it."""
        self.world.platform.set_down(command.down)
        self.world.platform.config.freeze(command.frozen_version)

    @apply.register
    def apply_target_faults(self, command: control.SetTargetFaults) -> None:
        """Set faults before targets."""
        for target_id, proxy in self.world.target_proxies.items():
            if not command.targets or target_id in command.targets:
                proxy.set_faults(command.faults)

    @apply.register
    def apply_partition(self, command: control.PartitionEntries) -> None:
        """Cut groups of entries off from each other."""
        self.world.peer_proxies.partition(
            [self.world.get_host(item) for item in command.left],
            [self.world.get_host(item) for item in command.right],
        )

    @apply.register
    def apply_loss(self, command: control.LoseBetween) -> None:
        """Lose one direction between two entries."""
        self.world.peer_proxies.block_one_way(
            self.world.get_host(command.source), self.world.get_host(command.sink)
        )

    @apply.register
    def apply_heal(self, command: control.HealEntries) -> None:
        """Lift every fault between entries."""
        self.world.peer_proxies.heal()

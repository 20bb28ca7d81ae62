"""Applies the control commands to the stand-ins."""

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
    """Applies control commands to the stand-ins of a world."""

    def __init__(self, world: "World") -> None:
        self.world = world

    @functools.singledispatchmethod
    def apply(self, command: control.Command) -> None:
        """Apply one command, or raise NotImplementedError for an unknown type."""
        raise NotImplementedError(f"{type(command).__name__} has no implementation")

    def for_each_target(
        self, ids: tuple[TargetId, ...], action: Callable[[TargetStandin], None]
    ) -> None:
        """Call `action` for each of the targets that runs in this process."""
        for target_id in ids:
            target = self.world.targets.get(target_id)
            if target is not None:
                action(target)

    @apply.register
    def apply_slow(self, command: control.SlowTargets) -> None:
        """Multiply the service times of targets."""

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
        """Start stopped targets, which serve slowly at first."""

        def start(target: TargetStandin) -> None:
            target.start_cold()
            if target.target_id not in self.world.servers:
                self.world.start_server(target.target_id)

        self.for_each_target(command.targets, start)

    @apply.register
    def apply_drain(self, command: control.DrainTargets) -> None:
        """Make targets report that they are leaving."""
        self.for_each_target(command.targets, TargetStandin.drain)

    @apply.register
    def apply_leave(self, command: control.LeaveTargets) -> None:
        """Publish a configuration that marks targets as leaving."""
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
        """Publish the configuration with another preset."""
        self.world.publish(
            msgspec.structs.replace(
                self.world.direct_configuration, preset=command.preset
            )
        )

    @apply.register
    def apply_document(self, command: control.PublishDocument) -> None:
        """Publish a document without validating it."""
        self.world.platform.publish_config(command.document.encode())

    @apply.register
    def apply_split(self, command: control.SplitShard) -> None:
        """Split a shard into two halves."""
        self.world.split_shard(command.collection, command.shard)

    @apply.register
    def apply_move(self, command: control.MoveShard) -> None:
        """Move a shard to other targets."""
        self.world.move_shard(command.collection, command.shard, command.replicas)

    @apply.register
    def apply_vms(self, command: control.SetVms) -> None:
        """Publish a VM list with the leaving VMs marked and the gone ones left out."""
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
        """Take the configuration service down or freeze its version, or restore it."""
        self.world.platform.set_down(command.down)
        self.world.platform.config.freeze(command.frozen_version)

    @apply.register
    def apply_target_faults(self, command: control.SetTargetFaults) -> None:
        """Set the faults of the proxies in front of targets."""
        for target_id, proxy in self.world.target_proxies.items():
            if not command.targets or target_id in command.targets:
                proxy.set_faults(command.faults)

    @apply.register
    def apply_partition(self, command: control.PartitionEntries) -> None:
        """Partition the network between two groups of entries."""
        self.world.peer_proxies.partition(
            [self.world.get_host(item) for item in command.left],
            [self.world.get_host(item) for item in command.right],
        )

    @apply.register
    def apply_loss(self, command: control.LoseBetween) -> None:
        """Block one direction between two entries."""
        self.world.peer_proxies.block_one_way(
            self.world.get_host(command.source), self.world.get_host(command.sink)
        )

    @apply.register
    def apply_heal(self, command: control.HealEntries) -> None:
        """Remove all faults between entries."""
        self.world.peer_proxies.heal()

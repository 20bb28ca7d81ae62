"""Settings of a process, and documents published by the platform."""

from .documents import (
    Caller,
    CallerClass,
    Collection,
    Configuration,
    Policy,
    PresetName,
    PublishedConfiguration,
    PublishedVms,
    Shard,
    Target,
    TargetState,
    Vm,
    VmState,
)
from .validation import decode_configuration, list_faults

__all__ = [
    "Caller",
    "CallerClass",
    "Collection",
    "Configuration",
    "Policy",
    "PresetName",
    "PublishedConfiguration",
    "PublishedVms",
    "Shard",
    "Target",
    "TargetState",
    "Vm",
    "VmState",
    "decode_configuration",
    "list_faults",
]

"""Rules that tie the parts of a configuration document together."""

from collections.abc import Iterator

import msgspec

from ..core.ranges import KEY_SPACE
from ..ids import CollectionName
from .documents import Collection, Configuration


class Fault(msgspec.Struct, frozen=True):
    """One broken rule: where, what and how to mend it."""

    path: str
    message: str
    remedy: str

    def __str__(self) -> str:
        return f"{self.path}: {self.message}; {self.remedy}"


def find_faults(configuration: Configuration) -> list[Fault]:
    """Return every broken rule of the document, in document order."""
    faults = list(find_target_faults(configuration))
    for name, collection in configuration.collections.items():
        faults.extend(find_collection_faults(configuration, name, collection))
    faults.extend(find_preset_faults(configuration))
    return faults


def find_preset_faults(configuration: Configuration) -> Iterator[Fault]:
    """Yield presets whose default deadline is beyond their longest one."""
    for name, policy in configuration.presets.items():
        if policy.default_deadline_ms > policy.max_deadline_ms:
            yield Fault(
                f"$.presets.{name.value}.default_deadline_ms",
                f"{policy.default_deadline_ms} is above max_deadline_ms, "
                f"{policy.max_deadline_ms}",
                "lower it or raise max_deadline_ms",
            )


def find_target_faults(configuration: Configuration) -> Iterator[Fault]:
    """Yield targets that share an address."""
    seen: dict[str, str] = {}
    for target_id, target in configuration.targets.items():
        other = seen.setdefault(target.address, target_id)
        if other != target_id:
            yield Fault(
                f"$.targets.{target_id}.address",
                f"{target.address} is also the address of {other}",
                "give each target its own address",
            )


def find_collection_faults(
    configuration: Configuration, name: CollectionName, collection: Collection
) -> Iterator[Fault]:
    """Yield gaps, overlaps, doubled ids and unknown targets of a collection."""
    path = f"$.collections.{name}.shards"
    yield from find_gaps(path, collection)
    seen: set[str] = set()
    for index, shard in enumerate(collection.shards):
        if shard.id in seen:
            yield Fault(
                f"{path}[{index}].id",
                f"{shard.id} stands twice",
                "give each shard its own id",
            )
        seen.add(shard.id)
        for target_id in shard.replicas:
            if target_id not in configuration.targets:
                yield Fault(
                    f"{path}[{index}].replicas",
                    f"{target_id} is not a target",
                    "add it to $.targets or drop the replica",
                )
        if len(set(shard.replicas)) < len(shard.replicas):
            yield Fault(
                f"{path}[{index}].replicas",
                "a target stands twice",
                "name each replica once",
            )


def find_gaps(path: str, collection: Collection) -> Iterator[Fault]:
    """Yield the places where shards do not tile the key space exactly."""
    expected = 0
    for shard in sorted(collection.shards, key=lambda item: item.start):
        if shard.start != expected:
            yield Fault(
                path,
                f"shard {shard.id} starts at {shard.start}, not at {expected}",
                f"let shards tile 0 to {KEY_SPACE} without gap or overlap",
            )
        expected = max(shard.end, shard.start + 1)
    if expected != KEY_SPACE:
        yield Fault(
            path,
            f"the last shard ends at {expected}, not at {KEY_SPACE}",
            f"let shards tile 0 to {KEY_SPACE} without gap or overlap",
        )

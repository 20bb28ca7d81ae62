"""Rules for the consistency of the parts of a configuration document."""

import ipaddress
from collections.abc import Iterator

import msgspec

from ..core.search.ranges import KEY_SPACE
from ..ids import CollectionName
from ..net import Address
from .documents import Collection, Configuration


class DocumentFault(msgspec.Struct, frozen=True):
    """A violation of a rule, with the JSON path, the message and the remedy."""

    path: str
    message: str
    remedy: str

    def __str__(self) -> str:
        return f"{self.path}: {self.message}; {self.remedy}"


def find_faults(configuration: Configuration) -> list[DocumentFault]:
    """Return the faults of the targets, collections and presets."""
    faults = list(find_target_faults(configuration))
    for name, collection in configuration.collections.items():
        faults.extend(find_collection_faults(configuration, name, collection))
    faults.extend(find_preset_faults(configuration))
    return faults


def find_preset_faults(configuration: Configuration) -> Iterator[DocumentFault]:
    """Yield a fault for each preset whose default deadline exceeds its maximum."""
    for name, policy in configuration.presets.items():
        if policy.default_deadline_ms > policy.max_deadline_ms:
            yield DocumentFault(
                f"$.presets.{name.value}.default_deadline_ms",
                f"{policy.default_deadline_ms} is above max_deadline_ms, "
                f"{policy.max_deadline_ms}",
                "lower it or raise max_deadline_ms",
            )


def find_target_faults(configuration: Configuration) -> Iterator[DocumentFault]:
    """Yield a fault for each address that can't be used or that another target has."""
    seen: dict[str, str] = {}
    for target_id, target in configuration.targets.items():
        problem = find_address_problem(target.address)
        if problem:
            yield DocumentFault(
                f"$.targets.{target_id}.address",
                problem,
                "write it as IP:PORT, with a port from 1 to 65535",
            )
        other = seen.setdefault(target.address, target_id)
        if other != target_id:
            yield DocumentFault(
                f"$.targets.{target_id}.address",
                f"{target.address} is also the address of {other}",
                "give each target its own address",
            )


def find_address_problem(text: str) -> str:
    """Return why a target can't have an address, or an empty string if it can."""
    try:
        address = Address.parse(text)
        ipaddress.ip_address(address.host)
    except ValueError as error:
        return str(error)
    return "" if address.port else f"{text!r} has the port 0"


def find_collection_faults(
    configuration: Configuration, name: CollectionName, collection: Collection
) -> Iterator[DocumentFault]:
    """Yield gaps, overlaps, duplicate ids and invalid replicas of a collection."""
    path = f"$.collections.{name}.shards"
    yield from find_gaps(path, collection)
    seen: set[str] = set()
    for index, shard in enumerate(collection.shards):
        if shard.id in seen:
            yield DocumentFault(
                f"{path}[{index}].id",
                f"{shard.id} is the id of more than one shard",
                "give each shard its own id",
            )
        seen.add(shard.id)
        for target_id in shard.replicas:
            if target_id not in configuration.targets:
                yield DocumentFault(
                    f"{path}[{index}].replicas",
                    f"{target_id} is not a target",
                    "add it to $.targets or drop the replica",
                )
        if len(set(shard.replicas)) < len(shard.replicas):
            yield DocumentFault(
                f"{path}[{index}].replicas",
                "a target is listed more than once",
                "list each replica once",
            )


def find_gaps(path: str, collection: Collection) -> Iterator[DocumentFault]:
    """Yield a fault for each gap or overlap of the shards in the key space."""
    expected = 0
    for shard in sorted(collection.shards, key=lambda item: item.start):
        if shard.start != expected:
            yield DocumentFault(
                path,
                f"shard {shard.id} starts at {shard.start}, not at {expected}",
                f"make the shards cover 0 to {KEY_SPACE} without gaps or overlaps",
            )
        expected = max(shard.end, shard.start + 1)
    if expected != KEY_SPACE:
        yield DocumentFault(
            path,
            f"the last shard ends at {expected}, not at {KEY_SPACE}",
            f"make the shards cover 0 to {KEY_SPACE} without gaps or overlaps",
        )

"""The answers of a request's shards, and the greatest records of all of them.

An answer arrives from a target, or merged with answers of other shards by a VM near
the targets. A merged answer cannot be taken apart, so it replaces the answers that
single targets gave for its shards.
"""

from collections.abc import Mapping

from ...ids import ServiceName
from .record_merge import RecordMerge, merge_parts


class GatheredParts:
    """The signatures and records of the answered shards.

    `signatures` maps each answered shard to the signature of its answer. `bodies`
    holds the records of each answer under one of its shards.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.signatures: dict[ServiceName, str] = {}
        self.bodies: dict[ServiceName, bytes | bytearray] = {}
        self.merge = RecordMerge(limit)
        self.is_replaced = False

    def add(self, shard: ServiceName, signature: str, body: bytes | bytearray) -> None:
        """Add the answer of one shard that has none yet."""
        self.add_merged({shard: signature}, body)

    def add_merged(
        self, signatures: Mapping[ServiceName, str], body: bytes | bytearray
    ) -> None:
        """Add the merged answer of some shards, in place of single ones."""
        for shard in signatures:
            if shard in self.bodies:
                del self.bodies[shard]
                self.is_replaced = True
        self.signatures.update(signatures)
        self.bodies[next(iter(signatures))] = body
        self.merge.add(body)

    def get_body(self) -> bytes:
        """Return the greatest records of all answers in descending order."""
        if self.is_replaced:
            return merge_parts(self.bodies.values(), self.limit)
        return self.merge.get_body()

"""The newest snapshot that a caller has seen of each collection."""

from ..ids import CollectionName, Snapshot


class SeenSnapshots:
    """Remembers snapshots, so that a later answer is never older than an earlier."""

    def __init__(self) -> None:
        self.newest: dict[CollectionName, Snapshot] = {}

    def get(self, collection: CollectionName) -> Snapshot:
        """Return the newest snapshot seen, 0 for none."""
        return self.newest.get(collection, Snapshot(0))

    def note(self, collection: CollectionName, snapshot: Snapshot) -> None:
        """Remember a snapshot if it is newer."""
        self.newest[collection] = max(self.get(collection), snapshot)

"""The newest snapshot of each collection that a caller has seen."""

from ..ids import CollectionName, Snapshot


class SeenSnapshots:
    """Stores snapshot numbers, so that no answer is older than an earlier answer."""

    def __init__(self) -> None:
        self.newest: dict[CollectionName, Snapshot] = {}

    def get(self, collection: CollectionName) -> Snapshot:
        """Return the newest snapshot seen, or 0 if there is none."""
        return self.newest.get(collection, Snapshot(0))

    def note(self, collection: CollectionName, snapshot: Snapshot) -> None:
        """Record a snapshot if it is newer than the stored one."""
        self.newest[collection] = max(self.get(collection), snapshot)

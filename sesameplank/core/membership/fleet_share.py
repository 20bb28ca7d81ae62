"""The share of the fleet that one process sees.

Whatever the fleet shares is divided without agreement, so the shares of the sides of a
network partition have to add up to 1 at most. Each side counts its VMs, compared with
the largest fleet that it has seen in MAX_PARTITION_S.
"""

from ..common.recent_maximum import RecentMaximum

MAX_PARTITION_S = 600.0


class FleetShare:
    """The VMs that a process sees, as a share of the largest fleet that it knows.

    `named_vms` is the number of VMs that the settings name, including its own.
    `largest` is the size of the largest fleet known, and `share` is from 0 to 1.
    `has_seen_others` says that the process has ever seen another one.
    """

    def __init__(self, named_vms: int = 1) -> None:
        self.named_vms = named_vms
        self.present = RecentMaximum(MAX_PARTITION_S)
        self.told = RecentMaximum(MAX_PARTITION_S)
        self.has_seen_others = False
        self.largest = named_vms
        self.share = 1.0

    def update(self, present: int, now: float) -> None:
        """Apply the number of VMs that the process believes to be running at `now`.

        `present` includes its own, and none that only the settings name; `now` is in
        seconds.
        """
        seen = self.present.update(present, now)
        self.has_seen_others = self.has_seen_others or seen > 1
        self.largest = max(self.named_vms, seen, self.told.get(now))
        self.share = present / self.largest

    def note_told(self, largest: int, now: float) -> None:
        """Record the size of the largest fleet that another VM knows.

        A process that has just started hasn't seen the VMs that are away.
        """
        self.told.update(max(largest, self.told.get(now)), now)

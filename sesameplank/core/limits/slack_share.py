"""The part of the fleet's slack for extra load that one process may use.

The slack is divided among the active VMs, to which callers are sent. The processes
don't agree on it, so the parts have to add up to 1 at most for whatever each of them
believes. In a network partition, each side knows only some of the VMs and sends callers
to its own active ones. A side therefore uses only as much of the slack as it has VMs,
see `fleet_share`.

A process that started during a partition has seen no larger fleet. The number of VMs
among which the slack is divided is therefore never less than the number that can be
active at all, which follows from the configuration.
"""

from ..membership.fleet_share import FleetShare

MIN_ACTIVE_VMS = 4
# Among so many VMs the slack is divided until a process has heard of another one.
UNKNOWN_FLEET_SIZE = 64


class SlackShare:
    """The part of the slack that this process may use, from 0 to 1."""

    def __init__(self) -> None:
        self.fleet = FleetShare()

    def update(
        self, now: float, *, present: int, active: int, useful: int, is_active: bool
    ) -> float:
        """Return the part for the view that this process has at `now`, in seconds.

        `present` is the number of VMs that it believes to be running, including its
        own, and `active` the number of those that callers are sent to. `useful` is
        the number that can be active by the configuration, 0 if unknown.
        """
        self.fleet.update(present, now)
        if not is_active:
            return 0.0
        parts = max(active, useful, MIN_ACTIVE_VMS)
        if self.fleet.largest <= 1:
            parts = max(parts, UNKNOWN_FLEET_SIZE)
        return self.fleet.share / parts

"""What a scenario acts on: the stand-ins, the entries and the clock of a run."""

import random
import time

import gevent

from ..conf import Configuration
from ..logs import log_event
from ..standins import control
from ..standins.deployments import Deployment
from ..standins.fleet import Fleet
from .processes import Standins


class Stage:
    """One run as a scenario sees it.

    `killed_entries` are the callers' addresses of entries that the scenario
    harmed, whose broken connections are no fault of theirs.
    """

    def __init__(
        self,
        deployment: Deployment,
        configuration: Configuration,
        standins: Standins,
        fleet: Fleet,
        rng: random.Random,
    ) -> None:
        self.deployment = deployment
        self.configuration = configuration
        self.standins = standins
        self.fleet = fleet
        self.rng = rng
        self.start_at = 0.0
        self.seconds = 0.0
        self.killed_entries: set[str] = set()

    def begin(self, start_at: float, seconds: float) -> None:
        """Fix when the measured part begins, monotonic, and how long it lasts."""
        self.start_at = start_at
        self.seconds = seconds

    def wait_until(self, share: float) -> None:
        """Return when this share of the measured part has passed."""
        due_at = self.start_at + share * self.seconds
        gevent.sleep(max(0.0, due_at - time.monotonic()))

    def steer(self, command: control.Command) -> None:
        """Send a command to the stand-ins."""
        log_event("standins_steered", command=type(command).__name__)
        self.standins.steer(command)

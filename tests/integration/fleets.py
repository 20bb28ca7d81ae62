"""Base class of tests that run a fleet of entry processes."""

import signal

import gevent
import testtools

from sesameplank.standins.deployments import VATUWAQA
from sesameplank.standins.fleet import EntryProcess, Fleet, reserve_block
from sesameplank.standins.fleetmeter import get_state
from sesameplank.standins.world import World, WorldOptions

WAIT_S = 60.0
POLL_S = 0.1


class FleetTestCase(testtools.TestCase):
    """Starts stand-ins and a fleet whose peers connect through fault proxies."""

    def start_fleet(self, entries: int, *flags: str) -> None:
        block = self.enterContext(reserve_block())
        options = WorldOptions(entries=entries, proxied_peers=True)
        self.world = self.enterContext(World(VATUWAQA, block, 3, options=options))
        self.fleet = self.enterContext(
            Fleet(
                self.world.vms,
                self.world.platform_address,
                ("--health_interval_s=5", *flags),
            )
        )

    def wait_for(self, condition, description: str) -> None:
        """Return once the condition holds, or fail after `WAIT_S` seconds."""
        with gevent.Timeout(
            WAIT_S, AssertionError(f"timed out waiting for: {description}")
        ):
            while not condition():
                gevent.sleep(POLL_S)

    def get_running(self) -> list[EntryProcess]:
        return [item for item in self.fleet.entries if item.process.poll() is None]

    def get_live_members(self, entry: EntryProcess) -> set[str]:
        """Return the members that an entry regards as neither dead nor left."""
        members = get_state(entry)["fleet"]["members"]
        return {
            name
            for name, item in members.items()
            if item["health"] != "dead" and item["phase"] != "left"
        }

    def wait_for_views(self, groups: list[list[EntryProcess]]) -> None:
        """Return once each entry regards exactly the entries of its group as live."""
        for group in groups:
            expected = {entry.vm.id for entry in group}
            for entry in group:
                self.wait_for(
                    lambda entry=entry, expected=expected: (
                        self.get_live_members(entry) == expected
                    ),
                    f"{entry.vm.id} sees exactly {sorted(expected)}",
                )

    def wait_for_version(self, entries, version: int) -> None:
        for entry in entries:
            self.wait_for(
                lambda entry=entry: get_state(entry)["config_version"] == version,
                f"{entry.vm.id} has version {version}",
            )

    def get_hosts(self, entries) -> list[str]:
        return [entry.address.host for entry in entries]

    def resume_on_cleanup(self, entry: EntryProcess) -> None:
        """Resume a paused process when the test ends, whether it passes or fails."""
        self.addCleanup(entry.signal, signal.SIGCONT)

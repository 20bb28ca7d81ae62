"""What the tests of whole fleets have in common."""

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
    """Starts a world and a fleet behind fault proxies."""

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
        """Return once the condition holds, or fail after a generous time."""
        with gevent.Timeout(WAIT_S, AssertionError(f"never: {description}")):
            while not condition():
                gevent.sleep(POLL_S)

    def get_running(self) -> list[EntryProcess]:
        return [item for item in self.fleet.entries if item.process.poll() is None]

    def get_live_members(self, entry: EntryProcess) -> set[str]:
        """Return the entries that one entry believes to run."""
        members = get_state(entry)["fleet"]["members"]
        return {
            name
            for name, item in members.items()
            if item["health"] != "dead" and item["phase"] != "left"
        }

    def wait_for_views(self, groups: list[list[EntryProcess]]) -> None:
        """Return once each group of entries sees just itself."""
        for group in groups:
            expected = {entry.vm.id for entry in group}
            for entry in group:
                self.wait_for(
                    lambda entry=entry, expected=expected: (
                        self.get_live_members(entry) == expected
                    ),
                    f"{entry.vm.id} sees {sorted(expected)}",
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
        """Let a stopped process run again whatever the test's verdict."""
        self.addCleanup(entry.signal, signal.SIGCONT)

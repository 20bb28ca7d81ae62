"""Measure the cost and the latency of coordination at several fleet sizes."""

import msgspec

from ..conf.settings import Setting
from ..standins.deployments import DEPLOYMENTS
from ..standins.fleet import Fleet, reserve_block
from ..standins.fleetmeter import FleetFigures, measure_fleet
from ..standins.world import World
from .base import Command, run_command


class FleetMeterCommand(Command):
    """Print the figures of each fleet size as one line of JSON."""

    help = "Measures control traffic, processor share and the time that a change takes."
    settings = (
        Setting("deployment", "vatuwaqa", "vatuwaqa or chaiyaphum."),
        Setting("sizes", "8,16,32", "Numbers of entries, with commas."),
        Setting("window_s", 10.0, "Seconds over which rates are taken."),
        Setting("changes", 3, "Configurations to publish at each size."),
        Setting("seed", 1, "Seed of the records."),
    )

    def handle(self, arguments: list[str], values: dict) -> int:
        """Measure a fleet of each size, one after another."""
        for size in values["sizes"].split(","):
            figures = self.measure(int(size), values)
            print(msgspec.json.encode(figures).decode(), flush=True)
        return 0

    def measure(self, size: int, values: dict) -> FleetFigures:
        """Run a fleet of `size` entries against stand-ins and return its figures."""
        deployment = DEPLOYMENTS[values["deployment"]]
        flags = ("--health_interval_s=1000",)
        with (
            reserve_block() as block,
            World(deployment, block, values["seed"], size) as world,
            Fleet(world.vms, world.platform_address, flags) as fleet,
        ):
            return measure_fleet(world, fleet, values["window_s"], values["changes"])


def main() -> None:
    """Run the binary."""
    run_command(FleetMeterCommand())


if __name__ == "__main__":
    main()

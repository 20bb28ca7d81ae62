"""Run stand-ins for the platform and the targets of a deployment."""

import gevent
import msgspec
from gevent.event import Event

from ..conf.settings import Setting
from ..standins.deployments import DEPLOYMENTS
from ..standins.world import World
from .base import Command, run_command


class StandinCommand(Command):
    """Serve stand-ins until told to stop."""

    help = "Runs stand-ins for the platform and all targets of one deployment."
    settings = (
        Setting("deployment", "vatuwaqa", "vatuwaqa or chaiyaphum."),
        Setting("block", "127.10", "First two numbers of the loopback addresses."),
        Setting("seed", 1, "Seed of records and service times."),
        Setting("entries", 3, "Entry VMs in the published list."),
    )

    def handle(self, arguments: list[str], values: dict) -> int:
        """Serve until SIGTERM or SIGINT."""
        stopping = Event()
        for number in (15, 2):
            gevent.signal_handler(number, stopping.set)
        deployment = DEPLOYMENTS[values["deployment"]]
        world = World(deployment, values["block"], values["seed"], values["entries"])
        with world:
            print(msgspec.json.encode(world.vms).decode(), flush=True)
            stopping.wait()
        return 0


def main() -> None:
    """Run the binary."""
    run_command(StandinCommand())


if __name__ == "__main__":
    main()

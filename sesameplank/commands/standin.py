"""Run stand-ins for the platform and the targets of a deployment."""

import gevent
import msgspec
from gevent.event import Event

from ..conf.settings import Setting
from ..exceptions import SettingsError
from ..standins.deployments import DEPLOYMENTS
from ..standins.targets import Noise
from ..standins.world import World, WorldOptions
from .base import Command, run_command


class StandinCommand(Command):
    """Serve stand-ins until a signal stops the process."""

    help = "Runs stand-ins for the platform and all targets of one deployment."
    settings = (
        Setting("deployment", "vatuwaqa", "vatuwaqa or chaiyaphum."),
        Setting("block", "127.10", "First two numbers of the loopback addresses."),
        Setting("seed", 1, "Seed of records and service times."),
        Setting("entries", 3, "Entry VMs in the published list."),
        Setting("group", 0, "Which group of targets this process holds."),
        Setting("groups", 1, "Processes that the targets are spread over."),
        Setting(
            "started_at",
            0.0,
            "When snapshot 1 begins, in seconds of the monotonic clock; 0 is now.",
        ),
        Setting("proxied_targets", False, "Put fault proxies before targets."),
        Setting("proxied_peers", False, "Put fault proxies before peer ports."),
        Setting("noise", False, "Slow targets down for moments, as neighbours do."),
    )

    def handle(self, arguments: list[str], values: dict) -> int:
        """Serve until SIGTERM or SIGINT."""
        stopping = Event()
        for signal_number in (15, 2):
            gevent.signal_handler(signal_number, stopping.set)
        deployment = DEPLOYMENTS.get(values["deployment"])
        if deployment is None:
            raise SettingsError(
                f"--deployment={values['deployment']} is unknown; "
                f"use one of {', '.join(DEPLOYMENTS)}"
            )
        options = WorldOptions(
            entries=values["entries"],
            group=values["group"],
            groups=values["groups"],
            started_at=values["started_at"] or None,
            proxied_targets=values["proxied_targets"],
            proxied_peers=values["proxied_peers"],
            noise=Noise() if values["noise"] else None,
        )
        with World(
            deployment, values["block"], values["seed"], options=options
        ) as world:
            print(msgspec.json.encode(world.vms).decode(), flush=True)
            stopping.wait()
        return 0


def main() -> None:
    """Run the binary."""
    run_command(StandinCommand())


if __name__ == "__main__":
    main()

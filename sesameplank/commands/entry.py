"""Run the process of an entry VM."""

import signal

import gevent

from ..conf.settings import Setting
from ..entry import Entry, EntrySettings
from ..exits import end_process
from ..ids import DataCentre, EntryId
from ..monitoring.dump import print_dump
from ..net import Address
from .base import Command, run_command


class EntryCommand(Command):
    """Serve callers from this VM until a signal stops the process."""

    help = "Serves callers: answers searches and bookings over many targets."
    settings = (
        Setting("entry_id", "", "This VM's id in the platform's VM list."),
        Setting("data_centre", "", "The data centre that this VM stands in."),
        Setting("address", "127.0.0.1:8080", "IP:PORT that callers connect to."),
        Setting("peer_address", "127.0.0.1:8081", "IP:PORT for other entries."),
        Setting("platform_address", "127.0.0.1:7000", "IP:PORT of the platform."),
        Setting("health_interval_s", 1.0, "Seconds between polls of a target."),
        Setting("address_ttl_s", 5.0, "Seconds for which callers keep addresses."),
        Setting("start_spread_s", 1.0, "Seconds over which a starting fleet reads."),
        Setting("drain_timeout_s", 10.0, "Seconds to finish requests on a stop."),
        Setting("connection_homes", 8, "Entries that hold connections to a target."),
        Setting("connection_headroom", 4, "Entries that may act on an old VM list."),
        Setting("max_caller_connections", 1_000, "Connections of callers at a time."),
        Setting("slow_request_s", 1.0, "Seconds from which a request is logged."),
        Setting("seed", 0, "Seed of random choices; 0 draws one."),
    )

    def handle(self, arguments: list[str], values: dict) -> int:
        """Run the entry until SIGTERM or SIGINT, and end the process."""
        settings = EntrySettings(
            entry_id=EntryId(values["entry_id"]),
            data_centre=DataCentre(values["data_centre"]),
            address=Address.parse(values["address"]),
            peer_address=Address.parse(values["peer_address"]),
            platform_address=Address.parse(values["platform_address"]),
            health_interval_s=values["health_interval_s"],
            address_ttl_s=values["address_ttl_s"],
            seed=values["seed"],
            start_spread_s=values["start_spread_s"],
            drain_timeout_s=values["drain_timeout_s"],
            connection_homes=values["connection_homes"],
            connection_headroom=values["connection_headroom"],
            max_caller_connections=values["max_caller_connections"],
            slow_request_s=values["slow_request_s"],
        )
        entry = Entry(settings)
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            gevent.signal_handler(signal_number, entry.request_stop)
        gevent.signal_handler(signal.SIGUSR1, print_dump, entry)
        with entry:  # It listens from here on, so the handlers are in place before.
            entry.wait()
        end_process(0)


def main() -> None:
    """Run the binary."""
    run_command(EntryCommand())


if __name__ == "__main__":
    main()

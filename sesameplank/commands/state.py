"""Fetch the state dump of an entry."""

import msgspec
from geventhttpclient import HTTPClient

from ..conf.settings import Setting
from ..exceptions import PlatformError
from ..net import Address
from .base import Command, run_command


class StateCommand(Command):
    """Print the state dump of one entry as JSON."""

    help = "Prints the state dump of the entry at --entry_address."
    settings = (Setting("entry_address", "127.0.0.1:8080", "IP:PORT of the entry."),)

    def handle(self, arguments: list[str], values: dict) -> int:
        """Fetch and print the dump."""
        address = Address.parse(values["entry_address"])
        client = HTTPClient(address.host, address.port, concurrency=1)
        try:
            body = bytes(client.get("/state").read())
        except Exception as error:
            raise PlatformError(
                f"no state dump from {address}: {error!r}; check the address"
            ) from error
        finally:
            client.close()
        print(msgspec.json.format(body, indent=2).decode())
        return 0


def main() -> None:
    """Run the binary."""
    run_command(StateCommand())


if __name__ == "__main__":
    main()

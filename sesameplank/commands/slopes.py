"""Measure the slopes that the capacity page uses: the cost of one more unit."""

import msgspec

from ..load.slopes import measure_all
from .base import Command, run_command


class SlopesCommand(Command):
    """Print the cost to a process of one more target, shard, peer or call."""

    help = "Measures what one more unit costs a process, and prints JSON lines."

    def handle(self, arguments: list[str], values: dict) -> int:
        """Measure and print every slope."""
        for slope in measure_all():
            print(msgspec.json.encode(slope).decode(), flush=True)
        return 0


def main() -> None:
    """Run the binary."""
    run_command(SlopesCommand())


if __name__ == "__main__":
    main()

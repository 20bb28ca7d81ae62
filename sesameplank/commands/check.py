"""Validate a configuration document before it is published."""

from pathlib import Path

from ..conf import list_faults
from ..exceptions import BadRequestError
from .base import Command, run_command

EXIT_FAULTS = 1


class CheckCommand(Command):
    """Print each fault of a configuration document, with its path and remedy."""

    help = (
        "Checks a configuration document.\n\n"
        "  sesameplank-check FILE\n\n"
        "Prints one line for each fault; exits with 1 if there is any."
    )

    def handle(self, arguments: list[str], values: dict) -> int:
        """Check the file named by the only argument."""
        if len(arguments) != 1:
            raise BadRequestError("expected exactly one FILE; see --help")
        try:
            document = Path(arguments[0]).read_bytes()
        except OSError as error:
            raise BadRequestError(
                f"cannot read the document: {error}; name a readable file"
            ) from error
        faults = list_faults(document)
        for fault in faults:
            print(fault)
        if not faults:
            print("no faults")
        return EXIT_FAULTS if faults else 0


def main() -> None:
    """Run the binary."""
    run_command(CheckCommand())


if __name__ == "__main__":
    main()

"""What the binaries have in common."""

import sys
from abc import ABC, abstractmethod

from absl import app, flags, logging

from ..conf.checks import run_checks
from ..conf.settings import Setting, define_settings, get_value
from ..exceptions import SesameplankError

EXIT_USAGE = 2


class Command(ABC):
    """One binary: its help, its settings and what it does.

    Subclasses set `help` and `settings`, and implement `handle`.
    """

    help = ""
    settings: tuple[Setting, ...] = ()

    @abstractmethod
    def handle(self, arguments: list[str], values: dict) -> int:
        """Do the work and return the exit code.

        `arguments` are the words that are not flags; `values` are the checked
        settings by name.
        """

    def run(self, argv: list[str]) -> int:
        """Check the settings and run `handle`; errors go to standard error."""
        logging.use_absl_handler()
        logging.set_verbosity(logging.INFO)
        values = {item.name: get_value(item.name) for item in self.settings}
        try:
            run_checks(values)
            return self.handle(argv[1:], values)
        except SesameplankError as error:
            print(f"error: {error}", file=sys.stderr)
            return EXIT_USAGE
        except KeyboardInterrupt:
            return EXIT_USAGE


def run_command(command: Command) -> None:
    """Define the command's settings, parse the command line, and exit."""
    sys.modules["__main__"].__doc__ = command.help
    try:
        define_settings(command.settings)
    except SesameplankError as error:
        print(f"error: {error}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    app.run(command.run, flags_parser=parse_flags)


def parse_flags(argv: list[str]) -> list[str]:
    """Parse flags and return the other words; a bad flag exits with its reason."""
    try:
        return flags.FLAGS(argv)
    except flags.Error as error:
        print(f"error: {error}; see --help", file=sys.stderr)
        sys.exit(EXIT_USAGE)

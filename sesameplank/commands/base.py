"""The base class of the binaries, and the function that runs one."""

import sys
from abc import ABC, abstractmethod

from absl import app, flags, logging

from ..conf.checks import run_checks
from ..conf.settings import Setting, define_settings, get_value
from ..exceptions import SesameplankError

EXIT_USAGE = 2


class Command(ABC):
    """A binary: its help, its settings and its work.

    Subclasses set `help` and `settings`, and implement `handle`.
    """

    help = ""
    settings: tuple[Setting, ...] = ()

    @abstractmethod
    def handle(self, arguments: list[str], values: dict) -> int:
        """Do the work and return the exit code.

        `arguments` are the positional arguments; `values` are the checked
        settings by name. A SesameplankError becomes an error message and the
        exit code `EXIT_USAGE`.
        """

    def run(self, argv: list[str]) -> int:
        """Check the settings, run `handle` and return the exit code.

        Errors are printed on standard error. KeyboardInterrupt also gives the exit
        code `EXIT_USAGE`.
        """
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
    """Run a command with the flags and arguments of the command line, and exit."""
    # absl prints the docstring of the main module for --help.
    sys.modules["__main__"].__doc__ = command.help
    try:
        define_settings(command.settings)
    except SesameplankError as error:
        print(f"error: {error}", file=sys.stderr)
        sys.exit(EXIT_USAGE)
    app.run(command.run, flags_parser=parse_flags)


def parse_flags(argv: list[str]) -> list[str]:
    """Parse the flags and return the program name and the positional arguments.

    A bad flag prints the reason and exits with `EXIT_USAGE`.
    """
    try:
        return flags.FLAGS(argv)
    except flags.Error as error:
        print(f"error: {error}; see --help", file=sys.stderr)
        sys.exit(EXIT_USAGE)

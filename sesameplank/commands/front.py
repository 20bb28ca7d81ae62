"""Run the forwarding process of a platform VM, or check its settings."""

import os

from ..conf.settings import Setting
from ..platform.command import main as run_front
from ..platform.settings import DEFAULT_PATH, PATH_VARIABLE, read_settings
from .base import Command, run_command


class FrontCommand(Command):
    """Forward callers' requests on this VM until a signal stops the process."""

    help = "Forwards callers' requests over the platform's routes to targets."
    settings = (
        Setting(
            "settings_file",
            "",
            f"Path of the platform's settings; by default {PATH_VARIABLE}, else "
            f"{DEFAULT_PATH}.",
        ),
        Setting("check", False, "Only check the settings file and print it."),
    )

    def handle(self, arguments: list[str], values: dict) -> int:
        """Check the settings; print them if --check is set, else run until SIGTERM."""
        if values["settings_file"]:
            os.environ[PATH_VARIABLE] = values["settings_file"]
        settings = read_settings()
        if values["check"]:
            for name in settings.__struct_fields__:
                print(f"{name}={getattr(settings, name)}")
            return 0
        return run_front()


def main() -> None:
    """Run the binary."""
    run_command(FrontCommand())


if __name__ == "__main__":
    main()

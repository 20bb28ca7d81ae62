"""Entry point of the forwarding process: `python3 -m sesameplank.platform`."""

import signal


def ignore_reloads() -> None:
    """Ignore SIGHUP until the process has read its settings.

    The default action of SIGHUP would terminate the process.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)


def start() -> int:
    """Import and run the forwarding process, and return its exit code."""
    ignore_reloads()
    from .command import main

    return main()


def run() -> None:
    """Run the forwarding process, and end it."""
    code = start()
    from ..exits import end_process

    end_process(code)


if __name__ == "__main__":
    run()

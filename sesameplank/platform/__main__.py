"""Entry point of the forwarding process: `python3 -m sesameplank.platform`."""

import os
import signal
import sys


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
    """Run the forwarding process and end without tearing down the interpreter.

    Nothing needs the teardown, and it takes long on a busy machine, where the
    process may be killed meanwhile.
    """
    code = start()
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(code)


if __name__ == "__main__":
    run()

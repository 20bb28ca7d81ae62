"""The process under test, which receives the messages of its peers through a proxy.

It listens for peers on a port of its own but publishes the proxy's address, so that
the soak can inject faults into the messages that other processes send to it.
"""

from unittest import mock

from sesameplank.net import Address
from sesameplank.platform import __main__ as process

PEER_LISTEN_PORT = 8107


def main() -> None:
    """Run the process behind its proxy until it ends."""
    process.ignore_reloads()
    from sesameplank.platform import command

    make_front = command.make_front

    def make_proxied_front(settings):
        parts = make_front(settings)
        parts.front.links.address = Address(settings.vm, PEER_LISTEN_PORT)
        return parts

    with mock.patch.object(command, "make_front", make_proxied_front):
        process.run()


if __name__ == "__main__":
    main()

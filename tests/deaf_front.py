"""A forwarding process that takes in nothing that other VMs tell of their views.

Its links to them work otherwise: it is their member, and serves callers.
"""

from sesameplank.peers.document_relay import DocumentRelay
from sesameplank.platform.__main__ import run


def ignore_versions(relay, sender, versions, age_s=0.0) -> None:
    """Do nothing with the versions and the confirmation that a peer sent."""


if __name__ == "__main__":
    DocumentRelay.on_versions = ignore_versions
    run()

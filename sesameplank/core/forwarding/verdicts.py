"""The outcomes of forwarded requests."""

from enum import Enum


class Verdict(Enum):
    """The outcome of a request so far.

    A request is hopeless if too few shards can still answer, and expired if there
    is too little time left for an answer. CALLER_LEFT means that its caller has left,
    and no call is in flight that has to be left to its target. It is quarantined if
    it crashes the targets that run it, and withheld if it may, and too few of them are
    left to find out.
    """

    OPEN = "open"
    ANSWERED = "answered"
    HOPELESS = "hopeless"
    EXPIRED = "expired"
    CALLER_LEFT = "caller_left"
    QUARANTINED = "quarantined"
    WITHHELD = "withheld"

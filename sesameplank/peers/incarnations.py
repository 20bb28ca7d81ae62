"""Numbers that tell the starts of one entry apart."""

import random
import time

from ..ids import Incarnation

INCARNATION_RANDOM_BITS = 10


def make_incarnation() -> Incarnation:
    """Return a number that no other process of this VM has, and that rises."""
    started_ms = int(time.time() * 1_000)
    noise = random.SystemRandom().getrandbits(INCARNATION_RANDOM_BITS)
    return Incarnation(started_ms << INCARNATION_RANDOM_BITS | noise)

"""Incarnation numbers, which distinguish the successive processes of one entry."""

import random
import time

from ..ids import Incarnation

INCARNATION_RANDOM_BITS = 10


def make_incarnation() -> Incarnation:
    """Return the incarnation number of a process that starts now.

    The upper bits are the start time in milliseconds since the Unix epoch, so the
    number increases unless the wall clock is set back. The lower
    `INCARNATION_RANDOM_BITS` bits are random, so that the number is unique.
    """
    started_ms = int(time.time() * 1_000)
    random_bits = random.SystemRandom().getrandbits(INCARNATION_RANDOM_BITS)
    return Incarnation(started_ms << INCARNATION_RANDOM_BITS | random_bits)

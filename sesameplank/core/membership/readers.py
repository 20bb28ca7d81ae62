"""Choice of the entries that read the configuration service.

Forwarding processes use `reader_election` instead.

Starting processes draw the delay of their first read from a truncated
exponential distribution. However many processes start together, only a few read
early, and the others receive what these few have read: J. Nonnenmacher and
E. Biersack, "Scalable feedback for large groups", IEEE/ACM Transactions on
Networking 7(3), 1999.
"""

import math
import random
from collections.abc import Iterable

from ...conf import PublishedVms
from ...ids import EntryId
from .homes import rank

READERS_PER_DATA_CENTRE = 1
MAX_FLEET_SIZE = 2_048


def choose_readers(vms: PublishedVms, present: Iterable[EntryId]) -> set[EntryId]:
    """Return the entries that read the service: a fixed number per data centre.

    Only published entries that are present are chosen. The number of readers
    depends on the number of data centres and not on the size of the fleet. If no
    entry that is present is published, one of them reads, so that a list which leaves
    all out is followed by the next one.
    """
    running = set(present)
    by_data_centre: dict[str, list[EntryId]] = {}
    for vm in vms.vms:
        if vm.id in running:
            by_data_centre.setdefault(vm.data_centre, []).append(vm.id)
    readers: set[EntryId] = set()
    for data_centre, entries in by_data_centre.items():
        ranked = rank(f"reader-{data_centre}", entries)
        readers.update(ranked[:READERS_PER_DATA_CENTRE])
    return readers or set(rank("reader", running)[:READERS_PER_DATA_CENTRE])


def draw_start_delay(window_s: float, rng: random.Random) -> float:
    """Return the delay before the first read, in seconds up to `window_s`.

    Of `MAX_FLEET_SIZE` processes, about one reads without delay. The number of
    processes that have read grows exponentially over the window.
    """
    draw = 1.0 - rng.random()
    return max(0.0, window_s * (1.0 + math.log(draw) / math.log(MAX_FLEET_SIZE)))

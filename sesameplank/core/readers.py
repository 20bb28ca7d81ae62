"""Which entries read the platform's service, and when the others may.

Starting processes draw their first read from a truncated exponential
distribution, so that a few go early however many start together, and the rest
hear from those: J. Nonnenmacher and E. Biersack, "Scalable feedback for large
groups", IEEE/ACM Transactions on Networking 7(3), 1999.
"""

import math
import random
from collections.abc import Iterable

from ..conf import PublishedVms
from ..ids import EntryId
from .homes import rank

READERS_PER_DATA_CENTRE = 1
MAX_FLEET = 2_048


def choose_readers(vms: PublishedVms, present: Iterable[EntryId]) -> set[EntryId]:
    """Return the entries that read the service: some of each data centre.

    Only published entries that are present are chosen, so that their number
    depends on the data centres and not on the fleet.
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
    return readers


def draw_start_delay(window_s: float, rng: random.Random) -> float:
    """Return when to read first, in seconds up to `window_s`.

    Of `MAX_FLEET` processes about one goes at once; each fraction of the
    window multiplies those that have gone.
    """
    draw = 1.0 - rng.random()
    return max(0.0, window_s * (1.0 + math.log(draw) / math.log(MAX_FLEET)))

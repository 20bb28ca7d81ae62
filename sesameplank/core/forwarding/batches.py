"""Batches of calls to targets in another data centre, made by a VM there.

A request over many shards needs an answer from each of them, but only the greatest
records of all answers. A VM in the targets' data centre makes the calls, merges the
answers and returns the greatest records with the signatures, so that fewer bytes pass
between data centres. This aggregation on the way is described by S. Madden and others,
"TAG: a Tiny AGgregation service for ad-hoc sensor networks", OSDI 2002.

A hedge or a retry is sent directly, so a batch costs time only if the other VM does not
answer. A VM that has lost its own links to targets sends all calls in batches, also
single ones, to any VMs that have links.
"""

import random
from collections.abc import Iterable, Sequence

from ...ids import DataCentre, EntryId
from ..membership.homes import rank
from ..membership.peer_messages import Health, Member
from .fanout_calls import Call, CallKind

MIN_BATCH_CALLS = 3  # A smaller batch saves less than it costs.
CANDIDATES = 2  # VMs in each data centre that this VM sends batches to.
AGGREGATOR_KEY = "aggregator"
MIN_AVOID_S = 0.25
MAX_AVOID_S = 4.0
FIRST_FLUSH_SHARE = 0.5  # Of the calls, answered before a flush is scheduled.
FIRST_WAIT_SHARE = 0.25  # Of the time since the start, waited for further answers.
LATER_WAIT_SHARE = 0.1
MIN_WAIT_S = 0.002
NEVER = float("inf")


def group_by_data_centre(
    calls: Iterable[Call], own: DataCentre
) -> dict[DataCentre, list[Call]]:
    """Return the first calls to other data centres, by data centre, that fill a batch.

    Data centres with fewer than MIN_BATCH_CALLS such calls are left out.
    """
    groups: dict[DataCentre, list[Call]] = {}
    for call in calls:
        if call.kind is CallKind.FIRST and call.target.data_centre != own:
            groups.setdefault(call.target.data_centre, []).append(call)
    return {
        data_centre: group
        for data_centre, group in groups.items()
        if len(group) >= MIN_BATCH_CALLS
    }


def find_deputies(members: Iterable[Member], own: EntryId) -> list[Member]:
    """Return the VMs that make calls of any kind for the VM `own`.

    They reach targets, and their release returns responses that are not merged.
    """
    return [
        member
        for member in members
        if member.reaches_targets
        and member.serves_single_calls
        and member.id != own
        and member.health is Health.ALIVE
    ]


class AggregatorChoice:
    """The choice of the VM that makes a batch of calls; times are in seconds.

    Each VM sends its batches to a few VMs in each data centre, so that the number of
    its links does not grow with the fleet. A VM that was silent is avoided with
    exponential backoff.
    """

    def __init__(self, own_id: EntryId, rng: random.Random) -> None:
        self.own_id = own_id
        self.rng = rng
        self.silences: dict[EntryId, int] = {}
        self.avoid_until: dict[EntryId, float] = {}

    def choose(
        self, data_centre: DataCentre, members: Sequence[Member], now: float
    ) -> EntryId | None:
        """Return a VM in the data centre, or None if none should get a batch."""
        near = [
            member.id
            for member in members
            if member.data_centre == data_centre
            and member.id != self.own_id
            and member.health is Health.ALIVE
        ]
        candidates = [
            entry
            for entry in rank(f"{AGGREGATOR_KEY}-{self.own_id}", near)[:CANDIDATES]
            if now >= self.avoid_until.get(entry, 0.0)
        ]
        return self.rng.choice(candidates) if candidates else None

    def choose_deputy(
        self, data_centre: DataCentre, deputies: Sequence[Member], now: float
    ) -> EntryId | None:
        """Return the deputy that makes calls to a data centre, or None without any.

        VMs there come first, and each is chosen in proportion to its capacity.
        """
        kept = [item for item in deputies if now >= self.avoid_until.get(item.id, 0.0)]
        able = kept or deputies
        near = [item for item in able if item.data_centre == data_centre] or able
        if not near:
            return None
        (chosen,) = self.rng.choices(near, [item.capacity for item in near])
        return chosen.id

    def note_silence(self, entry: EntryId, now: float) -> None:
        """Record that a VM returned nothing by the time that answers were late."""
        if now < self.avoid_until.get(entry, 0.0):
            return
        count = self.silences[entry] = min(10, self.silences.get(entry, 0) + 1)
        avoid_s = min(MAX_AVOID_S, MIN_AVOID_S * 2 ** (count - 1))
        self.avoid_until[entry] = now + avoid_s

    def note_answer(self, entry: EntryId) -> None:
        """Record that a VM returned answers."""
        self.silences.pop(entry, None)
        self.avoid_until.pop(entry, None)

    def keep_only(self, entries: Iterable[EntryId]) -> None:
        """Remove the state of all VMs but the given ones."""
        kept = set(entries)
        for entry in set(self.silences) - kept:
            self.note_answer(entry)


class FlushSchedule:
    """When to return the answers of a batch that are in; times are in seconds.

    The first answers wait until half of the batch is in, and then a little longer,
    since most answers arrive within a short time. Later ones wait briefly for each
    other. From `objective_at` on, no answer waits.
    """

    def __init__(self, calls: int, started_at: float, objective_at: float) -> None:
        self.calls = calls
        self.started_at = started_at
        self.objective_at = objective_at
        self.done = 0
        self.is_flushed = False
        self.flush_at = NEVER

    def note_done(self, now: float, *, has_answer: bool) -> float:
        """Record that a call has ended, and return when to flush, NEVER if unknown."""
        self.done += 1
        if self.done >= self.calls or now >= self.objective_at:
            self.flush_at = now
        elif has_answer or self.flush_at != NEVER:
            self.flush_at = min(self.flush_at, self.get_flush_time(now))
        return self.flush_at

    def get_flush_time(self, now: float) -> float:
        """Return when to flush the answers that are in at `now`."""
        if self.done < FIRST_FLUSH_SHARE * self.calls and not self.is_flushed:
            return self.objective_at
        share = LATER_WAIT_SHARE if self.is_flushed else FIRST_WAIT_SHARE
        wait_s = max(MIN_WAIT_S, share * (now - self.started_at))
        return min(self.objective_at, now + wait_s)

    def note_flushed(self) -> None:
        """Record that all answers that were in have been returned."""
        self.is_flushed = True
        self.flush_at = NEVER

"""Which entries run, from the published list, peers' evidence and themselves.

A process watches its neighbours on the overlay by heartbeats. Silence of one
makes it ask others, then suspect it, then confirm it dead; a suspected entry
refutes by raising its epoch. After A. Das, I. Gupta and A. Motivala, "SWIM",
DSN 2002, with fixed neighbours in place of random probes, so that the watch
costs a process the same at every size and finds a silent entry in bounded time.
"""

import random
from collections.abc import Iterable

import msgspec

from ..conf import PublishedVms
from ..ids import EntryId, Incarnation
from .members import Outgoing, get_digest, make_initial_record
from .overlay import choose_neighbours
from .peer_messages import (
    Health,
    Heartbeat,
    Member,
    MemberTable,
    MemberUpdates,
    PeerMessage,
    Phase,
    ProbeAnswer,
    ProbeRequest,
)

HEARTBEAT_S = 1.0
PROBE_AFTER_S = 1.5
SUSPECT_AFTER_S = 2.2
CONFIRM_AFTER_S = 1.8
TABLE_INTERVAL_S = 2.0
FORGET_AFTER_S = 300.0
INDIRECT_PROBES = 3
MAX_UPDATES = 50


class Membership:
    """The view of one process; every method takes the present time in seconds.

    The methods return the messages to send. Nothing is sent to, and nothing is
    concluded from, entries that are not neighbours, but for answers and for
    one dead entry at a time that is tried again.
    """

    def __init__(self, own: Member, rng: random.Random, now: float) -> None:
        self.own_id = own.id
        self.rng = rng
        self.members: dict[EntryId, Member] = {}
        self.suspects: set[EntryId] = set()
        self.ended: set[EntryId] = set()
        self.digest = 0
        self.published: frozenset[EntryId] = frozenset()
        self.heard_at: dict[EntryId, float] = {}
        self.vouched_at: dict[EntryId, float] = {}
        self.watched_from: dict[EntryId, float] = {}
        self.changed_at: dict[EntryId, float] = {}
        self.asked_at: dict[EntryId, float] = {}
        self.sent_table_at: dict[EntryId, float] = {}
        self.differing: dict[EntryId, int] = {}
        self.askers: dict[EntryId, set[EntryId]] = {}
        self.neighbours: list[EntryId] = []
        self.beat_at = now
        self.fresh = False
        self.last_change_at = now
        self.put(own, now)

    @property
    def own(self) -> Member:
        """The record of this process."""
        return self.members[self.own_id]

    @property
    def incarnation(self) -> Incarnation:
        """The incarnation of this process."""
        return self.own.incarnation

    def put(self, record: Member, now: float) -> None:
        """Replace the record of an entry and what is derived from it."""
        known = self.members.get(record.id)
        self.digest ^= get_digest(known) ^ get_digest(record)
        self.members[record.id] = record
        self.changed_at[record.id] = now
        self.last_change_at = now
        self.suspects.discard(record.id)
        self.ended.discard(record.id)
        if not record.is_present:
            self.ended.add(record.id)
        elif record.health is Health.SUSPECT:
            self.suspects.add(record.id)

    def get_present(self) -> list[EntryId]:
        """Return the entries that run, this one included, sorted."""
        return sorted(item.id for item in self.members.values() if item.is_present)

    def get_serving(self) -> list[EntryId]:
        """Return the entries that callers may be sent to, sorted."""
        return sorted(
            item.id
            for item in self.members.values()
            if item.is_present and item.phase is Phase.SERVING and item.epoch
        )

    def on_published(self, vms: PublishedVms, now: float) -> list[Outgoing]:
        """Take the platform's list in; it adds entries but ends none."""
        listed = {vm.id: vm for vm in vms.vms}
        for entry in self.published - set(listed):
            if entry in self.members and not self.members[entry].epoch:
                self.drop(entry)
        self.published = frozenset(listed)
        for entry, vm in listed.items():
            if entry not in self.members:
                self.put(make_initial_record(vm), now)
        self.refresh_neighbours(now)
        return self.greet(self.neighbours)

    def drop(self, entry: EntryId) -> None:
        """Forget an entry."""
        self.digest ^= get_digest(self.members.get(entry))
        self.suspects.discard(entry)
        self.ended.discard(entry)
        for table in (
            self.members,
            self.heard_at,
            self.vouched_at,
            self.watched_from,
            self.changed_at,
            self.asked_at,
            self.sent_table_at,
            self.differing,
            self.askers,
        ):
            table.pop(entry, None)

    def greet(self, entries: Iterable[EntryId]) -> list[Outgoing]:
        """Return the own record and a heartbeat for each of the entries."""
        messages = []
        for entry in entries:
            messages.append(Outgoing(entry, MemberUpdates((self.own,))))
            messages.append(Outgoing(entry, self.make_heartbeat(wants_answer=True)))
        return messages

    def make_heartbeat(self, wants_answer: bool) -> Heartbeat:
        """Return a heartbeat of this process."""
        return Heartbeat(self.own.epoch, self.digest, wants_answer)

    def refresh_neighbours(self, now: float) -> list[EntryId]:
        """Choose the neighbours anew and return those that were not before."""
        before = set(self.neighbours)
        self.neighbours = choose_neighbours(self.own_id, self.get_present())
        added = [entry for entry in self.neighbours if entry not in before]
        for entry in added:
            self.watched_from[entry] = now
        return added

    def on_contact(self, peer: EntryId, now: float) -> list[Outgoing]:
        """Note that a message of the peer arrived that was not delayed."""
        self.heard_at[peer] = now
        self.asked_at.pop(peer, None)
        if peer in self.neighbours:
            self.fresh = True
        askers = self.askers.pop(peer, ())
        return [Outgoing(asker, ProbeAnswer(peer, 0)) for asker in askers]

    def on_tick(self, now: float) -> list[Outgoing]:
        """Send what is due, and draw conclusions from silence."""
        messages = []
        if now >= self.beat_at:
            self.beat_at = now + HEARTBEAT_S
            messages += self.beat()
        messages += self.watch_neighbours(now)
        messages += self.confirm_suspects(now)
        self.forget(now)
        return messages

    def beat(self) -> list[Outgoing]:
        """Return a heartbeat for each neighbour and for one dead entry."""
        messages = [
            Outgoing(entry, self.make_heartbeat(wants_answer=False))
            for entry in self.neighbours
        ]
        if self.ended:
            messages += self.greet([self.rng.choice(sorted(self.ended))])
        return messages

    def watch_neighbours(self, now: float) -> list[Outgoing]:
        """Ask others about silent neighbours, and suspect them in the end."""
        messages = []
        for entry in list(self.neighbours):
            silence_s = now - self.get_silent_from(entry)
            member = self.members[entry]
            if member.health is not Health.ALIVE:
                continue
            if silence_s >= SUSPECT_AFTER_S:
                suspect = msgspec.structs.replace(member, health=Health.SUSPECT)
                messages += self.learn([suspect], None, now)
            elif silence_s >= PROBE_AFTER_S and entry not in self.asked_at:
                self.asked_at[entry] = now
                messages += self.ask_others(entry)
        return messages

    def get_silent_from(self, entry: EntryId) -> float:
        """Return since when a neighbour's silence counts."""
        heard_at = self.heard_at.get(entry, float("-inf"))
        vouched_at = self.vouched_at.get(entry, float("-inf"))
        return max(heard_at, vouched_at, self.watched_from[entry])

    def ask_others(self, entry: EntryId) -> list[Outgoing]:
        """Ask a few other entries whether they hear one."""
        others = [
            item for item in self.get_present() if item not in (entry, self.own_id)
        ]
        chosen = self.rng.sample(others, min(INDIRECT_PROBES, len(others)))
        messages = [Outgoing(other, ProbeRequest(entry)) for other in chosen]
        return [*messages, *self.greet([entry])]

    def confirm_suspects(self, now: float) -> list[Outgoing]:
        """Declare entries dead that were suspected for long enough."""
        confirmed = [
            msgspec.structs.replace(self.members[entry], health=Health.DEAD)
            for entry in self.suspects
            if now - self.changed_at[entry] >= CONFIRM_AFTER_S
        ]
        return self.learn(confirmed, None, now)

    def forget(self, now: float) -> None:
        """Drop entries that ended long ago and that the list does not name."""
        old = [
            entry
            for entry in self.ended - self.published
            if now - self.changed_at[entry] >= FORGET_AFTER_S
        ]
        for entry in old:
            self.drop(entry)
            self.last_change_at = now

    def learn(
        self, records: Iterable[Member], source: EntryId | None, now: float
    ) -> list[Outgoing]:
        """Merge records, and pass on to the neighbours what was news."""
        news = [record for record in records if self.merge(record, now)]
        if not news:
            return []
        added = self.refresh_neighbours(now)
        messages = self.flood(news, source)
        if source and any(record.id == self.own_id for record in news):
            messages.append(Outgoing(source, MemberUpdates((self.own,))))
        return [*messages, *self.greet(added)]

    def merge(self, record: Member, now: float) -> bool:
        """Take one record in if it outranks what is known; tell whether it did."""
        if record.id == self.own_id:
            return self.refute(record, now)
        known = self.members.get(record.id)
        if known and record.precedence <= known.precedence:
            return False
        if known is None and not record.is_present:
            return False
        if record.health is Health.DEAD and self.was_heard(record.id, now):
            record = msgspec.structs.replace(record, health=Health.SUSPECT)
            if known and record.precedence <= known.precedence:
                return False
        self.put(record, now)
        if record.health is Health.ALIVE:
            self.watched_from[record.id] = now
        return True

    def was_heard(self, entry: EntryId, now: float) -> bool:
        """Tell whether this process itself heard a neighbour of late."""
        if entry not in self.neighbours:
            return False
        return now - self.heard_at.get(entry, float("-inf")) < SUSPECT_AFTER_S

    def refute(self, record: Member, now: float) -> bool:
        """Raise the own epoch over a record that is not what this process says."""
        own = self.own
        if record.epoch < own.epoch or record == own:
            return False
        self.put(msgspec.structs.replace(own, epoch=record.epoch + 1), now)
        return True

    def flood(self, news: list[Member], source: EntryId | None) -> list[Outgoing]:
        """Return the news for every neighbour but its source."""
        current = [self.members[record.id] for record in news]
        messages = []
        for start in range(0, len(current), MAX_UPDATES):
            part = MemberUpdates(tuple(current[start : start + MAX_UPDATES]))
            for entry in self.neighbours:
                if entry != source:
                    messages.append(Outgoing(entry, part))
        return messages

    def on_message(
        self, sender: EntryId, message: PeerMessage, now: float
    ) -> list[Outgoing]:
        """Take a message of a peer in."""
        if isinstance(message, Heartbeat):
            return self.on_heartbeat(sender, message, now)
        if isinstance(message, MemberUpdates):
            return self.learn(message.members, sender, now)
        if isinstance(message, MemberTable):
            return self.on_table(sender, message, now)
        if isinstance(message, ProbeRequest):
            return self.on_probe(sender, message, now)
        if isinstance(message, ProbeAnswer):
            self.vouched_at[message.entry] = now - message.silence_ms / 1_000
            self.asked_at.pop(message.entry, None)
        return []

    def on_heartbeat(
        self, sender: EntryId, message: Heartbeat, now: float
    ) -> list[Outgoing]:
        """Answer a heartbeat, and compare the sender's view with the own one."""
        messages = []
        known = self.members.get(sender)
        if known is None:
            messages.append(self.make_table(sender, now))
        elif known.precedence > (message.epoch, Health.ALIVE):
            messages.append(Outgoing(sender, MemberUpdates((known,))))
        if message.wants_answer:
            messages.append(Outgoing(sender, self.make_heartbeat(False)))
        if message.digest == self.digest:
            self.differing.pop(sender, None)
            return messages
        self.differing[sender] = self.differing.get(sender, 0) + 1
        if self.differing[sender] > 1 and self.may_send_table(sender, now):
            messages.append(self.make_table(sender, now))
        return messages

    def may_send_table(self, peer: EntryId, now: float) -> bool:
        """Tell whether the last table for the peer is old enough."""
        sent_at = self.sent_table_at.get(peer)
        return sent_at is None or now - sent_at >= TABLE_INTERVAL_S

    def make_table(self, peer: EntryId, now: float) -> Outgoing:
        """Return all records for a peer."""
        self.sent_table_at[peer] = now
        return Outgoing(peer, MemberTable(tuple(self.members.values()), True))

    def on_table(
        self, sender: EntryId, message: MemberTable, now: float
    ) -> list[Outgoing]:
        """Merge the sender's records and answer with what it lacks."""
        messages = self.learn(message.members, sender, now)
        if not message.wants_answer:
            return messages
        theirs = {record.id: record.precedence for record in message.members}
        lacking = tuple(
            member
            for member in self.members.values()
            if theirs.get(member.id, (-1, 0)) < member.precedence
        )
        if lacking:
            messages.append(Outgoing(sender, MemberTable(lacking, False)))
        return messages

    def on_probe(
        self, sender: EntryId, message: ProbeRequest, now: float
    ) -> list[Outgoing]:
        """Say whether the entry was heard of late, and try to reach it."""
        silence_s = now - self.heard_at.get(message.entry, float("-inf"))
        if message.entry == self.own_id:
            silence_s = 0.0
        if silence_s < HEARTBEAT_S:
            answer = ProbeAnswer(message.entry, int(silence_s * 1_000))
            return [Outgoing(sender, answer)]
        self.askers.setdefault(message.entry, set()).add(sender)
        return self.greet([message.entry])

    def leave(self, phase: Phase, now: float) -> list[Outgoing]:
        """Say of this process that it is leaving or has left."""
        own = msgspec.structs.replace(self.own, phase=phase, epoch=self.own.epoch + 1)
        self.put(own, now)
        return self.flood([own], None)

    def set_store_unavailable(
        self, is_store_unavailable: bool, now: float
    ) -> list[Outgoing]:
        """Say of this process whether the platform's service turns it away."""
        if self.own.is_store_unavailable == is_store_unavailable:
            return []
        own = msgspec.structs.replace(
            self.own,
            is_store_unavailable=is_store_unavailable,
            epoch=self.own.epoch + 1,
        )
        self.put(own, now)
        return self.flood([own], None)

    def on_pause(self, now: float) -> list[Outgoing]:
        """Forget what silence meant, and ask the neighbours for their views."""
        self.fresh = False
        self.asked_at.clear()
        for entry in self.members:
            self.watched_from[entry] = now
        for entry in self.changed_at:
            self.changed_at[entry] = now
        return [self.make_table(entry, now) for entry in self.neighbours]

"""Group membership: a failure detector and the dissemination of its results.

The view of a process combines the published VM list, the records that entries
publish about themselves, and the observations of peers. A process monitors its
neighbours on the overlay by heartbeats. If a neighbour sends no message for a
while, the process first requests indirect probes, then marks the neighbour as
suspect and finally declares it dead. A suspected entry refutes the suspicion by
raising its epoch. In this module an entry is any process of the fleet, also a
forwarding process.

The protocol follows A. Das, I. Gupta and A. Motivala, "SWIM", DSN 2002, but
monitors fixed neighbours instead of random members. The cost for each process
is therefore independent of the size of the fleet, and the time to detect a
failed entry is bounded.
"""

import random
from collections.abc import Iterable

import msgspec

from ...conf import PublishedVms
from ...ids import EntryId, Incarnation
from .members import Outgoing, get_digest_contribution, make_initial_record
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

HEARTBEAT_INTERVAL_S = 1.0
PROBE_AFTER_S = 1.5  # Time since last contact before indirect probes.
SUSPECT_AFTER_S = 2.2  # Time since last contact before a suspicion.
CONFIRM_AFTER_S = 1.8  # Time in which an entry can refute a suspicion.
TABLE_INTERVAL_S = 2.0  # Minimum time between tables sent for digest mismatches.
EVICT_AFTER_S = 300.0  # Time that an entry is absent before its record is removed.
INDIRECT_PROBES = 3
MAX_UPDATES = 50  # Records per message.


class Membership:
    """The membership view of one process.

    Every `now` is the current monotonic time in seconds. The methods return the
    messages to send. A process monitors only its neighbours. Apart from answers,
    it sends messages only to them, to the entries that take part in an indirect
    probe, and to one absent entry per heartbeat interval, in case that entry is
    reachable again.
    """

    def __init__(self, own: Member, rng: random.Random, now: float) -> None:
        self.own_id = own.id
        self.rng = rng
        self.members: dict[EntryId, Member] = {}
        self.suspects: set[EntryId] = set()
        self.absent: set[EntryId] = set()
        self.digest = 0
        self.published: frozenset[EntryId] = frozenset()
        self.last_contact_at: dict[EntryId, float] = {}
        self.last_indirect_contact_at: dict[EntryId, float] = {}
        self.monitored_since: dict[EntryId, float] = {}
        self.changed_at: dict[EntryId, float] = {}
        self.probed_at: dict[EntryId, float] = {}
        self.sent_table_at: dict[EntryId, float] = {}
        self.digest_mismatches: dict[EntryId, int] = {}
        self.probe_requesters: dict[EntryId, set[EntryId]] = {}
        self.neighbours: list[EntryId] = []
        self.next_heartbeat_at = now
        self.has_neighbour_contact = False
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
        """Store the record of an entry and update all state derived from it."""
        known = self.members.get(record.id)
        self.digest ^= get_digest_contribution(known) ^ get_digest_contribution(record)
        self.members[record.id] = record
        self.changed_at[record.id] = now
        self.last_change_at = now
        self.suspects.discard(record.id)
        self.absent.discard(record.id)
        if not record.is_present:
            self.absent.add(record.id)
        elif record.health is Health.SUSPECT:
            self.suspects.add(record.id)

    def get_present(self) -> list[EntryId]:
        """Return the sorted ids of all running entries, including this one."""
        return sorted(item.id for item in self.members.values() if item.is_present)

    def get_heard(self) -> list[EntryId]:
        """Return the sorted ids of the running entries that published a record."""
        members = self.members
        return [entry for entry in self.get_present() if members[entry].epoch]

    def get_serving(self) -> list[EntryId]:
        """Return the sorted ids of the entries that may be offered to callers."""
        members = self.members
        heard = self.get_heard()
        return [entry for entry in heard if members[entry].phase is Phase.SERVING]

    def get_serving_with_targets(self) -> list[EntryId]:
        """Return the serving entries that reach targets, or all if none does."""
        serving = self.get_serving()
        able = [entry for entry in serving if self.members[entry].reaches_targets]
        return able or serving

    def on_published(self, vms: PublishedVms, now: float) -> list[Outgoing]:
        """Apply the VM list that the platform published.

        The list adds entries to the view. It marks no entry as dead or left,
        and removes only delisted entries that never published a record of their own.
        """
        listed = {vm.id: vm for vm in vms.vms}
        for entry in self.published - set(listed):
            if entry in self.members and not self.members[entry].epoch:
                self.remove(entry)
        self.published = frozenset(listed)
        for entry, vm in listed.items():
            if entry not in self.members:
                self.put(make_initial_record(vm), now)
        self.refresh_neighbours(now)
        return self.make_handshakes(self.neighbours)

    def remove(self, entry: EntryId) -> None:
        """Remove an entry and all state about it."""
        self.digest ^= get_digest_contribution(self.members.get(entry))
        self.suspects.discard(entry)
        self.absent.discard(entry)
        for table in (
            self.members,
            self.last_contact_at,
            self.last_indirect_contact_at,
            self.monitored_since,
            self.changed_at,
            self.probed_at,
            self.sent_table_at,
            self.digest_mismatches,
            self.probe_requesters,
        ):
            table.pop(entry, None)

    def make_handshakes(self, entries: Iterable[EntryId]) -> list[Outgoing]:
        """Return messages with this process's record and a heartbeat for each entry."""
        messages = []
        for entry in entries:
            messages.append(Outgoing(entry, MemberUpdates((self.own,))))
            messages.append(Outgoing(entry, self.make_heartbeat(wants_answer=True)))
        return messages

    def make_heartbeat(self, wants_answer: bool) -> Heartbeat:
        """Return a heartbeat message from this process."""
        return Heartbeat(self.own.epoch, self.digest, wants_answer)

    def refresh_neighbours(self, now: float) -> list[EntryId]:
        """Recompute the neighbours and return those that were added."""
        before = set(self.neighbours)
        self.neighbours = choose_neighbours(self.own_id, self.get_present())
        added = [entry for entry in self.neighbours if entry not in before]
        for entry in added:
            self.monitored_since[entry] = now
        return added

    def on_contact(self, peer: EntryId, now: float) -> list[Outgoing]:
        """Record that a message from the peer arrived without undue delay.

        Return answers for the entries that requested a probe of the peer.
        """
        self.last_contact_at[peer] = now
        self.probed_at.pop(peer, None)
        if peer in self.neighbours:
            self.has_neighbour_contact = True
        probe_requesters = self.probe_requesters.pop(peer, ())
        return [
            Outgoing(requester, ProbeAnswer(peer, 0)) for requester in probe_requesters
        ]

    def on_tick(self, now: float) -> list[Outgoing]:
        """Check neighbours and suspects, and return the messages that are due."""
        messages = []
        if now >= self.next_heartbeat_at:
            self.next_heartbeat_at = now + HEARTBEAT_INTERVAL_S
            messages += self.make_periodic_heartbeats()
        messages += self.check_neighbours(now)
        messages += self.confirm_suspects(now)
        self.evict_absent(now)
        return messages

    def make_periodic_heartbeats(self) -> list[Outgoing]:
        """Return a heartbeat for each neighbour, and messages for one absent entry.

        The absent entry is chosen at random. If it is reachable again, it answers
        and rejoins the view.
        """
        messages = [
            Outgoing(entry, self.make_heartbeat(wants_answer=False))
            for entry in self.neighbours
        ]
        if self.absent:
            messages += self.make_handshakes([self.rng.choice(sorted(self.absent))])
        return messages

    def check_neighbours(self, now: float) -> list[Outgoing]:
        """Request probes of neighbours without recent contact, then suspect them."""
        messages = []
        for entry in list(self.neighbours):
            since_contact_s = now - self.get_timeout_start(entry)
            member = self.members[entry]
            if member.health is not Health.ALIVE:
                continue
            if since_contact_s >= SUSPECT_AFTER_S:
                suspect = msgspec.structs.replace(member, health=Health.SUSPECT)
                messages += self.apply_updates([suspect], None, now)
            elif since_contact_s >= PROBE_AFTER_S and entry not in self.probed_at:
                self.probed_at[entry] = now
                messages += self.request_indirect_probes(entry)
        return messages

    def get_timeout_start(self, entry: EntryId) -> float:
        """Return the time from which the timeouts for a neighbour are measured.

        This is the last direct or indirect contact with the neighbour, or the time
        since which it is monitored if that is later.
        """
        last_contact_at = self.last_contact_at.get(entry, float("-inf"))
        last_indirect_contact_at = self.last_indirect_contact_at.get(
            entry, float("-inf")
        )
        return max(
            last_contact_at, last_indirect_contact_at, self.monitored_since[entry]
        )

    def request_indirect_probes(self, entry: EntryId) -> list[Outgoing]:
        """Return probe requests about an entry for a few others, and a handshake."""
        others = [
            item for item in self.get_present() if item not in (entry, self.own_id)
        ]
        chosen = self.rng.sample(others, min(INDIRECT_PROBES, len(others)))
        messages = [Outgoing(other, ProbeRequest(entry)) for other in chosen]
        return [*messages, *self.make_handshakes([entry])]

    def confirm_suspects(self, now: float) -> list[Outgoing]:
        """Declare dead the entries that have been suspect for `CONFIRM_AFTER_S`."""
        confirmed = [
            msgspec.structs.replace(self.members[entry], health=Health.DEAD)
            for entry in self.suspects
            if now - self.changed_at[entry] >= CONFIRM_AFTER_S
        ]
        return self.apply_updates(confirmed, None, now)

    def evict_absent(self, now: float) -> None:
        """Remove unlisted entries that have been absent for `EVICT_AFTER_S`."""
        old = [
            entry
            for entry in self.absent - self.published
            if now - self.changed_at[entry] >= EVICT_AFTER_S
        ]
        for entry in old:
            self.remove(entry)
            self.last_change_at = now

    def apply_updates(
        self, records: Iterable[Member], source: EntryId | None, now: float
    ) -> list[Outgoing]:
        """Merge records, and return messages that relay the changes to neighbours.

        If the source sent a record of this process that had to be refuted, the
        source gets the new record of this process too.
        """
        updates = [record for record in records if self.merge(record, now)]
        if not updates:
            return []
        added = self.refresh_neighbours(now)
        messages = self.flood(updates, source)
        if source and any(record.id == self.own_id for record in updates):
            messages.append(Outgoing(source, MemberUpdates((self.own,))))
        return [*messages, *self.make_handshakes(added)]

    def merge(self, record: Member, now: float) -> bool:
        """Merge a record if it outranks the known one; return whether the view changed.

        A record that contradicts this process's own is refuted instead. A record of
        an unknown entry that is absent is ignored.

        A report that a neighbour is dead is stored as a suspicion while this
        process itself has recent contact with the neighbour.
        """
        if record.id == self.own_id:
            return self.refute(record, now)
        known = self.members.get(record.id)
        if known and record.precedence <= known.precedence:
            return False
        if known is None and not record.is_present:
            return False
        if record.health is Health.DEAD and self.had_recent_contact(record.id, now):
            record = msgspec.structs.replace(record, health=Health.SUSPECT)
            if known and record.precedence <= known.precedence:
                return False
        self.put(record, now)
        if record.health is Health.ALIVE:
            self.monitored_since[record.id] = now
        return True

    def had_recent_contact(self, entry: EntryId, now: float) -> bool:
        """Return whether the entry is a neighbour that recently sent a message."""
        if entry not in self.neighbours:
            return False
        return now - self.last_contact_at.get(entry, float("-inf")) < SUSPECT_AFTER_S

    def refute(self, record: Member, now: float) -> bool:
        """Raise the epoch of this process if a received record contradicts its own.

        Return whether the epoch was raised.
        """
        own = self.own
        if record.epoch < own.epoch or record == own:
            return False
        self.put(msgspec.structs.replace(own, epoch=record.epoch + 1), now)
        return True

    def flood(self, updates: list[Member], source: EntryId | None) -> list[Outgoing]:
        """Return messages with the updated records to all neighbours but the source."""
        current = [self.members[record.id] for record in updates]
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
        """Handle a message from a peer and return the messages to send."""
        if isinstance(message, Heartbeat):
            return self.on_heartbeat(sender, message, now)
        if isinstance(message, MemberUpdates):
            return self.apply_updates(message.members, sender, now)
        if isinstance(message, MemberTable):
            return self.on_table(sender, message, now)
        if isinstance(message, ProbeRequest):
            return self.on_probe(sender, message, now)
        if isinstance(message, ProbeAnswer):
            self.last_indirect_contact_at[message.entry] = (
                now - message.since_contact_ms / 1_000
            )
            self.probed_at.pop(message.entry, None)
        return []

    def on_heartbeat(
        self, sender: EntryId, message: Heartbeat, now: float
    ) -> list[Outgoing]:
        """Answer a heartbeat, and compare the sender's digest with the local one.

        If the local record of the sender outranks an ALIVE record with the epoch of
        the heartbeat, the sender receives it and can refute it. A full table is sent
        to an unknown sender, and otherwise only after two digest mismatches in a row.
        """
        messages = []
        known = self.members.get(sender)
        if known is None:
            messages.append(self.make_table(sender, now))
        elif known.precedence > (message.epoch, Health.ALIVE):
            messages.append(Outgoing(sender, MemberUpdates((known,))))
        if message.wants_answer:
            messages.append(Outgoing(sender, self.make_heartbeat(False)))
        if message.digest == self.digest:
            self.digest_mismatches.pop(sender, None)
            return messages
        self.digest_mismatches[sender] = self.digest_mismatches.get(sender, 0) + 1
        if self.digest_mismatches[sender] > 1 and self.is_table_due(sender, now):
            messages.append(self.make_table(sender, now))
        return messages

    def is_table_due(self, peer: EntryId, now: float) -> bool:
        """Return whether a table may be sent to the peer for a digest mismatch now."""
        sent_at = self.sent_table_at.get(peer)
        return sent_at is None or now - sent_at >= TABLE_INTERVAL_S

    def make_table(self, peer: EntryId, now: float) -> Outgoing:
        """Return a message to a peer with all records of this view."""
        self.sent_table_at[peer] = now
        return Outgoing(peer, MemberTable(tuple(self.members.values()), True))

    def on_table(
        self, sender: EntryId, message: MemberTable, now: float
    ) -> list[Outgoing]:
        """Merge the sender's records and answer with those that are new to it."""
        messages = self.apply_updates(message.members, sender, now)
        if not message.wants_answer:
            return messages
        theirs = {record.id: record.precedence for record in message.members}
        newer = tuple(
            member
            for member in self.members.values()
            if theirs.get(member.id, (-1, 0)) < member.precedence
        )
        if newer:
            messages.append(Outgoing(sender, MemberTable(newer, False)))
        return messages

    def on_probe(
        self, sender: EntryId, message: ProbeRequest, now: float
    ) -> list[Outgoing]:
        """Answer a probe request if there was recent contact with the probed entry.

        Otherwise return messages to the probed entry; `on_contact` returns the
        answer when that entry replies.
        """
        since_contact_s = now - self.last_contact_at.get(message.entry, float("-inf"))
        if message.entry == self.own_id:
            since_contact_s = 0.0
        if since_contact_s < HEARTBEAT_INTERVAL_S:
            answer = ProbeAnswer(message.entry, int(since_contact_s * 1_000))
            return [Outgoing(sender, answer)]
        self.probe_requesters.setdefault(message.entry, set()).add(sender)
        return self.make_handshakes([message.entry])

    def leave(self, phase: Phase, now: float) -> list[Outgoing]:
        """Publish that this process is leaving or has left."""
        return self.publish(now, phase=phase)

    def set_store_unavailable(
        self, is_store_unavailable: bool, now: float
    ) -> list[Outgoing]:
        """Publish whether the configuration service is unavailable to this process."""
        if self.own.is_store_unavailable == is_store_unavailable:
            return []
        return self.publish(now, is_store_unavailable=is_store_unavailable)

    def set_reaches_targets(self, reaches_targets: bool, now: float) -> list[Outgoing]:
        """Publish whether this process has links to targets."""
        if self.own.reaches_targets == reaches_targets:
            return []
        return self.publish(now, reaches_targets=reaches_targets)

    def set_view_stale(self, is_view_stale: bool, now: float) -> list[Outgoing]:
        """Publish whether the view of this process is stale."""
        if self.own.is_view_stale == is_view_stale:
            return []
        return self.publish(now, is_view_stale=is_view_stale)

    def publish(self, now: float, **changes: object) -> list[Outgoing]:
        """Change the record of this process, and return messages to the neighbours."""
        own = msgspec.structs.replace(self.own, epoch=self.own.epoch + 1, **changes)
        self.put(own, now)
        return self.flood([own], None)

    def on_pause(self, now: float) -> list[Outgoing]:
        """Restart all timeouts after a pause, and exchange tables with neighbours.

        The time since last contact says nothing about peers while this process
        itself was stopped.
        """
        self.has_neighbour_contact = False
        self.probed_at.clear()
        for entry in self.members:
            self.monitored_since[entry] = now
        for entry in self.changed_at:
            self.changed_at[entry] = now
        return [self.make_table(entry, now) for entry in self.neighbours]

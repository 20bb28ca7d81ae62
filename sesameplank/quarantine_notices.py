"""Notices between processes about requests that crash targets.

A request that crashes targets comes again at any process. The one that observes a crash
tells the others at once. As long as a request is in quarantine or suspect, each process
tells it again to a few others now and then, since a process may have started meanwhile
or come back from a partition.
"""

import random
from collections.abc import Callable, Sequence

import gevent

from .core.common.clock import Clock
from .core.membership.peer_messages import RequestCrashes, RequestCrashNotice
from .core.quarantine.fingerprints import is_fingerprint
from .core.quarantine.request_quarantine import (
    JUDGE_DELAY_S,
    MAX_CRASHES,
    OWN_CALL,
    SUSPICION_S,
    Crash,
    CrashRecord,
    QuarantineEvent,
    RequestQuarantine,
    Standing,
)
from .ids import EntryId, Fingerprint
from .logs import log_event
from .peers import PeerContext, PeerLinks
from .peers.collected_notices import CollectedNotices

REPEAT_INTERVAL_S = 2.0
REPEATED_TO = 4  # Processes
MAX_NOTIFIED = 64  # Processes; the others hear from repetitions.
REPEATED_CRASHES = 4  # Of each request; all are told at once when they are seen.
REPEATED_SUSPICION_S = 10.0  # Repetitions tell of suspects for so long after a crash.
MAX_TOLD = 64  # Requests in one notice
MAX_NOTICE_AGE_S = 5.0
NO_ANSWER = -1


class QuarantineNotices(CollectedNotices[Fingerprint]):
    """Sends and receives the notices of this process.

    `get_others` returns the other processes that callers are sent to, and `get_all` all
    other ones.
    """

    max_notified = MAX_NOTIFIED

    def __init__(
        self,
        links: PeerLinks,
        clock: Clock,
        rng: random.Random,
        quarantine: RequestQuarantine,
        get_others: Callable[[], Sequence[EntryId]],
        get_all: Callable[[], Sequence[EntryId]],
    ) -> None:
        super().__init__(links, clock, rng, get_others)
        self.quarantine = quarantine
        self.get_all = get_all
        self.repeat_at = clock.now() + REPEAT_INTERVAL_S
        quarantine.listeners.append(self.on_change)
        links.register(RequestCrashNotice, self.on_notice)

    def on_change(
        self, event: QuarantineEvent, fingerprint: Fingerprint, record: CrashRecord
    ) -> None:
        """Tell the other processes what this one has observed."""
        if record.source == OWN_CALL:
            self.collect(fingerprint)

    def run_round(self) -> None:
        """Wait for REPEAT_INTERVAL_S, and repeat what is known."""
        gevent.sleep(REPEAT_INTERVAL_S)
        self.repeat()

    def repeat(self) -> None:
        """Forget what is outdated, and tell a few others the rest, if it is time."""
        now = self.clock.now()
        if now < self.repeat_at:
            return
        self.repeat_at = now + REPEAT_INTERVAL_S
        self.quarantine.drop_outdated(now)
        told = [
            *self.quarantine.find((Standing.QUARANTINED,), now),
            *self.find_recent_suspects(now),
        ]
        if not told:
            return
        notice = RequestCrashNotice(
            tuple(self.pack(item, REPEATED_CRASHES) for item in told[:MAX_TOLD])
        )
        others = [item for item in self.get_all() if item != self.links.entry_id]
        for entry in self.rng.sample(others, min(REPEATED_TO, len(others))):
            self.links.send(entry, notice)

    def find_recent_suspects(self, now: float) -> list[Fingerprint]:
        """Return the suspect requests under which a target crashed recently."""
        records = self.quarantine.records
        return [
            item
            for item in self.quarantine.find((Standing.SUSPECT,), now)
            if now - records[item].latest_crash_at < REPEATED_SUSPICION_S
        ]

    def make_notice(
        self, subjects: dict[Fingerprint, float]
    ) -> RequestCrashNotice | None:
        """Return the notice about requests, of MAX_TOLD at most, or None."""
        known = [item for item in subjects if item in self.quarantine.records]
        if not known:
            return None
        return RequestCrashNotice(
            tuple(self.pack(item, MAX_CRASHES) for item in known[:MAX_TOLD])
        )

    def pack(self, fingerprint: Fingerprint, max_crashes: int) -> RequestCrashes:
        """Return what is known of a request, with ages and its latest crashes."""
        record = self.quarantine.records[fingerprint]
        now = self.clock.now()
        has_answer = now - record.cleared_at < SUSPICION_S
        return RequestCrashes(
            fingerprint,
            tuple(
                (item.target, to_ms(now - item.sent_at), to_ms(now - item.ended_at))
                for item in record.crashes[-max_crashes:]
            ),
            to_ms(max(0.0, record.held_until - now)),
            record.holds,
            to_ms(now - record.cleared_at) if has_answer else NO_ANSWER,
        )

    def on_notice(self, message: RequestCrashNotice, context: PeerContext) -> None:
        """Record what another process has observed, unless the notice is old."""
        if context.age_s > MAX_NOTICE_AGE_S:
            return
        told_at = self.clock.now() - context.age_s
        for item in message.requests[:MAX_TOLD]:
            if is_fingerprint(item.fingerprint):
                self.apply(item, told_at, context.sender)
                gevent.spawn_later(JUDGE_DELAY_S, self.judge, item.fingerprint)
            else:
                log_event("crash_notice_refused", vm=context.sender)

    def judge(self, fingerprint: Fingerprint) -> None:
        """Quarantine a request if what all processes have told proves it."""
        self.quarantine.judge(fingerprint, self.clock.now())

    def apply(self, item: RequestCrashes, told_at: float, source: EntryId) -> None:
        """Record what another process knew of a request at a time."""
        quarantine = self.quarantine
        now = self.clock.now()
        if item.answered_age_ms >= 0:
            answered_at = told_at - item.answered_age_ms / 1_000
            quarantine.clear(item.fingerprint, answered_at, now, source)
        for target, sent_age_ms, ended_age_ms in item.crashes[:MAX_CRASHES]:
            ended_at = min(now, told_at - ended_age_ms / 1_000)
            sent_at = min(ended_at, told_at - sent_age_ms / 1_000)
            if now - ended_at < SUSPICION_S:
                crash = Crash(target, sent_at, ended_at)
                quarantine.note_crash(item.fingerprint, crash, now, source)
        if item.held_ms > 0:
            until = told_at + item.held_ms / 1_000
            quarantine.note_held(item.fingerprint, until, item.holds, now, source)


def to_ms(seconds: float) -> int:
    """Return a time in whole milliseconds."""
    return int(seconds * 1_000)

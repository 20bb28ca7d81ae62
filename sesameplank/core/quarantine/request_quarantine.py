"""Which requests crash the targets that run them, and are therefore not sent.

A target that crashes takes all calls down that it has, so a crash alone says little
about a request. A request under which a target crashed is suspect: it is sent to one
target at a time, as a canary request, until one answers it (J. Dean and L. A. Barroso,
"The Tail at Scale", CACM 2013). An answer clears it. Targets that crash under one send
after the other, each sent after the crash before it, are independent evidence: a
request with enough of it is in quarantine, and no target gets it. After a hold it is
suspect again, so that a request which no longer crashes its targets is served; the next
crash renews the quarantine at once, for longer.

A crash speaks against a request only if no other request explains it: one that had a
call at the same target, and under which more targets have crashed.

The crashes that several processes observe are added up. Times are in seconds.
"""

import math
from collections import OrderedDict
from collections.abc import Callable, Iterable
from enum import Enum

import msgspec

from ...ids import Fingerprint, TargetId

OWN_CALL = "own_call"
MIN_ROUNDS = 3  # Of independent evidence, for a quarantine.
MANY_CRASHES = 5  # A round with so many, and no answer, counts twice.
COMMON_CAUSE_S = 0.01  # Targets that are lost together end within less.
SUSPICION_S = 300.0  # After the latest crash.
FIRST_HOLD_S = 60.0
MAX_HOLD_S = 900.0
MAX_HOLDS = 10  # That are counted; the hold no longer grows then.
# A crash in a mass failure makes every request in flight suspect.
MAX_RECORDS = 2_000
MAX_QUARANTINED = 500
MAX_CRASHES = 64  # Kept for each request, besides one for each further round.
# Time in which all processes have told what they saw of a crash, before it is judged.
JUDGE_DELAY_S = 0.02
# Two processes see the same crash at times that differ by the delay of their messages.
SAME_CRASH_S = 0.2


class Standing(Enum):
    """What may be done with a request.

    CLEAR        it is sent to all targets that it needs at once
    SUSPECT      it is sent to one target at a time until one answers it
    QUARANTINED  it is refused
    """

    CLEAR = "clear"
    SUSPECT = "suspect"
    QUARANTINED = "quarantined"


class QuarantineEvent(Enum):
    """A change of what is known of a request; CRASHED is a further crash under it."""

    SUSPECTED = "suspected"
    CRASHED = "crashed"
    QUARANTINED = "quarantined"
    CLEARED = "cleared"


class Crash(msgspec.Struct, frozen=True):
    """A target that crashed under a call, and when the call was sent and ended."""

    target: TargetId
    sent_at: float
    ended_at: float

    def is_same(self, other: "Crash") -> bool:
        """Return whether two observations are of one crash."""
        return (
            self.target == other.target
            and self.sent_at <= other.ended_at + SAME_CRASH_S
            and other.sent_at <= self.ended_at + SAME_CRASH_S
        )


def count_rounds(crashes: Iterable[Crash]) -> int:
    """Return the number of rounds of calls that crashed targets.

    A call belongs to a new round if it was sent after the first crash of the round
    before it had been noticed. A round with MANY_CRASHES at different moments counts
    twice.
    """
    rounds: list[list[Crash]] = []
    noticed_at = -math.inf
    for crash in sorted(crashes, key=lambda item: item.sent_at):
        if crash.sent_at > noticed_at:
            rounds.append([])
            noticed_at = crash.ended_at
        rounds[-1].append(crash)
        noticed_at = min(noticed_at, crash.ended_at)
    return sum(map(weigh_round, rounds))


def weigh_round(crashes: list[Crash]) -> int:
    """Return for how many rounds the crashes of one round count."""
    ends = [item.ended_at for item in crashes]
    is_spread = max(ends) - min(ends) >= COMMON_CAUSE_S
    return 2 if len(crashes) >= MANY_CRASHES and is_spread else 1


class CrashRecord:
    """What is known of one request.

    `crashes` holds the crashes under its calls, `cleared_at` when a target last
    answered the request, and `held_until` when the latest quarantine ends. `holds`
    counts the quarantines, and `source` is where the latest news came from.
    """

    def __init__(self, now: float) -> None:
        self.crashes: list[Crash] = []
        self.since = now
        self.cleared_at = -math.inf
        self.held_until = -math.inf
        self.holds = 0
        self.source = OWN_CALL

    @property
    def latest_crash_at(self) -> float:
        """The time of the latest crash, or minus infinity."""
        return max((item.ended_at for item in self.crashes), default=-math.inf)

    def add(self, crash: Crash) -> bool:
        """Add a crash, and return whether it is news.

        Of many crashes only those are kept that make a new round.
        """
        if any(crash.is_same(known) for known in self.crashes):
            return False
        crashes = [*self.crashes, crash]
        is_kept = len(crashes) <= MAX_CRASHES
        if not is_kept and count_rounds(crashes) == count_rounds(self.crashes):
            return False
        self.crashes = crashes
        return True

    def note_holds(self, holds: int) -> None:
        """Record that the request has been in quarantine for so many times."""
        self.holds = max(1, self.holds, min(holds, MAX_HOLDS))

    def get_standing(self, now: float) -> Standing:
        """Return what may be done with the request."""
        if now < self.held_until:
            return Standing.QUARANTINED
        if self.crashes:
            return Standing.SUSPECT
        return Standing.CLEAR

    def is_outdated(self, now: float) -> bool:
        """Return whether the record says nothing any more."""
        latest = max(self.latest_crash_at, self.cleared_at, self.held_until)
        return now - latest >= SUSPICION_S


# Gets the event, the fingerprint of the request and its record.
QuarantineListener = Callable[[QuarantineEvent, Fingerprint, CrashRecord], None]


class RequestQuarantine:
    """The records of all suspect requests, the least recently changed first.

    `by_target` holds the requests with a crash of each target. `judge` is to be called
    JUDGE_DELAY_S after each crash that was noted.
    """

    def __init__(self) -> None:
        self.records: OrderedDict[Fingerprint, CrashRecord] = OrderedDict()
        self.by_target: dict[TargetId, set[Fingerprint]] = {}
        self.listeners: list[QuarantineListener] = []

    def get_standing(self, fingerprint: Fingerprint, now: float) -> Standing:
        """Return what may be done with a request."""
        record = self.records.get(fingerprint)
        return Standing.CLEAR if record is None else record.get_standing(now)

    def is_quarantined(self, fingerprint: Fingerprint, now: float) -> bool:
        """Return whether a request must not be sent to any target."""
        record = self.records.get(fingerprint)
        return record is not None and now < record.held_until

    def get_hold_s(self, fingerprint: Fingerprint, now: float) -> float:
        """Return the time until the quarantine of a request ends, 0 without one."""
        record = self.records.get(fingerprint)
        return 0.0 if record is None else max(0.0, record.held_until - now)

    def note_crash(
        self,
        fingerprint: Fingerprint,
        crash: Crash,
        now: float,
        source: str = OWN_CALL,
    ) -> None:
        """Record that a target crashed under a call of a request."""
        record = self.get_record(fingerprint, now)
        standing = record.get_standing(now)
        if crash.ended_at <= record.cleared_at or not record.add(crash):
            return
        self.by_target.setdefault(crash.target, set()).add(fingerprint)
        record.source = source
        is_first = standing is Standing.CLEAR
        event = QuarantineEvent.SUSPECTED if is_first else QuarantineEvent.CRASHED
        self.notify(event, fingerprint, record)

    def judge(self, fingerprint: Fingerprint, now: float) -> None:
        """Quarantine a request if the known crashes prove that it causes them."""
        record = self.records.get(fingerprint)
        if record is None or record.get_standing(now) is not Standing.SUSPECT:
            return
        if self.is_proved(fingerprint, record):
            hold_s = min(MAX_HOLD_S, FIRST_HOLD_S * 2**record.holds)
            record.source = OWN_CALL
            self.hold(fingerprint, record, now + hold_s, record.holds + 1)

    def is_proved(self, fingerprint: Fingerprint, record: CrashRecord) -> bool:
        """Return whether a request is to be quarantined.

        After an earlier quarantine, one crash under a call that was sent since is
        enough.
        """
        crashes = self.find_unexplained(fingerprint, record)
        if record.holds and record.held_until > record.cleared_at:
            return any(item.sent_at >= record.held_until for item in crashes)
        return count_rounds(crashes) >= MIN_ROUNDS

    def is_strongly_suspected(self, fingerprint: Fingerprint) -> bool:
        """Return whether a request should not reach the last replica of a shard.

        Several targets have ended under it, and not all at one moment, as in the loss
        of a rack.
        """
        record = self.records.get(fingerprint)
        if record is None or len(record.crashes) < MIN_ROUNDS:
            return False
        ends = [item.ended_at for item in self.find_unexplained(fingerprint, record)]
        return len(ends) >= MIN_ROUNDS and max(ends) - min(ends) >= COMMON_CAUSE_S

    def find_unexplained(
        self, fingerprint: Fingerprint, record: CrashRecord
    ) -> list[Crash]:
        """Return the crashes that no request with more of them explains."""
        return [
            crash
            for crash in record.crashes
            if not any(
                self.explains(other, record, crash)
                for other in self.by_target.get(crash.target, ())
                if other != fingerprint
            )
        ]

    def explains(self, other: Fingerprint, record: CrashRecord, crash: Crash) -> bool:
        """Return whether another request explains a crash under a record's request."""
        crashes = self.records[other].crashes
        if len(crashes) <= len(record.crashes):
            return False
        return any(crash.is_same(item) for item in crashes)

    def hold(
        self, fingerprint: Fingerprint, record: CrashRecord, until: float, holds: int
    ) -> None:
        """Quarantine a request until a time.

        From the second time on, the crashes of earlier rounds are no longer needed.
        """
        if record.holds:
            self.set_crashes(fingerprint, record, record.crashes[-1:])
        record.held_until = until
        record.note_holds(holds)
        self.notify(QuarantineEvent.QUARANTINED, fingerprint, record)
        self.drop_excess()

    def note_held(
        self,
        fingerprint: Fingerprint,
        until: float,
        holds: int,
        now: float,
        source: str,
    ) -> None:
        """Record that another process has a request in quarantine until a time."""
        record = self.get_record(fingerprint, now)
        until = min(until, now + MAX_HOLD_S)
        if until <= max(now, record.held_until):
            return
        was_held = now < record.held_until
        record.source = source
        if was_held:
            record.held_until = until
            record.note_holds(holds)
        else:
            self.hold(fingerprint, record, until, holds)

    def note_answer(self, fingerprint: Fingerprint, now: float) -> None:
        """Record that a target has just answered a request: it doesn't crash it."""
        if fingerprint in self.records:
            self.clear(fingerprint, now, now, OWN_CALL)

    def clear(
        self, fingerprint: Fingerprint, cleared_at: float, now: float, source: str
    ) -> None:
        """Record that a target answered a request at a time; drop earlier crashes."""
        record = self.get_record(fingerprint, now)
        if cleared_at <= record.cleared_at:
            return
        standing = record.get_standing(now)
        record.cleared_at = cleared_at
        later = [item for item in record.crashes if item.ended_at > cleared_at]
        self.set_crashes(fingerprint, record, later)
        if not record.crashes:
            record.held_until = min(record.held_until, now)
        record.source = source
        if standing is not Standing.CLEAR and not record.crashes:
            self.notify(QuarantineEvent.CLEARED, fingerprint, record)

    def set_crashes(
        self, fingerprint: Fingerprint, record: CrashRecord, crashes: list[Crash]
    ) -> None:
        """Keep only these crashes of a request."""
        kept = {item.target for item in crashes}
        for target in {item.target for item in record.crashes} - kept:
            requests = self.by_target.get(target, set())
            requests.discard(fingerprint)
            if not requests:
                self.by_target.pop(target, None)
        record.crashes = crashes

    def drop(self, fingerprint: Fingerprint) -> None:
        """Forget a request."""
        self.set_crashes(fingerprint, self.records[fingerprint], [])
        del self.records[fingerprint]

    def get_record(self, fingerprint: Fingerprint, now: float) -> CrashRecord:
        """Return the record of a request; create it on first use."""
        record = self.records.get(fingerprint)
        if record is None:
            record = self.records[fingerprint] = CrashRecord(now)
            self.drop_excess()
        self.records.move_to_end(fingerprint)
        return record

    def drop_excess(self) -> None:
        """Drop the oldest records beyond the bounds, quarantined ones last."""
        if len(self.records) <= MAX_QUARANTINED:
            return
        quarantined = [key for key, item in self.records.items() if item.holds]
        for fingerprint in quarantined[: max(0, len(quarantined) - MAX_QUARANTINED)]:
            self.drop(fingerprint)
        excess = len(self.records) - MAX_RECORDS
        if excess <= 0:
            return
        suspects = [key for key, item in self.records.items() if not item.holds]
        for fingerprint in suspects[:excess]:
            self.drop(fingerprint)

    def drop_outdated(self, now: float) -> None:
        """Drop the records that say nothing any more."""
        outdated = [key for key, item in self.records.items() if item.is_outdated(now)]
        for fingerprint in outdated:
            self.drop(fingerprint)

    def count(self, standing: Standing, now: float) -> int:
        """Return the number of requests of a standing, other than CLEAR."""
        return sum(item.get_standing(now) is standing for item in self.records.values())

    def find(self, standings: Iterable[Standing], now: float) -> list[Fingerprint]:
        """Return the requests of these standings, the latest changed first."""
        wanted = set(standings)
        return [
            key
            for key, item in reversed(self.records.items())
            if item.get_standing(now) in wanted
        ]

    def describe(self, fingerprint: Fingerprint, now: float) -> dict:
        """Return the record of a request for logs and state dumps."""
        record = self.records[fingerprint]
        age_s = now - max(record.latest_crash_at, record.since)
        return {
            "standing": record.get_standing(now).value,
            "targets": len(record.crashes),
            "unexplained": len(self.find_unexplained(fingerprint, record)),
            "rounds": count_rounds(record.crashes),
            "holds": record.holds,
            "held_ms": int(max(0.0, record.held_until - now) * 1_000),
            "age_ms": int(max(0.0, age_s) * 1_000),
            "source": record.source,
        }

    def notify(
        self, event: QuarantineEvent, fingerprint: Fingerprint, record: CrashRecord
    ) -> None:
        """Tell the listeners of a change."""
        for listener in self.listeners:
            listener(event, fingerprint, record)

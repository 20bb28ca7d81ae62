"""The observations that a soak records. Times are in seconds of the monotonic clock."""

import msgspec

NEVER = float("inf")


class PublishedConfig(msgspec.Struct, frozen=True):
    """A configuration that the store acknowledged."""

    version: int
    at: float


class Arrival(msgspec.Struct, frozen=True):
    """A request that reached a target; `ran` is false if the target refused it."""

    request_id: str
    service: str
    target: str
    path: str
    at: float
    ran: bool
    remaining_ms: int


class CallerRequest(msgspec.Struct):
    """One request of a caller and its outcome.

    `incarnation` counts the starts of the process that received the request.
    `ended_at` is the time of the answer or of the end of the connection. `left_at`
    is the time when the caller abandoned the request. `status` is 0 without an
    answer. `missing` is the number of missing parts that the answer reports.
    `extra_bytes` is true if bytes followed the answer.

    In the scenario "stops", `sent_at` is the time of the last byte, `copies` the
    number of copies of a target's body that were asked for, and `paced_until` the
    time at which a slow reader has read the answer at its own pace.
    """

    id: str
    route: str
    path: str
    front: str
    incarnation: int
    sent_at: float
    deadline_s: float
    idempotent: bool
    ended_at: float = NEVER
    left_at: float = NEVER
    status: int = 0
    signatures: tuple[str, ...] = ()
    missing: int = 0
    body: bytes = b""
    answer_id: str = ""
    extra_bytes: bool = False
    caller_kind: str = ""
    copies: int = 1
    is_truncated: bool = False
    paced_until: float = 0.0


class FaultPeriod(msgspec.Struct):
    """The period of a fault that affected one subject.

    `subject` is the name of a process or of a target, or "store". `detail` says what a
    target does, for a fault of one.
    """

    kind: str
    subject: str
    began_at: float
    ended_at: float = NEVER
    detail: str = ""


class ProcessExit(msgspec.Struct, frozen=True):
    """The exit of a process; `asked_at` is the time of a requested stop."""

    front: str
    at: float
    code: int
    asked_at: float | None = None
    incarnation: int = 0


class Record(msgspec.Struct):
    """The observations of one soak.

    `asked` holds the requests of callers and of the soak itself, `arrivals` those
    that reached targets, `published` the configurations, `troubles` the faults and
    `ended` the exits of processes that the soak did not kill.

    `bodies` and `services` map each target to its answer body and to its service.
    `log_faults` holds the beginnings of tracebacks in the logs of processes.
    `recovered` is true if every process served every route after the last fault.
    `logged_ids` holds the ids of the requests that the logs name.
    """

    asked: list[CallerRequest] = []
    arrivals: list[Arrival] = []
    published: list[PublishedConfig] = []
    troubles: list[FaultPeriod] = []
    ended: list[ProcessExit] = []
    bodies: dict[str, bytes] = {}
    services: dict[str, str] = {}
    log_faults: list[str] = []
    recovered: bool = False
    logged_ids: set[str] = set()

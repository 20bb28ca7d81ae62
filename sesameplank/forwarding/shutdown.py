"""The graceful shutdown of a forwarding process."""

import gevent
import msgspec
from gevent.event import Event

from ..core.common.clock import Clock
from ..core.common.stop_schedule import MIN_ANSWER_S, StopSchedule, make_stop_schedule
from ..core.membership.peer_messages import Phase
from ..logs import log_event
from ..peers.membership import MembershipService
from .batch_server import BatchServer
from .caller_server import CallerServer
from .forwarder import Forwarder
from .loop_delay import LoopDelay

CHECK_INTERVAL_S = 0.02
# The event loop's timers don't count the time while the VM is suspended.
MAX_SLEEP_S = 0.1


class Shutdown:
    """The steps of a graceful shutdown, from its request to the end of the process.

    `timeout_s` is the time after which the process is killed, counted from the stop
    request. `loop_delay` tells when the event loop last ran, and `finished` is set
    when the process may exit. `other_servers` serve readiness, addresses and the like
    until the end.
    """

    def __init__(
        self,
        clock: Clock,
        timeout_s: float,
        server: CallerServer,
        forwarder: Forwarder,
        batch_server: BatchServer,
        membership_service: MembershipService,
        loop_delay: LoopDelay,
    ) -> None:
        self.clock = clock
        self.timeout_s = timeout_s
        self.server = server
        self.forwarder = forwarder
        self.batch_server = batch_server
        self.membership_service = membership_service
        self.loop_delay = loop_delay
        self.other_servers: list[CallerServer] = []
        self.schedule: StopSchedule | None = None
        self.finished = Event()

    @property
    def is_requested(self) -> bool:
        """Whether the process has begun to stop."""
        return self.schedule is not None

    def request(self) -> None:
        """Start the shutdown, unless it has been requested before.

        The process may have been suspended or busy since the signal was sent.
        """
        if self.is_requested:
            return
        now = self.clock.now()
        requested_at = self.loop_delay.get_earliest_event_at(now)
        self.schedule = make_stop_schedule(requested_at, self.timeout_s, now)
        gevent.spawn(self.run, self.schedule)

    def run(self, schedule: StopSchedule) -> None:
        """Serve until it is time to close, then end, even if a step fails."""
        try:
            self.serve(schedule)
        except Exception as error:
            log_event("stop_step_failed", error=repr(error))
        try:
            self.end(schedule)
        finally:
            self.finished.set()

    def serve(self, schedule: StopSchedule) -> None:
        """Announce that the process is leaving, and serve as long as it accepts.

        Callers may still use its address.
        """
        self.log_step(
            "leaving",
            stop_timeout_ms=int(self.timeout_s * 1_000),
            loop_delay_ms=int(self.loop_delay.get_delay_s(self.clock.now()) * 1_000),
        )
        for server in (self.server, *self.other_servers):
            server.is_stopping = True
        self.forwarder.begin_stop(schedule)
        self.membership_service.leave(Phase.LEAVING)
        self.wait_until(schedule.stop_accepting_at)

    def end(self, schedule: StopSchedule) -> None:
        """Stop accepting connections, and wait for the last requests to finish."""
        self.log_step("stop_accepting", unaccepted=self.server.count_unaccepted())
        self.server.stop_accepting()
        self.batch_server.is_stopping = True
        self.close_connections([self.server], schedule)
        self.membership_service.leave(Phase.LEFT)
        for server in self.other_servers:
            server.stop_accepting()
        self.close_connections(self.other_servers, schedule)
        self.log_step("left", **self.get_totals())

    def wait_until(self, at: float) -> None:
        """Block until a time of the clock."""
        while (remaining_s := at - self.clock.now()) > 0:
            gevent.sleep(min(remaining_s, MAX_SLEEP_S))

    def close_connections(
        self, servers: list[CallerServer], schedule: StopSchedule
    ) -> None:
        """Close connections as they become idle, until none and no batch is left.

        The loop runs at least once, since connections that were accepted last are not
        counted before, and it ends in time for the process to exit.
        """
        until = max(schedule.exit_by, self.clock.now() + MIN_ANSWER_S)
        while True:
            gevent.sleep(CHECK_INTERVAL_S)
            now = self.clock.now()
            for server in servers:
                server.close_idle()
            if now >= schedule.answer_by:
                self.end_unfinished(servers)
            has_connections = any(server.connections for server in servers)
            if now >= until or not (has_connections or self.batch_server.batches):
                return

    def end_unfinished(self, servers: list[CallerServer]) -> None:
        """Refuse what callers have not sent whole, and return batches of other VMs."""
        for server in servers:
            server.refuse_incomplete()
        self.batch_server.return_all()

    def log_step(self, event: str, **fields: object) -> None:
        """Log a step with the time since the shutdown was requested."""
        if self.schedule is not None:
            elapsed_s = self.clock.now() - self.schedule.requested_at
            fields["after_ms"] = int(elapsed_s * 1_000)
        log_event(
            event,
            in_flight=self.server.in_flight,
            pending=self.server.pending,
            connections=len(self.server.connections),
            **fields,
        )

    def get_totals(self) -> dict[str, int]:
        """Return what became of the requests read since the shutdown began."""
        return msgspec.structs.asdict(self.server.accounts.stop_totals)

    def wait(self) -> None:
        """Block until the shutdown is complete."""
        self.finished.wait()

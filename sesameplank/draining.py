"""The graceful shutdown of an entry: what it still serves, and what it refuses."""

import gevent

from .callers.server import CallersServer
from .core.common.clock import Clock
from .core.common.entry_stop import CLOSING_S
from .core.common.stop_schedule import StopSchedule
from .core.membership.peer_messages import Phase
from .logs import log_event
from .peers.membership import MembershipService
from .serving import ServingGate, ServingState

CHECK_INTERVAL_S = 0.01
ARRIVAL_S = 0.05  # time for the requests of callers that have just connected


class Drain:
    """Ends the service of an entry by a schedule, with an answer to each request.

    The entry serves until the addresses that callers cached have expired. Then it
    refuses new requests and waits for those in flight. What is still in flight at
    `answer_by` is cut off, which answers it. Connections are closed last.
    """

    def __init__(
        self,
        stop: StopSchedule,
        gate: ServingGate,
        server: CallersServer,
        membership_service: MembershipService,
        clock: Clock,
    ) -> None:
        self.stop = stop
        self.gate = gate
        self.server = server
        self.membership_service = membership_service
        self.clock = clock

    def run(self) -> None:
        """Serve, refuse, finish and close, and log each step."""
        self.log_step("leaving")
        self.membership_service.leave(Phase.LEAVING)
        gevent.sleep(max(0.0, self.stop.stop_accepting_at - self.clock.now()))
        self.refuse_new()
        finished = self.wait_until_idle()
        cut_off = self.cut_off()
        self.membership_service.leave(Phase.LEFT)
        unanswered = self.close_connections()
        self.log_step("left", finished=finished, cut_off=cut_off, unanswered=unanswered)

    def log_step(self, event: str, **fields: object) -> None:
        """Log a step with the state of the requests and the time since the request."""
        log_event(
            event,
            **fields,
            in_flight=self.gate.in_flight,
            busy=len(self.server.get_busy()),
            connections=len(self.server.handlers),
            refused=self.gate.refused,
            after_s=self.clock.now() - self.stop.requested_at,
        )

    def refuse_new(self) -> None:
        """Refuse new requests from now on."""
        self.gate.set_state(ServingState.CLOSED)
        self.server.is_stopping = True
        self.log_step("stop_accepting")

    def is_idle(self) -> bool:
        """Return whether each request that has begun to arrive was answered."""
        return not self.gate.in_flight and not self.server.get_busy()

    def wait_until_idle(self) -> bool:
        """Wait for requests in flight until `answer_by`; return whether all ended."""
        while not self.is_idle():
            if self.clock.now() >= self.stop.answer_by:
                return False
            gevent.sleep(CHECK_INTERVAL_S)
        return True

    def cut_off(self) -> int:
        """Answer the requests that are still in flight, and return their number."""
        count = max(self.gate.in_flight, len(self.server.get_busy()))
        self.gate.cut_off()
        self.server.cut_off()
        return count

    def close_connections(self) -> int:
        """Close the connections; return how many requests remain unanswered."""
        until = self.clock.now() + CLOSING_S
        self.server.stop()
        gevent.sleep(ARRIVAL_S)
        self.server.close_idle()
        while self.server.handlers and self.clock.now() < until:
            gevent.sleep(CHECK_INTERVAL_S)
        unanswered = self.server.get_busy()
        for handler in unanswered:
            handler.log_unanswered("the stop is over")
        return len(unanswered)

"""A worker (generator process), which sends its part of the arrivals when due.

Reads a WorkerPlan as JSON from the file named by --plan and writes a
WorkerReport as MessagePack to the file named by --report.
"""

import collections
import gc
import random
import time
from pathlib import Path

import gevent
import msgspec

from ..client import Client
from ..commands.base import Command, run_command
from ..conf.settings import Setting
from ..exceptions import CallError
from ..ids import CallerName, RequestId
from ..net import Address
from ..standins.deployments import DEPLOYMENTS
from .arrivals import Arrival, Phase, make_arrivals
from .observations import AttemptFailure, Observation, Outcome, WorkerReport

FINISH_TIMEOUT_S = 15.0


class WorkerPlan(msgspec.Struct, frozen=True):
    """The parameters of one generator process.

    `start_at` is a monotonic time in seconds. Of `workers` processes, this one
    sends each arrival whose index, modulo `workers`, is `worker`. `seeds` holds
    the addresses of entries, whereas `seed` initializes the random generator.
    """

    deployment: str
    seeds: tuple[str, ...]
    phases: tuple[Phase, ...]
    seed: int
    booking_share: float
    deadline_ms: int
    start_at: float
    worker: int
    workers: int


class ObservedClient(Client):
    """A client that sets the request ids itself and records failed attempts.

    `original_call` is the `call` method of its connections, which this class
    replaces by its own.
    """

    def __init__(self, *args, **kwargs) -> None:
        super().__init__(*args, **kwargs)
        self.request_id = RequestId("")
        self.answered_by = ""
        self.failures: list[AttemptFailure] = []
        self.original_call = self.connections.call
        self.connections.call = self.call

    def start_request(self, request_id: RequestId) -> None:
        """Discard the records of the last request and set the id of the next."""
        self.request_id = request_id
        self.answered_by = ""
        self.failures = []

    def call(self, address, method, path, body, headers, *args) -> bytes:
        """Send one request and record the entry that answered, or the failure."""
        headers = {**headers, "X-Request-Id": self.request_id}
        try:
            payload = self.original_call(address, method, path, body, headers, *args)
        except CallError as error:
            cause = type(error.__cause__).__name__ if error.__cause__ else ""
            self.failures.append(
                AttemptFailure(str(address), time.monotonic(), error.kind, cause)
            )
            raise
        self.answered_by = str(address)
        return payload


class Generator:
    """Sends arrivals when they are due and collects the observations of callers."""

    def __init__(self, plan: WorkerPlan) -> None:
        self.plan = plan
        self.rng = random.Random(f"{plan.seed}-{plan.worker}")
        self.seeds = [Address.parse(item) for item in plan.seeds]
        self.idle_clients: dict[CallerName, list[ObservedClient]] = (
            collections.defaultdict(list)
        )
        self.observations: list[Observation] = []

    def run(self) -> WorkerReport:
        """Send all arrivals of this process and return the report."""
        arrivals = make_arrivals(
            DEPLOYMENTS[self.plan.deployment],
            self.plan.phases,
            self.plan.seed,
            self.plan.booking_share,
        )
        own_arrivals = arrivals[self.plan.worker :: self.plan.workers]
        greenlets = []
        for arrival in own_arrivals:
            due_at = self.plan.start_at + arrival.at_s
            gevent.sleep(max(0.0, due_at - time.monotonic()))
            greenlets.append(gevent.spawn(self.send, arrival, due_at))
        gevent.joinall(greenlets, timeout=FINISH_TIMEOUT_S)
        return WorkerReport(self.observations, time.process_time())

    def send(self, arrival: Arrival, due_at: float) -> None:
        """Send one arrival through an idle client and record its observation."""
        late_s = time.monotonic() - due_at
        idle_clients = self.idle_clients[arrival.caller]
        client = (
            idle_clients.pop() if idle_clients else self.make_client(arrival.caller)
        )
        client.start_request(arrival.request_id)
        observation = Observation(arrival.index, late_s * 1_000, 0.0, Outcome.ANSWERED)
        observation.at_least = client.seen.get(arrival.collection)
        try:
            self.call_client(client, arrival, observation)
        except CallError as error:
            observation.outcome = Outcome(error.ran)
            observation.kind = error.kind
        observation.latency_ms = (time.monotonic() - due_at) * 1_000
        observation.answered_by = client.answered_by
        observation.failures = tuple(client.failures)
        self.observations.append(observation)
        idle_clients.append(client)

    def call_client(
        self, client: ObservedClient, arrival: Arrival, observation: Observation
    ) -> None:
        """Send the search or booking and record its answer, or raise CallError."""
        if arrival.search is not None:
            observation.answer = client.search(arrival.search, self.plan.deadline_ms)
            return
        observation.booking = client.book(
            arrival.collection,
            arrival.stock.record,
            arrival.stock.quantity,
            deadline_ms=self.plan.deadline_ms,
        )

    def make_client(self, caller: CallerName) -> ObservedClient:
        """Return a new client of a caller."""
        return ObservedClient(caller, self.seeds, random.Random(self.rng.random()))


class WorkerCommand(Command):
    """Carry out one generator's plan."""

    help = "Sends one part of a run's arrivals; started by sesameplank-load."
    settings = (
        Setting("plan", "", "File with the plan as JSON."),
        Setting("report", "", "File for the report as MessagePack."),
    )

    def handle(self, arguments: list[str], values: dict) -> int:
        """Run the generator."""
        plan = msgspec.json.decode(Path(values["plan"]).read_bytes(), type=WorkerPlan)
        gc.disable()  # Garbage collection would delay arrivals, and a run is short.
        report = Generator(plan).run()
        Path(values["report"]).write_bytes(msgspec.msgpack.encode(report))
        return 0


def main() -> None:
    """Run the process."""
    run_command(WorkerCommand())


if __name__ == "__main__":
    main()

"""A discrete-event simulation of sharded requests to targets, in virtual time.

The simulation runs the unmodified decision code of `sesameplank.core` against
modelled targets with slots, queues, pauses, noisy neighbours and stragglers. Times
are in seconds.
"""

import heapq
import itertools
import math
import random
from collections import deque

import msgspec

from sesameplank.core.common.outcomes import Ran
from sesameplank.core.forwarding.call_times import CallTimes
from sesameplank.core.forwarding.extra_load import ExtraLoadBounds, ExtraLoadBudget
from sesameplank.core.forwarding.fanout import Fanout
from sesameplank.core.forwarding.fanout_calls import Call
from sesameplank.core.forwarding.fanout_plans import get_required, make_fanout_plan
from sesameplank.core.forwarding.placement import LoadReport, Placement
from sesameplank.core.forwarding.queue_admission import (
    QueueAdmission,
    get_allowed_waits,
)
from sesameplank.core.forwarding.verdicts import Verdict
from sesameplank.core.published.routes import Route
from sesameplank.core.published.target_table import TargetPhase, TargetRecord

ABANDONED_CALL_GRACE_S = 0.25
SLOTS = 2
HOP_S = 0.0003
MAX_QUEUE = 12


class Scenario(msgspec.Struct, frozen=True):
    """A deployment, its faults and its load; times are in seconds.

    Values for the two routes are in the order of their priorities. `work_s` is the
    mean time that a target works on a call; each target multiplies it by one of
    `work_factors`. `per_s` is the number of requests per second. Each `..._share` is
    the probability that a fault affects a target; `noise_share` applies to every
    period of `noise_every_s` separately. Targets affected by `dark_share` never
    answer, and those affected by `shed_share` refuse calls with the probability
    `shed_rate`. `has_admission` turns on admission control.
    """

    shards: int = 20
    replicas: int = 2
    vms: int = 8
    data_centres: int = 3
    per_s: float = 80.0
    work_s: tuple[float, float] = (0.011, 0.0038)
    objectives_s: tuple[float, float] = (0.118, 0.056)
    min_coverages: tuple[float, float] = (0.89, 0.75)
    deadline_s: float = 1.5
    transit_s: float = 0.003
    pause_s: float = 0.12
    pause_every_s: float = 3.0
    noise_share: float = 0.15
    noise_factor: float = 2.5
    noise_every_s: float = 0.6
    work_factors: tuple[float, ...] = (0.8, 1.0, 1.3)
    slow_share: float = 0.0
    slow_factor: float = 8.0
    shed_share: float = 0.0
    shed_rate: float = 0.6
    dark_share: float = 0.0
    has_admission: bool = True
    seconds: float = 12.0


class Job:
    """One call at a target; `done` gets whether the target ran it."""

    def __init__(self, work_s: float, done) -> None:
        self.work_s = work_s
        self.done = done
        self.is_dropped = False


class SimulatedTarget:
    """A target with slots, a queue, pauses and a noisy neighbour."""

    def __init__(
        self, loop: "EventLoop", scenario: Scenario, rng: random.Random
    ) -> None:
        self.loop = loop
        self.scenario = scenario
        self.rng = rng
        self.work_factor = rng.choice(scenario.work_factors)
        self.pause_offset_s = rng.uniform(0.0, scenario.pause_every_s)
        self.slowdown = (
            scenario.slow_factor if rng.random() < scenario.slow_share else 1.0
        )
        self.is_shedding = rng.random() < scenario.shed_share
        self.is_unresponsive = rng.random() < scenario.dark_share
        self.noise_factors: dict[int, float] = {}
        self.running = 0
        self.queue: deque[Job] = deque()
        self.arrivals = 0

    def get_noise(self, now: float) -> float:
        """Return the slowdown that a noisy neighbour causes at a time."""
        period = int(now / self.scenario.noise_every_s)
        if period not in self.noise_factors:
            is_noisy = self.rng.random() < self.scenario.noise_share
            self.noise_factors[period] = self.scenario.noise_factor if is_noisy else 1.0
        return self.noise_factors[period]

    def get_report(self) -> LoadReport:
        """Return the load report that the target sends with an answer."""
        slowdown = self.get_noise(self.loop.now)
        return LoadReport(self.running, len(self.queue), SLOTS, slowdown)

    def get_pause_end(self, now: float) -> float:
        """Return the end of a pause in progress at `now`, or `now` if there is none."""
        since_pause_began_s = (now + self.pause_offset_s) % self.scenario.pause_every_s
        return now + max(0.0, self.scenario.pause_s - since_pause_began_s)

    def arrive(self, job: Job) -> None:
        """Start, queue or refuse a call, or never answer it."""
        self.arrivals += 1
        if self.is_unresponsive:
            return
        if self.is_shedding and self.rng.random() < self.scenario.shed_rate:
            job.done(False)
        elif self.running < SLOTS:
            self.start(job)
        elif len(self.queue) >= MAX_QUEUE:
            job.done(False)
        else:
            self.queue.append(job)

    def start(self, job: Job) -> None:
        """Run a call on a free slot."""
        self.running += 1
        now = self.get_pause_end(self.loop.now)
        work_s = job.work_s * self.work_factor * self.slowdown * self.get_noise(now)
        end = now + work_s
        if self.get_pause_end(end) > end:
            end = self.get_pause_end(end)
        self.loop.at(end, lambda: self.finish(job))

    def finish(self, job: Job) -> None:
        """Finish a call, and start queued ones on the free slots."""
        self.running -= 1
        if not job.is_dropped:
            job.done(True)
        while self.queue and self.running < SLOTS:
            waiting = self.queue.popleft()
            if not waiting.is_dropped:
                self.start(waiting)


class EventLoop:
    """A queue of events in virtual time; `now` is in seconds."""

    def __init__(self) -> None:
        self.now = 0.0
        self.events: list = []
        self.numbers = itertools.count()

    def at(self, time_s: float, action) -> None:
        """Schedule an action for the time `time_s`."""
        heapq.heappush(self.events, (time_s, next(self.numbers), action))

    def run(self, until: float) -> None:
        """Run all events up to a time, in order."""
        while self.events and self.events[0][0] <= until:
            self.now, _, action = heapq.heappop(self.events)
            action()


class SimulatedVm:
    """One VM, with the state on which its decisions depend."""

    def __init__(self, name: str, scenario: Scenario, rng: random.Random) -> None:
        self.placement = Placement(name, rng)
        self.times = CallTimes()
        bounds = ExtraLoadBounds(ratio=0.2, slack=56.0)
        self.budget = ExtraLoadBudget(bounds)
        self.budget.set_slack_share(1.0 / scenario.vms, 0.0)
        self.admission = QueueAdmission(rng)


class SimulatedRequest:
    """One request in progress."""

    def __init__(
        self, simulation: "LoadSimulation", vm: SimulatedVm, route: Route
    ) -> None:
        self.simulation = simulation
        self.vm = vm
        self.route = route
        self.loop = simulation.loop
        self.started_at = simulation.loop.now
        self.jobs: dict[int, Job] = {}
        self.is_finished = False
        self.work_s = simulation.draw_work_s(route)
        plan = make_fanout_plan(
            route,
            route.shards,
            received_at=self.loop.now,
            transit_s=simulation.scenario.transit_s,
            caller_timeout_s=simulation.scenario.deadline_s,
            now=self.loop.now,
            times=vm.times,
            budget=vm.budget,
        )
        self.fanout = Fanout(plan, simulation.replicas.get, vm.placement, vm.budget)
        self.send(self.fanout.start(self.loop.now))
        self.step()

    def send(self, calls: list[Call]) -> None:
        """Schedule the arrival of calls at their targets."""
        for call in calls:
            self.fanout.note_transmitted(call)
            job = Job(
                self.work_s,
                lambda ok, call=call: self.loop.at(
                    self.loop.now + HOP_S, lambda: self.process_outcome(call, ok)
                ),
            )
            self.jobs[call.id] = job
            target = self.simulation.targets[call.target.id]
            self.loop.at(
                self.loop.now + HOP_S, lambda job=job, to=target: to.arrive(job)
            )
            if call.target.data_centre != self.vm.placement.data_centre:
                self.simulation.remote += 1
            self.simulation.calls += 1

    def process_outcome(self, call: Call, is_ok: bool) -> None:
        """Process an answer, or a refusal if `is_ok` is false."""
        now = self.loop.now
        if self.jobs.pop(call.id, None) is None:
            return
        placement = self.vm.placement
        if is_ok:
            report = self.simulation.targets[call.target.id].get_report()
            placement.note_report(call.target.id, report, now)
            elapsed_s = placement.note_answer(call.target.id, call.id, now)
            self.vm.admission.note_answer(call.shard, report, elapsed_s, now)
            self.vm.times.observe(self.route, elapsed_s)
            self.fanout.on_answer(call, now)
            other_calls = self.fanout.shards[call.shard].calls
            for other in list(other_calls.values()):
                self.abandon(other)
        else:
            placement.note_shed(call.target.id, call.id, now)
            report = self.simulation.targets[call.target.id].get_report()
            self.vm.admission.note_refusal(call.shard, report, now)
            self.send(self.fanout.on_failure(call, Ran.NOT_RUN, now))
        self.step()

    def abandon(self, call: Call) -> None:
        """Cancel a call; its target drops it after the grace period."""
        job = self.jobs.pop(call.id, None)
        if job is None:
            return
        self.vm.placement.note_abandoned(call.target.id, call.id, self.loop.now)
        self.loop.at(
            self.loop.now + ABANDONED_CALL_GRACE_S,
            lambda: setattr(job, "is_dropped", True),
        )

    def step(self) -> None:
        """Finish the request if it is decided.

        Otherwise, send the calls that are due, and schedule the next step.
        """
        if self.is_finished:
            return
        now = self.loop.now
        verdict = self.fanout.get_verdict(now)
        if verdict is not Verdict.OPEN:
            self.finish(verdict)
            return
        self.send(self.fanout.on_timer(now))
        self.loop.at(max(now + 1e-6, self.fanout.get_next_timer()), self.step)

    def finish(self, verdict: Verdict) -> None:
        """Cancel the remaining calls and record the result."""
        self.is_finished = True
        self.fanout.finish(self.loop.now)
        for shard in self.fanout.shards.values():
            for call in list(shard.calls.values()):
                self.abandon(call)
        latency_s = self.loop.now - self.started_at + self.simulation.scenario.transit_s
        self.simulation.results.append(
            Result(
                self.route,
                latency_s,
                verdict is Verdict.ANSWERED,
                self.fanout.answered / len(self.fanout.shards),
            )
        )


class Result(msgspec.Struct, frozen=True):
    """The outcome of a request for its caller."""

    route: Route
    latency_s: float
    is_answered: bool
    coverage: float

    @property
    def score(self) -> float:
        """The square of the coverage, a tenth of it if late, 0 if not answered."""
        if not self.is_answered:
            return 0.0
        in_time = self.latency_s <= self.route.objective_s
        return (1.0 if in_time else 0.1) * self.coverage**2


class LoadSimulation:
    """A complete simulation; `results` holds one result for each request."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario = scenario
        self.loop = EventLoop()
        self.rng = random.Random(seed)
        self.results: list[Result] = []
        self.calls = 0
        self.remote = 0
        self.refused = 0
        self.targets: dict[str, SimulatedTarget] = {}
        self.replicas: dict[str, list[TargetRecord]] = {}
        shards = tuple(f"s{number}" for number in range(scenario.shards))
        for number, shard in enumerate(shards):
            self.replicas[shard] = []
            for replica in range(scenario.replicas):
                name = f"{shard}-{replica}"
                data_centre = f"dc{(number + replica) % scenario.data_centres}"
                self.replicas[shard].append(
                    TargetRecord(
                        name,
                        shard,
                        "10.0.0.1:80",
                        data_centre,
                        SLOTS,
                        TargetPhase.READY,
                    )
                )
                self.targets[name] = SimulatedTarget(self.loop, scenario, self.rng)
        self.routes = [
            Route(
                name=f"r{number}",
                host="h",
                prefix="/",
                idempotent=True,
                timeout_s=scenario.deadline_s,
                objective_s=scenario.objectives_s[number],
                max_attempts=2,
                priority=number,
                shards=shards,
                top_k=5,
                min_coverage=scenario.min_coverages[number],
            )
            for number in range(2)
        ]
        self.allowed_waits = get_allowed_waits(self.routes)
        self.vms = [
            SimulatedVm(f"dc{number % scenario.data_centres}", scenario, self.rng)
            for number in range(scenario.vms)
        ]

    def draw_work_s(self, route: Route) -> float:
        """Return the work of a request at each shard, in seconds.

        It is log-normally distributed, and one request in 100 takes 5 times as long.
        """
        mean_s = self.scenario.work_s[route.priority]
        sigma = 0.35
        work_s = mean_s * math.exp(self.rng.gauss(-sigma * sigma / 2, sigma))
        return work_s * (5.0 if self.rng.random() < 0.01 else 1.0)

    def arrive(self) -> None:
        """Start a request, and schedule the arrival of the next one."""
        vm = self.rng.choice(self.vms)
        route = self.routes[0 if self.rng.random() < 0.75 else 1]
        if not self.refuse(vm, route):
            SimulatedRequest(self, vm, route)
        gap_s = self.rng.expovariate(self.scenario.per_s)
        if self.loop.now + gap_s < self.scenario.seconds:
            self.loop.at(self.loop.now + gap_s, self.arrive)

    def refuse(self, vm: SimulatedVm, route: Route) -> bool:
        """Return whether a VM refuses a request on arrival, and record a refusal."""
        if not self.scenario.has_admission:
            return False
        retry_s = vm.admission.find_retry_s(
            route.shards,
            get_required(route, len(route.shards)),
            self.allowed_waits[route.name],
            self.loop.now,
        )
        if retry_s is None:
            return False
        self.results.append(Result(route, 0.0, False, 0.0))
        self.refused += 1
        return True

    def run(self) -> "LoadSimulation":
        """Run the simulation to its end."""
        self.loop.at(0.0, self.arrive)
        self.loop.run(self.scenario.seconds + 2.0)
        return self

    def get_mean_score(self, priority: int | None = None) -> float:
        """Return the mean score of requests, without the first second's warm-up."""
        chosen = [
            item.score
            for item in self.results[int(self.scenario.per_s) :]
            if priority is None or item.route.priority == priority
        ]
        return sum(chosen) / len(chosen)

    def count_by_shard(self) -> dict[str, int]:
        """Return the number of calls that arrived at the targets of each shard."""
        return {
            shard: sum(self.targets[item.id].arrivals for item in records)
            for shard, records in self.replicas.items()
        }

    def get_extra_load(self) -> float:
        """Return the hedges and retries as a share of the first calls."""
        first = len(self.results) * self.scenario.shards
        return self.calls / first - 1.0

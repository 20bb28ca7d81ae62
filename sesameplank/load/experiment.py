"""Executes one run: starts the processes, sends the load and collects the results."""

import contextlib
import random
import tempfile
import time
from collections.abc import Iterator
from enum import Enum
from pathlib import Path

import gevent
import msgspec
from geventhttpclient import HTTPClient

from ..logs import log_event
from ..standins.control import Truth
from ..standins.deployments import DEPLOYMENTS
from ..standins.fleet import ENTRY_MODULE, EntryProcess, Fleet, reserve_block
from ..standins.world import World
from .arrivals import Arrival, Phase, make_arrivals
from .checks import RunData, check_run
from .figures import ControlOverhead, Figures, ProcessorUse, Window, make_figures
from .observations import Observation, VersionObservation, WorkerReport
from .processes import ChildProcess, StandinOptions, Standins, get_machine_processor_s
from .scenario_context import ScenarioContext
from .scenarios import SCENARIOS, Scenario
from .worker import WorkerPlan

NAIVE_MODULE = "sesameplank.standins.naive"
SETTLE_S = 1.5
IDLE_MEASUREMENT_S = 2.0
WORKER_START_DELAY_S = 2.0
WARM_UP_S = 2.0
WARM_UP_LOAD = 0.25
WORKER_COUNT = 3
VERSION_POLL_INTERVAL_S = 0.5
PROGRESS_INTERVAL_S = 5.0
WORKER_TIMEOUT_S = 30.0


class Variant(Enum):
    """The query tier that is measured."""

    SYSTEM = "system"
    NAIVE = "naive"


class Plan(msgspec.Struct, frozen=True):
    """The parameters of one run: one variant, one scenario and one seed.

    `seconds` is the length of the measured part, which follows the warm-up.
    `load_factor` multiplies the load of every phase, including the warm-up.
    """

    deployment: str
    scenario: str
    variant: Variant
    seed: int
    seconds: float
    entries: int
    deadline_ms: int
    load_factor: float = 1.0


class ProcessorReading(msgspec.Struct, frozen=True):
    """Processor time used until `read_at`, all in seconds.

    `read_at` is a monotonic time; `standins_s` holds one value for each process.
    """

    read_at: float
    entries_s: float
    standins_s: list[float]
    machine_s: float


class Experiment:
    """One run, with the parameters of its plan."""

    def __init__(self, plan: Plan) -> None:
        self.plan = plan
        self.deployment = DEPLOYMENTS[plan.deployment]
        self.scenario: Scenario = SCENARIOS[plan.scenario]
        self.phases = make_phases(
            self.scenario.get_phases(plan.seconds), plan.load_factor
        )
        self.arrivals: list[Arrival] = make_arrivals(
            self.deployment, self.phases, plan.seed, self.scenario.booking_share
        )
        self.version_observations: list[VersionObservation] = []

    def run(self) -> Figures:
        """Start all processes, measure the run and return its figures."""
        plan = self.plan
        with contextlib.ExitStack() as stack:
            block = stack.enter_context(reserve_block())
            directory = Path(stack.enter_context(tempfile.TemporaryDirectory()))
            standins = stack.enter_context(
                Standins(self.make_standin_options(block), directory)
            )
            world = World(self.deployment, block, plan.seed, plan.entries)
            fleet = stack.enter_context(
                Fleet(world.vms, world.platform_address, module=self.get_module())
            )
            context = ScenarioContext(
                self.deployment,
                world.direct_configuration,
                standins,
                fleet,
                random.Random(f"scenario-{plan.seed}"),
            )
            return self.measure(context, directory)

    def make_standin_options(self, block: str) -> StandinOptions:
        """Return the options of the stand-in processes."""
        return StandinOptions(
            deployment=self.plan.deployment,
            block=block,
            seed=self.plan.seed,
            entries=self.plan.entries,
            proxied_targets=self.scenario.proxied_targets,
            proxied_peers=self.scenario.proxied_peers,
            noise=self.scenario.noise,
        )

    def get_module(self) -> str:
        """Return the name of the module that runs the variant's entry process."""
        return NAIVE_MODULE if self.plan.variant is Variant.NAIVE else ENTRY_MODULE

    def measure(self, context: ScenarioContext, directory: Path) -> Figures:
        """Measure the tier idle and then under load, and check its answers."""
        control = self.measure_idle(context)
        start_at = time.monotonic() + WORKER_START_DELAY_S
        context.start_clock(start_at + WARM_UP_S, self.plan.seconds)
        greenlets = [
            gevent.spawn(self.scenario.run, context),
            gevent.spawn(self.watch_versions, context),
            gevent.spawn(self.report_progress, start_at),
        ]
        try:
            before = self.read_processors(context)
            reports = self.run_workers(context, directory, start_at)
            after = self.read_processors(context)
            if greenlets[0].exception:
                raise greenlets[0].exception
        finally:
            gevent.killall(greenlets)
        observations = [item for report in reports for item in report.observations]
        figures = self.make_figures(
            observations, context.standins.read_truth(), context
        )
        figures.control = control
        figures.processor = self.get_processor_use(reports, before, after)
        return figures

    def measure_idle(self, context: ScenarioContext) -> ControlOverhead:
        """Return the control overhead of an entry while no caller sends requests."""
        gevent.sleep(SETTLE_S)
        before = self.read_processors(context)
        bytes_before = count_control_bytes(context)
        gevent.sleep(IDLE_MEASUREMENT_S)
        after = self.read_processors(context)
        bytes_after = count_control_bytes(context)
        entry_seconds = (after.read_at - before.read_at) * self.plan.entries
        known = bytes_before is not None and bytes_after is not None
        return ControlOverhead(
            bytes_per_s=(bytes_after - bytes_before) / entry_seconds if known else None,
            cpu_share=(after.entries_s - before.entries_s) / entry_seconds,
        )

    def read_processors(self, context: ScenarioContext) -> ProcessorReading:
        """Read the processor time of entries, stand-ins and the whole machine."""
        return ProcessorReading(
            time.monotonic(),
            context.processor_s,
            context.standins.processor_s,
            get_machine_processor_s(),
        )

    def get_processor_use(
        self,
        reports: list[WorkerReport],
        before: ProcessorReading,
        after: ProcessorReading,
    ) -> ProcessorUse:
        """Return the use of processor time while the generators sent load."""
        loaded_s = self.phases[-1].end_s
        entries_s = after.entries_s - before.entries_s
        others_s = (
            (after.machine_s - before.machine_s)
            - entries_s
            - (sum(after.standins_s) - sum(before.standins_s))
            - sum(report.processor_s for report in reports)
        )
        queries = sum(item.search is not None for item in self.arrivals)
        return ProcessorUse(
            generators=max(report.processor_s for report in reports) / loaded_s,
            standins=max(
                (later - earlier) / loaded_s
                for earlier, later in zip(
                    before.standins_s, after.standins_s, strict=True
                )
            ),
            entries=entries_s / self.plan.entries / loaded_s,
            entry_ms_per_query=entries_s / queries * 1_000,
            other_cores=max(0.0, others_s / (after.read_at - before.read_at)),
        )

    def run_workers(
        self, context: ScenarioContext, directory: Path, start_at: float
    ) -> list[WorkerReport]:
        """Run the generator processes and return their reports."""
        with contextlib.ExitStack() as stack:
            workers = []
            for number in range(WORKER_COUNT):
                plan_path = directory / f"plan-{number}.json"
                report_path = directory / f"report-{number}"
                plan = self.make_worker_plan(context, start_at, number)
                plan_path.write_bytes(msgspec.json.encode(plan))
                flags = [f"--plan={plan_path}", f"--report={report_path}"]
                log_path = directory / f"worker-{number}.log"
                worker = ChildProcess("sesameplank.load.worker", flags, log_path)
                workers.append((stack.enter_context(worker), report_path))
            deadline = start_at + self.phases[-1].end_s + WORKER_TIMEOUT_S
            for worker, _ in workers:
                wait_for(worker, deadline)
            return [
                msgspec.msgpack.decode(path.read_bytes(), type=WorkerReport)
                for _, path in workers
            ]

    def make_worker_plan(
        self, context: ScenarioContext, start_at: float, number: int
    ) -> WorkerPlan:
        """Return the plan of one generator process."""
        return WorkerPlan(
            deployment=self.plan.deployment,
            seeds=tuple(str(item) for item in context.fleet.addresses),
            phases=self.phases,
            seed=self.plan.seed,
            booking_share=self.scenario.booking_share,
            deadline_ms=self.plan.deadline_ms,
            start_at=start_at,
            worker=number,
            workers=WORKER_COUNT,
        )

    def watch_versions(self, context: ScenarioContext) -> None:
        """Record the configuration version that each entry reports, periodically."""
        while True:
            for entry in context.fleet.entries:
                begun_at = time.monotonic()
                version = read_state(entry).get("config_version")
                if version:
                    version_observation = VersionObservation(
                        str(entry.address), begun_at, time.monotonic(), version
                    )
                    self.version_observations.append(version_observation)
            gevent.sleep(VERSION_POLL_INTERVAL_S)

    def get_answer_versions(
        self, observations: list[Observation], context: ScenarioContext
    ) -> list[VersionObservation]:
        """Return the configuration versions that the answers name."""
        run_start_at = context.measured_start_at - WARM_UP_S
        return [
            VersionObservation(
                item.answered_by,
                due_at + item.late_ms / 1_000,
                due_at + item.latency_ms / 1_000,
                item.answer.config_version,
            )
            for item in observations
            if item.answer is not None
            for due_at in [run_start_at + self.arrivals[item.index].at_s]
        ]

    def report_progress(self, start_at: float) -> None:
        """Log the progress of the run periodically."""
        while True:
            gevent.sleep(PROGRESS_INTERVAL_S)
            log_event(
                "load_progress",
                variant=self.plan.variant.value,
                seed=self.plan.seed,
                elapsed_s=round(time.monotonic() - start_at, 1),
                of_s=self.phases[-1].end_s,
            )

    def make_figures(
        self, observations: list[Observation], truth: Truth, context: ScenarioContext
    ) -> Figures:
        """Return the figures and violations of the run.

        Control overhead and processor use are left empty.
        """
        window = self.scenario.get_window(self.plan.seconds)
        figures = make_figures(
            self.deployment,
            self.arrivals,
            observations,
            truth,
            measured=Window(WARM_UP_S, WARM_UP_S + self.plan.seconds),
            scenario_window=Window(
                WARM_UP_S + window.start_s, WARM_UP_S + window.end_s
            ),
            deadline_ms=self.plan.deadline_ms,
        )
        figures.violations = check_run(
            RunData(
                self.arrivals,
                observations,
                truth,
                [
                    *self.version_observations,
                    *self.get_answer_versions(observations, context),
                ],
                frozenset(context.faulted_addresses),
            )
        )
        return figures


def make_phases(phases: tuple[Phase, ...], factor: float) -> tuple[Phase, ...]:
    """Prepend the warm-up to the phases and multiply the load of all by a factor.

    The times of `phases` are relative to the end of the warm-up, those of the
    result to its start.
    """
    return (
        Phase(0.0, WARM_UP_S, WARM_UP_LOAD * factor),
        *(
            Phase(item.start_s + WARM_UP_S, item.end_s + WARM_UP_S, item.load * factor)
            for item in phases
        ),
    )


def wait_for(worker: ChildProcess, deadline: float) -> None:
    """Wait until a generator process exits with 0, or raise LoadError."""
    while worker.process.poll() is None:
        if time.monotonic() > deadline:
            raise worker.make_error("a generator process did not exit in time")
        gevent.sleep(0.05)
    if worker.process.returncode:
        raise worker.make_error("a generator process exited with an error")


def read_state(entry: EntryProcess) -> dict:
    """Return an entry's state dump, or an empty one if the entry does not answer."""
    client = HTTPClient(*entry.address, connection_timeout=1.0, network_timeout=1.0)
    try:
        return msgspec.json.decode(bytes(client.get("/state").read()))
    except Exception:  # A stopped or paused entry does not answer.
        return {}
    finally:
        client.close()


def count_control_bytes(context: ScenarioContext) -> int | None:
    """Return the control bytes that all state dumps report, or None if none does."""
    counts = [
        count
        for entry in context.fleet.entries
        for count in find_byte_counts(read_state(entry))
    ]
    return sum(counts) if counts else None


def find_byte_counts(value: object) -> Iterator[int]:
    """Yield every count named `bytes` in a state dump."""
    if not isinstance(value, dict):
        return
    for name, item in value.items():
        if name == "bytes" and isinstance(item, int):
            yield item
        else:
            yield from find_byte_counts(item)

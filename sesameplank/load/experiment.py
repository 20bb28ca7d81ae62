"""Carries out one run: starts everything, sends the load, and gathers evidence."""

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
from .checks import Evidence, check_run
from .figures import Control, Figures, ProcessorUse, Window, make_figures
from .observations import Observation, Sighting, WorkerReport
from .processes import ChildProcess, StandinOptions, Standins, get_machine_s
from .scenarios import SCENARIOS, Scenario
from .stage import Stage
from .worker import WorkerPlan

NAIVE_MODULE = "sesameplank.standins.naive"
SETTLE_S = 1.5
IDLE_S = 2.0
LEAD_S = 2.0
WARM_UP_S = 2.0
WARM_UP_LOAD = 0.25
WORKERS = 3
SIGHT_EVERY_S = 0.5
PROGRESS_EVERY_S = 5.0
WORKER_TIMEOUT_S = 30.0


class Variant(Enum):
    """Which query tier is measured."""

    SYSTEM = "system"
    NAIVE = "naive"


class Plan(msgspec.Struct, frozen=True):
    """What is run: one variant of one scenario on one seed.

    `load_factor` multiplies the load of every phase of the scenario.
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
    """Processor seconds used so far, and when that was, monotonic."""

    at: float
    entries: float
    standins: list[float]
    machine: float


class Experiment:
    """One run of a plan."""

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
        self.sightings: list[Sighting] = []

    def run(self) -> Figures:
        """Return the figures of the run."""
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
            stage = Stage(
                self.deployment,
                world.direct_configuration,
                standins,
                fleet,
                random.Random(f"scenario-{plan.seed}"),
            )
            return self.measure(stage, directory)

    def make_standin_options(self, block: str) -> StandinOptions:
        """Return what the stand-ins are made of."""
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
        """Return the module of the variant's entry process."""
        return NAIVE_MODULE if self.plan.variant is Variant.NAIVE else ENTRY_MODULE

    def measure(self, stage: Stage, directory: Path) -> Figures:
        """Measure the tier idle, then under load, and check what was seen."""
        control = self.measure_idle(stage)
        start_at = time.monotonic() + LEAD_S
        stage.begin(start_at + WARM_UP_S, self.plan.seconds)
        watchers = [
            gevent.spawn(self.scenario.run, stage),
            gevent.spawn(self.watch_versions, stage),
            gevent.spawn(self.report_progress, start_at),
        ]
        try:
            before = self.read_processors(stage)
            reports = self.run_workers(stage, directory, start_at)
            after = self.read_processors(stage)
            if watchers[0].exception:
                raise watchers[0].exception
        finally:
            gevent.killall(watchers)
        observations = [item for report in reports for item in report.observations]
        figures = self.make_figures(observations, stage.standins.read_truth(), stage)
        figures.control = control
        figures.processor = self.get_processor_use(reports, before, after)
        return figures

    def measure_idle(self, stage: Stage) -> Control:
        """Return what an entry spends on control while no caller asks."""
        gevent.sleep(SETTLE_S)
        before = self.read_processors(stage)
        bytes_before = count_control_bytes(stage)
        gevent.sleep(IDLE_S)
        after = self.read_processors(stage)
        bytes_after = count_control_bytes(stage)
        elapsed = (after.at - before.at) * self.plan.entries
        known = bytes_before is not None and bytes_after is not None
        return Control(
            bytes_per_s=(bytes_after - bytes_before) / elapsed if known else None,
            cpu_share=(after.entries - before.entries) / elapsed,
        )

    def read_processors(self, stage: Stage) -> ProcessorReading:
        """Read the processor seconds of entries and stand-ins."""
        return ProcessorReading(
            time.monotonic(),
            stage.processor_s,
            stage.standins.processor_s,
            get_machine_s(),
        )

    def get_processor_use(
        self,
        reports: list[WorkerReport],
        before: ProcessorReading,
        after: ProcessorReading,
    ) -> ProcessorUse:
        """Return the processor shares of the loaded part."""
        loaded_s = self.phases[-1].end_s
        entries_s = after.entries - before.entries
        others_s = (
            (after.machine - before.machine)
            - entries_s
            - (sum(after.standins) - sum(before.standins))
            - sum(report.processor_s for report in reports)
        )
        queries = sum(item.search is not None for item in self.arrivals)
        return ProcessorUse(
            generators=max(report.processor_s for report in reports) / loaded_s,
            standins=max(
                (later - earlier) / loaded_s
                for earlier, later in zip(before.standins, after.standins, strict=True)
            ),
            entries=entries_s / self.plan.entries / loaded_s,
            entry_ms_per_query=entries_s / queries * 1_000,
            other_cores=max(0.0, others_s / (after.at - before.at)),
        )

    def run_workers(
        self, stage: Stage, directory: Path, start_at: float
    ) -> list[WorkerReport]:
        """Run the generator processes and return their reports."""
        with contextlib.ExitStack() as stack:
            workers = []
            for number in range(WORKERS):
                plan_path = directory / f"plan-{number}.json"
                report_path = directory / f"report-{number}"
                plan = self.make_worker_plan(stage, start_at, number)
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
        self, stage: Stage, start_at: float, number: int
    ) -> WorkerPlan:
        """Return one generator's plan."""
        return WorkerPlan(
            deployment=self.plan.deployment,
            seeds=tuple(str(item) for item in stage.fleet.addresses),
            phases=self.phases,
            seed=self.plan.seed,
            booking_share=self.scenario.booking_share,
            deadline_ms=self.plan.deadline_ms,
            start_at=start_at,
            worker=number,
            workers=WORKERS,
        )

    def watch_versions(self, stage: Stage) -> None:
        """Note which configuration version each entry shows, again and again."""
        while True:
            for entry in stage.fleet.entries:
                begun_at = time.monotonic()
                version = read_state(entry).get("config_version")
                if version:
                    sighting = Sighting(
                        str(entry.address), begun_at, time.monotonic(), version
                    )
                    self.sightings.append(sighting)
            gevent.sleep(SIGHT_EVERY_S)

    def get_answer_sightings(
        self, observations: list[Observation], stage: Stage
    ) -> list[Sighting]:
        """Return the configuration versions that answers were pinned to."""
        run_start_at = stage.start_at - WARM_UP_S
        return [
            Sighting(
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
        """Log how far the run is."""
        while True:
            gevent.sleep(PROGRESS_EVERY_S)
            log_event(
                "load_progress",
                variant=self.plan.variant.value,
                seed=self.plan.seed,
                elapsed_s=round(time.monotonic() - start_at, 1),
                of_s=self.phases[-1].end_s,
            )

    def make_figures(
        self, observations: list[Observation], truth: Truth, stage: Stage
    ) -> Figures:
        """Return figures and violations of the gathered evidence."""
        window = self.scenario.get_window(self.plan.seconds)
        figures = make_figures(
            self.deployment,
            self.arrivals,
            observations,
            truth,
            measured=Window(WARM_UP_S, WARM_UP_S + self.plan.seconds),
            crest=Window(WARM_UP_S + window.start_s, WARM_UP_S + window.end_s),
            deadline_ms=self.plan.deadline_ms,
        )
        figures.violations = check_run(
            Evidence(
                self.arrivals,
                observations,
                truth,
                [*self.sightings, *self.get_answer_sightings(observations, stage)],
                frozenset(stage.harmed),
            )
        )
        return figures


def make_phases(phases: tuple[Phase, ...], factor: float) -> tuple[Phase, ...]:
    """Put the warm-up before the phases and multiply their load."""
    return (
        Phase(0.0, WARM_UP_S, WARM_UP_LOAD * factor),
        *(
            Phase(item.start_s + WARM_UP_S, item.end_s + WARM_UP_S, item.load * factor)
            for item in phases
        ),
    )


def wait_for(worker: ChildProcess, deadline: float) -> None:
    """Return when a generator has ended well, or raise LoadError."""
    while worker.process.poll() is None:
        if time.monotonic() > deadline:
            raise worker.fail("a generator did not end in time")
        gevent.sleep(0.05)
    if worker.process.returncode:
        raise worker.fail("a generator failed")


def read_state(entry: EntryProcess) -> dict:
    """Return an entry's state dump, empty while it is stopped or paused."""
    client = HTTPClient(*entry.address, connection_timeout=1.0, network_timeout=1.0)
    try:
        return msgspec.json.decode(bytes(client.get("/state").read()))
    except Exception:  # An entry that is stopped or paused shows nothing.
        return {}
    finally:
        client.close()


def count_control_bytes(stage: Stage) -> int | None:
    """Return the control bytes that all state dumps report, None without any."""
    found = [
        count
        for entry in stage.fleet.entries
        for count in find_byte_counts(read_state(entry))
    ]
    return sum(found) if found else None


def find_byte_counts(value: object) -> Iterator[int]:
    """Yield every count named `bytes` in a state dump."""
    if not isinstance(value, dict):
        return
    for name, item in value.items():
        if name == "bytes" and isinstance(item, int):
            yield item
        else:
            yield from find_byte_counts(item)

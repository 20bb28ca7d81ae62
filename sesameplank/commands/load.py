"""Measure and check the tier under load, against stand-ins."""

import sys
import time
from pathlib import Path

import msgspec

from ..conf.settings import Setting
from ..exceptions import BadRequestError
from ..load.experiment import Experiment, Plan, Variant
from ..load.report import draw_plot, make_table
from ..load.results import Result, get_commit, get_median, load_results, save
from ..load.scenarios import SCENARIOS
from ..standins.deployments import DEPLOYMENTS
from .base import Command, run_command

EXIT_VIOLATIONS = 1
BOTH = "both"
MAX_ENTRIES = 16


class LoadCommand(Command):
    """Run a load scenario, or report on saved results."""

    help = (
        "Measures the tier under load and checks its answers.\n\n"
        "  sesameplank-load [flags]\n"
        "  sesameplank-load [--plot=FILE] report FILE_OR_DIRECTORY ...\n\n"
        "Prints the figures on standard output and progress on standard error;\n"
        "exits with 1 if a check of the answers or bookings failed."
    )
    settings = (
        Setting("deployment", "vatuwaqa", "vatuwaqa or chaiyaphum."),
        Setting("scenario", "steady", ", ".join(SCENARIOS) + "."),
        Setting("variant", "system", "system, naive or both."),
        Setting("seed", 1, "Seed of arrivals, records and faults."),
        Setting("seeds", "", "Several seeds, as 1,2,3; the medians are printed."),
        Setting("seconds", 20.0, "Seconds of load that are measured."),
        Setting("entries", 8, "Entry processes."),
        Setting("deadline_ms", 1_000, "Milliseconds that callers give an answer."),
        Setting("load_factor", 1.0, "Multiplies the load of the scenario."),
        Setting("output", "json", "json or text."),
        Setting("save", "", "Directory to which the result is written."),
        Setting("plot", "", "File for the report's plot, such as plot.png."),
    )

    def handle(self, arguments: list[str], values: dict) -> int:
        """Run the scenario and print its result, or report on saved results."""
        if arguments[:1] == ["report"]:
            return self.report([Path(item) for item in arguments[1:]], values)
        if arguments:
            raise BadRequestError(f"unknown arguments {arguments}; see --help")
        check_values(values)
        result = run_all(values)
        if values["save"]:
            path = save(result, Path(values["save"]))
            print(f"saved to {path}", file=sys.stderr)
        self.show([result], values)
        return EXIT_VIOLATIONS if result.has_violations else 0

    def report(self, paths: list[Path], values: dict) -> int:
        """Print a table of saved results, and draw a plot if --plot is set."""
        results = load_results(paths)
        print(make_table(results))
        if values["plot"]:
            draw_plot(results, Path(values["plot"]))
        return 0

    def show(self, results: list[Result], values: dict) -> None:
        """Print the results in the format of --output; draw a plot if --plot is set."""
        if values["output"] == "text":
            print(make_table(results))
        else:
            body = msgspec.json.encode(results[0])
            print(msgspec.json.format(body, indent=2).decode())
        if values["plot"]:
            draw_plot(results, Path(values["plot"]))


def check_values(values: dict) -> None:
    """Raise BadRequestError, with the allowed values, if a flag has a bad value."""
    choices = {
        "deployment": tuple(DEPLOYMENTS),
        "scenario": tuple(SCENARIOS),
        "variant": (*(item.value for item in Variant), BOTH),
        "output": ("json", "text"),
    }
    for name, allowed in choices.items():
        if values[name] not in allowed:
            raise BadRequestError(
                f"--{name}={values[name]} is unknown; use one of {', '.join(allowed)}"
            )
    if not 1 <= values["entries"] <= MAX_ENTRIES:
        raise BadRequestError(
            f"--entries={values['entries']} is out of range; use 1 to {MAX_ENTRIES}"
        )
    for name in ("seconds", "deadline_ms", "load_factor"):
        if values[name] <= 0:
            raise BadRequestError(f"--{name}={values[name]} must be above 0")


def get_seeds(values: dict) -> tuple[int, ...]:
    """Return the seeds to run: those of --seeds, or else the one of --seed."""
    if not values["seeds"]:
        return (values["seed"],)
    try:
        return tuple(int(item) for item in values["seeds"].split(","))
    except ValueError as error:
        raise BadRequestError(
            f"--seeds={values['seeds']} is not a list of integers; write 1,2,3"
        ) from error


def run_all(values: dict) -> Result:
    """Run every variant with every seed, one after another."""
    seeds = get_seeds(values)
    selected = values["variant"]
    variants = [item for item in Variant if selected in (item.value, BOTH)]
    runs = {
        variant.value: [run_one(values, variant, seed) for seed in seeds]
        for variant in variants
    }
    return Result(
        deployment=values["deployment"],
        scenario=values["scenario"],
        seeds=seeds,
        seconds=values["seconds"],
        entries=values["entries"],
        deadline_ms=values["deadline_ms"],
        commit=get_commit(),
        taken_at=time.time(),
        variants={name: get_median(items) for name, items in runs.items()},
        runs=runs,
    )


def run_one(values: dict, variant: Variant, seed: int):
    """Run one variant with one seed and return its figures."""
    return Experiment(
        Plan(
            deployment=values["deployment"],
            scenario=values["scenario"],
            variant=variant,
            seed=seed,
            seconds=values["seconds"],
            entries=values["entries"],
            deadline_ms=values["deadline_ms"],
            load_factor=values["load_factor"],
        )
    ).run()


def main() -> None:
    """Run the binary."""
    run_command(LoadCommand())


if __name__ == "__main__":
    main()

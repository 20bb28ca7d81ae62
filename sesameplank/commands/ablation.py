"""Measure what mechanisms are worth, by playing variants of the code without them."""

import sys
from pathlib import Path

import msgspec

from ..ablation import Trial, draw_plot, load_study, make_table, run_trials
from ..conf.settings import Setting
from ..exceptions import SettingsError
from .base import Command, run_command

EXIT_TRIAL_FAILED = 1


class AblationCommand(Command):
    """Play the variants of a study, and print a table of differences."""

    help = (
        "Plays variants of the committed code and prints what each of them changes:\n"
        "sesameplank-ablation STUDY.toml"
    )
    settings = (
        Setting("repository", ".", "Repository whose last commit is played."),
        Setting("checkouts", "..", "Folder in which checkouts are made."),
        Setting("runner", "", "Command in place of the study's runner, if not empty."),
        Setting("jobs", 2, "Trials that run at a time."),
        Setting("timeout_s", 600.0, "Longest duration of a trial in seconds."),
        Setting("figures", "worth", "Figures of the table, separated by commas."),
        Setting("plot", "", "File for a plot of the first figure; none if empty."),
        Setting("trials", "", "File to which each trial is appended; none if empty."),
    )

    def handle(self, arguments: list[str], values: dict) -> int:
        """Play the study and print the table; return 1 if a trial failed."""
        if len(arguments) != 1:
            raise SettingsError("name one study, a TOML file; see docs/howto")
        study = load_study(Path(arguments[0]))
        if values["runner"].split():
            study = msgspec.structs.replace(study, runner=values["runner"])
        names = [name for name in values["figures"].split(",") if name]
        if not names or values["jobs"] < 1 or values["timeout_s"] <= 0.0:
            raise SettingsError(
                "set --figures to names, --jobs to 1 or more and --timeout_s above 0"
            )
        trials: list[Trial] = []
        parent = Path(values["checkouts"]).resolve()
        repository = Path(values["repository"]).resolve()
        for played in run_trials(
            study, repository, parent, values["jobs"], values["timeout_s"]
        ):
            trials += played
            report_progress(played, values["trials"])
        print(make_table(trials, names))
        if values["plot"]:
            draw_plot(trials, names[0], Path(values["plot"]))
        return EXIT_TRIAL_FAILED if any(trial.error for trial in trials) else 0


def report_progress(trials: list[Trial], path: str) -> None:
    """Write trials to standard error, and append them to a file if one is given."""
    lines = [msgspec.json.encode(trial).decode() for trial in trials]
    for line in lines:
        print(line, file=sys.stderr, flush=True)
    if path:
        with Path(path).open("a") as file:
            file.writelines(f"{line}\n" for line in lines)


def main() -> None:
    """Run the binary."""
    run_command(AblationCommand())


if __name__ == "__main__":
    main()

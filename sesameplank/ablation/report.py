"""Reports on trials: a table in Markdown, and a plot of the differences."""

import statistics
from collections.abc import Sequence
from pathlib import Path

import msgspec

from .study import BASELINE
from .trials import Trial

PLOT_INCHES = (8, 6)


class Difference(msgspec.Struct, frozen=True):
    """A variant's figure against the baseline, over the seeds that both played.

    `mean` is the mean difference. `least` and `greatest` are those of single seeds.
    """

    mean: float
    least: float
    greatest: float


def get_figure(trials: Sequence[Trial], variant: str, name: str) -> dict[int, float]:
    """Return a figure of a variant by seed, for the trials that have it."""
    return {
        trial.seed: trial.figures[name]
        for trial in trials
        if trial.variant == variant and name in trial.figures
    }


def get_difference(
    trials: Sequence[Trial], variant: str, name: str
) -> Difference | None:
    """Return a variant's difference, or None if no seed can be compared."""
    base = get_figure(trials, BASELINE, name)
    own = get_figure(trials, variant, name)
    differences = [own[seed] - base[seed] for seed in own if seed in base]
    if not differences:
        return None
    return Difference(statistics.mean(differences), min(differences), max(differences))


def make_table(trials: Sequence[Trial], names: Sequence[str]) -> str:
    """Return a Markdown table: the baseline's means, then the differences from them.

    A cell holds the mean difference, and in brackets the least and the greatest one
    of single seeds.
    """
    variants = list(dict.fromkeys(trial.variant for trial in trials))
    rows = [["variant", "trials", *names], ["---"] * (len(names) + 2)]
    for variant in variants:
        played = [trial for trial in trials if trial.variant == variant]
        done = sum(trial.error is None for trial in played)
        cells = [make_cell(trials, variant, name) for name in names]
        rows.append([variant, f"{done} of {len(played)}", *cells])
    return "\n".join(f"| {' | '.join(row)} |" for row in rows)


def make_cell(trials: Sequence[Trial], variant: str, name: str) -> str:
    """Return the cell of one figure of a variant."""
    if variant == BASELINE:
        values = get_figure(trials, BASELINE, name).values()
        return f"{statistics.mean(values):.4f}" if values else "-"
    difference = get_difference(trials, variant, name)
    if difference is None:
        return "-"
    spread = f"{difference.least:+.4f} to {difference.greatest:+.4f}"
    return f"{difference.mean:+.4f} ({spread})"


def draw_plot(trials: Sequence[Trial], name: str, path: Path) -> None:
    """Write a plot of each variant's difference of a figure, with its spread."""
    import matplotlib  # Imported here because only this function needs it.

    matplotlib.use("Agg")
    from matplotlib import pyplot

    variants = [
        item for item in dict.fromkeys(t.variant for t in trials) if item != BASELINE
    ]
    bars = [
        (variant, difference)
        for variant in variants
        if (difference := get_difference(trials, variant, name)) is not None
    ]
    figure, axes = pyplot.subplots(figsize=PLOT_INCHES)
    positions = range(len(bars))
    means = [difference.mean for _, difference in bars]
    spreads = [
        [difference.mean - difference.least for _, difference in bars],
        [difference.greatest - difference.mean for _, difference in bars],
    ]
    axes.barh(positions, means, xerr=spreads)
    axes.set_yticks(list(positions), [variant for variant, _ in bars], fontsize=7)
    axes.set_xlabel(f"{name}, difference from the baseline")
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)

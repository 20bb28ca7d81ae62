"""Reports on results: a text table, and a plot of latency and service."""

from collections.abc import Sequence
from pathlib import Path

import msgspec

from .figures import Figures
from .results import Result

HEADINGS = (
    "commit",
    "deployment",
    "scenario",
    "variant",
    "seeds",
    "p50 ms",
    "p95 ms",
    "p99 ms",
    "max ms",
    "coverage",
    "extra",
    "crest",
    "first",
    "offered",
    "whole",
    "not run",
    "unknown",
    "late p99",
    "other",
    "violations",
)
PLOT_INCHES = (10, 5)


def make_table(results: Sequence[Result]) -> str:
    """Return one line for each variant of each result, in columns."""
    rows = [HEADINGS]
    for result in results:
        rows += [
            make_row(result, variant, figures)
            for variant, figures in result.variants.items()
        ]
    widths = [max(len(row[index]) for row in rows) for index in range(len(HEADINGS))]
    lines = [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True))
        for row in rows
    ]
    return "\n".join(line.rstrip() for line in lines)


def make_row(result: Result, variant: str, figures: Figures) -> tuple[str, ...]:
    """Return the table cells of one variant."""
    latency = figures.latency_ms
    return (
        result.commit,
        result.deployment,
        result.scenario,
        variant,
        ",".join(str(seed) for seed in result.seeds),
        f"{latency.p50:.1f}",
        f"{latency.p95:.1f}",
        f"{latency.p99:.1f}",
        f"{latency.max:.1f}",
        f"{figures.coverage:.4f}",
        f"{figures.extra_load:.3f}",
        f"{figures.crest_service:.3f}",
        f"{figures.first_class_service:.3f}",
        str(figures.offered),
        str(figures.answered_whole),
        str(figures.refused_not_run),
        str(figures.unknown),
        f"{figures.generator_late_ms.p99:.1f}",
        f"{figures.processor.other_cores:.1f}",
        describe_violations(figures),
    )


def describe_violations(figures: Figures) -> str:
    """Return the rules that were broken and how often, or "none"."""
    counts = msgspec.structs.asdict(figures.violations)
    broken = [f"{name}={count}" for name, count in counts.items() if count]
    return " ".join(broken) or "none"


def draw_plot(results: Sequence[Result], path: Path) -> None:
    """Write a plot of each variant's latency percentiles and service to a file."""
    import matplotlib  # Imported here because only this function needs it.

    matplotlib.use("Agg")
    from matplotlib import pyplot

    bars = [
        (f"{result.commit}\n{result.scenario}\n{variant}", figures)
        for result in results
        for variant, figures in result.variants.items()
    ]
    labels = [label for label, _ in bars]
    positions = range(len(bars))
    figure, (left, right) = pyplot.subplots(1, 2, figsize=PLOT_INCHES)
    for name in ("p99", "p95", "p50"):
        values = [getattr(figures.latency_ms, name) for _, figures in bars]
        left.bar(positions, values, label=name)
    left.set_ylabel("latency in ms")
    left.legend()
    for offset, name in ((-0.2, "crest_service"), (0.2, "first_class_service")):
        values = [getattr(figures, name) for _, figures in bars]
        right.bar(
            [position + offset for position in positions], values, 0.4, label=name
        )
    right.set_ylabel("share answered completely within the deadline")
    right.legend()
    for axes in (left, right):
        axes.set_xticks(list(positions), labels, fontsize=7)
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)

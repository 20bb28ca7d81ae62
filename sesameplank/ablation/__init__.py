"""Measurements of what each mechanism is worth: variants of the code without it."""

from .report import draw_plot, make_table
from .study import Study, Variant, load_study
from .trials import Trial, run_trials

__all__ = (
    "Study",
    "Trial",
    "Variant",
    "draw_plot",
    "load_study",
    "make_table",
    "run_trials",
)

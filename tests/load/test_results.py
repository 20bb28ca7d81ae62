"""Tests of results: their medians, saved files, reports and flags."""

import tempfile
from pathlib import Path

import testtools

from sesameplank.commands.load import check_values, get_seeds
from sesameplank.exceptions import BadRequestError, LoadError
from sesameplank.load.checks import Violations
from sesameplank.load.figures import ControlOverhead, Figures, Percentiles, ProcessorUse
from sesameplank.load.report import draw_plot, make_table
from sesameplank.load.results import Result, get_median, load_results, save

VALUES = {
    "deployment": "vatuwaqa",
    "scenario": "steady",
    "variant": "both",
    "output": "json",
    "entries": 8,
    "seconds": 20.0,
    "load_factor": 1.0,
    "deadline_ms": 1_000,
    "seed": 4,
    "seeds": "",
}


def make_figures(p99: float, doubled: int = 0) -> Figures:
    """Return figures with a 99th percentile of latency, in ms, and doubled bookings."""
    return Figures(
        Percentiles(p99=p99),
        coverage=1.0,
        extra_load=0.0,
        crest_service=1.0,
        first_class_service=1.0,
        offered=10,
        answered_whole=10,
        refused_not_run=0,
        unknown=0,
        control=ControlOverhead(),
        violations=Violations(doubled_booking=doubled),
        generator_late_ms=Percentiles(),
        added_ms=Percentiles(),
        processor=ProcessorUse(),
    )


def make_result(commit: str, taken_at: float, figures: Figures) -> Result:
    """Return a result of one variant."""
    common_fields = ("vatuwaqa", "steady", (1, 2), 20.0, 8, 1_000)
    return Result(*common_fields, commit, taken_at, {"system": figures})


class ResultsTests(testtools.TestCase):
    """Results are merged over seeds, saved, read back and reported."""

    def setUp(self):
        super().setUp()
        directory = self.enterContext(tempfile.TemporaryDirectory())
        self.directory = Path(directory)

    def test_figures_are_medians_and_violations_sums(self):
        runs = [make_figures(10.0, 1), make_figures(900.0), make_figures(20.0, 2)]
        merged = get_median(runs)
        self.assertEqual(20.0, merged.latency_ms.p99)
        self.assertEqual(3, merged.violations.doubled_booking)
        self.assertIsNone(merged.control.bytes_per_s)

    def test_saved_results_are_read_back_oldest_first(self):
        results = [
            make_result("b2", 2_000.0, make_figures(2.0)),
            make_result("a1", 1_000.0, make_figures(1.0, 1)),
        ]
        for result in results:
            save(result, self.directory)
        self.assertEqual(results[::-1], load_results([self.directory]))

    def test_error_for_invalid_result_names_the_file(self):
        path = self.directory / "other.json"
        path.write_text("{}")
        error = self.assertRaises(LoadError, load_results, [path])
        self.assertIn("other.json", str(error))

    def test_table_names_the_broken_rules(self):
        table = make_table([make_result("a1", 1.0, make_figures(17.5, 2))])
        line = table.splitlines()[1]
        for part in ("a1", "system", "17.5", "doubled_booking=2"):
            self.assertIn(part, line)

    def test_plot_is_a_png_file(self):
        path = self.directory / "plot.png"
        draw_plot([make_result("a1", 1.0, make_figures(17.5))], path)
        self.assertEqual(b"\x89PNG", path.read_bytes()[:4])

    def test_violations_of_any_variant_fail_the_run(self):
        self.assertTrue(make_result("a", 1.0, make_figures(1.0, 1)).has_violations)
        self.assertFalse(make_result("a", 1.0, make_figures(1.0)).has_violations)


class FlagsTests(testtools.TestCase):
    """Errors about invalid flags name the valid values."""

    def test_error_for_invalid_value_lists_valid_choices(self):
        table = [
            ("deployment", "nadi", "vatuwaqa, chaiyaphum"),
            ("scenario", "calm", "steady"),
            ("variant", "none", "system, naive, both"),
            ("output", "xml", "json, text"),
            ("entries", 0, "1 to"),
            ("seconds", 0.0, "above 0"),
        ]
        for name, value, hint in table:
            error = self.assertRaises(
                BadRequestError, check_values, {**VALUES, name: value}
            )
            self.assertIn(hint, str(error))

    def test_valid_values_are_accepted(self):
        check_values(VALUES)

    def test_seeds_replace_the_single_seed(self):
        self.assertEqual((4,), get_seeds(VALUES))
        self.assertEqual((1, 2, 3), get_seeds({**VALUES, "seeds": "1,2,3"}))
        self.assertRaises(BadRequestError, get_seeds, {**VALUES, "seeds": "1;2"})

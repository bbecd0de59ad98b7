import contextlib
import io
import tempfile
import unittest
from pathlib import Path

from plantainshed_measure.experiment import combinations, compare, simulate_all
from plantainshed_measure.experiment_file import BadExperiment, read_experiment

EXAMPLE = Path(__file__).parents[2] / "examples/experiments/far-regions.ini"


class TestExperiments(unittest.TestCase):
    def read(self, **changed):
        lines = []
        for line in EXAMPLE.read_text().splitlines():
            name = line.partition("=")[0].strip()
            lines.append(f"{name} = {changed[name]}" if name in changed else line)
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "experiment.ini")
            path.write_text("\n".join(lines))
            return read_experiment(path)

    def test_returns_one_row_for_each_combination(self):
        experiment = self.read(
            policies="chosen, random",
            round_trips="110ms",
            loads="30, 60",
            seeds="1, 2",
            length="3s",
        )
        rows = simulate_all(experiment, jobs=1)
        self.assertEqual(
            [(row["load"], row["policy"]) for row in rows],
            [(30, "chosen"), (30, "random"), (60, "chosen"), (60, "random")],
        )
        self.assertTrue(all(0 < row["in_time"] <= 1 for row in rows))

    def test_invalid_values_raise_bad_experiment(self):
        """Guards against a misspelt policy or invalid value that is ignored."""
        for changed in (
            {"policies": "chosen, best"},
            {"length": "30"},
            {"slots": "many"},
            {"seeds": "1, x"},
            {"objective": "400ms\nbest = 1"},
            {"loads": "1\nroom = lukewarm"},
            {"loads": "1\npopularities = even, zipf"},
            {"loads": "1\nvms = 4"},
        ):
            with self.subTest(changed), self.assertRaises(BadExperiment):
                self.read(**changed)

    def test_examples_describe_the_loads_of_the_working_page(self):
        """Guards against an example that does not give the load that it states."""
        read = {
            path.stem: read_experiment(path)
            for path in EXAMPLE.parent.glob("*.ini")
            if path.stem != "limits"
        }
        short_room, popular = read["short-room"], read["popular-objects"]
        self.assertAlmostEqual(short_room.room_per_s, 10 * 4 / 0.264)
        self.assertEqual({one.vms for one in combinations(short_room)}, {12, 60})
        self.assertAlmostEqual(popular.room_per_s, 18 * 4 / 0.88)
        each = len(popular.policies)
        self.assertEqual(
            [one.popularity.text for one in combinations(popular)[::each]],
            ["even", "zipf 1", "one 0.25", "moving 0.25 5s", "zipf 1.3"],
        )
        self.assertEqual(read["uneven-waves"].room_per_s, 1.0)
        self.assertEqual(read["large-workspace"].demand.largest_workspace, 0.6)

    def test_plots_one_combination_for_each_policy(self):
        """Guards against a plot that the installed plotext no longer draws."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "experiment.ini")
            path.write_text(EXAMPLE.read_text().replace("length = 30s", "length = 3s"))
            with contextlib.redirect_stdout(io.StringIO()) as printed:
                compare(str(path), jobs=1, plot=2)
        self.assertIn("load 120", printed.getvalue())
        for title in ("chosen", "round-robin"):
            self.assertIn(
                f" {title} (- late, x refused, o in time)", printed.getvalue()
            )
        rows = [
            line for line in printed.getvalue().splitlines() if line[4:5] in ("│", "┤")
        ]
        self.assertEqual(sum(row.count("o") for row in rows), 5 * 3)

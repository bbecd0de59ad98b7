import tempfile
import unittest
from pathlib import Path

from plantainshed_measure.experiment import simulate_all
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
        ):
            with self.subTest(changed), self.assertRaises(BadExperiment):
                self.read(**changed)

"""Settings of the entry daemon."""

import unittest
from pathlib import Path

from plantainshed_entry.errors import SettingsError
from plantainshed_entry.settings import load_settings, parse_settings

EXAMPLES = Path(__file__).parents[2] / "examples"

GOOD = """
[vm]
name = mil-a-1
failure_domain = mil-a
listen = 127.0.0.1:8100
peer = 127.0.0.1:8101
control = 127.0.0.1:8102
[platform]
address = 127.0.0.1:8300
"""


class TestSettings(unittest.TestCase):
    def test_examples_are_valid(self):
        for path in ("cerimonia/mil-a-1.ini", "maracas-bay/pos-laventille-1.ini"):
            settings = load_settings(str(EXAMPLES / path))
            self.assertTrue(settings.seeds)

    def test_all_faults_are_reported_together(self):
        text = GOOD.replace("name = mil-a-1", "name = Mil A")
        text = text.replace("127.0.0.1:8100", "localhost")
        text += "[log]\nlevel = loud\n[extra]\nx = 1\n[fleet]\nseeds =\n    one\n"
        with self.assertRaises(SettingsError) as caught:
            parse_settings(text)
        faults = "\n".join(caught.exception.faults)
        for expected in (
            "[vm] name = 'Mil A'",
            "[vm] listen = 'localhost'",
            "[log] level = 'loud'",
            "[extra]: unknown section",
            "[fleet] seeds = 'one'",
        ):
            self.assertIn(expected, faults)

    def test_missing_options_are_reported(self):
        with self.assertRaises(SettingsError) as caught:
            parse_settings("[vm]\nname = a\n")
        self.assertIn("[platform] address: missing", str(caught.exception))

"""Tests what a gateway measures, logs and shows of load, and its setting."""

import tempfile
import unittest
from pathlib import Path
from unittest import mock

from plantainshed_gateway.errors import SettingsError
from plantainshed_gateway.selection.load_reports import LoadReport
from plantainshed_gateway.settings import ShareLoad, load_settings
from tests.platform.daemon_support import filled_template
from tests.platform.platform_support import running_system
from tests.support import on_real_clock


class TestMeasuredLoad(unittest.TestCase):
    @on_real_clock
    async def test_each_request_is_counted_once(self):
        """Guards against load that is counted again for each attempt, or never ends."""
        async with running_system(target_count=1) as system:
            sharing = system.gateway.load_sharing
            tracker = sharing.tracker = sharing.fleet_load.own = mock.Mock()
            await system.ask("/read/1")
            await system.ask("/open/1", key=None)
            await system.ask("/read/1", key="unknown")
            # The workspace has priority 0, and the routes have 2. Ranks are twice that.
            offered = [call.args for call in tracker.note_offered.call_args_list]
            expected = [("calendario", 0, "read/17"), ("calendario", 4, "open/17")]
            self.assertEqual(offered, expected)
            in_flight = [call.args for call in tracker.note_in_flight.call_args_list]
            self.assertEqual(in_flight, [("i-0", count) for count in (1, 0, 1, 0)])
            self.assertGreater(sharing.need.mean_age_s, 0.0)

    @on_real_clock
    async def test_operator_sees_needs_and_reports(self):
        async with running_system(target_count=1) as system:
            gateway = system.gateway
            gateway.load_sharing.fleet_load.record_domain("ven-a", LoadReport(), 1.0)
            gateway.measure()
            text = gateway.context.metrics.render().decode()
            self.assertIn('plantainshed_load_reports{kind="domain"} 1', text)
            self.assertIn('plantainshed_load_reports{kind="vm"} 0', text)
            for share_load, event in (
                (ShareLoad.ALWAYS, "load reports needed"),
                (ShareLoad.AUTO, "load reports not needed"),
            ):
                gateway.load_sharing.share_load = share_load
                await system.until(lambda event=event: system.lines(event))


class TestSetting(unittest.TestCase):
    def test_share_load(self):
        """Guards against a spelling error that silently means `never`."""
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "gateway.ini"
            text = filled_template("127.0.0.1:1", range(1, 7))
            for option, expected in (("", "never"), ("share_load = auto", "auto")):
                path.write_text(f"{text}\n[selection]\n{option}\n")
                self.assertEqual(load_settings(path).share_load, expected)
            path.write_text(f"{text}\n[selection]\nshare_load = on\n")
            with self.assertRaisesRegex(SettingsError, r"\[selection\] share_load"):
                load_settings(path)

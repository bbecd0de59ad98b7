"""Tests the effects of a settings reload that are visible from outside."""

import re
import unittest

import orjson
import trio

from tests.platform.platform_support import send
from tests.platform.test_daemon import running_daemon
from tests.support import on_real_clock


async def look_up(daemon):
    path = "/plantainshed/resolve?region=lombardia&zone=mil-a"
    status, _, body = await send(daemon.lookup, "GET", path, {"host": "x"})
    return status, orjson.loads(body)


class TestEffects(unittest.TestCase):
    @on_real_clock
    async def test_shorter_lookup_ttl_is_applied(self):
        """Guards against a reload that logs `changed` but keeps the old TTL."""
        async with running_daemon() as daemon:
            before = (await look_up(daemon))[1]["ttl"]
            text = daemon.settings.read_text()
            daemon.settings.write_text(text.replace("ttl = 5s", "ttl = 1s"))
            line = await daemon.until_line("reload")
            self.assertTrue(line["changed"])
            await trio.sleep(0.6)
            after = (await look_up(daemon))[1]["ttl"]
            self.assertEqual(after, "1000ms", f"{before} before")

    @on_real_clock
    async def test_lookups_contain_only_addresses_that_this_vm_listens_on(self):
        """Guards against announcing a new port that has no listener."""
        async with running_daemon() as daemon:
            text = daemon.settings.read_text()
            port = daemon.callers.rpartition(":")[2]
            daemon.settings.write_text(
                re.sub(rf"(callers = .*:){port}", r"\g<1>1", text)
            )
            await daemon.until_line("reload")
            await trio.sleep(0.8)
            _, body = await look_up(daemon)
            self.assertEqual(body["addrs"], [daemon.callers])

    @on_real_clock
    async def test_seed_that_is_not_a_host_is_rejected(self):
        """Sending to a seed with a zero byte raised an error other than `OSError`."""
        await self.check_rejected(r"^seeds =.*$", "seeds = 10.0.0\\0.1:7000", "seeds")

    @on_real_clock
    async def test_window_of_zero_length_is_rejected(self):
        """Rates are divided by the window: requests got 502, then the process ended."""
        for option in ("quota_window", "retry_window"):
            await self.check_rejected(rf"^{option} =.*$", f"{option} = 0s", option)

    async def check_rejected(self, pattern: str, line: str, option: str):
        async with running_daemon() as daemon:
            text = daemon.settings.read_text()
            changed = re.sub(f"(?m){pattern}", line, text)
            self.assertNotEqual(changed, text)
            daemon.settings.write_text(changed)
            failed = await daemon.until_line("reload failed")
            self.assertIn(option, failed["problem"])
            # Wait for three heartbeats, which go to the seeds while no other VM is
            # known.
            await trio.sleep(1.6)
            self.assertEqual((await daemon.ask())[0], 200)

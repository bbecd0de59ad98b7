"""What a reload takes over, as others see it."""

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
    async def test_shorter_life_of_lookups_is_in_force(self):
        """The line says `changed`, and answers go on with the old time."""
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
    async def test_lookups_name_only_where_this_vm_listens(self):
        """A new port in the file is announced though nobody listens there."""
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
    async def test_seed_that_is_no_host_ends_no_vm(self):
        """A seed with a zero byte in it: sending raised what is no `OSError`."""
        await self.refuses(r"^seeds =.*$", "seeds = 10.0.0\\0.1:7000", "seeds")

    @on_real_clock
    async def test_window_of_no_length_ends_no_request(self):
        """Rates were divided by it: requests ended with 502, then the process."""
        for option in ("quota_window", "retry_window"):
            await self.refuses(rf"^{option} =.*$", f"{option} = 0s", option)

    async def refuses(self, pattern: str, line: str, option: str):
        async with running_daemon() as daemon:
            text = daemon.settings.read_text()
            changed = re.sub(f"(?m){pattern}", line, text)
            self.assertNotEqual(changed, text)
            daemon.settings.write_text(changed)
            failed = await daemon.until_line("reload failed")
            self.assertIn(option, failed["problem"])
            # Three heartbeats, which go to seeds while nobody else is known.
            await trio.sleep(1.6)
            self.assertEqual((await daemon.ask())[0], 200)

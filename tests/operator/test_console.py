"""Tests of the web console, on real sockets and with an in-memory platform."""

import contextlib
import re
import unittest
from urllib.parse import urlencode

from plantainshed.console.server import Console
from plantainshed.context import open_context
from plantainshed.settings import OperatorSettings
from plantainshed.views import load_current
from plantainshed_coordination.versioned import Change, DocumentStore
from plantainshed_http.client import fetch
from plantainshed_model.codec import to_segments
from plantainshed_model.document import Document, Workspace
from plantainshed_standins.memory_platform import MemoryPlatform
from plantainshed_standins.platform_server import PlatformServer
from tests.http_support import serving
from tests.support import on_real_clock

PASSWORD = "correct horse"
DOCUMENT = Document(workspaces=(Workspace("comune", 10.0, 5.0),))


class Browser:
    """A browser without JavaScript, logged in by a cookie."""

    def __init__(self, address: str, context):
        self.address = address
        self.context = context
        self.cookie = ""
        self.page = ""

    async def log_in(self, password=PASSWORD):
        form = urlencode({"operator": "ann", "password": password}).encode()
        head, body = await fetch(self.address, "POST", "/login", [], form)
        self.cookie = (head.header(b"set-cookie") or "").partition(";")[0]
        return head.status

    async def get(self, path):
        cookie = [(b"cookie", self.cookie.encode())]
        head, body = await fetch(self.address, "GET", path, cookie)
        self.page = body.decode()
        return head.status

    def hidden_field(self, name):
        return re.search(rf'name="{name}" value="([^"]*)"', self.page).group(1)

    async def submit(self, path, **form):
        form.setdefault("form_token", self.hidden_field("form_token"))
        cookie = [(b"cookie", self.cookie.encode())]
        body = urlencode(form).encode()
        head, body = await fetch(self.address, "POST", path, cookie, body)
        self.page = body.decode()
        return head.status


@contextlib.asynccontextmanager
async def console():
    memory = MemoryPlatform()
    await DocumentStore(memory).commit(
        Change(
            0, to_segments(DOCUMENT), "c1", "t", "first", "2026-12-03T00:00:00+00:00"
        )
    )
    async with serving(PlatformServer(memory).handle) as (platform, _):
        settings = OperatorSettings(platform=platform, console_password=PASSWORD)
        async with (
            open_context(settings) as context,
            serving(Console(context).handle) as (address, _),
        ):
            yield Browser(address, context)


class TestConsole(unittest.TestCase):
    @on_real_clock
    async def test_shows_nothing_before_login(self):
        async with console() as browser:
            await browser.get("/workspaces")
            self.assertNotIn("comune", browser.page)
            self.assertEqual(await browser.log_in("wrong"), 403)
            self.assertEqual(await browser.log_in(), 303)
            await browser.get("/workspaces")
            self.assertIn("comune", browser.page)

    @on_real_clock
    async def test_change_is_recorded_with_its_author(self):
        async with console() as browser:
            await browser.log_in()
            await browser.get("/workspaces?name=comune")
            status = await browser.submit(
                "/workspaces/save",
                base_version=browser.hidden_field("base_version"),
                name="comune",
                rate="20",
                burst="5",
                offline_limit_s="900",
                reason="more seats",
            )
            self.assertEqual(status, 200)
            stored = await load_current(browser.context)
            self.assertEqual(stored.document.workspaces[0].rate, 20.0)
            self.assertEqual(stored.revision.author, "ann")
            self.assertEqual(stored.revision.reason, "more seats")

    @on_real_clock
    async def test_rejected_form_keeps_the_input(self):
        async with console() as browser:
            await browser.log_in()
            await browser.get("/workspaces?name=comune")
            status = await browser.submit(
                "/workspaces/save",
                base_version="1",
                name="comune",
                rate="twenty",
                burst="77",
                offline_limit_s="900",
            )
            self.assertEqual(status, 409)
            self.assertIn("workspaces[comune].rate", browser.page)
            self.assertIn('value="twenty"', browser.page)
            self.assertIn('value="77"', browser.page)

    @on_real_clock
    async def test_conflicting_form_shows_the_change_and_keeps_the_input(self):
        """A form with outdated values must not silently overwrite a newer change.

        Two operators open the form. One of them saves it. Then the other one, who
        still sees the old values, saves it as well.
        """
        async with console() as browser:
            await browser.log_in()
            await browser.get("/workspaces?name=comune")
            form = {"name": "comune", "burst": "5", "offline_limit_s": "900"}
            await browser.submit(
                "/workspaces/save", base_version="1", rate="20", **form
            )
            status = await browser.submit(
                "/workspaces/save", base_version="1", rate="30", **form
            )
            self.assertEqual(status, 409)
            self.assertIn("current state: rate 20", browser.page)
            self.assertIn('value="30"', browser.page)
            stored = await load_current(browser.context)
            self.assertEqual(stored.document.workspaces[0].rate, 20.0)

    @on_real_clock
    async def test_form_with_wrong_token_is_rejected(self):
        async with console() as browser:
            await browser.log_in()
            await browser.get("/keys")
            status = await browser.submit(
                "/keys/issue", form_token="x", workspace="comune"
            )
            self.assertEqual(status, 403)
            self.assertEqual((await load_current(browser.context)).document.keys, ())

    @on_real_clock
    async def test_key_is_shown_once(self):
        async with console() as browser:
            await browser.log_in()
            await browser.get("/keys")
            await browser.submit("/keys/issue", workspace="comune")
            key = re.search(r"psk_k[0-9a-f_]+", browser.page).group(0)
            await browser.get("/keys")
            self.assertNotIn(key, browser.page)
            self.assertIn(key.split("_")[1], browser.page)

    @on_real_clock
    async def test_form_input_is_escaped(self):
        async with console() as browser:
            await browser.log_in()
            await browser.get("/workspaces")
            await browser.submit(
                "/workspaces/save",
                base_version="1",
                name="<script>alert(1)</script>",
                rate="1",
                burst="1",
                offline_limit_s="1",
            )
            self.assertNotIn("<script>", browser.page)
            self.assertIn("&lt;script&gt;", browser.page)

    @on_real_clock
    async def test_fleet_page_and_report_show_unreachable_sources(self):
        async with console() as browser:
            await browser.log_in()
            self.assertEqual(await browser.get("/"), 200)
            self.assertIn("no entry VM could be asked", browser.page)
            self.assertEqual(await browser.get("/report"), 200)
            self.assertIn("Unknown:", browser.page)

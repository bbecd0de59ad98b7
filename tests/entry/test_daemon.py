"""The entry daemon on real sockets, with one VM, a platform and one target."""

import contextlib
import unittest

import orjson
import trio

from plantainshed.demo.deployment import free_address
from plantainshed_coordination.versioned import Change, DocumentStore
from plantainshed_entry.daemon import run_daemon
from plantainshed_entry.settings import Settings
from plantainshed_http.client import connected, fetch
from plantainshed_http.errors import HttpError
from plantainshed_model.codec import to_segments
from plantainshed_model.document import (
    Document,
    FailureDomain,
    Pool,
    Region,
    Target,
    Workspace,
)
from plantainshed_model.keys import issue_key
from plantainshed_standins.memory_platform import MemoryPlatform
from plantainshed_standins.platform_server import PlatformServer
from plantainshed_standins.target_server import TargetServer
from tests.http_support import raw_exchange, serving
from tests.support import on_real_clock

KEY = issue_key("comune")


def document_with(target_address: str, **pool) -> Document:
    return Document(
        regions=(Region("r"),),
        failure_domains=(FailureDomain("a", "r"),),
        workspaces=(Workspace("comune", rate=500.0, burst=500.0),),
        keys=(KEY.entry,),
        pools=(Pool("prenota", "/prenota", slots=4, connections=8, **pool),),
        targets=(Target("t-1", "prenota", "a", target_address),),
    )


class RunningDaemon:
    """A running daemon, its address for callers and its target."""

    def __init__(self, address: str, target: TargetServer, stop: trio.Event):
        self.address = address
        self.target = target
        self.stop = stop

    async def call(self, method="GET", path="/prenota/1", headers=(), body=b""):
        key = (b"authorization", b"Bearer " + KEY.text.encode())
        return await fetch(self.address, method, path, [key, *headers], body)


@contextlib.asynccontextmanager
async def running_daemon(handler=None, **pool):
    """Run a daemon with one target while the context is open."""
    memory = MemoryPlatform()
    target = TargetServer("t-1", slots=4, service_time_s=0.01)
    async with (
        serving(PlatformServer(memory).handle) as (platform, _),
        serving(handler or target.handle) as (target_address, _),
        trio.open_nursery() as nursery,
    ):
        segments = to_segments(document_with(target_address, **pool))
        await DocumentStore(memory).commit(Change(0, segments, "c1", "t", "", ""))
        settings = Settings(
            vm="a-1",
            failure_domain="a",
            listen=free_address(),
            peer=free_address(),
            control=free_address(),
            platform=platform,
            log_level="error",
        )
        stop = trio.Event()
        nursery.start_soon(run_daemon, settings, stop, trio.Event())
        await _wait_until_ready(settings.listen)
        yield RunningDaemon(settings.listen, target, stop)
        nursery.cancel_scope.cancel()


async def _wait_until_ready(address: str):
    key = (b"authorization", b"Bearer " + KEY.text.encode())
    while True:
        await trio.sleep(0.05)
        with contextlib.suppress(HttpError):
            head, _ = await fetch(address, "GET", "/prenota/ready", [key])
            if head.status == 200:
                return


class TestDaemon(unittest.TestCase):
    @on_real_clock
    async def test_key_is_not_forwarded_to_the_target(self):
        async with running_daemon() as running:
            head, body = await running.call("POST", body=b"seats=1")
            self.assertEqual(head.status, 200)
            self.assertEqual(orjson.loads(body)["bytes"], 7)
            self.assertEqual(running.target.keys_seen, 0)

    @on_real_clock
    async def test_workspace_header_of_a_caller_is_replaced(self):
        """A caller's own workspace header must not reach the target."""
        seen = []

        async def target(exchange):
            await exchange.read_body(100)
            seen.append(exchange.request.headers)
            await exchange.reply(200, [])

        async with running_daemon(target) as running:
            spoofed = [(b"plantainshed-workspace", b"other")]
            await running.call(headers=spoofed)
            values = [v for n, v in seen[-1] if n == b"plantainshed-workspace"]
            self.assertEqual(values, [b"comune"])

    @on_real_clock
    async def test_refusals_contain_reason_and_outcome(self):
        async with running_daemon() as running:
            head, body = await fetch(running.address, "GET", "/prenota/1")
            self.assertEqual(head.status, 401)
            self.assertEqual(head.header(b"plantainshed-reason"), "key_missing")
            self.assertEqual(orjson.loads(body)["outcome"], "not-run")
            head, _ = await running.call(path="/nowhere")
            self.assertEqual(head.status, 404)
            head, body = await running.call(headers=[(b"operation-id", b"junk")])
            self.assertEqual(head.status, 400)
            self.assertIn("operation-id", orjson.loads(body)["message"])
            head, body = await running.call(headers=[(b"request-timeout-ms", b"-5")])
            self.assertIn("request-timeout-ms", orjson.loads(body)["message"])

    @on_real_clock
    async def test_repeated_operation_runs_once(self):
        async with running_daemon() as running:
            _, body = await fetch(running.address, "GET", "/plantainshed/lookup")
            prefix = orjson.loads(body)["entries"][0]["operation_prefix"]
            operation = (b"operation-id", (prefix + "n1").encode())
            first = await running.call("POST", headers=[operation], body=b"x")
            again = await running.call("POST", headers=[operation], body=b"x")
            self.assertEqual(first[1], again[1])
            self.assertEqual(again[0].header(b"plantainshed-repeat"), "1")
            self.assertEqual(running.target.runs[prefix + "n1"], 1)

    @on_real_clock
    async def test_post_with_unknown_outcome_is_not_retried(self):
        """A POST whose connection breaks must not be sent again.

        The target accepts the booking and closes the connection before it
        answers. A second attempt would book twice.
        """
        runs = []

        async def break_connection(exchange):
            if exchange.request.method != "POST":
                await exchange.reply(200, [])
                return
            runs.append(await exchange.read_body(100))
            raise trio.BrokenResourceError

        async with running_daemon(break_connection) as running:
            head, body = await running.call("POST", body=b"x")
            self.assertEqual(head.status, 502)
            self.assertEqual(orjson.loads(body)["outcome"], "unknown")
            self.assertEqual(len(runs), 1)

    @on_real_clock
    async def test_large_bodies_are_streamed_in_both_directions(self):
        async def echo(exchange):
            await exchange.start(200, [(b"transfer-encoding", b"chunked")])
            async for chunk in exchange.body():
                await exchange.send(chunk)
            await exchange.finish()

        async with running_daemon(echo) as running:
            body = bytes(range(256)) * 8192
            head, answer = await self.send_and_read(running.address, body)
            self.assertEqual(head.status, 200)
            self.assertEqual(answer, body)

    async def send_and_read(self, address, body):
        """Send a body and read the answer at the same time."""
        headers = [
            (b"host", b"a"),
            (b"authorization", b"Bearer " + KEY.text.encode()),
            (b"content-length", str(len(body)).encode()),
        ]
        async with connected(address, 2) as connection:
            await connection.send_head("POST", "/prenota/1", headers)

            async def send():
                await connection.send_body(body)
                await connection.end_request()

            async with trio.open_nursery() as nursery:
                nursery.start_soon(send)
                return await connection.read_response()

    @on_real_clock
    async def test_deadline_is_forwarded_and_enforced(self):
        left = []

        async def slow(exchange):
            if exchange.request.target != "/prenota/slow":
                await exchange.reply(200, [])
                return
            left.append(int(exchange.request.header(b"request-timeout-ms")))
            await trio.sleep(30)

        async with running_daemon(slow) as running:
            head, body = await running.call(
                path="/prenota/slow", headers=[(b"request-timeout-ms", b"300")]
            )
            self.assertEqual(head.status, 504)
            self.assertEqual(orjson.loads(body)["outcome"], "unknown")
            self.assertLessEqual(left[0], 300)

    @on_real_clock
    async def test_running_request_is_completed_on_shutdown(self):
        async def slow(exchange):
            await trio.sleep(0.01 if "ready" in exchange.request.target else 1.0)
            await exchange.reply(200, [], b"whole")

        async with running_daemon(slow, service_time_s=1.0) as running:
            answers = []

            async def call():
                answers.append(await running.call())

            async with trio.open_nursery() as nursery:
                nursery.start_soon(call)
                await trio.sleep(0.3)
                running.stop.set()
            self.assertEqual(answers[0][1], b"whole")

    @on_real_clock
    async def test_late_request_is_answered_on_shutdown(self):
        """Requests that arrive at the end of a shutdown must be answered.

        Each replaced VM used to cut off a request or two: they arrived on a
        keep-alive connection after the VM had found no running requests, while
        it was releasing its budget parts, and the process then ended.
        """
        async with running_daemon() as running:
            stopped_answering = False
            async with connected(running.address, 2) as connection:
                key = (b"authorization", b"Bearer " + KEY.text.encode())
                running.stop.set()
                while not stopped_answering:
                    head, _ = await connection.request("GET", "/prenota/1", [key])
                    self.assertEqual(head.status, 200)
                    stopped_answering = head.header(b"connection") == "close"

    @on_real_clock
    async def test_answer_to_head_has_no_body(self):
        async with running_daemon() as running, connected(running.address, 2) as c:
            key = (b"authorization", b"Bearer " + KEY.text.encode())
            head, body = await c.request("HEAD", "/prenota/1", [key])
            self.assertEqual((head.status, body), (200, b""))
            head, body = await c.request("GET", "/prenota/1", [key])
            self.assertEqual(head.status, 200)

    @on_real_clock
    async def test_request_without_a_host_is_refused_and_not_run(self):
        async with running_daemon() as running:
            answer = await raw_exchange(
                running.address,
                b"GET /prenota/1 HTTP/1.0\r\nauthorization: Bearer "
                + KEY.text.encode()
                + b"\r\n\r\n",
            )
            self.assertTrue(answer.startswith(b"HTTP/1.1 400 "), answer)
            self.assertIn(b'"reason":"bad_request","outcome":"not-run"', answer)
            self.assertEqual(running.target.runs["/prenota/1"], 0)
            head, _ = await running.call()
            self.assertEqual(head.status, 200)

    @on_real_clock
    async def test_paths_of_the_daemon(self):
        async with running_daemon() as running:
            await running.call()
            head, body = await fetch(running.address, "GET", "/metrics")
            self.assertEqual(head.status, 200)
            self.assertIn(b"plantainshed_requests_total", body)
            self.assertNotIn(KEY.text.encode(), body)
            head, _ = await fetch(running.address, "GET", "/readyz")
            self.assertEqual(head.status, 200)
            bad = await raw_exchange(
                running.address,
                b"GET /plantainshed/lookup?client=nowhere HTTP/1.1\r\n"
                b"Host: a\r\nConnection: close\r\n\r\n",
            )
            self.assertIn(b"client: 'nowhere' is not an IP address", bad)

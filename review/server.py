"""Stand-in for a server of a service, after PROTOCOL.md."""

import asyncio
import time

from http11 import encode, read_message

HEARTBEAT_S = 1.5


class Server:
    """Runs requests that name it, and registers itself in the store."""

    def __init__(self, name, service, zone, host, store, record, slots=4, work_s=0.05):
        self.name = name
        self.service = service
        self.zone = zone
        self.host = host
        self.store = store
        self.record = record
        self.slots = slots
        self.work_s = work_s
        self.state = "ready"
        self.running = 0
        # It queues a few more requests than it runs.
        self.waiting = 0
        self.queue = 0
        self.has_room = asyncio.Condition()
        self.seq = 0
        self.is_registered = True
        self.born = time.time_ns() // 1_000_000
        self.arrivals = []
        self.body = b"the server's bytes"
        self.connections = set()
        self.tasks = []
        # Called with a request's path and id before it runs.
        self.on_run = None

    async def start(self):
        """Listen, and write the entry."""
        self.listener = await asyncio.start_server(self._serve, self.host, 0)
        self.address = f"{self.host}:{self.listener.sockets[0].getsockname()[1]}"
        self.write_entry()
        self.tasks.append(asyncio.create_task(self._beat()))

    async def _beat(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if self.is_registered:
                self.write_entry()

    def write_entry(self):
        """Write the server's entry; return when the store acknowledged it."""
        self.seq += 1
        spec = {"service": self.service, "addr": self.address, "zone": self.zone}
        spec |= {"version": "v1", "slots": self.slots, "state": self.state}
        spec |= {"warmupLeft": "0ms", "seq": self.seq, "born": self.born}
        return self.store.put("servers", self.name, spec)

    def say_draining(self):
        """Report that it drains; return when the store acknowledged it."""
        self.state = "draining"
        return self.write_entry()

    def end(self):
        """End as a process that crashes: its connections are reset."""
        self.is_registered = False
        self.listener.close()
        for writer in list(self.connections):
            writer.transport.abort()
        for task in self.tasks:
            task.cancel()

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                writer.write(await self._answer(request))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def _answer(self, request):
        method, path, _ = request.first.split(" ")
        headers = [("Instance-Id", self.name)]
        request_id = request.headers.get("request-id")
        if request_id:
            headers.append(("Request-Id", request_id))
        if request.headers.get("expect-instance", self.name) != self.name:
            return encode("HTTP/1.1 421 -", headers)
        load = f"{self.running},{self.waiting},{self.slots}"
        if path == "/health":
            status = 200 if self.state == "ready" else 503
            return encode(f"HTTP/1.1 {status} -", [*headers, ("Server-Load", load)])
        if self.running >= self.slots and self.waiting >= self.queue:
            return encode("HTTP/1.1 503 -", [*headers, ("Not-Executed", "1")])
        self.waiting += 1
        async with self.has_room:
            await self.has_room.wait_for(lambda: self.running < self.slots)
            self.waiting -= 1
            self.running += 1
        try:
            return await self._run(method, path, request_id, headers)
        finally:
            self.running -= 1
            async with self.has_room:
                self.has_room.notify()

    async def _run(self, method, path, request_id, headers):
        self.arrivals.append((time.monotonic(), request_id))
        self.record("run", server=self.name, id=request_id, request=f"{method} {path}")
        if self.on_run is not None:
            self.on_run(self, path, request_id)
        await asyncio.sleep(self.work_s)
        load = f"{self.running},{self.waiting},{self.slots}"
        headers += [("Server-Load", load), ("Server-Seal", f"seal.{request_id}")]
        return encode("HTTP/1.1 200 OK", headers, self.body)

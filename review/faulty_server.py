"""Stand-in for a server that is faulty for a while, after PROTOCOL.md."""

import asyncio
import random

from http11 import encode, read_message
from server import Server


class Faults:
    """What faulty servers do at present.

    Attributes
    ----------
    extra_share : float
        Share of all responses that arrive a second time, where the next response on
        the connection is expected.
    lost_share : float
        Share of the responses to requests that ran that are lost: the connection is
        reset.
    """

    def __init__(self):
        self.extra_share = 0.0
        self.lost_share = 0.0


SOUND = Faults()


class FaultyServer(Server):
    """A server whose health check is treated like any other request."""

    def __init__(self, *args, faults, is_faulty, **more):
        super().__init__(*args, **more)
        self.faults = faults
        self.is_faulty = is_faulty
        # Extra responses that were sent, by what they answered.
        self.extras = {"health": 0, "request": 0}

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        late = None
        try:
            while (request := await read_message(reader)) is not None:
                if late is not None:
                    kind, extra = late
                    writer.write(extra)
                    await writer.drain()
                    self.record(
                        "extra response",
                        server=self.name,
                        of=kind,
                        status=extra.split(b" ", 2)[1].decode(),
                        before=request.headers.get("request-id"),
                    )
                    late = None
                answer = await self._answer(request)
                faults = self.faults if self.is_faulty else SOUND
                if b"Server-Seal" in answer and random.random() < faults.lost_share:
                    writer.transport.abort()
                    return
                if random.random() < faults.extra_share:
                    is_health = request.first.split(" ")[1] == "/health"
                    kind = "health" if is_health else "request"
                    late = kind, answer
                    self.extras[kind] += 1
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    async def _answer(self, request):
        if request.first.split(" ")[1] != "/health":
            return await super()._answer(request)
        headers = [("Instance-Id", self.name)]
        load = f"{self.running},{self.waiting},{self.slots}"
        headers.append(("Server-Load", load))
        if self.running >= self.slots and self.waiting >= self.queue:
            return encode("HTTP/1.1 503 -", [*headers, ("Not-Executed", "1")])
        self.waiting += 1
        async with self.has_room:
            await self.has_room.wait_for(lambda: self.running < self.slots)
            self.waiting -= 1
        status = 200 if self.state == "ready" else 503
        return encode(f"HTTP/1.1 {status} -", headers)

"""HTTP server for the in-memory platform; `platform_client` is its client."""

import base64
import json
from urllib.parse import parse_qs, urlsplit

import trio

from plantainshed_coordination.errors import (
    ObjectMissing,
    OutcomeUnknown,
    PlatformUnavailable,
    VersionConflict,
)
from plantainshed_coordination.platform import ABSENT, MAX_VALUE_BYTES
from plantainshed_http.server import Exchange, Stopping, serve_http

from .memory_platform import MemoryPlatform

DEFAULT_WAIT_S = 30.0


class PlatformServer:
    """Serves the platform's HTTP API from a `MemoryPlatform`."""

    def __init__(self, platform: MemoryPlatform):
        self.platform = platform

    async def serve(self, listeners, stopping: Stopping):
        """Serve until `stopping` is set and all exchanges have ended."""
        await serve_http(self.handle, listeners, stopping)

    async def handle(self, exchange: Exchange):
        """Respond to one API request."""
        url = urlsplit(exchange.request.target)
        parts = url.path.strip("/").split("/")
        try:
            if parts == ["vms"]:
                await self._list_vms(exchange)
            elif len(parts) == 2 and parts[0] == "objects":
                await self._list_objects(exchange, parts[1])
            elif len(parts) == 3 and parts[0] == "objects":
                await self._handle_object(
                    exchange, parts[1], parts[2], parse_qs(url.query)
                )
            else:
                await exchange.reply(404, [])
        except ObjectMissing:
            await exchange.reply(404, [])
        except VersionConflict as error:
            await exchange.reply(412, [], str(error).encode())
        except PlatformUnavailable as error:
            await exchange.reply(503, [], str(error).encode())
        except OutcomeUnknown:
            # The write took effect. Break the connection, so that the client gets no
            # response.
            raise trio.BrokenResourceError from None

    async def _list_vms(self, exchange):
        vms = await self.platform.list_vms()
        body = json.dumps([{"vm": item.vm, "leaving": item.leaving} for item in vms])
        await exchange.reply(200, [], body.encode())

    async def _list_objects(self, exchange, kind):
        objects = await self.platform.list_objects(kind)
        items = [
            {
                "name": item.name,
                "version": item.version,
                "value": base64.b64encode(item.value).decode(),
            }
            for item in objects
        ]
        await exchange.reply(200, [], json.dumps(items).encode())

    async def _handle_object(self, exchange, kind, name, query):
        if exchange.request.method == "PUT":
            await self._put(exchange, kind, name)
        elif "not" in query:
            await self._watch(exchange, kind, name, query)
        else:
            stored = await self.platform.get(kind, name)
            await exchange.reply(200, [_etag(stored.version)], stored.value)

    async def _put(self, exchange, kind, name):
        value = await exchange.read_body(MAX_VALUE_BYTES)
        expected_version = ABSENT
        if exchange.request.header(b"if-none-match") != "*":
            expected_version = int(
                (exchange.request.header(b"if-match") or "0").strip('"')
            )
        version = await self.platform.put(kind, name, value, expected_version)
        await exchange.reply(200, [_etag(version)])

    async def _watch(self, exchange, kind, name, query):
        known_version = int(query["not"][0])
        wait_s = float(query.get("wait", [DEFAULT_WAIT_S])[0])
        stored = None
        with trio.move_on_after(wait_s):
            stored = await self.platform.wait_for_change(kind, name, known_version)
        if stored is None:
            await exchange.reply(304, [])
        else:
            await exchange.reply(200, [_etag(stored.version)], stored.value)


def _etag(version):
    return (b"etag", b'"%d"' % version)

"""Stand-in for the platform's metadata store, after PROTOCOL.md."""

import asyncio
import json
import time
from urllib.parse import parse_qs, unquote, urlsplit

from http11 import encode_json, read_message

PREFIX = "/plantainshed/objects/"
PAGE = 500


class Store:
    """Objects by kind and name, with one revision counter and watches."""

    def __init__(self, host):
        self.host = host
        self.address = ""
        self.objects = {}
        self.history = []
        self.rev = 100
        self.changed = asyncio.Event()
        self.delay_s = 0.004

    async def start(self):
        """Listen on a free port."""
        server = await asyncio.start_server(self._serve, self.host, 0)
        self.address = f"{self.host}:{server.sockets[0].getsockname()[1]}"

    def put(self, kind, name, spec):
        """Create or replace an object; return when the store acknowledged it."""
        known = self.objects.setdefault(kind, {}).get(name)
        if known is not None and _lasting(kind, known["spec"]) == _lasting(kind, spec):
            return time.monotonic()
        self.rev += 1
        created = known["metadata"]["createdRev"] if known else self.rev
        metadata = {"name": name, "rev": self.rev, "createdRev": created}
        metadata |= {"finalizers": [], "deleting": False}
        value = {"metadata": metadata, "spec": spec, "status": None}
        self.objects[kind][name] = value
        self._note(kind, value, False)
        return time.monotonic()

    def delete(self, kind, name):
        """Remove an object; return when the store acknowledged it."""
        value = self.objects[kind].pop(name)
        self.rev += 1
        value = {**value, "metadata": {**value["metadata"], "rev": self.rev}}
        self._note(kind, value, True)
        return time.monotonic()

    def _note(self, kind, value, deleted):
        self.history.append((self.rev, kind, value, deleted))
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while (request := await read_message(reader)) is not None:
                await asyncio.sleep(self.delay_s)
                writer.write(encode_json(*await self._answer(request)))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, request):
        method, target, _ = request.first.split(" ")
        parts = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        kind, _, name = parts.path.removeprefix(PREFIX).partition("/")
        name = unquote(name).removesuffix("/status")
        if method == "GET" and name:
            known = self.objects.get(kind, {}).get(name)
            return (200, known) if known else (404, {})
        if method == "GET" and "watch" in query:
            wait_s = int(query.get("waitMs", 0)) / 1000
            return await self._watch(kind, int(query["watch"]), wait_s)
        if method == "GET":
            return 200, self._list(kind, query.get("after", ""))
        written = json.loads(request.body) if request.body else {}
        return self._write(method, kind, name, written)

    def _list(self, kind, after):
        names = sorted(n for n in self.objects.get(kind, {}) if n > after)
        items = [self.objects[kind][name] for name in names[:PAGE]]
        has_more = len(names) > PAGE
        return {"items": items, "hasMore": has_more, "currentRev": self.rev}

    async def _watch(self, kind, rev, wait_s):
        ends_at = time.monotonic() + wait_s
        while not (events := self._events(kind, rev)):
            left_s = ends_at - time.monotonic()
            if left_s <= 0:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), left_s)
            except TimeoutError:
                break
        return 200, {"events": events, "currentRev": self.rev}

    def _events(self, kind, rev):
        return [
            {"object": value, "deleted": deleted}
            for at, event_kind, value, deleted in self.history
            if at > rev and event_kind == kind
        ]

    def _write(self, method, kind, name, written):
        metadata = written.get("metadata", {})
        name = name or metadata.get("name", "")
        known = self.objects.get(kind, {}).get(name)
        if method == "POST" and known:
            return 409, known
        if method != "POST" and not known:
            return 404, {}
        if known and metadata.get("rev") not in (None, known["metadata"]["rev"]):
            return 409, known
        if method == "DELETE":
            self.delete(kind, name)
            return 200, {}
        self.put(kind, name, written.get("spec"))
        return 200, self.objects[kind][name]


def _lasting(kind, spec):
    """Return what of an object counts as a change: of servers, more than `seq`."""
    if kind != "servers" or not isinstance(spec, dict):
        return spec
    return {key: value for key, value in spec.items() if key != "seq"}

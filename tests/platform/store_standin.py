"""A small stand-in for the platform's store that follows its published protocol."""

import contextlib
import json

import orjson
import trio
from attrs import define, field

from plantainshed_http.server import Exchange, Stopping, serve_http

PREFIX = "/plantainshed/objects/"


@define
class StoreStandin:
    """Stores objects by kind and name, serves watches, and injects faults.

    Attributes
    ----------
    mode : str
        How it answers: ``normal``, ``unavailable`` (503), ``rate_limited`` (429) or
        ``silent`` (not at all).
    drops_write_answers : bool
        Whether writes take effect but get no answer.
    oldest_revision : int
        The oldest revision that can be watched; watches from below it get 410.
    page_size : int
        Maximum number of objects in the answer to a list.
    calls : list of str
        Method and request target of each call.
    """

    objects: dict[str, dict[str, dict]] = field(factory=dict)
    history: list[tuple[int, str, dict, bool]] = field(factory=list)
    revision: int = 100
    mode: str = "normal"
    drops_write_answers: bool = False
    oldest_revision: int = 0
    page_size: int = 500
    calls: list[str] = field(factory=list)
    changed: trio.Event = field(factory=trio.Event)
    watching: int = 0

    def put(self, kind: str, name: str, spec, **extra_fields):
        """Create or update an object, as the operator or a target does."""
        existing = self.objects.setdefault(kind, {}).get(name)
        if existing and existing["spec"] == spec:
            return existing
        self.revision += 1
        created = existing["metadata"]["createdRev"] if existing else self.revision
        metadata = {"name": name, "rev": self.revision, "createdRev": created}
        metadata |= {"finalizers": [], "deleting": False}
        value = {"metadata": metadata, "spec": spec, "status": None, **extra_fields}
        self.objects[kind][name] = value
        self._record_event(kind, value, False)
        return value

    def delete(self, kind: str, name: str):
        """Remove an object."""
        value = self.objects[kind].pop(name)
        self.revision += 1
        value = {**value, "metadata": {**value["metadata"], "rev": self.revision}}
        self._record_event(kind, value, True)

    def forget_history(self):
        """Discard the history of changes and end the waiting watches."""
        self.revision += 1
        self.oldest_revision = self.revision
        self.history = []
        self._notify_watches()

    def _record_event(self, kind: str, value: dict, deleted: bool):
        self.history.append((self.revision, kind, value, deleted))
        self._notify_watches()

    def _notify_watches(self):
        self.changed.set()
        self.changed = trio.Event()

    async def handle(self, exchange: Exchange):
        """Answer one call."""
        body = await exchange.read_body(1 << 20)
        self.calls.append(f"{exchange.request.method} {exchange.request.target}")
        if self.mode == "silent":
            await trio.sleep_forever()
        if self.mode != "normal":
            status = {"unavailable": 503, "rate_limited": 429}[self.mode]
            await exchange.reply(status, [], b"{}")
            return
        path, _, query = exchange.request.target.removeprefix(PREFIX).partition("?")
        kind, _, name = path.partition("/")
        parameters = dict(part.split("=") for part in query.split("&") if part)
        status, answer = await self._answer(exchange, kind, name, parameters, body)
        if self.drops_write_answers and exchange.request.method != "GET":
            await trio.sleep_forever()
        await exchange.reply(status, [], _encode(answer))

    async def _answer(self, exchange, kind, name, parameters, body):
        method = exchange.request.method
        if method == "GET" and "watch" in parameters:
            return await self._watch(
                kind, int(parameters["watch"]), int(parameters["waitMs"])
            )
        if method == "GET":
            return self._list(kind, parameters.get("after", ""))
        if method == "DELETE":
            self.delete(kind, name)
            return 200, {}
        written = orjson.loads(body)
        existing = self.objects.get(kind, {}).get(name or written["metadata"]["name"])
        if method == "POST" and existing:
            return 409, existing
        if method == "PUT" and not existing:
            return 404, {}
        if method == "PUT" and written["metadata"].get("rev") not in (
            None,
            existing["metadata"]["rev"],
        ):
            return 409, existing
        return 200, self.put(kind, written["metadata"]["name"], written["spec"])

    def _list(self, kind, after):
        names = sorted(n for n in self.objects.get(kind, {}) if n > after)
        items = [self.objects[kind][name] for name in names[: self.page_size]]
        has_more = len(names) > self.page_size
        return 200, {"items": items, "hasMore": has_more, "currentRev": self.revision}

    async def _watch(self, kind, revision, wait_ms):
        self.watching += 1
        with trio.move_on_after(wait_ms / 1000):
            while not self._events(kind, revision) and revision >= self.oldest_revision:
                await self.changed.wait()
        self.watching -= 1
        if revision < self.oldest_revision:
            return 410, {"error": "history is gone"}
        events = self._events(kind, revision)
        return 200, {"events": events, "currentRev": self.revision}

    def _events(self, kind, revision):
        return [
            {"object": value, "deleted": deleted}
            for event_revision, event_kind, value, deleted in self.history
            if event_revision > revision and event_kind == kind
        ]


def _encode(answer) -> bytes:
    try:
        return orjson.dumps(answer)
    except TypeError:
        # Text that is not valid is sent with lone surrogates.
        return json.dumps(answer).encode()


@contextlib.asynccontextmanager
async def running_store(store: StoreStandin):
    """Serve the stand-in on loopback; yield its address."""
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    port = listeners[0].socket.getsockname()[1]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(serve_http, store.handle, listeners, Stopping())
        yield f"127.0.0.1:{port}"
        nursery.cancel_scope.cancel()

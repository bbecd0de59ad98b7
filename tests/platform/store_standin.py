"""A small stand-in of the platform's store, after its published protocol."""

import contextlib

import orjson
import trio
from attrs import define, field

from plantainshed_http.server import Exchange, Stopping, serve_http

PREFIX = "/plantainshed/objects/"


@define
class StoreStandin:
    """Objects by kind and name, one revision counter, watches and faults.

    Attributes
    ----------
    answers : str
        ``yes``, ``busy`` (503), ``many`` (429) or ``silent``.
    loses_answers : bool
        Whether writes take effect and are not answered.
    forgotten : int
        Watches from a revision below this get 410.
    page : int
        Most objects in a list's answer.
    calls : list of str
    """

    objects: dict[str, dict[str, dict]] = field(factory=dict)
    history: list[tuple[int, str, dict, bool]] = field(factory=list)
    revision: int = 100
    answers: str = "yes"
    loses_answers: bool = False
    forgotten: int = 0
    page: int = 500
    calls: list[str] = field(factory=list)
    changed: trio.Event = field(factory=trio.Event)
    watching: int = 0

    def put(self, kind: str, name: str, spec, **more):
        """Write as the operator or a target would."""
        known = self.objects.setdefault(kind, {}).get(name)
        if known and known["spec"] == spec:
            return known
        self.revision += 1
        created = known["metadata"]["createdRev"] if known else self.revision
        metadata = {"name": name, "rev": self.revision, "createdRev": created}
        metadata |= {"finalizers": [], "deleting": False}
        value = {"metadata": metadata, "spec": spec, "status": None, **more}
        self.objects[kind][name] = value
        self._note(kind, value, False)
        return value

    def delete(self, kind: str, name: str):
        """Remove an object."""
        value = self.objects[kind].pop(name)
        self.revision += 1
        value = {**value, "metadata": {**value["metadata"], "rev": self.revision}}
        self._note(kind, value, True)

    def forget_history(self):
        """Forget all changes and cut the watches that wait."""
        self.revision += 1
        self.forgotten = self.revision
        self.history = []
        self._wake()

    def _note(self, kind: str, value: dict, deleted: bool):
        self.history.append((self.revision, kind, value, deleted))
        self._wake()

    def _wake(self):
        self.changed.set()
        self.changed = trio.Event()

    async def handle(self, exchange: Exchange):
        """Answer one call."""
        body = await exchange.read_body(1 << 20)
        self.calls.append(f"{exchange.request.method} {exchange.request.target}")
        if self.answers == "silent":
            await trio.sleep_forever()
        if self.answers != "yes":
            status = {"busy": 503, "many": 429}[self.answers]
            await exchange.reply(status, [], b"{}")
            return
        path, _, query = exchange.request.target.removeprefix(PREFIX).partition("?")
        kind, _, name = path.partition("/")
        asked = dict(part.split("=") for part in query.split("&") if part)
        status, answer = await self._answer(exchange, kind, name, asked, body)
        if self.loses_answers and exchange.request.method != "GET":
            await trio.sleep_forever()
        await exchange.reply(status, [], orjson.dumps(answer))

    async def _answer(self, exchange, kind, name, asked, body):
        method = exchange.request.method
        if method == "GET" and "watch" in asked:
            return await self._watch(kind, int(asked["watch"]), int(asked["waitMs"]))
        if method == "GET":
            return self._list(kind, asked.get("after", ""))
        if method == "DELETE":
            self.delete(kind, name)
            return 200, {}
        written = orjson.loads(body)
        known = self.objects.get(kind, {}).get(name or written["metadata"]["name"])
        if method == "POST" and known:
            return 409, known
        if method == "PUT" and not known:
            return 404, {}
        if method == "PUT" and written["metadata"].get("rev") not in (
            None,
            known["metadata"]["rev"],
        ):
            return 409, known
        return 200, self.put(kind, written["metadata"]["name"], written["spec"])

    def _list(self, kind, after):
        names = sorted(n for n in self.objects.get(kind, {}) if n > after)
        items = [self.objects[kind][name] for name in names[: self.page]]
        more = len(names) > self.page
        return 200, {"items": items, "hasMore": more, "currentRev": self.revision}

    async def _watch(self, kind, revision, wait_ms):
        self.watching += 1
        with trio.move_on_after(wait_ms / 1000):
            while not self._events(kind, revision) and revision >= self.forgotten:
                await self.changed.wait()
        self.watching -= 1
        if revision < self.forgotten:
            return 410, {"error": "history is gone"}
        events = self._events(kind, revision)
        return 200, {"events": events, "currentRev": self.revision}

    def _events(self, kind, revision):
        return [
            {"object": value, "deleted": deleted}
            for at, of_kind, value, deleted in self.history
            if at > revision and of_kind == kind
        ]


@contextlib.asynccontextmanager
async def running_store(store: StoreStandin):
    """Serve the stand-in on loopback; yields its address."""
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    port = listeners[0].socket.getsockname()[1]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(serve_http, store.handle, listeners, Stopping())
        yield f"127.0.0.1:{port}"
        nursery.cancel_scope.cancel()

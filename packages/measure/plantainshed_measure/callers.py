"""Callers of a replay: they look up, cache, send, and repeat as they safely may."""

import random

import trio
from attrs import define, field, frozen

from plantainshed_entry.errors import Refusal
from plantainshed_entry.lookup import LookupAnswer
from plantainshed_http.messages import RequestHead

from .fake_exchange import FakeExchange
from .rig import Rig
from .tally import Tally

CLIENT_DELAY_S = 0.008
FAR_DELAY_S = 0.02
CONNECT_FAILURE_S = 0.05
MAX_TRIES = 4
SEED = 11
BOOKING_POOLS = ("prenota", "giuramento", "warnlist", "ackdesk")
NOT_RUN = "not-run"
TRY_ELSEWHERE = ("not_ready",)


@frozen
class CachedAnswer:
    """A look-up's answer and when it may not be used any more."""

    answer: LookupAnswer
    until: float


@define
class Callers:
    """Sends a trace's requests to a rig.

    Callers of one home domain and one client block share a cached look-up, as
    a town hall's or a dispatcher's program does.
    """

    rig: Rig
    tally: Tally
    chooser: random.Random = field(factory=lambda: random.Random(SEED))
    cache: dict[tuple[str, str], CachedAnswer] = field(factory=dict)
    numbers: int = 0
    boot: int = 0

    async def request(self, workspace: str, pool: str, home: str, path: str = ""):
        """Have one request answered or refused, and count it."""
        began_at = trio.current_time()
        self.tally.note_arrival(workspace)
        client = self._client(home)
        self.numbers += 1
        nonce = f"n{self.numbers}"
        operation = ""
        for attempt in range(MAX_TRIES):
            entry = self._entry(client, pool, attempt)
            if entry is None:
                await trio.sleep(CONNECT_FAILURE_S)
                continue
            operation = operation or entry.operation_prefix + nonce
            exchange = self._exchange(workspace, pool, client, operation, path)
            await trio.sleep(self._delay(home, entry.failure_domain))
            ended = await self._serve(entry.vm, exchange)
            await trio.sleep(self._delay(home, entry.failure_domain))
            if ended is None:
                operation = ""
                self.cache.clear()
                await trio.sleep(CONNECT_FAILURE_S)
                continue
            if not ended:
                self.tally.cut += self._was_planned(entry.vm)
                self.cache.clear()
                continue
            if exchange.response.status == 200:
                seconds = trio.current_time() - began_at
                self.tally.note_answer(workspace, seconds)
                return
            if self._take_refusal(workspace, exchange, operation, attempt):
                return
        self.tally.lost += 1

    def _was_planned(self, vm: str) -> bool:
        return vm in self.rig.planned_stops

    def _take_refusal(self, workspace, exchange, operation, attempt) -> bool:
        """Count a refusal; return whether it was the last word."""
        reason = exchange.response.header(b"plantainshed-reason")
        outcome = exchange.response.header(b"plantainshed-outcome")
        if outcome == NOT_RUN and b"operation-id" in dict(exchange.request.headers):
            self.tally.not_run.append(operation)
        if reason in TRY_ELSEWHERE and attempt < MAX_TRIES - 1:
            return False
        self.tally.note_refusal(workspace, reason)
        return True

    async def _serve(self, vm: str, exchange: FakeExchange) -> bool | None:
        """Return whether an answer came; None when no connection was had."""
        if vm not in self.rig.vms:
            return None
        return await self.rig.serve(vm, exchange) and exchange.response is not None

    def _exchange(self, workspace, pool, client, operation, path) -> FakeExchange:
        is_booking = pool in BOOKING_POOLS
        key = self.rig.keys[workspace].text.encode()
        headers = [(b"authorization", b"Bearer " + key)]
        if is_booking:
            headers.append((b"operation-id", operation.encode()))
        method = "POST" if is_booking else "GET"
        # Each reader asks for a page of its own now and then.
        target = path or f"/{pool}/{self.chooser.randrange(50)}"
        if is_booking and not path:
            target = f"/{pool}/{self.numbers}"
        headers.append((b"content-length", b"0"))
        return FakeExchange(RequestHead(method, target, headers), client)

    def _client(self, home: str) -> str:
        blocks = [b for b in self.rig.document.blocks if b.failure_domain == home]
        block = self.chooser.choice(blocks)
        return block.cidr.partition("/")[0]

    def _entry(self, client: str, pool: str, attempt: int):
        key = (client, pool)
        cached = self.cache.get(key)
        if cached is None or cached.until <= trio.current_time():
            answer = self._look_up(client, pool)
            if answer is None:
                return None
            cached = CachedAnswer(answer, trio.current_time() + answer.ttl_s)
            self.cache[key] = cached
        entries = cached.answer.entries
        return entries[attempt % len(entries)]

    def _look_up(self, client: str, pool: str) -> LookupAnswer | None:
        names = sorted(self.rig.vms)
        for _ in names:
            self.boot += 1
            vm = self.rig.vms[names[self.boot % len(names)]]
            domain = vm.node.context.settings.failure_domain
            if vm.node.is_ready and not self._is_cut_off(client, domain):
                try:
                    return vm.node.lookup.answer(client, pool)
                except Refusal:
                    continue
        return None

    def _is_cut_off(self, client: str, domain: str) -> bool:
        home = next(iter(self.rig.vms.values())).node.lookup.locate_client(client)[0]
        return self.rig.is_cut(home, domain)

    def _delay(self, home: str, domain: str) -> float:
        near = self.rig.region.get(home) == self.rig.region.get(domain)
        return CLIENT_DELAY_S if near else FAR_DELAY_S

"""Simulated callers that look up VMs, cache the answers, and send requests."""

import random

import trio
from attrs import define, field, frozen

from plantainshed_entry.errors import Refusal
from plantainshed_entry.lookup import LookupAnswer
from plantainshed_http.messages import RequestHead

from .fake_exchange import FakeExchange
from .rig import Rig
from .tally import Tally

SAME_REGION_DELAY_S = 0.008
CROSS_REGION_DELAY_S = 0.02
CONNECT_FAILURE_S = 0.05
MAX_ATTEMPTS = 4
SEED = 11
OPERATION_POOLS = ("prenota", "giuramento", "warnlist", "ackdesk")
NOT_RUN = "not-run"
RETRIED_REASONS = ("not_ready",)


@frozen
class CachedLookup:
    """The answer to a look-up and the time when it expires."""

    answer: LookupAnswer
    expires_at: float


@define
class Callers:
    """Sends the requests of a trace to a rig.

    Callers from the same client block share a cached look-up for each pool, as the
    users of one program at a town hall or dispatch centre do.

    Attributes
    ----------
    rng : random.Random
        Chooses client blocks and paths.
    lookup_cache : dict of (str, str) to CachedLookup
        Look-ups by client address and pool.
    request_count : int
        Numbers the requests.
    lookup_turn : int
        Distributes look-ups over the VMs in turn.
    """

    rig: Rig
    tally: Tally
    rng: random.Random = field(factory=lambda: random.Random(SEED))
    lookup_cache: dict[tuple[str, str], CachedLookup] = field(factory=dict)
    request_count: int = 0
    lookup_turn: int = 0

    async def request(self, workspace: str, pool: str, home: str, path: str = ""):
        """Send a request, retry it if that is safe, and count its outcome."""
        began_at = trio.current_time()
        self.tally.record_arrival(workspace)
        client = self._choose_client(home)
        self.request_count += 1
        nonce = f"n{self.request_count}"
        operation = ""
        for attempt in range(MAX_ATTEMPTS):
            entry = self._choose_entry(client, pool, attempt)
            if entry is None:
                await trio.sleep(CONNECT_FAILURE_S)
                continue
            operation = operation or entry.operation_prefix + nonce
            exchange = self._make_exchange(workspace, pool, client, operation, path)
            await trio.sleep(self._delay(home, entry.failure_domain))
            was_answered = await self._serve(entry.vm, exchange)
            await trio.sleep(self._delay(home, entry.failure_domain))
            if was_answered is None:
                operation = ""
                self.lookup_cache.clear()
                await trio.sleep(CONNECT_FAILURE_S)
                continue
            if not was_answered:
                self.tally.cut += self._was_planned_stop(entry.vm)
                self.lookup_cache.clear()
                continue
            if exchange.response.status == 200:
                seconds = trio.current_time() - began_at
                self.tally.record_answer(workspace, seconds)
                return
            if self._handle_refusal(workspace, exchange, operation, attempt):
                return
        self.tally.lost += 1

    def _was_planned_stop(self, vm: str) -> bool:
        return vm in self.rig.planned_stops

    def _handle_refusal(self, workspace, exchange, operation, attempt) -> bool:
        """Handle a refusal; return whether it is final, and count it if so."""
        reason = exchange.response.header(b"plantainshed-reason")
        outcome = exchange.response.header(b"plantainshed-outcome")
        if outcome == NOT_RUN and b"operation-id" in dict(exchange.request.headers):
            self.tally.not_run.append(operation)
        if reason in RETRIED_REASONS and attempt < MAX_ATTEMPTS - 1:
            return False
        self.tally.record_refusal(workspace, reason)
        return True

    async def _serve(self, vm: str, exchange: FakeExchange) -> bool | None:
        """Return whether a response arrived, or None if the connection failed."""
        if vm not in self.rig.vms:
            return None
        return await self.rig.serve(vm, exchange) and exchange.response is not None

    def _make_exchange(self, workspace, pool, client, operation, path) -> FakeExchange:
        has_operation = pool in OPERATION_POOLS
        key = self.rig.keys[workspace].text.encode()
        headers = [(b"authorization", b"Bearer " + key)]
        if has_operation:
            headers.append((b"operation-id", operation.encode()))
        method = "POST" if has_operation else "GET"
        # Readers request different pages, so reads are spread over several paths.
        target = path or f"/{pool}/{self.rng.randrange(50)}"
        if has_operation and not path:
            target = f"/{pool}/{self.request_count}"
        headers.append((b"content-length", b"0"))
        return FakeExchange(RequestHead(method, target, headers), client)

    def _choose_client(self, home: str) -> str:
        blocks = [b for b in self.rig.document.blocks if b.failure_domain == home]
        block = self.rng.choice(blocks)
        return block.cidr.partition("/")[0]

    def _choose_entry(self, client: str, pool: str, attempt: int):
        key = (client, pool)
        cached = self.lookup_cache.get(key)
        if cached is None or cached.expires_at <= trio.current_time():
            answer = self._look_up(client, pool)
            if answer is None:
                return None
            cached = CachedLookup(answer, trio.current_time() + answer.ttl_s)
            self.lookup_cache[key] = cached
        entries = cached.answer.entries
        return entries[attempt % len(entries)]

    def _look_up(self, client: str, pool: str) -> LookupAnswer | None:
        names = sorted(self.rig.vms)
        for _ in names:
            self.lookup_turn += 1
            vm = self.rig.vms[names[self.lookup_turn % len(names)]]
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
        return SAME_REGION_DELAY_S if near else CROSS_REGION_DELAY_S

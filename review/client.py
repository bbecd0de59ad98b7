"""Stand-in for a client, after PROTOCOL.md."""

import asyncio
import json
import random
import time
import uuid

from http11 import encode, read_message

PROMISES = (408, 421, 429, 503)
TTL_MAX_S = 5.0
FINAL = (400, 401, 404, 413, 431)


class Directory:
    """What a client knows of the machines that take requests."""

    def __init__(self, machines, host, region, zone, keeps=1):
        self.machines = machines
        self.host = host
        self.region = region
        self.zone = zone
        self.addresses = []
        self.until = 0.0
        # Some clients keep an answer three times as long as it says.
        self.keeps = keeps
        # The first answer is an older one, so that clients do not ask in step.
        self.part = random.random()

    async def resolve(self):
        """Return the current addresses; they are kept for their time to live."""
        if time.monotonic() < self.until:
            return self.addresses
        path = f"/plantainshed/resolve?name={self.host}"
        path += f"&region={self.region}&zone={self.zone}"
        for machine in self.machines[:3]:
            try:
                answer = await asyncio.wait_for(
                    ask(machine.directory, f"GET {path}", [("Host", self.host)]), 1
                )
            except (OSError, TimeoutError):
                continue
            if answer is not None and answer.status == 200:
                found = json.loads(answer.body)
                self.addresses = found["addrs"]
                ttl_s = float(found["ttl"].rstrip("ms"))
                if found["ttl"].endswith("ms"):
                    ttl_s /= 1000
                lasts_s = self.part * self.keeps * min(TTL_MAX_S, ttl_s)
                self.until, self.part = time.monotonic() + lasts_s, 1.0
                return self.addresses
        return self.addresses


async def ask(address, start, headers, body=b""):
    """Send one request on a new connection; None if it breaks without an answer."""
    host, port = address.rsplit(":", 1)
    reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1)
    try:
        writer.write(encode(f"{start} HTTP/1.1", headers, body))
        await writer.drain()
        return await read_message(reader)
    except ConnectionError:
        return None
    finally:
        writer.close()


class Attempt:
    """One client attempt."""

    def __init__(self, address, sent_at, start=""):
        self.address = address
        self.start = start
        self.sent_at = sent_at
        self.ended_at = None
        self.status = None
        self.is_broken_off = False


class Client:
    """Sends requests and repeats them as the pages allow."""

    def __init__(self, directory, key, record):
        self.directory = directory
        self.key = key
        self.record = record
        self.answers = []
        # What became of each attempt, by its id.
        self.attempts = {}

    async def request(self, start, is_idempotent, deadline_ms, body=b""):
        """Send a request and one repeat at most; return the last status or None."""
        ends_at = time.monotonic() + deadline_ms / 1000
        status = None
        for _ in range(2):
            left_s = ends_at - time.monotonic()
            addresses = await self.directory.resolve()
            if left_s <= 0 or not addresses:
                break
            status, retry_after_s = await self._attempt(
                random.choice(addresses), start, left_s, body
            )
            if status is not None and (status < 300 or status in FINAL):
                break
            if not (is_idempotent or status in PROMISES):
                break
            await asyncio.sleep(min(retry_after_s, left_s / 3))
        self.answers.append(status)
        return status

    async def request_once(self, start, deadline_ms, body=b""):
        """Send a request to one machine without a repeat; return the status."""
        address = random.choice(await self.directory.resolve())
        status, _ = await self._attempt(address, start, deadline_ms / 1000, body)
        return status

    async def _attempt(self, address, start, left_s, body):
        request_id = uuid.uuid4().hex[:16]
        headers = [
            ("Host", self.directory.host),
            ("Request-Id", request_id),
            ("Deadline-Ms", str(int(left_s * 1000))),
            ("Authorization", f"Bearer {self.key}"),
        ]
        self.record("sent", id=request_id, request=start, to=address)
        attempt = self.attempts[request_id] = Attempt(address, time.monotonic(), start)
        try:
            answer = await asyncio.wait_for(ask(address, start, headers, body), left_s)
        except (OSError, TimeoutError) as error:
            problem = type(error).__name__
            self.record("not answered", id=request_id, problem=problem)
            return None, 0.0
        finally:
            attempt.ended_at = time.monotonic()
        if answer is None:
            self.record("closed", id=request_id)
            attempt.is_broken_off = True
            return None, 0.0
        attempt.status = answer.status
        self.record("answered", id=request_id, status=answer.status)
        return answer.status, float(answer.headers.get("retry-after", 0))

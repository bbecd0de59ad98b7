"""Machines are stopped and started in turn while long requests are running."""

import asyncio
import random
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parents[1] / "target" / "review"))

from deployment import IS_TROUBLED, configuration, running  # noqa: E402
from machines import until_ready  # noqa: E402

# Bounds and requests of the site cerimonie-nord-large.
GRACE_S = 10.0
EXCUSED_S = 3.0
BOUNDS = {"grace": "10s", "drain": "3000ms", "configApply": "3000ms"}
BOUNDS |= {"budgetSlack": 430, "coldSlack": 10}
SLOTS = 9
WORK_S = 3.68
SPREAD = 0.15
TIMEOUT_S = 8.0
DEADLINE_MS = 20000
# Servers of one service differ in speed.
SPEEDS = (0.8, 1.0, 1.2)
QUEUE = 27
# Half of the clients keep answers of the directory three times as long as they say.
KEEPS = (1, 3) * 6
PER_S = 170
GAP_S = 14.5
# How often each machine is stopped and started again.
ROUNDS = 2


class Work:
    """Sets how long each server works on the next request."""

    def __init__(self, deployment):
        for number, server in enumerate(deployment.servers):
            server.on_run = self.on_run
            server.queue = QUEUE
            server.speed = SPEEDS[number % len(SPEEDS)]
        self.runs = {}

    def on_run(self, server, path, request_id):
        """Draw the length of a run, and note the run."""
        server.work_s = WORK_S * server.speed * random.lognormvariate(0, SPREAD)
        self.runs[request_id] = (time.monotonic(), server.work_s)


def lost(client, address, stopped_at, runs):
    """Return the requests that a stop broke off and that no rule excuses."""
    found = []
    for request_id, attempt in client.attempts.items():
        after_s = attempt.sent_at - stopped_at
        if attempt.address != address or not attempt.is_broken_off:
            continue
        if request_id not in runs or not EXCUSED_S < after_s < GRACE_S:
            continue
        if attempt.ended_at - attempt.sent_at >= TIMEOUT_S:
            continue
        found.append((request_id, after_s, attempt.ended_at - stopped_at))
    return found


async def main():
    """Run the case; return the exit status."""
    options = {"servers_per_zone": 24, "bounds": BOUNDS, "slots": SLOTS}
    async with running(FOLDER, **options) as deployment:
        long = configuration(8)
        for path in long["hosts"][0]["paths"]:
            path |= {"timeout": f"{TIMEOUT_S * 1000:.0f}ms", "targetLatency": "2500ms"}
        deployment.store.put("config", "main", long)
        work = Work(deployment)
        deployment.start_machines()
        if not await until_ready(deployment.machines, 20):
            print("the machines did not become ready")
            return 2
        deployment.start_clients(PER_S, 1.0, DEADLINE_MS, KEEPS)
        await asyncio.sleep(8)
        stops = []
        for machine in deployment.machines * ROUNDS:
            if IS_TROUBLED:
                stops.append((machine, time.monotonic()))
                task = asyncio.create_task(machine.terminate(GRACE_S))
                deployment.tasks.append(task)
            await asyncio.sleep(GAP_S)
        broken = []
        for machine, stopped_at in stops:
            for client in deployment.clients:
                broken += lost(client, machine.front, stopped_at, work.runs)
        for request_id, sent_s, closed_s in broken:
            deployment.record("lost", id=request_id, sent=sent_s, closed=closed_s)
            times = f"sent {sent_s:.2f} s, closed {closed_s:.2f} s"
            print(f"{request_id}: {times} after SIGTERM")
        statuses = [s for client in deployment.clients for s in client.answers]
        answered = statuses.count(200)
        ends = sum(machine.ends_by_itself for machine in deployment.machines)
        print(
            f"answered 200: {answered} of {len(statuses)}; ends by themselves: {ends}"
        )
        print(f"requests lost: {len(broken)}")
        if answered < 300 or ends:
            return 2
        return 1 if broken else 0


if __name__ == "__main__":
    began = time.monotonic()
    status = asyncio.run(main())
    print(f"exit {status} after {time.monotonic() - began:.0f} s")
    sys.exit(status)

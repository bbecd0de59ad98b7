"""What stands around the gateways: operator, targets, and what they recorded."""

import contextlib

import trio
from attrs import define, field

from tests.platform.platform_support import HOST, configuration, entry, route
from tests.platform.store_standin import StoreStandin
from tests.platform.target_standin import TargetStandin, running_target

from .proxy import Proxy, running_proxy
from .settings import ROUTE_TIMEOUT_S, SoakSettings

TIMEOUT = f"{ROUTE_TIMEOUT_S * 1000:.0f}ms"
LARGE, SMALL = "comune", "piccolo"
RATES = {LARGE: (400, 200), SMALL: (6, 6)}


@define
class Target(TargetStandin):
    """A target that says in its answer which request it answers.

    Attributes
    ----------
    door : Proxy
        Its address for gateways.
    run_at : list of float
        When each run began.
    leaving_at : float or None
        When the store took its word that it leaves.
    """

    door: Proxy | None = None
    leaving_at: float | None = None

    def body_for(self, headers):
        """Name the request, so that mixed answers show."""
        return f"answer to {headers.get('request-id', '')}".encode()


@define
class Run:
    """A request that a target began to run."""

    request_id: str
    workspace: str
    path: str
    body: bytes
    at: float
    target: str
    has_key: bool
    was_leaving_for_s: float


@define
class World:
    """The operator's side and the targets."""

    settings: SoakSettings
    store: StoreStandin = field(factory=StoreStandin)
    targets: list[Target] = field(factory=list)
    runs: list[Run] = field(factory=list)
    version: int = 7
    keys: dict[str, list[str]] = field(
        factory=lambda: {LARGE: ["large-0"], SMALL: ["small-0"]}
    )
    # When a key or a route's prefix was taken away, as the store answered.
    revoked_at: dict[str, float] = field(factory=dict)
    dropped_at: dict[str, float] = field(factory=dict)
    # When a key was first in a configuration.
    issued_at: dict[str, float] = field(factory=dict)
    extra: set[str] = field(factory=set)

    def write_configuration(self):
        """Write the next version, as the operator does."""
        self.version += 3
        paths = [
            route(timeout=TIMEOUT),
            route("book", "/book/", kind="non_idempotent", timeout=TIMEOUT),
            *(
                route(name, f"/{name}/", timeout=TIMEOUT, sticky=False)
                for name in sorted(self.extra)
            ),
        ]
        tenants = [
            {
                "name": name,
                "apiKeys": keys,
                "priority": 0,
                "ratePerS": RATES[name][0],
                "burst": RATES[name][1],
            }
            for name, keys in self.keys.items()
        ]
        spec = configuration(self.version, paths, tenants=tenants)
        self.store.put("config", "main", spec)

    def drop_key(self, workspace: str):
        """Replace a workspace's key by another."""
        old = self.keys[workspace][-1]
        self.keys[workspace] = [f"{old.partition('-')[0]}-{self.version}"]
        self.write_configuration()
        self.revoked_at[old] = trio.current_time()
        self.issued_at[self.keys[workspace][-1]] = trio.current_time()

    def change_route(self, name: str):
        """Add a route, or drop it if it is there."""
        if name in self.extra:
            self.extra.discard(name)
            self.write_configuration()
            self.dropped_at[f"/{name}/"] = trio.current_time()
        else:
            self.extra.add(name)
            self.dropped_at.pop(f"/{name}/", None)
            self.write_configuration()

    def register(self, target: Target, **more):
        """Write a target's entry."""
        spec = entry(target, addr=target.door.address, **more)
        self.store.put("servers", target.instance, spec)

    def note_run(self, target: Target, run):
        """Record what a target began to run."""
        now = trio.current_time()
        leaving_at = target.leaving_at
        self.runs.append(
            Run(
                request_id=run.request_id,
                workspace=run.headers.get("tenant", ""),
                path=run.path,
                body=run.body,
                at=now,
                target=target.instance,
                has_key="authorization" in run.headers,
                was_leaving_for_s=0.0 if leaving_at is None else now - leaving_at,
            )
        )


@define
class RecordingList(list):
    """Hands each appended run on."""

    target: Target
    world: World

    def append(self, run):
        """Note a run instead of keeping it."""
        self.world.note_run(self.target, run)


@contextlib.asynccontextmanager
async def running_world(settings: SoakSettings):
    """Run the targets and write the first configuration."""
    world = World(settings)
    async with contextlib.AsyncExitStack() as stack:
        for number in range(settings.targets):
            target = Target(f"target-{number}", slots=8, takes_s=0.03)
            target.runs = RecordingList(target, world)
            await stack.enter_async_context(running_target(target))
            proxy = running_proxy(target.address)
            target.door = await stack.enter_async_context(proxy)
            world.targets.append(target)
            world.register(target, zone=f"domain-{number % settings.domains}")
        world.write_configuration()
        yield world


__all__ = ["HOST", "LARGE", "SMALL", "Run", "Target", "World", "running_world"]

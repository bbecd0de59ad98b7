"""The environment of the gateways: operator, store, targets and their records."""

import contextlib

import trio
from attrs import define, field

from tests.platform.platform_support import HOST, configuration, entry, route
from tests.platform.store_standin import StoreStandin
from tests.platform.target_standin import TargetStandin, running_target

from .proxy import Proxy, running_proxy
from .settings import ROUTE_TIMEOUT_S, SoakSettings

ROUTE_TIMEOUT = f"{ROUTE_TIMEOUT_S * 1000:.0f}ms"
# Requests after which targets close a connection, so that new ones are always needed.
MAX_CONNECTION_USES = 20
LARGE_WORKSPACE, SMALL_WORKSPACE = "comune", "piccolo"
RATE_LIMITS = {LARGE_WORKSPACE: (400, 200), SMALL_WORKSPACE: (6, 6)}


@define
class Target(TargetStandin):
    """A target whose response body names the request that it answers.

    Attributes
    ----------
    proxy : Proxy
        Proxy through which gateways reach it.
    draining_since : float or None
        When it was registered in the store as draining.
    """

    proxy: Proxy | None = None
    draining_since: float | None = None

    def body_for(self, headers):
        """Return a body with the request ID, so that swapped responses are detected."""
        return f"answer to {headers.get('request-id', '')}".encode()


@define
class Run:
    """A request that a target started to run."""

    request_id: str
    workspace: str
    path: str
    body: bytes
    started_at: float
    target: str
    has_key: bool
    draining_for_s: float


@define
class World:
    """The operator's configuration, the store and the targets."""

    settings: SoakSettings
    store: StoreStandin = field(factory=StoreStandin)
    targets: list[Target] = field(factory=list)
    runs: list[Run] = field(factory=list)
    version: int = 7
    keys: dict[str, list[str]] = field(
        factory=lambda: {LARGE_WORKSPACE: ["large-0"], SMALL_WORKSPACE: ["small-0"]}
    )
    # When the store accepted the removal of a key or of a route's prefix.
    revoked_at: dict[str, float] = field(factory=dict)
    removed_at: dict[str, float] = field(factory=dict)
    # When the store accepted the first configuration with a key.
    issued_at: dict[str, float] = field(factory=dict)
    extra_routes: set[str] = field(factory=set)

    def write_configuration(self):
        """Write the next version, as the operator does."""
        self.version += 3
        paths = [
            route(timeout=ROUTE_TIMEOUT),
            route("book", "/book/", kind="non_idempotent", timeout=ROUTE_TIMEOUT),
            *(
                route(name, f"/{name}/", timeout=ROUTE_TIMEOUT, sticky=False)
                for name in sorted(self.extra_routes)
            ),
        ]
        tenants = [
            {
                "name": name,
                "apiKeys": keys,
                "priority": 0,
                "ratePerS": RATE_LIMITS[name][0],
                "burst": RATE_LIMITS[name][1],
            }
            for name, keys in self.keys.items()
        ]
        spec = configuration(self.version, paths, tenants=tenants)
        self.store.put("config", "main", spec)

    def replace_key(self, workspace: str):
        """Replace the current key of a workspace with a new one."""
        old = self.keys[workspace][-1]
        self.keys[workspace] = [f"{old.partition('-')[0]}-{self.version}"]
        self.write_configuration()
        self.revoked_at[old] = trio.current_time()
        self.issued_at[self.keys[workspace][-1]] = trio.current_time()

    def toggle_route(self, name: str):
        """Add a route, or remove it if it exists."""
        if name in self.extra_routes:
            self.extra_routes.discard(name)
            self.write_configuration()
            self.removed_at[f"/{name}/"] = trio.current_time()
        else:
            self.extra_routes.add(name)
            self.removed_at.pop(f"/{name}/", None)
            self.write_configuration()

    def register(self, target: Target, **more):
        """Write a target's entry to the store."""
        spec = entry(target, addr=target.proxy.address, **more)
        self.store.put("servers", target.instance, spec)

    def record_run(self, target: Target, run):
        """Record a request that a target started to run."""
        now = trio.current_time()
        draining_since = target.draining_since
        self.runs.append(
            Run(
                request_id=run.request_id,
                workspace=run.headers.get("tenant", ""),
                path=run.path,
                body=run.body,
                started_at=now,
                target=target.instance,
                has_key="authorization" in run.headers,
                draining_for_s=0.0 if draining_since is None else now - draining_since,
            )
        )


@define
class RecordingList(list):
    """A list that passes each appended run to the world's records."""

    target: Target
    world: World

    def append(self, run):
        """Record a run instead of storing it in this list."""
        self.world.record_run(self.target, run)


@contextlib.asynccontextmanager
async def running_world(settings: SoakSettings):
    """Run the targets and write the first configuration."""
    world = World(settings)
    async with contextlib.AsyncExitStack() as stack:
        for number in range(settings.targets):
            target = Target(
                f"target-{number}",
                slots=8,
                run_time_s=0.03,
                uses_per_connection=MAX_CONNECTION_USES,
            )
            target.runs = RecordingList(target, world)
            await stack.enter_async_context(running_target(target))
            proxy = running_proxy(target.address)
            target.proxy = await stack.enter_async_context(proxy)
            world.targets.append(target)
            world.register(target, zone=f"domain-{number % settings.domains}")
        world.write_configuration()
        yield world


__all__ = [
    "HOST",
    "LARGE_WORKSPACE",
    "SMALL_WORKSPACE",
    "Run",
    "Target",
    "World",
    "running_world",
]

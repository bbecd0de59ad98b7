"""The entry daemon, which runs a node on real sockets."""

import contextlib
import signal
import time
from collections.abc import AsyncIterator
from functools import partial
from logging import LoggerAdapter

import trio

from plantainshed_coordination.addresses import split_address
from plantainshed_coordination.control import ControlClient, serve_control
from plantainshed_coordination.identity import Identity
from plantainshed_coordination.nurseries import open_unwrapping_nursery
from plantainshed_coordination.signals import open_signals
from plantainshed_coordination.transport import DatagramTransport
from plantainshed_http.platform_client import HttpPlatform
from plantainshed_http.server import Stopping, serve_http

from .commands import Commands
from .context import Context
from .errors import SettingsError
from .handlers import Handlers
from .http_probe import probe_over_http
from .logs import open_log
from .node import Node
from .relay import open_relay
from .settings import Settings

LEAVE_TIMEOUT_S = 30.0
BACKLOG = 512


async def run_daemon(settings: Settings, stop: trio.Event, ready: trio.Event):
    """Run a daemon until `stop` is set, then shut it down gracefully.

    Running requests are completed; those that still run after `LEAVE_TIMEOUT_S`
    are cancelled.

    Parameters
    ----------
    settings : Settings
    stop : trio.Event
    ready : trio.Event
        Set by this function once the sockets are open.
    """
    async with _open_context(settings) as context, open_relay() as relay:
        node = Node(context, relay.run, probe_over_http)
        relay.vm_count = lambda: len(node.membership.records())
        commands = Commands(node, settings.fleet_secret)
        stopping, drained = Stopping(), trio.Event()
        listeners = await _listen(settings.listen)
        async with (
            serve_control(settings.control, node.follower.value, commands.handle),
            trio.open_nursery() as nursery,
        ):
            nursery.start_soon(node.run)
            nursery.start_soon(_serve, node, listeners, stopping, drained)
            nursery.start_soon(_stop_when_superseded, node, stop)
            ready.set()
            await stop.wait()
            await node.leave(
                partial(_drain_exchanges, stopping, drained), LEAVE_TIMEOUT_S
            )
            nursery.cancel_scope.cancel()
        context.log.info("stopped")


async def _serve(node: Node, listeners, stopping: Stopping, drained: trio.Event):

    def report(error: Exception):
        node.log.error("internal error", exc_info=error)

    await serve_http(Handlers(node).handle, listeners, stopping, report=report)
    drained.set()


async def _drain_exchanges(stopping: Stopping, drained: trio.Event):
    """Stop accepting connections and wait for running exchanges to end."""
    stopping.set()
    await drained.wait()


async def _stop_when_superseded(node: Node, stop: trio.Event):
    await node.membership.superseded.wait()
    node.log.error("superseded by another process of this VM; stopping")
    stop.set()


@contextlib.asynccontextmanager
async def _open_context(settings: Settings):
    with _as_settings_error("peer", settings.peer):
        transport = await DatagramTransport.open(settings.peer, settings.fleet_secret)
    bulk = ControlClient()
    try:
        yield Context(
            settings=settings,
            # The wall clock only sets the incarnation. All durations are
            # measured with the monotonic clock.
            identity=Identity(
                settings.vm, settings.failure_domain, time.time_ns() // 1_000_000
            ),
            platform=HttpPlatform(settings.platform),
            transport=transport,
            bulk=bulk,
            log=open_log(settings.vm, settings.log_level),
        )
    finally:
        transport.close()
        bulk.close()


async def _listen(address: str) -> list[trio.SocketListener]:
    host, port = split_address(address)
    with _as_settings_error("listen", address):
        return await trio.open_tcp_listeners(port, host=host, backlog=BACKLOG)


@contextlib.contextmanager
def _as_settings_error(option: str, address: str):
    """Raise `SettingsError` with the option's name if a socket cannot be opened."""
    try:
        yield
    except OSError as error:
        raise SettingsError([f"[vm] {option} = {address!r}: {error}"]) from error


async def run_until_signalled(settings: Settings):
    """Run a daemon until SIGTERM or SIGINT, then shut it down gracefully."""
    stop, ready = trio.Event(), trio.Event()
    log = open_log(settings.vm, settings.log_level)
    with open_signals() as signals:
        async with open_unwrapping_nursery() as nursery:
            nursery.start_soon(_handle_signals, signals, stop, log)
            await run_daemon(settings, stop, ready)
            nursery.cancel_scope.cancel()


async def _handle_signals(
    signals: AsyncIterator[int], stop: trio.Event, log: LoggerAdapter
):
    """Handle signals until cancelled, also during shutdown."""
    async for number in signals:
        if number == signal.SIGHUP:
            log.warning("SIGHUP ignored; settings are only read at startup")
        elif stop.is_set():
            # A second signal must not speed up the shutdown, because that would
            # cancel requests that are still being completed. The shutdown may
            # also have started without a signal.
            log.info("stop requested again", extra={"signal": number})
        else:
            log.info("stop requested", extra={"signal": number})
            stop.set()

"""The gateway on real sockets: start, stop, reload."""

import contextlib
import gc
import signal
import time
import traceback
from collections.abc import AsyncIterator, Callable
from pathlib import Path

import trio

from plantainshed_coordination.signals import open_signals
from plantainshed_http.server import (
    STOP_GRACE_S,
    Exchange,
    Stopping,
    serve_http,
)

from .context import Context
from .errors import SettingsError
from .gateway import Gateway
from .logs import DecisionLog
from .peers import StateHandler
from .ports import Surroundings
from .settings import Settings, load_settings

BACKLOG = 1024
# Part of the time to stop in which requests are still taken: callers keep an
# answered look-up, and some keep it for three times as long. What comes in the
# second half could not be let run to its end, and is for other VMs.
ACCEPT_PART = 0.5
# Part of it after which what still runs is broken off.
LAST_PART = 0.93
WATCH_SETTINGS_S = 1.0
METRICS_PATH = "/metrics"

MakeSurroundings = Callable[[Settings], Surroundings]


async def run_daemon(settings_path: str, make_surroundings: MakeSurroundings):
    """Run a gateway until SIGTERM, then stop without cutting a request."""
    # Read first: what changes from here on is then seen to differ from it.
    content = _content_of(settings_path)
    settings = load_settings(settings_path)
    log = DecisionLog(settings.vm, settings.failure_domain)
    with open_signals() as signals, log.writing():
        # Wall clock, but only as an identity: it is compared with nothing but
        # earlier starts of this same VM.
        incarnation = time.time_ns() // 1_000_000
        context = Context(settings, make_surroundings(settings), log, incarnation)
        log.milestone("start", incarnation=incarnation, settings=settings_path)
        try:
            await _Daemon(Gateway(context), settings_path, content).run(signals)
        except Exception:
            # Without a last line, an end by an error looks like an end by a signal.
            log.milestone("ended by error", traceback=traceback.format_exc())
            raise
        log.milestone("stop", dropped_lines=log.dropped)


class _Daemon:
    def __init__(self, gateway: Gateway, settings_path: str, content: bytes | None):
        self.gateway = gateway
        self.settings = gateway.context.settings
        self.settings_path = settings_path
        self.log = gateway.log
        self.stopping = Stopping()
        self.stop_requested = trio.Event()
        self.closed = trio.Event()
        self.settings_content = content

    async def run(self, signals: AsyncIterator[int]):
        gateway, listen = self.gateway, self.settings.listen
        state = StateHandler(gateway.replicas)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._obey, signals)
            await self._serve(nursery, listen.ready, gateway.answer_readiness)
            await self._serve(nursery, listen.lookup, gateway.answer_lookup)
            await self._serve(nursery, listen.control, state.handle)
            await self._serve(nursery, listen.metrics, self._answer_metrics)
            nursery.start_soon(self._serve_callers, listen.callers)
            # A stop that is asked for at once already tells other VMs.
            await nursery.start(gateway.run)
            nursery.start_soon(self._watch_settings)
            # What was made at the start lives on; the collector need not look
            # at it again, which takes 20 ms at a time.
            gc.collect()
            gc.freeze()
            await self.stop_requested.wait()
            await self._stop()
            nursery.cancel_scope.cancel()

    async def _serve(self, nursery, address: str, handler):
        if address:
            listeners = await _listen(address)
            nursery.start_soon(
                serve_http, handler, listeners, Stopping(), None, self._report
            )

    async def _serve_callers(self, address: str):
        listeners = await _listen(address)
        await serve_http(
            self.gateway.serving.serve,
            listeners,
            self.stopping,
            self.gateway.limits,
            self._report,
        )
        self.closed.set()

    def _report(self, error: Exception):
        lines = traceback.format_exception(error)
        self.log.event("internal error", traceback="".join(lines))

    async def _answer_metrics(self, exchange: Exchange):
        if exchange.request.target != METRICS_PATH:
            await exchange.reply(404, [], b"not found\n")
            return
        metrics = self.gateway.context.metrics
        metrics.state.set({"what": "in_flight"}, self.gateway.serving.in_flight)
        metrics.state.set({"what": "log_lines_dropped"}, self.log.dropped)
        metrics.state.set({"what": "targets"}, len(self.gateway.registry.states))
        headers = [(b"content-type", b"text/plain; version=0.0.4")]
        await exchange.reply(200, headers, metrics.render())

    # Signals.

    async def _obey(self, signals: AsyncIterator[int]):
        """Act on signals, in whichever state they come, until cancelled."""
        async for number in signals:
            if number == signal.SIGHUP:
                self._reload("signal")
            elif self.stop_requested.is_set():
                # Whoever asks twice gets the stop that is under way: to hurry
                # it would cut requests that it lets run to their end.
                self.log.event("stop requested again", signal=number)
            else:
                self.log.milestone("stop requested", signal=number)
                self.stop_requested.set()

    async def _stop(self):
        """Steer callers away, then end what runs, within the time given."""
        within_s = self.settings.bounds.stop_within_s
        began_at = trio.current_time()
        self.stopping.sends_connection_close = True
        await self.gateway.announce_leaving()
        accept_until = began_at + accept_s(within_s)
        self.gateway.serving.takes_until = accept_until + STOP_GRACE_S
        self._log_stopping("leaving announced", within_s=within_s)
        await trio.sleep_until(accept_until)
        self.stopping.set()
        self._log_stopping("no new connections")
        with trio.move_on_at(began_at + LAST_PART * within_s) as scope:
            await self.closed.wait()
        self._log_stopping("stopped late" if scope.cancelled_caught else "callers gone")

    def _log_stopping(self, step: str, **more):
        """Write each step, so that the lines show in which one a process ended."""
        self.log.milestone(step, in_flight=self.gateway.serving.in_flight, **more)

    # Settings.

    async def _watch_settings(self):
        """Notice a settings file that changed without a signal."""
        while True:
            await trio.sleep(WATCH_SETTINGS_S)
            if _content_of(self.settings_path) != self.settings_content:
                self._reload("file changed")

    def _reload(self, cause: str):
        self.settings_content = _content_of(self.settings_path)
        try:
            settings = load_settings(self.settings_path)
        except SettingsError as error:
            self.log.event("reload failed", cause=cause, problem=str(error))
            return
        before = self.settings
        self.settings = self.gateway.take_settings(settings)
        self.log.event(
            "reload",
            cause=cause,
            changed=self.settings != before,
            needs_restart=settings != self.settings,
        )


def accept_s(within_s: float) -> float:
    """Return how long a daemon that stops still takes new connections.

    Kept ones may begin a request for a moment longer. Were that moment not taken
    off, a request that comes at its end waits in a target's queue while the time
    to stop runs out, and is cut though the target runs it.
    """
    return max(0.0, ACCEPT_PART * within_s - STOP_GRACE_S)


async def _listen(address: str) -> list[trio.SocketListener]:
    host, _, port = address.rpartition(":")
    return await trio.open_tcp_listeners(int(port), host=host, backlog=BACKLOG)


def _content_of(path: str) -> bytes | None:
    # Bytes, for a file that is being written may hold what is no text.
    with contextlib.suppress(OSError):
        return Path(path).read_bytes()
    return None

"""The gateway daemon: listening sockets, startup, shutdown and settings reload."""

import contextlib
import gc
import signal
import time
import traceback
from collections.abc import AsyncIterator, Callable
from pathlib import Path

import trio

from plantainshed_coordination.signals import open_signals
from plantainshed_http.server import Exchange, Stopping, serve_http

from .context import Context
from .errors import SettingsError
from .gateway import Gateway
from .logs import DecisionLog
from .ports import PlatformAdapter
from .settings import Settings, load_settings
from .stop_times import StopTimes

BACKLOG = 1024
WATCH_SETTINGS_S = 1.0
RELAYED_CHECK_S = 0.05
METRICS_PATH = "/metrics"
# Number of new objects after which garbage is collected. Requests leave little garbage
# that reference counting does not free.
GC_THRESHOLD = 10_000

MakePlatformAdapter = Callable[[Settings], PlatformAdapter]


async def run_daemon(settings_path: str, make_platform_adapter: MakePlatformAdapter):
    """Run a gateway until SIGTERM, then shut down gracefully."""
    # Read before the settings are loaded, so that any later change of the file is
    # detected.
    content = _read_content(settings_path)
    settings = load_settings(settings_path)
    log = DecisionLog(settings.vm, settings.failure_domain)
    with open_signals() as signals, log.writing():
        # Wall-clock time, used only as an identifier: it is compared only with
        # earlier starts of the same VM.
        incarnation = time.time_ns() // 1_000_000
        context = Context(settings, make_platform_adapter(settings), log, incarnation)
        log.milestone("start", incarnation=incarnation, settings=settings_path)
        try:
            await _Daemon(Gateway(context), settings_path, content).run(signals)
        except Exception:
            # Without this line, the log of a crash looks like that of a kill.
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
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._handle_signals, signals)
            await self._serve(nursery, listen.ready, gateway.answer_readiness)
            await self._serve(nursery, listen.lookup, gateway.answer_lookup)
            await self._serve(nursery, listen.control, gateway.answer_peer)
            await self._serve(nursery, listen.metrics, self._answer_metrics)
            nursery.start_soon(self._serve_callers, listen.callers)
            # Wait until messages can be sent, so that even an immediate stop is
            # announced to other VMs.
            await nursery.start(gateway.run)
            nursery.start_soon(self._watch_settings)
            # Objects created at startup stay alive. Exclude them from garbage
            # collection, where scanning them takes 20 ms each time. A collection before
            # that would add a tenth to the time of a start.
            gc.freeze()
            gc.set_threshold(GC_THRESHOLD)
            gc.enable()
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
        self.gateway.measure()
        metrics.state.set({"what": "in_flight"}, self.gateway.serving.in_flight)
        metrics.state.set({"what": "log_lines_dropped"}, self.log.dropped)
        metrics.state.set({"what": "targets"}, len(self.gateway.registry.states))
        headers = [(b"content-type", b"text/plain; version=0.0.4")]
        await exchange.reply(200, headers, metrics.render())

    # Signals.

    async def _handle_signals(self, signals: AsyncIterator[int]):
        """Handle signals in any state of the daemon until cancelled."""
        async for number in signals:
            if number == signal.SIGHUP:
                self._reload("signal")
            elif self.stop_requested.is_set():
                # A second stop signal does not speed up the shutdown: that would
                # abort requests that are allowed to finish.
                self.log.event("stop requested again", signal=number)
            else:
                self.log.milestone("stop requested", signal=number)
                self.stop_requested.set()

    async def _stop(self):
        """Redirect callers to other VMs and drain requests within the stop time."""
        within_s = self.settings.bounds.stop_within_s
        times = StopTimes(trio.current_time(), within_s)
        self.stopping.sends_connection_close = True
        await self.gateway.announce_leaving()
        self.gateway.serving.stop_times = times
        self._log_stopping("leaving announced", within_s=within_s)
        await trio.sleep_until(times.accepts_connections_until)
        self.stopping.set()
        self._log_stopping("no new connections")
        with trio.move_on_at(times.cancels_at) as scope:
            await self.closed.wait()
            while self.gateway.serving.in_flight:
                # Requests that this VM forwards for others.
                await trio.sleep(RELAYED_CHECK_S)
        self._log_stopping("stopped late" if scope.cancelled_caught else "callers gone")

    def _log_stopping(self, step: str, **more):
        """Log a shutdown step, so that the log shows in which step a process ended."""
        self.log.milestone(step, in_flight=self.gateway.serving.in_flight, **more)

    # Settings.

    async def _watch_settings(self):
        """Reload the settings when the file changes without a signal."""
        while True:
            await trio.sleep(WATCH_SETTINGS_S)
            if _read_content(self.settings_path) != self.settings_content:
                self._reload("file changed")

    def _reload(self, cause: str):
        self.settings_content = _read_content(self.settings_path)
        try:
            settings = load_settings(self.settings_path)
        except SettingsError as error:
            self.log.event("reload failed", cause=cause, problem=str(error))
            return
        before = self.settings
        self.settings = self.gateway.apply_settings(settings)
        self.log.event(
            "reload",
            cause=cause,
            changed=self.settings != before,
            needs_restart=settings != self.settings,
        )


async def _listen(address: str) -> list[trio.SocketListener]:
    host, _, port = address.rpartition(":")
    return await trio.open_tcp_listeners(int(port), host=host, backlog=BACKLOG)


def _read_content(path: str) -> bytes | None:
    # Read as bytes, because a partially written file may not be valid text.
    with contextlib.suppress(OSError):
        return Path(path).read_bytes()
    return None

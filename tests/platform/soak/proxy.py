"""A loopback proxy that delays, blocks (one way or both) or resets connections."""

import contextlib
import socket

import trio
from attrs import define, field

SOCKET_ERRORS = (trio.BrokenResourceError, trio.ClosedResourceError, OSError)
CHUNK_BYTES = 65536


@define
class Proxy:
    """A TCP proxy in front of one upstream address.

    Attributes
    ----------
    upstream : str
        ``IP:PORT`` to which connections are forwarded.
    delay_s : float
        Delay added to each chunk, in each direction.
    forward, backward : bool
        Whether bytes pass to upstream, and from upstream.
    accepts : bool
        Whether new connections are accepted; otherwise they are reset.
    blocked_ips : set of str
        Addresses whose open connections carry nothing.
    """

    upstream: str
    address: str = ""
    delay_s: float = 0.0
    forward: bool = True
    backward: bool = True
    accepts: bool = True
    blocked_ips: set[str] = field(factory=set)
    open_streams: set = field(factory=set)
    changed: trio.Event = field(factory=trio.Event)

    def clear_faults(self):
        """Remove all delays and blocks and accept connections again."""
        self.delay_s, self.forward, self.backward, self.accepts = 0.0, True, True, True
        self.wake()

    def wake(self):
        """Wake blocked relays so that they check again whether bytes may pass."""
        self.changed.set()
        self.changed = trio.Event()

    def reset_all(self):
        """Reset each open connection."""
        for stream in list(self.open_streams):
            with contextlib.suppress(OSError):
                stream.socket.close()

    def reset_from(self, ip: str):
        """Reset each open connection from an address."""
        for stream in list(self.open_streams):
            with contextlib.suppress(OSError):
                if stream.socket.getpeername()[0] == ip:
                    stream.socket.close()

    def passes(self, ip: str, is_forward: bool) -> bool:
        """Return whether bytes of a connection from an address pass."""
        is_open = self.forward if is_forward else self.backward
        return is_open and ip not in self.blocked_ips

    async def serve(self, stream):
        """Forward one connection until either side closes it."""
        if not self.accepts:
            await trio.aclose_forcefully(stream)
            return
        ip = stream.socket.getpeername()[0]
        host, _, port = self.upstream.rpartition(":")
        try:
            upstream_stream = await trio.open_tcp_stream(host, int(port))
        except OSError:
            await trio.aclose_forcefully(stream)
            return
        self.open_streams |= {stream, upstream_stream}
        async with trio.open_nursery() as nursery:
            scope = nursery.cancel_scope
            nursery.start_soon(self._relay, stream, upstream_stream, ip, True, scope)
            nursery.start_soon(self._relay, upstream_stream, stream, ip, False, scope)
        for endpoint in (stream, upstream_stream):
            self.open_streams.discard(endpoint)
            await trio.aclose_forcefully(endpoint)

    async def _relay(self, source, sink, ip: str, is_forward: bool, scope):
        with contextlib.suppress(*SOCKET_ERRORS):
            while data := await source.receive_some(CHUNK_BYTES):
                if self.delay_s:
                    await trio.sleep(self.delay_s)
                while not self.passes(ip, is_forward):
                    await self.changed.wait()
                await sink.send_all(data)
        scope.cancel()


@contextlib.asynccontextmanager
async def running_proxy(upstream: str):
    """Serve a proxy on loopback for the duration of a block."""
    proxy = Proxy(upstream)
    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1", backlog=512)
    proxy.address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_serve, proxy, listeners)
        yield proxy
        nursery.cancel_scope.cancel()


@contextlib.contextmanager
def black_hole():
    """Yield a loopback address that answers no connection.

    Its queue is full, so that the kernel drops further connections.
    """
    with contextlib.ExitStack() as stack:
        server = socket.create_server(("127.0.0.1", 0), backlog=0)
        address = stack.enter_context(server).getsockname()
        for _ in range(2):
            filler = stack.enter_context(socket.socket())
            filler.setblocking(False)
            filler.connect_ex(address)
        yield f"{address[0]}:{address[1]}"


async def _serve(proxy: Proxy, listeners):
    await trio.serve_listeners(proxy.serve, listeners)

"""Detection of callers that disconnect while their requests are handled.

One task checks the connections of all running requests at intervals, in one system
call. A task for each request would add several scheduler passes to it.
"""

import select
from collections.abc import Callable

import trio
from attrs import define, field

from .tcp import TcpStream

# Interval of the checks. A caller's request is cancelled this long after the caller
# has disconnected, at the latest.
CHECK_INTERVAL_S = 0.2
# Reported as soon as the caller has closed its side, also while data is unread. Some
# systems don't have it; there, unread data hides that the caller has disconnected.
CLOSED_BY_PEER = getattr(select, "POLLRDHUP", 0)
DISCONNECTED = CLOSED_BY_PEER | select.POLLHUP | select.POLLERR


@define
class DisconnectWatcher:
    """Calls a function for each watched connection whose caller disconnects.

    Attributes
    ----------
    watched : dict of int to tuple
        Stream and function by file descriptor.
    poll : select.poll
        Contains the watched file descriptors.
    is_needed : trio.Event
        Set while there are watched connections.
    """

    watched: dict[int, tuple[TcpStream, Callable[[], None]]] = field(factory=dict)
    poll: select.poll = field(factory=select.poll)
    is_needed: trio.Event = field(factory=trio.Event)

    def watch(self, stream: TcpStream, on_disconnect: Callable[[], None]):
        """Call `on_disconnect` if the caller disconnects before `unwatch`."""
        descriptor = stream.socket.fileno()
        self.watched[descriptor] = stream, on_disconnect
        self.poll.register(descriptor, select.POLLIN | CLOSED_BY_PEER)
        self.is_needed.set()

    def unwatch(self, stream: TcpStream):
        """Stop watching a connection; does nothing if it is not watched."""
        descriptor = stream.socket.fileno()
        if self.watched.pop(descriptor, None) is not None:
            self.poll.unregister(descriptor)

    async def run(self):
        """Check the watched connections until cancelled."""
        while True:
            await self.is_needed.wait()
            await trio.sleep(CHECK_INTERVAL_S)
            self.check()
            if not self.watched:
                self.is_needed = trio.Event()

    def check(self):
        """Check all watched connections now."""
        for descriptor, events in self.poll.poll(0):
            stream, on_disconnect = self.watched[descriptor]
            if events & DISCONNECTED or stream.is_ended:
                self.unwatch(stream)
                on_disconnect()
            else:
                # The data is a pipelined request, which stays unread until the current
                # one is answered. It must not be reported by each check until then.
                self.poll.modify(descriptor, CLOSED_BY_PEER)

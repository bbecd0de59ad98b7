"""Fair queue of requests that wait for a slot.

Waiting requests are served round robin over the workspaces, so that a workspace with
many waiting requests cannot delay a workspace with few.
"""

from collections import OrderedDict, deque

import trio


class SlotQueue:
    """Queue of the requests that wait for a slot of one pool.

    Attributes
    ----------
    length : int
        Number of waiting requests.
    """

    def __init__(self):
        self.length = 0
        self._waiting: OrderedDict[str, deque[trio.Event]] = OrderedDict()

    async def wait(self, workspace: str, seconds: float) -> bool:
        """Wait to be woken; return False if the time runs out first."""
        woken = trio.Event()
        self._waiting.setdefault(workspace, deque()).append(woken)
        self.length += 1
        try:
            with trio.move_on_after(max(0.0, seconds)):
                await woken.wait()
            return woken.is_set()
        except trio.Cancelled:
            # The request was woken and cancelled at the same time. Wake the next one
            # instead, or all others would go on waiting although a slot is free.
            if woken.is_set():
                self.wake_next()
            raise
        finally:
            self._remove(workspace, woken)

    def wake_next(self):
        """Wake the first waiting request of the next workspace."""
        while self._waiting:
            workspace, waiting = self._waiting.popitem(last=False)
            woken = waiting.popleft()
            self.length -= 1
            if waiting:
                self._waiting[workspace] = waiting
            woken.set()
            return

    def _remove(self, workspace: str, woken: trio.Event):
        waiting = self._waiting.get(workspace)
        if waiting is None or woken not in waiting:
            return
        waiting.remove(woken)
        self.length -= 1
        if not waiting:
            del self._waiting[workspace]

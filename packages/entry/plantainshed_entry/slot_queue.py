"""Requests that wait for a slot, served fairly by workspace.

A workspace with many waiting requests gets no more turns than one with a
single request: waiting ones are taken round robin over the workspaces.
"""

from collections import OrderedDict, deque

import trio


class SlotQueue:
    """The requests that wait for a slot of one pool.

    Attributes
    ----------
    length : int
    """

    def __init__(self):
        self.length = 0
        self._waiting: OrderedDict[str, deque[trio.Event]] = OrderedDict()

    async def wait(self, workspace: str, seconds: float) -> bool:
        """Wait for a turn; False when the time was over first."""
        turn = trio.Event()
        self._waiting.setdefault(workspace, deque()).append(turn)
        self.length += 1
        try:
            with trio.move_on_after(max(0.0, seconds)):
                await turn.wait()
            return turn.is_set()
        except trio.Cancelled:
            # The caller left just as its turn came. Kept, the turn would be
            # lost and everyone behind it would wait beside a free slot.
            if turn.is_set():
                self.wake_next()
            raise
        finally:
            self._remove(workspace, turn)

    def wake_next(self):
        """Give the next workspace in the round its turn."""
        while self._waiting:
            workspace, turns = self._waiting.popitem(last=False)
            turn = turns.popleft()
            self.length -= 1
            if turns:
                self._waiting[workspace] = turns
            turn.set()
            return

    def _remove(self, workspace: str, turn: trio.Event):
        turns = self._waiting.get(workspace)
        if turns is None or turn not in turns:
            return
        turns.remove(turn)
        self.length -= 1
        if not turns:
            del self._waiting[workspace]

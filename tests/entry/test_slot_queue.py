"""Queue of requests that wait for a slot."""

import unittest

import trio

from plantainshed_entry.slot_queue import SlotQueue
from tests.support import on_mock_clock


class TestSlotQueue(unittest.TestCase):
    @on_mock_clock
    async def test_workspaces_are_served_round_robin(self):
        """A workspace must not wait behind hundreds of requests of another one.

        The busy workspace queues many requests first, and slots become free one at
        a time. In order of arrival, the caller of the quiet workspace would give up.
        """
        queue = SlotQueue()
        served = []

        async def wait(workspace):
            if await queue.wait(workspace, 10):
                served.append(workspace)

        async with trio.open_nursery() as nursery:
            for _ in range(5):
                nursery.start_soon(wait, "busy")
            await trio.sleep(0.1)
            nursery.start_soon(wait, "quiet")
            await trio.sleep(0.1)
            for _ in range(3):
                queue.wake_next()
                await trio.sleep(0.1)
            self.assertIn("quiet", served[:2])
            nursery.cancel_scope.cancel()

    @on_mock_clock
    async def test_wakeup_of_a_cancelled_request_is_passed_on(self):
        """A slot must not stay free while requests wait until they time out.

        A request is woken at the moment when its caller disconnects. The wake-up
        was lost, and no other request was woken.
        """
        queue = SlotQueue()
        served = []

        async def wait(name, scope):
            with scope:
                if await queue.wait(name, 10):
                    served.append(name)

        first, second = trio.CancelScope(), trio.CancelScope()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(wait, "first", first)
            await trio.sleep(0.1)
            nursery.start_soon(wait, "second", second)
            await trio.sleep(0.1)
            queue.wake_next()
            first.cancel()
            await trio.sleep(0.1)
            self.assertEqual(len(served), 1)
            self.assertEqual(queue.length, 0 if "second" in served else 1)

    @on_mock_clock
    async def test_negative_timeout_ends_the_wait_at_once(self):
        """The daemon must not crash with "seconds must be non-negative".

        A request is woken just before its timeout, finds the slot taken, and waits
        again with a negative time left.
        """
        self.assertFalse(await SlotQueue().wait("busy", -0.001))

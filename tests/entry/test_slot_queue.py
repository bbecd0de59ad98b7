"""Requests that wait for a slot."""

import unittest

import trio

from plantainshed_entry.slot_queue import SlotQueue
from tests.support import on_mock_clock


class TestSlotQueue(unittest.TestCase):
    @on_mock_clock
    async def test_takes_workspaces_in_turn(self):
        """A quiet workspace waits behind hundreds of a busy one's requests.

        The busy one queues first and with many; slots then come free one by
        one. Served in order of arrival, the quiet one's caller gives up.
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
    async def test_turn_of_a_caller_who_left_goes_on(self):
        """A slot stays free while others wait for it until they give up.

        A request's turn comes in the moment in which its caller leaves; the
        turn was kept and nobody behind it was woken.
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
    async def test_time_that_is_over_ends_the_wait_at_once(self):
        """The whole daemon stops with "seconds must be non-negative".

        A request waits for its slot until its last moment, is woken, finds
        the slot taken, and waits again with less than no time left.
        """
        self.assertFalse(await SlotQueue().wait("busy", -0.001))

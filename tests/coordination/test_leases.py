"""Leases in the platform's object store."""

import unittest

import trio

from plantainshed_coordination.leases import Lease
from plantainshed_standins.memory_platform import MemoryPlatform
from tests.support import on_mock_clock


class TestLease(unittest.TestCase):
    @on_mock_clock
    async def test_one_holder(self):
        platform = MemoryPlatform()
        first, second = (Lease(platform, "x", name) for name in ("a~1", "b~1"))
        self.assertTrue(await first.try_hold())
        self.assertFalse(await second.try_hold())

    @on_mock_clock
    async def test_expires_when_the_holder_stops_renewing(self):
        platform = MemoryPlatform()
        first, second = (Lease(platform, "x", name) for name in ("a~1", "b~1"))
        await first.try_hold()
        await second.try_hold()
        await trio.sleep(first.ttl_s + 0.1)
        self.assertFalse(first.is_held)
        self.assertTrue(await second.try_hold())

    @on_mock_clock
    async def test_paused_holder_loses_the_lease(self):
        """Guards against two VMs acting as rebalancer at the same time.

        The holder is paused for longer than the time to live, another VM
        acquires the lease, and the first one tries to renew when it resumes.
        """
        platform = MemoryPlatform()
        first, second = (Lease(platform, "x", name) for name in ("a~1", "b~1"))
        await first.try_hold()
        await second.try_hold()
        await trio.sleep(first.ttl_s + 0.1)
        await second.try_hold()
        self.assertFalse(await first.try_hold())
        self.assertFalse(first.is_held)
        self.assertTrue(second.is_held)

    @on_mock_clock
    async def test_ttl_counts_from_the_start_of_a_renewal(self):
        """Guards against two VMs holding the lease after a slow renewal.

        The store applies the renewal at once but answers slowly. If the time to
        live were counted from the answer, the holder would rely on the lease for
        longer than other VMs wait.
        """
        platform = MemoryPlatform()
        lease = Lease(platform, "x", "a~1")
        platform.faults.delay_s = 1.0
        began_at = trio.current_time()
        await lease.try_hold()
        await trio.sleep(began_at + lease.ttl_s - trio.current_time())
        self.assertFalse(lease.is_held)

    @on_mock_clock
    async def test_renewal_without_an_answer_does_not_end_the_lease(self):
        """Guards against a holder that takes its own renewal for another's.

        The store keeps the renewal, but its answer is lost. The version has changed, so
        the next renewal was rejected, and the lease was given up.
        """
        platform = MemoryPlatform()
        first, second = (Lease(platform, "x", name) for name in ("a~1", "b~1"))
        await first.try_hold()
        await second.try_hold()
        platform.faults.lose_answers = 1
        for _ in range(6):
            await trio.sleep(first.renew_interval_s)
            self.assertTrue(await first.try_hold())
            self.assertFalse(await second.try_hold())

    @on_mock_clock
    async def test_release_after_a_lost_answer(self):
        """Guards against a stop that fails because the last renewal's answer was lost.

        Nor may it release a lease that another candidate has acquired since.
        """
        platform = MemoryPlatform()
        first, second = (Lease(platform, "x", name) for name in ("a~1", "b~1"))
        await first.try_hold()
        platform.faults.lose_answers = 1
        await first.try_hold()
        await first.release()
        self.assertTrue(await second.try_hold())
        first.renewed_at, first.observed = trio.current_time(), None
        await first.release()
        self.assertFalse(await Lease(platform, "x", "c~1").try_hold())

    @on_mock_clock
    async def test_lease_taken_by_another_is_given_up_after_a_lost_answer(self):
        """Guards against two holders after a lost answer and a late look."""
        platform = MemoryPlatform()
        first, second = (Lease(platform, "x", name) for name in ("a~1", "b~1"))
        await first.try_hold()
        await second.try_hold()
        await trio.sleep(first.ttl_s - 0.1)
        first.observed = None
        await trio.sleep(0.1)
        self.assertTrue(await second.try_hold())
        self.assertFalse(await first.try_hold())
        self.assertFalse(first.is_held)

    @on_mock_clock
    async def test_released_lease_can_be_acquired_at_once(self):
        platform = MemoryPlatform()
        first, second = (Lease(platform, "x", name) for name in ("a~1", "b~1"))
        await first.try_hold()
        await first.release()
        self.assertTrue(await second.try_hold())

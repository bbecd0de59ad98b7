"""Following a document from the store and from peers."""

import unittest

import trio

from plantainshed_coordination.errors import (
    DocumentError,
    PeerTimeout,
    PlatformUnavailable,
)
from plantainshed_coordination.follower import STORE_POLL_S, WATCHERS, DocumentFollower
from plantainshed_coordination.versioned import (
    ROOT_KIND,
    SEGMENT_KIND,
    Change,
    DocumentStore,
)
from tests.support import FOUR_VMS, MemoryFleet, on_mock_clock


class FollowerFleet:
    """A fleet whose VMs follow a document."""

    def __init__(self):
        self.fleet = MemoryFleet(FOUR_VMS)
        self.followers = {}
        self.installed = {vm: [] for vm in self.fleet.domains}
        self.bad_text = b"bad"

    def follow(self, vm):
        memory_vm = self.fleet.vms[vm]

        def install(revision, segments):
            if self.bad_text in segments.values():
                raise DocumentError("not valid")
            self.installed[vm].append(revision.version)

        follower = DocumentFollower(
            DocumentStore(memory_vm.platform),
            memory_vm.transport,
            memory_vm.membership,
            install,
        )
        memory_vm.transport.get_value = follower.value
        self.followers[vm] = follower
        self.fleet.nursery.start_soon(follower.run)

    async def commit(self, version, text):
        store = DocumentStore(self.fleet.platform)
        base = version - 1
        await store.commit(Change(base, {"s": text}, f"c{version}", "ann", "", ""))

    def versions(self):
        return {vm: f.revision.version for vm, f in self.followers.items()}


class TestDocumentFollower(unittest.TestCase):
    @on_mock_clock
    async def test_change_reaches_every_vm_within_seconds(self):
        following = FollowerFleet()
        async with following.fleet.running() as vms:
            for vm in vms:
                following.follow(vm)
            await trio.sleep(5)
            await following.commit(1, b"one")
            await trio.sleep(2)
            self.assertEqual(set(following.versions().values()), {1})

    @on_mock_clock
    async def test_new_vm_loads_from_a_peer_while_the_store_is_down(self):
        """Guards against a VM replaced during a store outage not serving callers."""
        following = FollowerFleet()
        async with following.fleet.running() as vms:
            for vm in vms:
                following.follow(vm)
            await following.commit(1, b"one")
            await trio.sleep(5)
            await following.fleet.platform.set_down(True)
            following.fleet.kill("a-2")
            following.fleet.start("a-2")
            following.follow("a-2")
            await trio.sleep(5)
            self.assertEqual(following.versions()["a-2"], 1)

    @on_mock_clock
    async def test_version_never_decreases(self):
        following = FollowerFleet()
        async with following.fleet.running() as vms:
            for vm in vms:
                following.follow(vm)
            for version in (1, 2, 3):
                await following.commit(version, b"text %d" % version)
                await trio.sleep(1)
            following.fleet.network.faults.jitter_s = 2.0
            for version in (4, 5, 6):
                await following.commit(version, b"text %d" % version)
            await trio.sleep(20)
            for versions in following.installed.values():
                self.assertEqual(versions, sorted(set(versions)))
                self.assertEqual(versions[-1], 6)

    @on_mock_clock
    async def test_invalid_version_is_not_installed(self):
        """Guards against an invalid document taking down the fleet.

        A document that no validation has checked is written to the store. Each
        VM must keep its version, report the refused one, and install the next
        valid version.
        """
        following = FollowerFleet()
        async with following.fleet.running() as vms:
            for vm in vms:
                following.follow(vm)
            await following.commit(1, b"one")
            await trio.sleep(2)
            await following.commit(2, following.bad_text)
            await trio.sleep(3)
            self.assertEqual(set(following.versions().values()), {1})
            self.assertIn(2, following.followers["a-1"].refused)
            await following.commit(3, b"three")
            await trio.sleep(8)
            self.assertEqual(set(following.versions().values()), {3})

    @on_mock_clock
    async def test_hung_peer_does_not_delay_fetches_from_others(self):
        """Guards against a hung peer delaying a version that other peers have.

        Before the fix, the version arrived 5 s late, the duration of one call.
        """
        following = FollowerFleet()
        async with following.fleet.running() as vms:
            for vm in vms:
                following.follow(vm)
            for vm in ("b-1", "b-2"):
                follower = following.followers[vm]
                follower.store = DocumentStore(UnavailablePlatform())
                follower.bulk = FirstPeerHangs(follower.bulk)
            await trio.sleep(3)
            await following.commit(1, b"one")
            await trio.sleep(4)
            self.assertEqual(set(following.versions().values()), {1})

    @on_mock_clock
    async def test_version_is_retried_after_unreadable_segments(self):
        """Guards against skipping a version because of a short outage.

        Segments of a version could not be read, and the version was not
        installed until the next one was written.
        """
        following = FollowerFleet()
        async with following.fleet.running() as vms:
            platform = FaultyReads(following.fleet.platform)
            for vm in vms:
                following.follow(vm)
                following.followers[vm].store = DocumentStore(platform)
            await trio.sleep(3)
            platform.has_segments = False
            await following.commit(1, b"one")
            await trio.sleep(1)
            platform.has_segments = True
            await trio.sleep(3)
            self.assertEqual(set(following.versions().values()), {1})

    @on_mock_clock
    async def test_polling_finds_a_version_if_no_watch_is_answered(self):
        """Guards against keeping an old document for as long as a watch waits.

        The store never answers the watches, so only polls find the new version.
        """
        following = FollowerFleet()
        async with following.fleet.running() as vms:
            platform = FaultyReads(following.fleet.platform)
            platform.answers_watches = False
            for vm in vms:
                following.follow(vm)
                following.followers[vm].store = DocumentStore(platform)
            await trio.sleep(3)
            await following.commit(1, b"one")
            await trio.sleep(STORE_POLL_S + 1)
            self.assertEqual(set(following.versions().values()), {1})
            platform.root_reads = 0
            await trio.sleep(60)
            self.assertLessEqual(platform.root_reads, 60 / STORE_POLL_S * WATCHERS * 2)

    @on_mock_clock
    async def test_store_without_changes_is_not_silent(self):
        """Guards against reporting a healthy store without changes as silent.

        After 75 s without a change, the store counted as silent, which opened an
        incident.
        """
        following = FollowerFleet()
        async with following.fleet.running() as vms:
            for vm in vms:
                following.follow(vm)
            await following.commit(1, b"one")
            await trio.sleep(200)
            follower = following.followers["a-1"]
            silence_s = trio.current_time() - follower.store_heard_at
            self.assertLessEqual(silence_s, STORE_POLL_S + 1)

    @on_mock_clock
    async def test_domain_cut_off_from_the_store_fetches_from_others(self):
        following = FollowerFleet()
        async with following.fleet.running() as vms:
            for vm in vms:
                following.follow(vm)
            await trio.sleep(3)
            for vm in ("b-1", "b-2"):
                following.followers[vm].store = DocumentStore(UnavailablePlatform())
            await trio.sleep(1)
            await following.commit(1, b"one")
            await trio.sleep(4)
            self.assertEqual(set(following.versions().values()), {1})


class FirstPeerHangs:
    """A bulk source whose first requested peer does not answer."""

    def __init__(self, bulk):
        self.bulk = bulk
        self.hung_peer = ""

    async def fetch(self, address, name):
        self.hung_peer = self.hung_peer or address
        if address == self.hung_peer:
            await trio.sleep(5.0)
            raise PeerTimeout("no answer")
        return await self.bulk.fetch(address, name)


class UnavailablePlatform:
    """A platform that never answers watches and rejects other calls."""

    async def get(self, kind, name):
        raise PlatformUnavailable("down")

    async def wait_for_change(self, kind, name, known_version):
        await trio.sleep_forever()


class FaultyReads:
    """A platform that fails some reads or never answers watches.

    Attributes
    ----------
    has_segments : bool
        Whether segments of the document can be read.
    answers_watches : bool
        Whether watches are ever answered.
    root_reads : int
    """

    def __init__(self, platform):
        self.platform = platform
        self.has_segments = True
        self.answers_watches = True
        self.root_reads = 0

    async def get(self, kind, name):
        self.root_reads += kind == ROOT_KIND
        if kind == SEGMENT_KIND and not self.has_segments:
            raise PlatformUnavailable("down")
        return await self.platform.get(kind, name)

    async def wait_for_change(self, kind, name, known_version):
        if not self.answers_watches:
            await trio.sleep_forever()
        return await self.platform.wait_for_change(kind, name, known_version)

import unittest

import trio

from plantainshed_gateway.datagrams import MemberList
from plantainshed_gateway.errors import ItemExists, StoreUnavailable
from plantainshed_gateway.member_lists import MemberListExchange
from plantainshed_gateway.members import (
    FORGET_AFTER_S,
    REJECT_FORGOTTEN_S,
    Members,
)
from plantainshed_gateway.ports import Item, Snapshot
from plantainshed_gateway.vm_list import (
    ENTRY_LOST_S,
    OUTDATED_PAUSE_S,
    VM_LIST_INTERVAL_S,
    VmListReader,
)
from tests.gateway.gateway_support import RecordingLog, make_heartbeat, make_members
from tests.support import on_mock_clock

IP = "10.0.0.0"


class FakePeers:
    ip = IP

    def __init__(self):
        self.sent = []
        self.announced = 0

    async def send(self, message, ip):
        self.sent.append((message, ip))

    async def send_now(self, to_far=True):
        self.announced += 1


class ScriptedStore:
    """A store whose answers are given in advance; the last one is repeated.

    Attributes
    ----------
    lose_answers : int
        Number of upcoming writes that are stored but not answered.
    conflicts : int
        Number of upcoming replacements that are rejected.
    """

    def __init__(self, *answers, existing=None, lose_answers=0, conflicts=0):
        self.answers = list(answers)
        self.existing = existing
        self.lose_answers = lose_answers
        self.conflicts = conflicts
        self.reads_at = []
        self.created = 0

    async def create(self, collection, name, value):
        self.created += 1
        if self.existing is not None:
            raise ItemExists(Item(name, 1, self.existing))
        if self.lose_answers:
            self.existing = value
            self._lose_answer()

    async def replace(self, collection, item, value):
        if self.conflicts:
            self.conflicts -= 1
            raise ItemExists(Item(item.name, 2, {"ip": "10.8.8.8"}))
        self.existing = value
        if self.lose_answers:
            self._lose_answer()

    def _lose_answer(self):
        self.lose_answers -= 1
        raise StoreUnavailable("no answer")

    async def list(self, collection, allow_stale=False):
        self.reads_at.append(trio.current_time())
        answer = self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]
        if answer is None:
            raise StoreUnavailable("no answer")
        return answer


def entry(number: int, ip=None) -> Item:
    value = {"ip": ip or f"10.0.0.{number}", "failure_domain": "mil-a"}
    return Item(f"vm-{number}", number + 1, value)


def listing(*numbers: int, revision=10) -> Snapshot:
    return Snapshot(tuple(entry(number) for number in numbers), revision)


async def read(store, members, seconds, log=None) -> FakePeers:
    peers = FakePeers()
    reader = VmListReader(store, members, IP, peers, log or RecordingLog())
    with trio.move_on_after(seconds):
        await reader.run()
    return peers


def hear(members: Members, number: int, heartbeat_number=1, **fields):
    """Receive a heartbeat from a VM that knows the same VMs unless told otherwise."""
    members.note_listed(f"vm-{number}", f"10.0.0.{number}", "mil-a", 1)
    fields = {"known_vms_digest": members.digest, **fields}
    heartbeat = make_heartbeat(f"vm-{number}", heartbeat_number, **fields)
    members.record_heartbeat(heartbeat, f"10.0.0.{number}")
    return heartbeat


class TestFirstRead(unittest.TestCase):
    @on_mock_clock
    async def test_answer_without_own_entry_is_not_trusted(self):
        """Guards against a VM that takes an old list for the whole fleet."""
        members = make_members()
        store = ScriptedStore(listing(), listing(1))
        await read(store, members, 9 * OUTDATED_PAUSE_S)
        self.assertFalse(members.is_listed)
        self.assertGreaterEqual(len(store.reads_at), 9)

    @on_mock_clock
    async def test_old_answer_is_followed_by_another_read_soon(self):
        """Guards against an old first list that is used for half a minute."""
        members = make_members()
        store = ScriptedStore(listing(), listing(0, 1, 2), existing=entry(0).value)
        await read(store, members, 2 * OUTDATED_PAUSE_S)
        self.assertTrue(members.is_listed)
        self.assertEqual(members.count, 3)

    @on_mock_clock
    async def test_list_is_complete_after_two_equal_answers(self):
        """Guards against a list that changes while its pages are read."""
        members = make_members()
        changing = [listing(0, *range(1, n)) for n in range(2, 6)]
        store = ScriptedStore(*changing, existing=entry(0).value)
        await read(store, members, 0.5)
        self.assertFalse(members.is_listed)
        await read(ScriptedStore(listing(0, 1), existing=entry(0).value), members, 0.5)
        self.assertTrue(members.is_listed)

    @on_mock_clock
    async def test_new_vm_waits_until_another_counts_it(self):
        """Guards against a VM that uses a share of which no other VM knows."""
        members = make_members()
        store = ScriptedStore(listing(1), listing(0, 1))
        await read(store, members, 20)
        self.assertFalse(members.is_listed)
        exchange = MemberListExchange(members, FakePeers(), RecordingLog())
        differing = hear(members, 1, known_vms_digest=5)
        await exchange.compare("vm-1", differing, "10.0.0.1")
        self.assertFalse(members.is_listed)
        await exchange.compare("vm-1", hear(members, 1, 2), "10.0.0.1")
        self.assertTrue(members.is_listed)

    @on_mock_clock
    async def test_own_registration_without_an_answer_is_not_an_earlier_entry(self):
        """Guards against a new VM that takes its own write for an earlier run's entry.

        The store kept the entry, but its answer was lost. Whether the next list already
        contains the entry or not, no other VM counts this VM yet.
        """
        for answers in (
            [listing(1), listing(0, 1)],
            [listing(1), listing(1), listing(1), listing(0, 1)],
        ):
            members = make_members()
            store = ScriptedStore(*answers, lose_answers=1)
            await read(store, members, 20)
            self.assertTrue(members.is_list_confirmed)
            self.assertFalse(members.is_listed)

    @on_mock_clock
    async def test_replacement_without_an_answer_is_not_an_earlier_entry(self):
        """Guards against the same for the rewritten entry of a replaced machine."""
        members = make_members()
        before = Snapshot((entry(0, ip="10.9.9.9"), entry(1)), 1)
        store = ScriptedStore(
            before, listing(0, 1), existing={"ip": "10.9.9.9"}, lose_answers=1
        )
        await read(store, members, 20)
        self.assertTrue(members.is_list_confirmed)
        self.assertFalse(members.is_listed)

    @on_mock_clock
    async def test_lone_vm_completes_its_list(self):
        """Guards against a fleet of one VM that waits for others forever."""
        members = make_members()
        await read(ScriptedStore(listing(0)), members, 1)
        self.assertTrue(members.is_listed)

    @on_mock_clock
    async def test_store_is_read_rarely_once_list_is_confirmed(self):
        """Guards against needless calls to the store, each of which has a price."""
        members = make_members()
        store = ScriptedStore(listing(0, 1))
        await read(store, members, VM_LIST_INTERVAL_S)
        self.assertEqual(len(store.reads_at), 2)


class TestEntry(unittest.TestCase):
    @on_mock_clock
    async def test_listed_vm_is_not_registered_again(self):
        """Guards against a writing call to the store at each restart."""
        store = ScriptedStore(listing(0, 1))
        await read(store, make_members(), VM_LIST_INTERVAL_S)
        self.assertEqual(store.created, 0)

    @on_mock_clock
    async def test_entry_of_replaced_machine_gets_new_address(self):
        """Guards against a replacement that keeps its predecessor's address."""
        members = make_members()
        before = Snapshot((entry(0, ip="10.9.9.9"),), 1)
        store = ScriptedStore(before, existing={"ip": "10.9.9.9"})
        await read(store, members, 1)
        self.assertEqual(store.existing, entry(0).value)

    @on_mock_clock
    async def test_rejected_replacement_is_tried_again(self):
        """Guards against a VM that believes itself registered under an old address."""
        log = RecordingLog()
        before = Snapshot((entry(0, ip="10.9.9.9"),), 1)
        store = ScriptedStore(before, existing={"ip": "10.9.9.9"}, conflicts=1)
        await read(store, make_members(), ENTRY_LOST_S / 2, log)
        self.assertEqual(store.existing, entry(0).value)
        events = [event for event, _ in log.events]
        self.assertEqual(events.count("registered"), 1)

    @on_mock_clock
    async def test_removed_entry_of_running_vm_is_registered_again(self):
        """Guards against a running VM that stays missing from the store's list."""
        members = make_members()
        store = ScriptedStore(listing(1), listing(0, 1), listing(0, 1), listing(1))
        await read(store, members, VM_LIST_INTERVAL_S + ENTRY_LOST_S / 2)
        self.assertEqual(store.created, 2)

    @on_mock_clock
    async def test_older_answer_does_not_unregister_vms(self):
        """Guards against a late old answer that lacks VMs which registered since."""
        members = make_members()
        old = listing(0, revision=9)
        store = ScriptedStore(listing(0, 1), listing(0, 1), old)
        await read(store, members, VM_LIST_INTERVAL_S + 5)
        self.assertEqual(members.registered, {"vm-0", "vm-1"})


class TestForgetting(unittest.TestCase):
    def silent_vm(self) -> Members:
        members = make_members()
        members.note_listed("vm-1", "10.0.0.1", "mil-a", 1)
        members.note_registered({"vm-0", "vm-1"})
        return members

    @on_mock_clock
    async def test_silent_vm_in_store_is_kept(self):
        """Guards against both sides of a long partition taking the whole quota."""
        members = self.silent_vm()
        await trio.sleep(10 * FORGET_AFTER_S)
        self.assertEqual(members.forget_gone(), [])

    @on_mock_clock
    async def test_removed_and_silent_vm_is_forgotten(self):
        """Guards against removed VMs that keep their shares forever."""
        members = self.silent_vm()
        members.note_registered({"vm-0"})
        await trio.sleep(FORGET_AFTER_S - 1)
        self.assertEqual(members.forget_gone(), [])
        await trio.sleep(2)
        self.assertEqual(members.forget_gone(), ["vm-1"])

    @on_mock_clock
    async def test_unregistered_vm_is_kept(self):
        """Guards against forgetting a VM that joined while the store was away."""
        members = make_members()
        members.note_listed("vm-1", "10.0.0.1", "mil-a", 1)
        members.note_registered({"vm-0"})
        await trio.sleep(2 * FORGET_AFTER_S)
        self.assertEqual(members.forget_gone(), [])

    @on_mock_clock
    async def test_outdated_list_does_not_add_forgotten_vm(self):
        """Guards against forgotten VMs that other VMs' lists add again."""
        members = self.silent_vm()
        members.note_registered({"vm-0"})
        await trio.sleep(FORGET_AFTER_S + 1)
        members.forget_gone()
        exchange = MemberListExchange(members, FakePeers(), RecordingLog())
        outdated = MemberList({"vm-1": ("10.0.0.1", "mil-a")}, {"vm-1": 1})
        for _ in range(3):
            await trio.sleep(REJECT_FORGOTTEN_S - 1)
            members.forget_gone()
            await exchange.on_list(outdated, "10.0.0.2")
            self.assertEqual(members.count, 1)
        hear(members, 1, 2)
        self.assertEqual(members.count, 2)


class TestExchange(unittest.TestCase):
    def setUp(self):
        self.peers = FakePeers()
        self.log = RecordingLog()

    def exchange(self, *numbers: int) -> MemberListExchange:
        members = make_members()
        for number in numbers:
            members.note_listed(f"vm-{number}", f"10.0.0.{number}", "mil-a", 1)
        return MemberListExchange(members, self.peers, self.log)

    async def hear(self, exchange, number, seconds=0.0, **fields):
        """Compare with a VM's heartbeats for a while, two a second."""
        began_at = trio.current_time()
        while True:
            heartbeat = make_heartbeat(f"vm-{number}", **fields)
            await exchange.compare(heartbeat.vm, heartbeat, f"10.0.0.{number}")
            if trio.current_time() - began_at >= seconds:
                return
            await trio.sleep(0.5)

    @on_mock_clock
    async def test_vm_that_knows_fewer_gets_list_at_once(self):
        """Guards against a starting VM that waits for the list of the others."""
        exchange = self.exchange(1, 2)
        await self.hear(exchange, 1, known_vm_count=1, known_vms_digest=7)
        ((message, ip),) = self.peers.sent
        self.assertEqual(ip, "10.0.0.1")
        self.assertEqual(set(message.vms), {"vm-0", "vm-1", "vm-2"})

    @on_mock_clock
    async def test_vms_that_know_as_many_but_others_exchange_lists(self):
        """Guards against VMs that each know one VM that the other does not."""
        exchange = self.exchange(1, 2)
        fields = {"known_vm_count": 3, "known_vms_digest": 7}
        await self.hear(exchange, 1, **fields)
        self.assertEqual(self.peers.sent, [])
        await self.hear(exchange, 1, seconds=2, **fields)
        self.assertEqual(len(self.peers.sent), 1)

    @on_mock_clock
    async def test_nothing_is_sent_while_digests_agree(self):
        """Guards against traffic that grows with the fleet while nothing changes."""
        exchange = self.exchange(1, 2)
        fields = {"known_vm_count": 3, "known_vms_digest": exchange.members.digest}
        await self.hear(exchange, 1, seconds=20, **fields)
        self.assertEqual(self.peers.sent, [])

    @on_mock_clock
    async def test_reply_contains_only_what_the_list_lacked(self):
        """Guards against whole lists sent back and forth, and against endless replies.

        A newer incarnation counts as lacking, so that a new address replaces the old.
        """
        exchange = self.exchange(1, 2, 3)
        known = {vm: ("10.0.0.9", "mil-a") for vm in ("vm-0", "vm-1", "vm-2")}
        incarnations = {"vm-0": 1, "vm-1": 1}
        await exchange.on_list(MemberList(known, incarnations), "10.0.0.9")
        ((reply, ip),) = self.peers.sent
        self.assertEqual((set(reply.vms), ip), ({"vm-2", "vm-3"}, "10.0.0.9"))
        await exchange.on_list(reply, "10.0.0.9")
        self.assertEqual(len(self.peers.sent), 1)

    @on_mock_clock
    async def test_lists_of_two_vms_become_equal(self):
        """Guards against differences that an exchange leaves behind."""
        one, other = self.exchange(1, 2, 4), self.exchange(1, 3)
        other.members.own = make_heartbeat("vm-1", incarnation=1)
        del other.members.table["vm-1"]
        other.members.note_listed("vm-0", IP, "mil-a", 1)
        await self.hear(one, 1, known_vm_count=2, known_vms_digest=7)
        (request, _) = self.peers.sent.pop()
        await other.on_list(request, IP)
        (reply, _) = self.peers.sent.pop()
        await one.on_list(reply, "10.0.0.1")
        self.assertEqual(one.members.digest, other.members.digest)
        self.assertEqual(one.members.count, 5)

    @on_mock_clock
    async def test_agreement_with_complete_list_completes_own_list(self):
        """Guards against VMs without a share while the store is unavailable."""
        exchange = self.exchange(1)
        digest = exchange.members.digest
        await self.hear(exchange, 1, known_vm_count=2, known_vms_digest=digest)
        self.assertFalse(exchange.members.is_listed)
        await self.hear(
            exchange,
            1,
            known_vm_count=2,
            known_vms_digest=digest,
            is_vm_list_complete=True,
        )
        self.assertTrue(exchange.members.is_listed)

    @on_mock_clock
    async def test_lasting_difference_is_logged_once_and_its_end_too(self):
        """Guards against a VM with another list that nobody notices."""
        exchange = self.exchange(1)
        await self.hear(exchange, 1, 10, known_vm_count=2, known_vms_digest=7)
        digest = exchange.members.digest
        await self.hear(exchange, 1, 10, known_vm_count=2, known_vms_digest=digest)
        events = [event for event, _ in self.log.events]
        self.assertEqual(events, ["vm list differs", "vm list agrees again"])

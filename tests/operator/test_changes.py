"""Operators' changes."""

import contextlib
import unittest

import trio

from plantainshed.changes import edit, issue, replace, withdraw
from plantainshed.context import OperatorContext
from plantainshed.errors import BadUsage, EditConflict
from plantainshed.settings import OperatorSettings
from plantainshed.views import load_current
from plantainshed_coordination.errors import PeerTimeout
from plantainshed_coordination.versioned import DocumentStore
from plantainshed_model import commands
from plantainshed_model.document import (
    Document,
    DrainKind,
    FailureDomain,
    Region,
    Workspace,
)
from plantainshed_model.errors import InvalidDocument, UnknownName
from plantainshed_standins.memory_platform import MemoryPlatform
from tests.support import on_mock_clock

DOCUMENT = Document(
    regions=(Region("r"),),
    failure_domains=(FailureDomain("a", "r"), FailureDomain("b", "r")),
    workspaces=(Workspace("comune", 10.0, 5.0),),
)


class FakeControl:
    """VMs' control ports; some do not answer."""

    def __init__(self, dead=()):
        self.dead = dead
        self.told = []

    async def command(self, address, command, arguments, credential):
        if address in self.dead:
            raise PeerTimeout(address)
        self.told.append((address, command, arguments))
        return b"{}"


def context_with(dead=()) -> OperatorContext:
    platform = MemoryPlatform()
    settings = OperatorSettings("p", controls=("vm-1", "vm-2"), operator="ann")
    return OperatorContext(
        settings, platform, DocumentStore(platform), FakeControl(dead)
    )


async def with_document(dead=()) -> OperatorContext:
    context = context_with(dead)
    await replace(context, await load_current(context), DOCUMENT, "first")
    return context


class TestReplace(unittest.TestCase):
    @on_mock_clock
    async def test_names_every_fault_and_changes_nothing(self):
        context = context_with()
        bad = Document(workspaces=(Workspace("X Y", -1.0, 0.0),))
        with self.assertRaises(InvalidDocument) as caught:
            await replace(context, await load_current(context), bad, "bad")
        fields = {fault.field for fault in caught.exception.faults}
        self.assertIn("workspaces[X Y].rate", fields)
        self.assertIn("workspaces[X Y].burst", fields)
        self.assertEqual((await load_current(context)).revision.version, 0)

    @on_mock_clock
    async def test_conflict_shows_what_the_other_changed(self):
        context = await with_document()
        base = await load_current(context)
        await edit(
            context,
            lambda d: commands.start_drain(d, DrainKind.FAILURE_DOMAIN, "a"),
            "work",
        )
        with self.assertRaises(EditConflict) as caught:
            await replace(context, base, DOCUMENT, "mine")
        paths = [difference.path for difference in caught.exception.differences]
        self.assertEqual(paths, ["drains[failure_domain/a]"])


class TestEdit(unittest.TestCase):
    @on_mock_clock
    async def test_two_operators_at_once_both_count(self):
        context = await with_document()

        async def drain(name):
            await edit(
                context,
                lambda d: commands.start_drain(d, DrainKind.FAILURE_DOMAIN, name),
                name,
            )

        async with trio.open_nursery() as nursery:
            nursery.start_soon(drain, "a")
            nursery.start_soon(drain, "b")
        drains = {d.name for d in (await load_current(context)).document.drains}
        self.assertEqual(drains, {"a", "b"})


class TestWithdraw(unittest.TestCase):
    @on_mock_clock
    async def test_tells_the_fleet_although_the_store_is_down(self):
        """A stolen key goes on working for as long as the store is down."""
        context = await with_document(dead=("vm-1",))
        key, _ = await issue(context, "comune", "new")
        await context.platform.set_down(True)
        done = await withdraw(context, key.entry.key_id, "stolen")
        self.assertEqual(done.notified_control, "vm-2")
        self.assertIsNone(done.revision)
        self.assertIn(key.entry.key_id.encode(), context.control.told[0][2])

    @on_mock_clock
    async def test_is_recorded_when_no_vm_answers(self):
        context = await with_document(dead=("vm-1", "vm-2"))
        key, _ = await issue(context, "comune", "new")
        done = await withdraw(context, key.entry.key_id, "stolen")
        self.assertEqual(done.notified_control, "")
        self.assertTrue((await load_current(context)).document.keys[0].withdrawn)

    @on_mock_clock
    async def test_bad_ids_are_named(self):
        context = await with_document()
        with self.assertRaises(BadUsage):
            await withdraw(context, "nope", "typing error")
        with contextlib.suppress(UnknownName):
            await withdraw(context, "k" + "0" * 12, "unknown")
            self.fail("an unknown key was withdrawn")

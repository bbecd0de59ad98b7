"""Tests of operators' changes to the document and to keys."""

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
    """Control ports of VMs; those in ``unreachable`` time out."""

    def __init__(self, unreachable=()):
        self.unreachable = unreachable
        self.received = []

    async def command(self, address, command, arguments, credential):
        if address in self.unreachable:
            raise PeerTimeout(address)
        self.received.append((address, command, arguments))
        return b"{}"


def empty_context(unreachable=()) -> OperatorContext:
    platform = MemoryPlatform()
    settings = OperatorSettings("p", controls=("vm-1", "vm-2"), operator="ann")
    return OperatorContext(
        settings, platform, DocumentStore(platform), FakeControl(unreachable)
    )


async def context_with_document(unreachable=()) -> OperatorContext:
    context = empty_context(unreachable)
    await replace(context, await load_current(context), DOCUMENT, "first")
    return context


class TestReplace(unittest.TestCase):
    @on_mock_clock
    async def test_reports_all_faults_and_changes_nothing(self):
        context = empty_context()
        bad = Document(workspaces=(Workspace("X Y", -1.0, 0.0),))
        with self.assertRaises(InvalidDocument) as caught:
            await replace(context, await load_current(context), bad, "bad")
        fields = {fault.field for fault in caught.exception.faults}
        self.assertIn("workspaces[X Y].rate", fields)
        self.assertIn("workspaces[X Y].burst", fields)
        self.assertEqual((await load_current(context)).revision.version, 0)

    @on_mock_clock
    async def test_conflict_contains_the_other_change(self):
        context = await context_with_document()
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
    async def test_concurrent_edits_are_both_applied(self):
        context = await context_with_document()

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
    async def test_notifies_the_fleet_while_the_store_is_down(self):
        """A stolen key must not stay valid during an outage of the store."""
        context = await context_with_document(unreachable=("vm-1",))
        key, _ = await issue(context, "comune", "new")
        await context.platform.set_down(True)
        withdrawal = await withdraw(context, key.entry.key_id, "stolen")
        self.assertEqual(withdrawal.notified_control, "vm-2")
        self.assertIsNone(withdrawal.revision)
        self.assertIn(key.entry.key_id.encode(), context.control.received[0][2])

    @on_mock_clock
    async def test_is_recorded_when_no_vm_answers(self):
        context = await context_with_document(unreachable=("vm-1", "vm-2"))
        key, _ = await issue(context, "comune", "new")
        withdrawal = await withdraw(context, key.entry.key_id, "stolen")
        self.assertEqual(withdrawal.notified_control, "")
        self.assertTrue((await load_current(context)).document.keys[0].withdrawn)

    @on_mock_clock
    async def test_invalid_and_unknown_ids_are_rejected(self):
        context = await context_with_document()
        with self.assertRaises(BadUsage):
            await withdraw(context, "nope", "typing error")
        with contextlib.suppress(UnknownName):
            await withdraw(context, "k" + "0" * 12, "unknown")
            self.fail("an unknown key was withdrawn")

"""Several complete nodes in memory: keys, poison, targets, operations."""

import contextlib
import unittest
from pathlib import Path

import trio
from attrs import evolve

from plantainshed_entry.reasons import Reason, RetryReason
from plantainshed_http.messages import RequestHead
from plantainshed_measure.fake_exchange import FakeExchange
from plantainshed_measure.policies import CHOSEN
from plantainshed_measure.rig import Rig
from plantainshed_model import codec, commands
from plantainshed_model.document import DrainKind
from tests.support import on_mock_clock

EXAMPLES = Path(__file__).parents[2] / "examples"
VMS = (("mil-a-1", "mil-a"), ("mil-b-1", "mil-b"), ("ven-a-1", "ven-a"))
SETTLE_S = 8.0


def small_document():
    text = (EXAMPLES / "cerimonia" / "document.json").read_text()
    document = codec.from_text(text)
    domains = {domain for _, domain in VMS}
    return evolve(
        document,
        failure_domains=tuple(d for d in document.failure_domains if d.name in domains),
        targets=tuple(t for t in document.targets if t.failure_domain in domains),
        blocks=tuple(b for b in document.blocks if b.failure_domain in domains),
    )


@contextlib.asynccontextmanager
async def running_rig():
    rig = Rig(small_document(), VMS, CHOSEN)
    async with rig.running():
        await trio.sleep(SETTLE_S)
        yield rig


def exchange_for(rig, path, method="GET", operation=""):
    key = rig.keys["milano"].text.encode()
    headers = [(b"authorization", b"Bearer " + key), (b"content-length", b"0")]
    if operation:
        headers.append((b"operation-id", operation.encode()))
    return FakeExchange(RequestHead(method, path, headers), "10.20.0.1")


async def call(rig, vm, path, method="GET", operation=""):
    exchange = exchange_for(rig, path, method, operation)
    await rig.serve(vm, exchange)
    return exchange.response


def reason_of(response) -> str | None:
    return response.header(b"plantainshed-reason")


class TestKeys(unittest.TestCase):
    @on_mock_clock
    async def test_withdrawn_key_cancels_running_requests_and_refuses_new_ones(self):
        """A withdrawn key must not stay usable for minutes.

        The requests are running or waiting when the key is withdrawn on another
        VM, and the connection of the caller stays open.
        """
        async with running_rig() as rig:
            responses = []

            async def read(vm):
                responses.append(await call(rig, vm, "/calendario/1"))

            async with trio.open_nursery() as nursery:
                nursery.start_soon(read, "ven-a-1")
                await trio.sleep(0.1)
                await rig.platform.set_down(True)
                rig.vms["mil-a-1"].node.withdraw_key(rig.keys["milano"].entry.key_id)
            self.assertEqual(reason_of(responses[0]), Reason.KEY_WITHDRAWN)
            await trio.sleep(1)
            for vm, _ in VMS:
                response = await call(rig, vm, "/calendario/2")
                self.assertEqual(reason_of(response), Reason.KEY_WITHDRAWN)

    @on_mock_clock
    async def test_isolated_domain_accepts_known_keys_up_to_the_offline_limit(self):
        async with running_rig() as rig:
            rig.isolated.add("ven-a")
            await trio.sleep(60)
            response = await call(rig, "ven-a-1", "/calendario/1")
            self.assertEqual(response.status, 200)
            await trio.sleep(900)
            response = await call(rig, "ven-a-1", "/calendario/1")
            self.assertEqual(reason_of(response), Reason.OFFLINE_LIMIT)
            rig.isolated.clear()
            await trio.sleep(5)
            response = await call(rig, "ven-a-1", "/calendario/1")
            self.assertEqual(response.status, 200)

    @on_mock_clock
    async def test_paused_vm_refuses_requests_until_it_has_heard_from_others(self):
        async with running_rig() as rig:
            membership = rig.vms["mil-a-1"].node.membership
            membership.last_tick -= 10
            response = await call(rig, "mil-a-1", "/calendario/1")
            self.assertEqual(reason_of(response), Reason.NOT_READY)
            await trio.sleep(3)
            response = await call(rig, "mil-a-1", "/calendario/1")
            self.assertEqual(response.status, 200)


class TestPoison(unittest.TestCase):
    @on_mock_clock
    async def test_poison_request_is_blocked_after_three_crashes(self):
        """One repeated request must not take down a whole pool.

        Each target that runs the request crashes. The caller repeats it at other
        VMs, and each VM would choose the next healthy target.
        """
        async with running_rig() as rig:
            for turn in range(8):
                vm = VMS[turn % len(VMS)][0]
                response = await call(rig, vm, "/prenota/poison", method="POST")
                await trio.sleep(0.5)
            self.assertEqual(reason_of(response), Reason.POISON)
            dead = [t.name for t in rig.targets.values() if t.is_down]
            self.assertLessEqual(len(dead), 3)

    @on_mock_clock
    async def test_requests_beside_a_poison_request_are_not_blocked(self):
        """A popular page must not be refused for minutes.

        Its requests were running on targets that another request crashed. The
        next successful request for the page must clear it.
        """
        async with running_rig() as rig:
            async with trio.open_nursery() as nursery:
                for _ in range(2):
                    nursery.start_soon(call, rig, "mil-a-1", "/prenota/popular")
                    nursery.start_soon(call, rig, "mil-a-1", "/prenota/poison")
                    await trio.sleep(0.01)
            await trio.sleep(1)
            for vm, _ in VMS:
                response = await call(rig, vm, "/prenota/popular")
                self.assertEqual(response.status, 200)


class TestAttempts(unittest.TestCase):
    @on_mock_clock
    async def test_outcome_covers_all_attempts(self):
        """The outcome must not be "not run" if one of the attempts may have run.

        The first attempt fails because its target crashes. A retry is allowed,
        because the method is idempotent, but no target accepts it. The outcome was
        taken from the last attempt only, which had not run.
        """
        async with running_rig() as rig:
            for target in rig.targets.values():
                target.is_down = target.name != "prenota-01"
            await trio.sleep(4)
            response = await call(rig, "mil-a-1", "/prenota/poison")
            self.assertEqual(rig.targets["prenota-01"].runs.total(), 1)
            self.assertEqual(response.header(b"plantainshed-outcome"), "unknown")


class TestTargets(unittest.TestCase):
    @on_mock_clock
    async def test_drained_target_gets_no_new_request(self):
        async with running_rig() as rig:
            name = "calendario-01"
            await rig.edit(lambda d: commands.start_drain(d, DrainKind.TARGET, name))
            await trio.sleep(3)
            before = rig.targets[name].runs.total()
            for _ in range(30):
                await call(rig, "mil-a-1", "/calendario/1")
            self.assertEqual(rig.targets[name].runs.total(), before)

    @on_mock_clock
    async def test_target_that_reports_draining_gets_no_new_request(self):
        async with running_rig() as rig:
            target = rig.targets["calendario-01"]
            target.is_draining = True
            await trio.sleep(3)
            before = target.runs.total()
            for _ in range(30):
                await call(rig, "mil-a-1", "/calendario/1")
            self.assertEqual(target.runs.total(), before)

    @on_mock_clock
    async def test_failed_requests_outweigh_a_passing_health_check(self):
        """A third of all requests fails although all health checks pass.

        The health endpoint of a target answers, but nothing else on it does.
        """
        async with running_rig() as rig:
            target = rig.targets["calendario-01"]
            target.reports_healthy_when_down = True
            target.crash()
            for _ in range(40):
                response = await call(rig, "mil-a-1", "/calendario/1")
                self.assertEqual(response.status, 200)
                await trio.sleep(0.05)
            metrics = rig.vms["mil-a-1"].node.context.metrics
            wasted = metrics.retries.get({"reason": RetryReason.CONNECT_FAILED})
            self.assertGreater(wasted, 0)
            self.assertLess(wasted, 8)

    @on_mock_clock
    async def test_false_alarm_does_not_empty_a_pool(self):
        async with running_rig() as rig:
            table = rig.vms["mil-a-1"].node.targets
            for state in table.of_pool("calendario"):
                table.eject(state.target.name, 60)
            response = await call(rig, "mil-a-1", "/calendario/1")
            self.assertEqual(response.status, 200)

    @on_mock_clock
    async def test_all_vms_together_do_not_exceed_the_slots(self):
        async with running_rig() as rig:
            async with trio.open_nursery() as nursery:
                for number in range(150):
                    vm = VMS[number % len(VMS)][0]
                    nursery.start_soon(call, rig, vm, f"/giuramento/{number}")
            for target in rig.targets.values():
                self.assertLessEqual(target.most_running, target.slots)
                self.assertEqual(target.shed, 0)

    @on_mock_clock
    async def test_slots_lent_to_a_dead_vm_are_reclaimed(self):
        """A target must not lose a slot permanently whenever a borrower dies."""
        async with running_rig() as rig:
            async with trio.open_nursery() as nursery:
                for number in range(60):
                    nursery.start_soon(call, rig, "ven-a-1", f"/giuramento/{number}")
                await trio.sleep(0.2)
                rig.kill_vm("ven-a-1")
            parts = rig.vms["mil-a-1"].node.holdings.parts
            lent = [p for p in parts.values() if getattr(p, "lent", None)]
            self.assertTrue(lent)
            await trio.sleep(8)
            rig.forget_vm("ven-a-1")
            await trio.sleep(6)
            self.assertFalse([p for p in parts.values() if getattr(p, "lent", None)])


class TestOperations(unittest.TestCase):
    def operation_at(self, rig, vm, nonce):
        record = rig.vms[vm].node.membership.record
        return f"{vm}~{record.incarnation}~{record.operation_epoch}~{nonce}"

    @on_mock_clock
    async def test_booking_repeated_at_every_vm_runs_once(self):
        async with running_rig() as rig:
            operation = self.operation_at(rig, "mil-a-1", "n1")
            statuses = []

            async def book(vm):
                response = await call(rig, vm, "/prenota/9", "POST", operation)
                statuses.append(response.status)

            async with trio.open_nursery() as nursery:
                for vm, _ in VMS:
                    nursery.start_soon(book, vm)
            for vm, _ in VMS:
                await book(vm)
            runs = sum(target.runs[operation] for target in rig.targets.values())
            self.assertEqual(runs, 1)
            self.assertEqual(statuses[-3:], [200, 200, 200])

    @on_mock_clock
    async def test_booking_whose_vm_died_is_not_run_again(self):
        async with running_rig() as rig:
            operation = self.operation_at(rig, "mil-a-1", "n2")
            async with trio.open_nursery() as nursery:
                book = ("mil-a-1", "/prenota/9", "POST", operation)
                nursery.start_soon(call, rig, *book)
                await trio.sleep(0.1)
                rig.kill_vm("mil-a-1")
            response = await call(rig, "ven-a-1", "/prenota/9", "POST", operation)
            self.assertEqual(reason_of(response), Reason.OPERATION_UNKNOWN)
            runs = sum(target.runs[operation] for target in rig.targets.values())
            self.assertEqual(runs, 1)

    @on_mock_clock
    async def test_refused_booking_can_be_repeated(self):
        """A booking that was refused as "not run" must be possible later.

        No target had a free slot, and the operation id stayed claimed.
        """
        async with running_rig() as rig:
            operation = self.operation_at(rig, "mil-a-1", "n3")
            for target in rig.targets.values():
                target.is_down = True
            refused = await call(rig, "mil-a-1", "/prenota/9", "POST", operation)
            self.assertEqual(refused.header(b"plantainshed-outcome"), "not-run")
            for target in rig.targets.values():
                target.is_down = False
            await trio.sleep(30)
            response = await call(rig, "mil-a-1", "/prenota/9", "POST", operation)
            self.assertEqual(response.status, 200)


class TestLookup(unittest.TestCase):
    @on_mock_clock
    async def test_all_vms_give_the_same_answer_and_omit_a_dead_vm(self):
        async with running_rig() as rig:

            def first_vms():
                return {
                    running.node.lookup.answer("10.20.0.1", "calendario").entries[0].vm
                    for running in rig.vms.values()
                }

            self.assertEqual(first_vms(), {"mil-a-1"})
            rig.kill_vm("mil-a-1")
            await trio.sleep(8)
            self.assertEqual(len(first_vms()), 1)
            self.assertNotIn("mil-a-1", first_vms())

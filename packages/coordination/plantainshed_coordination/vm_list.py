"""Polls the platform's list of VMs, which lags behind the actual state.

Two VMs of each failure domain poll the list. It shows which VMs are about to
leave. A VM that has been removed from the list and is silent is certain to be
gone.
"""

import contextlib
from typing import TYPE_CHECKING

import trio

from .errors import PlatformError
from .members import Liveness
from .platform import ListedVm, Platform

if TYPE_CHECKING:
    from .membership import Membership

PERIOD_S = 2.0
READERS_PER_DOMAIN = 2


class VmList:
    """Polls the platform's list of VMs for a `Membership`.

    Attributes
    ----------
    seen_runs : set of (str, int)
        VM and incarnation of each process that has been in the list.
    """

    def __init__(self, membership: "Membership", platform: Platform):
        self.membership = membership
        self.platform = platform
        self.seen_runs: set[tuple[str, int]] = set()

    async def run(self):
        """Poll the list until cancelled, while this VM is one of its readers."""
        while True:
            await trio.sleep(PERIOD_S)
            if not self.membership.is_selected_for("vm-list", READERS_PER_DOMAIN):
                continue
            with contextlib.suppress(PlatformError):
                self._apply(await self.platform.list_vms())

    def _apply(self, listed: list[ListedVm]):
        now = trio.current_time()
        names = {item.vm for item in listed}
        self.membership.note_leaving(item.vm for item in listed if item.leaving)
        for member in self.membership.table.members.values():
            run = (member.vm, member.record.incarnation)
            silent = self.membership.liveness(member.vm) is Liveness.SILENT
            if member.vm in names:
                self.seen_runs.add(run)
            elif run in self.seen_runs and silent:
                # The list lags, so a VM that is missing from it may be new. A VM is
                # certain to be gone only if it was listed before, is not listed
                # any more, and is silent.
                self.membership.table.note_gone(*run, now)
        self.membership.send_soon()

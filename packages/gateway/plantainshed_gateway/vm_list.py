"""Registers this VM in the store and reads the list of all VMs from it.

Answers of the store may be seconds old. An answer that contains this VM's own entry is
from after its registration, so it also contains all VMs that registered before. VMs
that register later find this VM in their lists. If each VM waits for such an answer,
then of any two VMs at least one knows the other, and heartbeats and member lists do the
rest.

A VM uses shares of quotas only once its list is complete: two answers in a row agree
and contain its entry, or a VM whose list is complete knows the same VMs. Because others
must count its share too, a VM that the store did not list before this start also waits
until another VM knows the same VMs.
"""

import trio

from .errors import ItemExists, StoreUnavailable
from .logs import DecisionLog
from .members import Members
from .peers import Peers
from .ports import Collection, Item, Snapshot, Store

# Interval between reads once the list is complete. Heartbeats announce new VMs sooner;
# the list finds VMs that were removed, and VMs that were cut off since they started.
VM_LIST_INTERVAL_S = 30.0
# Pause before the second read, and factor by which the pauses grow until two answers in
# a row agree.
CONFIRM_PAUSE_S = 0.1
PAUSE_GROWTH = 2.0
# Pause after an answer without this VM's entry. It is outdated, and a read soon after
# it would be outdated too.
OUTDATED_PAUSE_S = 1.0
REGISTER_RETRY_S = 1.0
# Time without this VM's entry in the answers after which it is registered again.
ENTRY_LOST_S = 10.0


class VmListReader:
    """Keeps this VM's entry in the store and reads those of the others.

    Parameters
    ----------
    store : Store
    members : Members
    ip : str
    peers : Peers
    log : DecisionLog

    Attributes
    ----------
    first_read : trio.Event
        Set once the list has been read, or could not be read.
    was_listed_before : bool
        Whether the store listed this VM before this start.
    """

    def __init__(
        self,
        store: Store,
        members: Members,
        ip: str,
        peers: Peers,
        log: DecisionLog,
    ):
        self.store = store
        self.members = members
        self.ip = ip
        self.peers = peers
        self.log = log
        self.first_read = trio.Event()
        self.was_listed_before = False
        self._is_registered = False
        self._has_written = False
        self._newest_revision = 0
        self._names: set[str] = set()
        self._confirm_pause_s = CONFIRM_PAUSE_S
        self._entry_seen_at = float("-inf")

    async def run(self):
        """Read the list at growing intervals, and register, until cancelled."""
        while True:
            try:
                snapshot = await self.store.list(Collection.VMS, allow_stale=True)
                pause_s = await self._apply(snapshot)
                if not self._is_registered:
                    await self._register()
                    if self._is_registered:
                        pause_s = CONFIRM_PAUSE_S
            except StoreUnavailable as error:
                self.log.event("list of VMs not read", problem=str(error))
                pause_s = REGISTER_RETRY_S
            self.first_read.set()
            await trio.sleep(pause_s)

    async def _register(self):
        """Write this VM's entry, unless the store has it already."""
        value = self._own_value()
        # If the answer to an earlier write was lost, an existing entry may be from it.
        is_first_write = not self._has_written
        self._has_written = True
        is_from_before = False
        try:
            await self.store.create(Collection.VMS, self.members.own.vm, value)
        except ItemExists as error:
            if error.item is None or error.item.value == value:
                is_from_before = is_first_write
            elif not await self._replace(error.item, value):
                return
        self._note_registered(is_from_before)

    def _note_registered(self, is_from_before: bool):
        self._is_registered = True
        self._entry_seen_at = trio.current_time()
        self.was_listed_before |= is_from_before
        self.log.event(
            "registered", ip=self.ip, was_listed_before=self.was_listed_before
        )

    async def _replace(self, item: Item, value: dict[str, str]) -> bool:
        """Replace the entry of an earlier run; return whether it still was the same.

        A replacement machine with the same name may have a different address.
        """
        try:
            await self.store.replace(Collection.VMS, item, value)
        except ItemExists as error:
            self.log.event("registration rejected", problem=str(error))
            return False
        return True

    def _own_value(self) -> dict[str, str]:
        return {"ip": self.ip, "failure_domain": self.members.own.failure_domain}

    async def _apply(self, snapshot: Snapshot) -> float:
        """Add the listed VMs; return the time until the next read."""
        known = self.members.count
        for item in snapshot.items:
            self._add(item)
        if self.members.count > known:
            await self.peers.send_now()
        if not self._is_recent(snapshot):
            return OUTDATED_PAUSE_S
        names = {item.name for item in snapshot.items}
        self.members.note_registered(names)
        is_repeated, self._names = names == self._names, names
        if is_repeated:
            self._confirm()
        if self.members.is_list_confirmed:
            return VM_LIST_INTERVAL_S
        pause_s = self._confirm_pause_s
        self._confirm_pause_s = min(pause_s * PAUSE_GROWTH, VM_LIST_INTERVAL_S)
        return pause_s

    def _is_recent(self, snapshot: Snapshot) -> bool:
        """Return whether an answer is from after this VM's registration.

        It must also be no older than the answers before it.
        """
        now = trio.current_time()
        if not any(self._is_own(item) for item in snapshot.items):
            if self._is_registered and now - self._entry_seen_at > ENTRY_LOST_S:
                self._is_registered = False
            return False
        self._entry_seen_at = now
        if not self._is_registered:
            # Without a write since the start, the entry is from an earlier run.
            self._note_registered(is_from_before=not self._has_written)
        if snapshot.revision < self._newest_revision:
            return False
        self._newest_revision = snapshot.revision
        return True

    def _is_own(self, item: Item) -> bool:
        return item.name == self.members.own.vm and item.value == self._own_value()

    def _add(self, item: Item):
        value = item.value if isinstance(item.value, dict) else {}
        ip, failure_domain = value.get("ip"), value.get("failure_domain")
        if isinstance(ip, str) and isinstance(failure_domain, str):
            self.members.note_listed(item.name, ip, failure_domain)
        else:
            self.log.event("object not usable", collection="vms", name=item.name)

    def _confirm(self):
        """Mark the list as confirmed, and as complete if others count this VM."""
        members = self.members
        members.is_list_confirmed = True
        is_counted = (
            self.was_listed_before
            or members.count == 1
            or members.is_known_by_another()
        )
        if is_counted and not members.is_listed:
            members.mark_listed()
            self.log.event("vm list complete", source="store", known=members.count)

"""Applies the store's collections: configuration, targets and evacuations.

An object that cannot be decoded is skipped and logged with the invalid field; the
state that was in force before stays in force. Items of a valid configuration that are
unknown or ignored are logged when its version comes into force.
"""

from math import inf
from typing import Any

import trio
from attrs import frozen

from plantainshed_http.server import ConnectionLimits

from .admission import Admission
from .errors import BadItem
from .logs import DecisionLog
from .model import Configuration
from .ports import Collection, Decoder, Item, TargetEntry
from .replication import Follower
from .selection.registry import EXPIRY_GRACE_S, Registry
from .store_contact import StoreContact

# How long after a pause missing entries count as removed: until the collections have
# been listed again, and for as long as an outage during the pause would still matter.
AFTER_PAUSE_S = 2.2


@frozen
class _DecodedItem:
    """The decoded value of an object at a revision, or a note that it is invalid."""

    revision: int
    is_valid: bool
    value: Any


class StateApplier:
    """Decodes replicas and updates admission, the registry and connection limits.

    Parameters
    ----------
    decoder : Decoder
    followers : dict of Collection to Follower
    admission : Admission
    registry : Registry
    limits : ConnectionLimits
        Limits of callers' connections; updated from the configuration.
    contact : StoreContact
    log : DecisionLog
    """

    def __init__(
        self,
        decoder: Decoder,
        followers: dict[Collection, Follower],
        admission: Admission,
        registry: Registry,
        limits: ConnectionLimits,
        contact: StoreContact,
        log: DecisionLog,
    ):
        self.decoder = decoder
        self.followers = followers
        self.admission = admission
        self.registry = registry
        self.limits = limits
        self.contact = contact
        self.log = log
        self._paused_at = float("-inf")
        self._decoded_items: dict[Collection, dict[str, _DecodedItem]] = {}
        registry.on_dropped = self._log_dropped
        contact.on_outage_refuted = registry.end_grace

    def note_pause(self):
        """Record that this process was paused until now.

        Entries that are missing after a pause may have been removed long ago. A
        store call that timed out during the pause makes it look like a store
        outage, so the grace period for expired entries does not apply.
        """
        self._paused_at = trio.current_time()

    def apply(self, collection: Collection):
        """Apply the newest replica of a collection."""
        if collection is Collection.CONFIGURATION:
            self._apply_configuration()
        elif collection is Collection.TARGETS:
            self._apply_targets()
        elif collection is Collection.EVACUATIONS:
            self._apply_evacuations()

    def _decoded(self, collection: Collection, decode) -> list:
        """Return the decoded valid objects of a collection.

        An object is decoded again only after it has changed: most changes of the
        targets concern one of hundreds.
        """
        known = self._decoded_items.get(collection, {})
        decoded = {}
        for item in self.followers[collection].replica.items.values():
            entry = known.get(item.name)
            if entry is None or entry.revision != item.revision:
                entry = self._decode_item(collection, decode, item)
            decoded[item.name] = entry
        self._decoded_items[collection] = decoded
        return [entry.value for entry in decoded.values() if entry.is_valid]

    def _decode_item(
        self, collection: Collection, decode, item: Item
    ) -> "_DecodedItem":
        try:
            return _DecodedItem(item.revision, True, decode(item))
        except BadItem as error:
            self.log.event(
                "object not usable",
                collection=collection,
                name=error.name,
                field=error.field,
                problem=error.problem,
            )
            return _DecodedItem(item.revision, False, None)

    def _apply_configuration(self):
        decode = self.decoder.configuration
        for configuration in self._decoded(Collection.CONFIGURATION, decode):
            if configuration is not None:
                self._activate(configuration)

    def _activate(self, configuration: Configuration):
        known = self.admission.configuration
        if known is not None and configuration.version <= known.version:
            self.log.event(
                "configuration not newer",
                version=configuration.version,
                version_in_force=known.version,
                revision=self.followers[Collection.CONFIGURATION].replica.revision,
            )
            return
        self.admission.configuration = configuration
        routes = [
            r for by_prefix in configuration.routes.values() for r in by_prefix.values()
        ]
        self.admission.splitter.retain({(r.name, r.pools) for r in routes})
        self.registry.update_configuration(configuration)
        self.admission.quotas.workspaces = {
            workspace.name: workspace
            for workspace in configuration.workspace_by_key.values()
        }
        self.limits.head_timeout_s = configuration.limits.head_timeout_s
        self.limits.idle_timeout_s = configuration.limits.idle_timeout_s
        self.log.event(
            "configuration in force",
            version=configuration.version,
            version_before=known.version if known else None,
            revision=self.followers[Collection.CONFIGURATION].replica.revision,
            routes=len(routes),
            problems=len(configuration.problems),
        )
        for found in configuration.problems:
            self.log.event(
                "configuration item not usable",
                version=configuration.version,
                name=found.name,
                field=found.field,
                problem=found.problem,
            )

    def _apply_targets(self):
        follower = self.followers[Collection.TARGETS]
        entries = self._decoded(Collection.TARGETS, self.decoder.target)
        before = {name: s.entry for name, s in self.registry.states.items()}
        expired_before = self._expired_targets()
        if self._is_after_outage():
            kept_until = self.contact.outage_ended_at + EXPIRY_GRACE_S
            self.registry.update_entries(entries, True, kept_until)
        else:
            self.registry.update_entries(
                entries, False, is_outage_excluded=self.contact.excludes_outage
            )
        self._log_targets(before, follower.replica.revision)
        self._log_expired(self._expired_targets() - expired_before, follower)

    def _expired_targets(self) -> set[str]:
        states = self.registry.states
        return {name for name, s in states.items() if s.kept_until is not None}

    def _log_expired(self, names: set[str], follower: Follower):
        if not names:
            return
        over_for_s = self.contact.outage_over_for_s
        self.log.event(
            "missing targets kept",
            targets=sorted(names),
            revision=follower.replica.revision,
            is_store_connected=follower.is_connected,
            outage_over_for_s=None if over_for_s == inf else round(over_for_s, 3),
            seconds=round(self.registry.grace_left_s(names), 3),
        )

    def _log_dropped(self, names: list[str]):
        self.log.event(
            "missing targets dropped",
            targets=names,
            known=len(self.registry.states),
        )

    def _is_after_outage(self) -> bool:
        is_recent = self.contact.outage_over_for_s < EXPIRY_GRACE_S
        return is_recent and not self._was_paused()

    def _was_paused(self) -> bool:
        return trio.current_time() - self._paused_at < AFTER_PAUSE_S

    def _log_targets(self, before: dict[str, TargetEntry], revision: int):
        after = self.registry.states
        joined = [name for name in after if name not in before]
        gone = [name for name in before if name not in after]
        leaving = [
            name
            for name, entry in before.items()
            if name in after and after[name].entry.is_draining and not entry.is_draining
        ]
        if joined or gone or leaving:
            self.log.event(
                "targets changed",
                revision=revision,
                joined=joined if before else len(joined),
                gone=gone,
                leaving=leaving,
                known=len(after),
            )

    def _apply_evacuations(self):
        decode = self.decoder.evacuated_domain
        domains = set(self._decoded(Collection.EVACUATIONS, decode))
        if domains != self.registry.evacuated:
            self.log.event(
                "evacuations changed",
                failure_domains=sorted(domains),
                before=sorted(self.registry.evacuated),
                revision=self.followers[Collection.EVACUATIONS].replica.revision,
            )
        self.registry.update_evacuated(frozenset(domains))

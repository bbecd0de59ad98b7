"""Table of the known VMs, with their records and last heartbeats."""

from enum import IntEnum, StrEnum

from attrs import define, field

from .peer_pb2 import DomainBeat, MemberRecord

REPLACED_GRACE_S = 4.0
RECENT_CHANGE_S = 4.0


class MemberState(IntEnum):
    """The lifecycle state that a VM reports in its record."""

    JOINING = 0
    READY = 1
    LEAVING = 2
    LEFT = 3


class Liveness(StrEnum):
    """The liveness that this process believes a VM to have.

    A ``SUSPECT`` VM is used only as a last resort, and a ``SILENT`` VM is not
    used at all. Either may be a false detection. ``GONE`` is certain: the
    platform removed the VM, or a later incarnation of it is running.
    """

    ALIVE = "alive"
    SUSPECT = "suspect"
    SILENT = "silent"
    GONE = "gone"


@define
class Member:
    """A VM in the member table.

    Parameters
    ----------
    record : MemberRecord
        The newest known record.
    beat : int
        Highest heartbeat number of this incarnation, heard directly or from
        another VM.
    heard_at : float
        When `beat` last increased, by this process's clock.
    reported_liveness : Liveness
        Liveness reported by the VM's own failure domain, used for VMs of other
        failure domains.
    changed_at : float
        When this process last stored a new record.
    incarnation_seen_at : float
        When this incarnation was first seen.
    """

    record: MemberRecord
    heard_at: float
    changed_at: float
    incarnation_seen_at: float
    beat: int = 0
    reported_liveness: Liveness = Liveness.ALIVE

    @property
    def vm(self) -> str:
        """Name of the VM."""
        return self.record.vm

    @property
    def failure_domain(self) -> str:
        """Failure domain of the VM."""
        return self.record.failure_domain


@define
class MemberTable:
    """All known VMs, and the incarnations that are known to be gone.

    A record is replaced only by one with a higher incarnation, or with the same
    incarnation and a higher revision. Late and duplicate messages therefore
    have no effect.
    """

    members: dict[str, Member] = field(factory=dict)
    gone: dict[tuple[str, int], float] = field(factory=dict)
    # By failure domain and sender. The most recently updated entry is last.
    domain_beats: dict[tuple[str, str], DomainBeat] = field(factory=dict)
    domain_heard_at: dict[str, float] = field(factory=dict)

    def merge(self, record: MemberRecord, now: float) -> bool:
        """Store a record if it is newer than the known one; return whether it was."""
        known = self.members.get(record.vm)
        if known is None:
            self.members[record.vm] = Member(_copy(record), now, now, now)
            return True
        old, new = _version_of(known.record), _version_of(record)
        if new <= old:
            return False
        if new[0] > old[0]:
            known.beat = 0
            known.heard_at = now
            known.incarnation_seen_at = now
            known.reported_liveness = Liveness.ALIVE
        known.record = _copy(record)
        known.changed_at = now
        return True

    def note_beat(self, vm: str, incarnation: int, beat: int, now: float):
        """Record a heartbeat number of a VM."""
        member = self.members.get(vm)
        if member is None or member.record.incarnation != incarnation:
            return
        if beat > member.beat:
            member.beat = beat
            member.heard_at = now

    def note_domain_beat(self, beat: DomainBeat, now: float):
        """Record a summary number of a failure domain.

        Numbers are compared only within the same delegate. If they were compared
        between delegates, a domain whose longest-running delegate dies would seem
        unreachable until the next delegate's counter caught up.
        """
        known = self.domain_beats.get((beat.failure_domain, beat.vm))
        new = (beat.incarnation, beat.beat)
        if known is None or new > (known.incarnation, known.beat):
            self.domain_beats.pop((beat.failure_domain, beat.vm), None)
            self.domain_beats[beat.failure_domain, beat.vm] = beat
            self.domain_heard_at[beat.failure_domain] = now

    def newest_beat(self, failure_domain: str) -> DomainBeat | None:
        """Return the most recently recorded summary number of a failure domain."""
        for beat in reversed(self.domain_beats.values()):
            if beat.failure_domain == failure_domain:
                return beat
        return None

    def note_gone(self, vm: str, incarnation: int, now: float) -> bool:
        """Record that an incarnation is gone; return whether that is new."""
        if (vm, incarnation) in self.gone:
            return False
        self.gone[vm, incarnation] = now
        return True

    def is_gone(self, vm: str, incarnation: int) -> bool:
        """Return whether an incarnation is certain to be gone."""
        known = self.members.get(vm)
        superseded = known is not None and known.record.incarnation > incarnation
        return superseded or (vm, incarnation) in self.gone

    def is_reclaimable(self, vm: str, incarnation: int, now: float) -> bool:
        """Return whether an incarnation's budget parts can be given to other VMs.

        The platform or a later incarnation of the VM must confirm that the
        incarnation has ended. It must also have been silent for a while, so that
        a process that was only paused detects the pause when it resumes, and stops
        before it uses its parts.

        An incarnation that the platform removed had already been silent for
        `SILENT_AFTER_S`. An incarnation that was replaced may only be paused and
        may have sent a heartbeat a moment ago, so `REPLACED_GRACE_S` must pass
        first.
        """
        if (vm, incarnation) in self.gone:
            return True
        known = self.members.get(vm)
        if known is None or known.record.incarnation <= incarnation:
            return False
        return now - known.incarnation_seen_at >= REPLACED_GRACE_S


def _version_of(record: MemberRecord) -> tuple[int, int]:
    return record.incarnation, record.revision


def _copy(record: MemberRecord) -> MemberRecord:
    copy = MemberRecord()
    copy.CopyFrom(record)
    return copy

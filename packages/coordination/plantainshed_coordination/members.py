"""What is known of other VMs: a table of records and of when they were heard."""

from enum import IntEnum, StrEnum

from attrs import define, field

from .peer_pb2 import DomainBeat, MemberRecord

REPLACED_GRACE_S = 4.0
RECENT_CHANGE_S = 4.0


class MemberState(IntEnum):
    """What a VM says of itself."""

    JOINING = 0
    READY = 1
    LEAVING = 2
    LEFT = 3


class Liveness(StrEnum):
    """What is believed of a VM.

    ``SUSPECT`` is only used last, ``SILENT`` not at all; both can be wrong.
    ``GONE`` is certain: the platform took the VM away, or a later incarnation
    of it is running.
    """

    ALIVE = "alive"
    SUSPECT = "suspect"
    SILENT = "silent"
    GONE = "gone"


@define
class Member:
    """One VM in the table.

    Parameters
    ----------
    record : MemberRecord
        The newest that is known.
    beat : int
        Highest beat number of that incarnation heard from anybody.
    heard_at : float
        When the beat last rose, by this process's clock.
    reported_liveness : Liveness
        What the VM's own failure domain says of it; used for other domains.
    changed_at : float
        When the record last changed here.
    incarnation_seen_at : float
        When this incarnation was first heard of.
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
    """All known VMs, and those that are known to be gone.

    Records only move forward: by incarnation, then by revision. What arrives
    late or twice therefore changes nothing.
    """

    members: dict[str, Member] = field(factory=dict)
    gone: dict[tuple[str, int], float] = field(factory=dict)
    # By domain and sender, the one that was noted last at the end.
    domain_beats: dict[tuple[str, str], DomainBeat] = field(factory=dict)
    domain_heard_at: dict[str, float] = field(factory=dict)

    def merge(self, record: MemberRecord, now: float) -> bool:
        """Take over a record if it is newer; return whether it was."""
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
        """Note that a VM was alive when it made that beat."""
        member = self.members.get(vm)
        if member is None or member.record.incarnation != incarnation:
            return
        if beat > member.beat:
            member.beat = beat
            member.heard_at = now

    def note_domain_beat(self, beat: DomainBeat, now: float):
        """Note that a failure domain was reachable when it made that beat.

        Beats are compared with earlier ones of the same run only. Compared
        with another VM's, a domain whose longest-running delegate dies would
        seem cut off until the next one has counted as far.
        """
        known = self.domain_beats.get((beat.failure_domain, beat.vm))
        new = (beat.incarnation, beat.beat)
        if known is None or new > (known.incarnation, known.beat):
            self.domain_beats.pop((beat.failure_domain, beat.vm), None)
            self.domain_beats[beat.failure_domain, beat.vm] = beat
            self.domain_heard_at[beat.failure_domain] = now

    def newest_beat(self, failure_domain: str) -> DomainBeat | None:
        """Return the beat of a failure domain that was noted last."""
        for beat in reversed(self.domain_beats.values()):
            if beat.failure_domain == failure_domain:
                return beat
        return None

    def note_gone(self, vm: str, incarnation: int, now: float) -> bool:
        """Note that an incarnation will never act again."""
        if (vm, incarnation) in self.gone:
            return False
        self.gone[vm, incarnation] = now
        return True

    def is_gone(self, vm: str, incarnation: int) -> bool:
        """Tell whether an incarnation is certain to be over."""
        known = self.members.get(vm)
        superseded = known is not None and known.record.incarnation > incarnation
        return superseded or (vm, incarnation) in self.gone

    def is_reclaimable(self, vm: str, incarnation: int, now: float) -> bool:
        """Tell whether what an incarnation held can go to others.

        One that the platform took away was silent for `SILENT_AFTER_S` before that
        counted. One that was replaced may only be paused and have been heard a
        moment ago: it is given time to be silent so long that, when it wakes,
        it finds that out before it acts.
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

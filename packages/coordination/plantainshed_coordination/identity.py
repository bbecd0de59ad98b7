"""Who a VM is, and which run of its process."""

from attrs import frozen

SEPARATOR = "~"


@frozen
class Identity:
    """One run of the daemon on one VM.

    Parameters
    ----------
    vm : str
    failure_domain : str
    incarnation : int
        Grows with each start of the process on that VM, so that what an
        earlier run held, promised or remembered is never taken for this one's.
    """

    vm: str
    failure_domain: str
    incarnation: int

    @property
    def holder(self) -> str:
        """Name under which leases and ledgers know this run."""
        return holder_name(self.vm, self.incarnation)


def holder_name(vm: str, incarnation: int) -> str:
    """Return the name under which leases and ledgers know a run."""
    return f"{vm}{SEPARATOR}{incarnation}"


def split_holder(holder: str) -> tuple[str, int]:
    """Return VM and incarnation of a holder's name."""
    vm, _, incarnation = holder.rpartition(SEPARATOR)
    return vm, int(incarnation)

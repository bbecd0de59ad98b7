"""Identity of a VM and of the current process on it."""

from attrs import frozen

SEPARATOR = "~"


@frozen
class Identity:
    """Identifies one run of the daemon on one VM, that is, one process.

    Parameters
    ----------
    vm : str
    failure_domain : str
    incarnation : int
        Increases with each start of the process on that VM, so that holdings,
        promises and records of an earlier process are never attributed to this
        one.
    """

    vm: str
    failure_domain: str
    incarnation: int

    @property
    def holder(self) -> str:
        """Name of this process in leases and ledgers."""
        return holder_name(self.vm, self.incarnation)


def holder_name(vm: str, incarnation: int) -> str:
    """Return the name of a process in leases and ledgers."""
    return f"{vm}{SEPARATOR}{incarnation}"


def split_holder(holder: str) -> tuple[str, int]:
    """Split a holder name into VM and incarnation."""
    vm, _, incarnation = holder.rpartition(SEPARATOR)
    return vm, int(incarnation)

"""The parameters of the environment that a simulation of target selection uses."""

from attrs import frozen


@frozen
class Noise:
    """Changes of a target's speed.

    Parameters
    ----------
    share : float
        Fraction of the time for which a target is slower.
    factor : float
        Ratio of the duration of work on a slower target to the usual one.
    every_s : float
        Time after which it is drawn again whether the target is slower.
    """

    share: float = 0.0
    factor: float = 1.0
    every_s: float = 1.0


@frozen
class World:
    """The parameters of the simulated environment.

    Parameters
    ----------
    targets_per_region : tuple of int
    vms : int
        Number of VMs, spread over the regions as evenly as possible.
    domains_per_region : int
        Failure domains. The targets and VMs of a region are spread over them.
    slots : int
        Requests that a target runs concurrently.
    queue : int
        Requests that can wait at a target.
    remembers : int
        Objects that a target remembers; it forgets the least recently used one first.
    first_run_s, later_run_s : float
        Mean duration of a request for an object that the target does not remember, and
        for one that it remembers.
    spread : float
        Standard deviation of the durations, as a fraction of the mean. They have a
        log-normal distribution.
    noise : Noise
    objective_s : float
        Time within which callers expect an answer.
    timeout_s : float
        Longest time that callers wait for an answer. Targets complete requests that
        take longer.
    has_reports : bool
        Whether VMs exchange load reports.
    """

    targets_per_region: tuple[int, ...] = (2, 4, 6)
    vms: int = 9
    domains_per_region: int = 1
    slots: int = 3
    queue: int = 9
    remembers: int = 25
    first_run_s: float = 0.48
    later_run_s: float = 0.144
    spread: float = 0.0
    noise: Noise = Noise()
    objective_s: float = 0.4
    timeout_s: float = 1.2
    has_reports: bool = True

    @property
    def regions(self) -> list[str]:
        """Names of the regions."""
        return [f"region-{n}" for n in range(len(self.targets_per_region))]

    @property
    def region_of(self) -> dict[str, str]:
        """Region of each failure domain."""
        return {
            self.domain(region, number): region
            for region in self.regions
            for number in range(self.domains_per_region)
        }

    def domain(self, region: str, number: int) -> str:
        """Return the failure domain of a region's n-th VM or target.

        A region's only failure domain has the name of the region.
        """
        if self.domains_per_region == 1:
            return region
        return f"{region}-domain-{number % self.domains_per_region}"

    @property
    def warm_room_per_s(self) -> float:
        """Requests per second that all slots can run if no run is a first one."""
        return sum(self.targets_per_region) * self.slots / self.later_run_s

    @property
    def cold_room_per_s(self) -> float:
        """Requests per second that all slots can run if every run is a first one."""
        return sum(self.targets_per_region) * self.slots / self.first_run_s

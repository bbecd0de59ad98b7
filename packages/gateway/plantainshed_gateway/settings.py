"""Reads and validates the gateway's settings from an INI file.

Unknown options are ignored, so that an older version can start with a newer file.
"""

import configparser
import ipaddress
import math
from enum import StrEnum
from pathlib import Path

from attrs import frozen

from .durations import parse_duration
from .errors import SettingsError

# Memory limit that is assumed for a VM whose settings name none.
DEFAULT_MEMORY_MB = 1024.0


class ShareLoad(StrEnum):
    """When a VM exchanges load reports with the others."""

    AUTO = "auto"
    ALWAYS = "always"
    NEVER = "never"


@frozen
class Addresses:
    """Listening addresses, each ``IP:PORT``, or empty to disable the listener.

    Parameters
    ----------
    callers : str
        Address for callers' requests.
    ready : str
        Address for the platform's readiness checks.
    lookup : str
        Address for callers' VM look-ups.
    control : str
        Address from which other VMs fetch a copy of this VM's state.
    metrics : str
        Address of the counters and histograms in text format.
    """

    callers: str
    ready: str
    lookup: str
    control: str
    metrics: str


@frozen
class Bounds:
    """Limits set by the deployment; durations in seconds.

    Parameters
    ----------
    stop_within_s : float
        Time from the stop signal until the process is killed.
    longest_ttl_s : float
        Maximum time for which callers cache a look-up response.
    in_force_within_s : float
        Time in which a configuration must be in force on all VMs.
    retry_ratio, retry_slack, retry_window_s
        Retry budget of a pool: retries allowed in one window, as a fraction of the
        pool's requests plus a fixed number.
    quota_window_s, quota_over, quota_slack
        Window in which a workspace's requests are counted, and the allowed excess
        over its rate and burst, as a fraction plus a fixed number.
    cold_over, cold_slack
        Limit of requests per second to a cold target, as a multiple of the pool's
        `warmup_per_s` plus a fixed number.
    """

    stop_within_s: float
    longest_ttl_s: float
    in_force_within_s: float
    retry_ratio: float
    retry_slack: float
    retry_window_s: float
    quota_window_s: float
    quota_over: float
    quota_slack: float
    cold_over: float
    cold_slack: float


@frozen
class Settings:
    """All settings of one daemon.

    Parameters
    ----------
    vm, failure_domain, region, ip : str
    region_of : dict of str to str
        Region of each failure domain in the whole deployment.
    listen : Addresses
    datagram_port : int
        UDP port for heartbeats, the same on all VMs.
    seeds : tuple of str
        ``IP:PORT`` of a few VMs through which the others are found; some may no
        longer exist.
    store : str
        ``IP:PORT`` of the platform's object store.
    bounds : Bounds
    link_mbps : float
        Bandwidth of this VM's network link; VMs with higher bandwidth are more likely
        to become speakers.
    share_load : ShareLoad
    memory_mb : float
        Memory limit of this VM, of which the bodies of requests and answers may take
        fractions.
    """

    vm: str
    failure_domain: str
    region: str
    ip: str
    region_of: dict[str, str]
    listen: Addresses
    datagram_port: int
    seeds: tuple[str, ...]
    store: str
    bounds: Bounds
    link_mbps: float = 1000.0
    share_load: ShareLoad = ShareLoad.NEVER
    memory_mb: float = DEFAULT_MEMORY_MB


def load_settings(path: str) -> Settings:
    """Read and validate a settings file, or raise `SettingsError`."""
    parser = configparser.ConfigParser(interpolation=None)
    parser.optionxform = str
    try:
        parser.read_string(Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError, configparser.Error) as error:
        raise SettingsError(f"{path}: {error}") from error
    return _Reader(path, parser).settings()


class _Reader:
    def __init__(self, path: str, parser: configparser.ConfigParser):
        self.path = path
        self.parser = parser

    def settings(self) -> Settings:
        region_of = dict(self._section("failure_domains"))
        failure_domain = self._text("vm", "failure_domain")
        if failure_domain not in region_of:
            raise self._error(
                "vm", "failure_domain", f"{failure_domain!r} is not a failure domain"
            )
        return Settings(
            vm=self._text("vm", "name"),
            failure_domain=failure_domain,
            region=self._text("vm", "region"),
            ip=self._text("vm", "ip"),
            region_of=region_of,
            listen=self._addresses(),
            datagram_port=self._int("peers", "datagram_port"),
            seeds=self._seeds(),
            store=self._text("store", "address"),
            bounds=self._bounds(),
            link_mbps=self._number("vm", "link_mbps"),
            share_load=self._share_load(),
            memory_mb=self._memory_mb(),
        )

    def _share_load(self) -> ShareLoad:
        text = self.parser.get("selection", "share_load", fallback=ShareLoad.NEVER)
        try:
            return ShareLoad(text.strip())
        except ValueError as error:
            allowed = ", ".join(ShareLoad)
            raise self._error(
                "selection", "share_load", f"{text!r} is none of {allowed}"
            ) from error

    def _memory_mb(self) -> float:
        if not self._section("vm").get("memory_mb", "").strip():
            return DEFAULT_MEMORY_MB
        memory_mb = self._number("vm", "memory_mb")
        if memory_mb <= 0:
            raise self._error("vm", "memory_mb", "must be more than 0")
        return memory_mb

    def _addresses(self) -> Addresses:
        return Addresses(
            callers=self._address("callers"),
            ready=self._address("ready"),
            lookup=self._address("lookup"),
            control=self._address("control"),
            metrics=self._address("metrics"),
        )

    def _bounds(self) -> Bounds:
        return Bounds(
            stop_within_s=self._duration("bounds", "stop_within"),
            longest_ttl_s=self._duration("bounds", "longest_ttl"),
            in_force_within_s=self._window("in_force_within"),
            retry_ratio=self._number("bounds", "retry_ratio"),
            retry_slack=self._number("bounds", "retry_slack"),
            retry_window_s=self._window("retry_window"),
            quota_window_s=self._window("quota_window"),
            quota_over=self._number("bounds", "quota_over"),
            quota_slack=self._number("bounds", "quota_slack"),
            cold_over=self._number("bounds", "cold_over"),
            cold_slack=self._number("bounds", "cold_slack"),
        )

    def _section(self, section: str):
        if not self.parser.has_section(section):
            raise SettingsError(f"{self.path}: section [{section}] is missing")
        return self.parser[section]

    def _text(self, section: str, option: str) -> str:
        text = self._section(section).get(option, "").strip()
        if not text:
            raise self._error(section, option, "is missing")
        return text

    def _address(self, option: str) -> str:
        text = self._section("listen").get(option, "").strip()
        host, _, port = text.rpartition(":")
        if text and not (host and port.isdigit()):
            raise self._error("listen", option, f"{text!r} must be IP:PORT")
        return text

    def _seeds(self) -> tuple[str, ...]:
        text = self._section("peers").get("seeds", "")
        seeds = tuple(part.strip() for part in text.split(",") if part.strip())
        for seed in seeds:
            host, _, port = seed.rpartition(":")
            try:
                ipaddress.IPv4Address(host)
            except ValueError as error:
                raise self._error("peers", "seeds", f"{seed!r}: {error}") from error
            if not port.isdigit():
                raise self._error("peers", "seeds", f"{seed!r} must be IP:PORT")
        return seeds

    def _window(self, option: str) -> float:
        window_s = self._duration("bounds", option)
        if not window_s:
            raise self._error("bounds", option, "must be longer than 0")
        return window_s

    def _int(self, section: str, option: str) -> int:
        return int(self._number(section, option))

    def _number(self, section: str, option: str) -> float:
        text = self._text(section, option)
        try:
            number = float(text)
        except ValueError as error:
            raise self._error(section, option, f"{text!r} is not a number") from error
        if not math.isfinite(number):
            raise self._error(section, option, f"{text!r} is not a finite number")
        return number

    def _duration(self, section: str, option: str) -> float:
        try:
            return parse_duration(self._text(section, option))
        except ValueError as error:
            raise self._error(section, option, str(error)) from error

    def _error(self, section: str, option: str, problem: str) -> SettingsError:
        return SettingsError(f"{self.path}: [{section}] {option}: {problem}")

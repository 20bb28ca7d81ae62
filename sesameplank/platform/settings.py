"""The settings file that the platform provides to each process."""

import os
from pathlib import Path

import msgspec

from ..core.forwarding.extra_load import ExtraLoadBounds
from ..exceptions import SettingsError
from ..ids import DataCentre, EntryId
from ..net import Address

PATH_VARIABLE = "SESAMEPLANK_BOOT"
METRICS_PORT_VARIABLE = "SESAMEPLANK_METRICS_PORT"
DEFAULT_METRICS_PORT = 9180
DEFAULT_PATH = "/etc/sesameplank/node.conf"


class VmSettings(msgspec.Struct, frozen=True):
    """The settings of a forwarding process.

    `vm` is the VM's IP address, which identifies it among VMs. `peers` are the
    peer addresses of a few VMs, some of which may be down. `cores` is the number
    of processor cores and `link_mbps` the link capacity, in Mbit/s, that the VM
    may use; each is 0 if unknown.
    """

    name: str
    vm: EntryId
    data_centre: DataCentre
    caller_address: Address
    ready_address: Address
    directory_address: Address
    peer_address: Address
    metrics_address: Address
    store_address: Address
    peers: tuple[Address, ...]
    cores: float
    link_mbps: float
    stop_timeout_s: float
    max_address_ttl_s: float
    extra_load: ExtraLoadBounds


def get_path() -> str:
    """Return the path of the settings file."""
    return os.environ.get(PATH_VARIABLE, DEFAULT_PATH)


def get_file_state() -> tuple[int, int] | None:
    """Return the settings file's modification time in ns and its size in bytes.

    Returns None if the file cannot be accessed.
    """
    try:
        state = os.stat(get_path())
    except OSError:
        return None
    return state.st_mtime_ns, state.st_size


def read_settings() -> VmSettings:
    """Return the settings of this process, or raise SettingsError."""
    path = get_path()
    try:
        text = Path(path).read_text()
    except OSError as error:
        raise SettingsError(
            f"the settings file {path} cannot be read: {error}; "
            f"set its path in {PATH_VARIABLE}"
        ) from error
    return parse_settings(text)


def parse_settings(text: str) -> VmSettings:
    """Return the settings from lines of `a.b=value`, or raise SettingsError."""
    values = dict(line.partition("=")[::2] for line in text.splitlines() if "=" in line)
    try:
        return make_settings(values)
    except (KeyError, ValueError) as error:
        raise SettingsError(
            f"the settings file has a missing or invalid value: {error}; "
            "see docs/ref/platform.md"
        ) from error


def read_metrics_port() -> int:
    """Return the port that serves metrics and state, or raise ValueError."""
    return int(os.environ.get(METRICS_PORT_VARIABLE, DEFAULT_METRICS_PORT))


def make_settings(values: dict[str, str]) -> VmSettings:
    """Return the typed settings.

    Raises KeyError if a value is missing, ValueError if one is invalid.
    """
    ip = values["ip"]
    return VmSettings(
        name=values["node"],
        vm=EntryId(ip),
        data_centre=DataCentre(values["zone"]),
        caller_address=Address.parse(values["listen.front"]),
        ready_address=Address.parse(values["listen.ready"]),
        directory_address=Address.parse(values["listen.directory"]),
        peer_address=Address.parse(values["listen.control"]),
        metrics_address=Address(ip, read_metrics_port()),
        store_address=Address.parse(values["platform.addr"]),
        peers=tuple(
            Address.parse(item) for item in values.get("seeds", "").split(",") if item
        ),
        cores=float(values.get("limits.cpu_share", 0))
        * float(values.get("limits.cores", 0)),
        link_mbps=float(values.get("limits.link_mbps", 0)),
        stop_timeout_s=float(values["bounds.grace_s"]),
        max_address_ttl_s=float(values["bounds.ttl_max_s"]),
        extra_load=ExtraLoadBounds(
            float(values["bounds.retry_ratio"]),
            float(values["bounds.retry_slack"]),
            float(values["bounds.retry_window_s"]),
        ),
    )

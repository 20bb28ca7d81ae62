"""Checks of the settings at startup; a fault has an id, a message and a hint."""

from collections.abc import Callable, Iterable

import msgspec

from ..exceptions import SettingsError
from ..net import Address


class SettingFault(msgspec.Struct, frozen=True):
    """A violation of a check by a setting, with the id of the check and a hint."""

    id: str
    message: str
    hint: str

    def __str__(self) -> str:
        return f"({self.id}) {self.message}; {self.hint}"


Check = Callable[[dict], Iterable[SettingFault]]
registered_checks: list[Check] = []


def register(check: Check) -> Check:
    """Register a check, which gets a dict of settings by name and yields faults."""
    registered_checks.append(check)
    return check


def run_checks(values: dict) -> None:
    """Run every check, and raise SettingsError with all faults if there are any."""
    faults = [fault for check in registered_checks for fault in check(values)]
    if faults:
        raise SettingsError("\n".join(str(fault) for fault in faults))


@register
def check_addresses(values: dict) -> Iterable[SettingFault]:
    """Yield a fault for each setting named `...address` that is not IP:PORT."""
    for name, value in values.items():
        if not name.endswith("address"):
            continue
        try:
            Address.parse(str(value))
        except ValueError as error:
            yield SettingFault(
                "settings.E001", f"--{name}: {error}", "for example 127.0.0.1:80"
            )


@register
def check_durations(values: dict) -> Iterable[SettingFault]:
    """Yield a fault for each setting named `..._s` that is not above 0."""
    for name, value in values.items():
        if name.endswith("_s") and value <= 0:
            yield SettingFault(
                "settings.E002", f"--{name} is {value}", "give a time above 0 seconds"
            )


@register
def check_entry_id(values: dict) -> Iterable[SettingFault]:
    """Yield a fault if the id of the entry is empty."""
    if "entry_id" in values and not values["entry_id"]:
        yield SettingFault(
            "settings.E003", "--entry_id is empty", "give the VM's id in the VM list"
        )

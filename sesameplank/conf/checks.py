"""Checks of the settings at start, each with an id, a message and a hint."""

from collections.abc import Callable, Iterable

import msgspec

from ..exceptions import SettingsError
from ..net import Address


class Fault(msgspec.Struct, frozen=True):
    """One setting that breaks a rule."""

    id: str
    message: str
    hint: str

    def __str__(self) -> str:
        return f"({self.id}) {self.message}; {self.hint}"


Check = Callable[[dict], Iterable[Fault]]
registered: list[Check] = []


def register(check: Check) -> Check:
    """Register a check; it gets the settings by name and yields faults."""
    registered.append(check)
    return check


def run_checks(values: dict) -> None:
    """Run every check and raise SettingsError that lists all faults."""
    faults = [fault for check in registered for fault in check(values)]
    if faults:
        raise SettingsError("\n".join(str(fault) for fault in faults))


@register
def check_addresses(values: dict) -> Iterable[Fault]:
    """Yield settings named `...address` that are not IP:PORT."""
    for name, value in values.items():
        if not name.endswith("address"):
            continue
        try:
            Address.parse(str(value))
        except ValueError as error:
            yield Fault(
                "settings.E001", f"--{name}: {error}", "for example 127.0.0.1:80"
            )


@register
def check_positive(values: dict) -> Iterable[Fault]:
    """Yield settings named `..._s` that are not above 0."""
    for name, value in values.items():
        if name.endswith("_s") and value <= 0:
            yield Fault(
                "settings.E002", f"--{name} is {value}", "give a time above 0 seconds"
            )


@register
def check_entry_id(values: dict) -> Iterable[Fault]:
    """Yield an entry without an id."""
    if "entry_id" in values and not values["entry_id"]:
        yield Fault(
            "settings.E003", "--entry_id is empty", "give the VM's id in the VM list"
        )

"""Settings of the commands; each has a flag, an environment variable and a default."""

import os

import msgspec
from absl import flags

from ..exceptions import SettingsError

ENVIRONMENT_PREFIX = "SESAMEPLANK_"


class Setting(msgspec.Struct, frozen=True):
    """A setting with its name, default and help; its type is that of the default."""

    name: str
    default: str | int | float | bool
    help: str

    @property
    def variable(self) -> str:
        """The name of the environment variable that sets it."""
        return ENVIRONMENT_PREFIX + self.name.upper()


def define_settings(settings: tuple[Setting, ...]) -> None:
    """Define an absl flag for each setting, with its default from the environment.

    Raise SettingsError if an environment variable has the wrong type.
    """
    for setting in settings:
        define_setting(setting)


def define_setting(setting: Setting) -> None:
    """Define the absl flag of one setting."""
    if setting.name in flags.FLAGS:
        return
    default = read_variable(setting)
    text = f"{setting.help} (environment: {setting.variable})"
    if isinstance(setting.default, bool):
        flags.DEFINE_boolean(setting.name, default, text)
    elif isinstance(setting.default, int):
        flags.DEFINE_integer(setting.name, default, text)
    elif isinstance(setting.default, float):
        flags.DEFINE_float(setting.name, default, text)
    else:
        flags.DEFINE_string(setting.name, default, text)


def read_variable(setting: Setting) -> str | int | float | bool:
    """Return the value from the environment in the setting's type, or the default.

    Raise SettingsError if the value has the wrong type.
    """
    text = os.environ.get(setting.variable)
    if text is None:
        return setting.default
    value_type = type(setting.default)
    try:
        return msgspec.convert(text, value_type, strict=False)
    except msgspec.ValidationError as error:
        raise SettingsError(
            f"{setting.variable}={text!r} is not a {value_type.__name__}; "
            "correct the variable or unset it"
        ) from error


def get_value(name: str) -> str | int | float | bool:
    """Return the parsed value of a setting."""
    return getattr(flags.FLAGS, name)

"""Studies: documents in TOML that list variants of the code and how to play them."""

import sys
from collections.abc import Sequence
from pathlib import Path

import msgspec

from ..exceptions import AblationError

BASELINE = "baseline"


class Change(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The replacement of a text that occurs once in a file of the repository."""

    file: str
    old: str
    new: str


class Variant(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A variant of the code, with the reason for it."""

    name: str
    why: str
    changes: tuple[Change, ...] = ()


class Study(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Variants of the code that are played with the same seeds.

    `runner` is a command, split at spaces, whose last line of output is a JSON object
    of numbers: the figures of one trial. It is run in the variant's checkout. In it,
    {checkout} stands for the path of the checkout, {seed} for the seed, and {python}
    for the Python interpreter.
    """

    runner: str
    seeds: tuple[int, ...]
    variants: tuple[Variant, ...]

    def make_command(self, checkout: Path, seed: int) -> list[str]:
        """Return the runner's command for one trial."""
        values = {
            "{checkout}": str(checkout),
            "{seed}": str(seed),
            "{python}": sys.executable,
        }
        return [fill(word, values) for word in self.runner.split()]

    def with_baseline(self) -> list[Variant]:
        """Return the variants, after the code as it is."""
        return [Variant(BASELINE, "the code as it is"), *self.variants]


def fill(word: str, values: dict[str, str]) -> str:
    """Return a word with its placeholders replaced."""
    for placeholder, value in values.items():
        word = word.replace(placeholder, value)
    return word


def load_study(path: Path) -> Study:
    """Return the study in a file; raise AblationError if it is invalid."""
    try:
        study = msgspec.toml.decode(path.read_bytes(), type=Study)
    except OSError as error:
        raise AblationError(
            f"cannot read the study {path}: {error}; name a TOML file"
        ) from error
    except msgspec.DecodeError as error:
        raise AblationError(
            f"{path} is no study: {error}; see docs/howto/ablation.md"
        ) from error
    check_names([variant.name for variant in study.with_baseline()], path)
    if not study.seeds or not study.runner.split():
        raise AblationError(f"{path} has no runner or no seeds; set both")
    return study


def check_names(names: Sequence[str], path: Path) -> None:
    """Raise AblationError if two variants have the same name."""
    repeated = sorted({name for name in names if names.count(name) > 1})
    if repeated:
        raise AblationError(
            f"{path} names {', '.join(repeated)} twice; rename one of the variants"
        )

"""Checkouts of the committed code, in which a variant's changes are made."""

import subprocess
import tempfile
from pathlib import Path

from ..exceptions import AblationError
from .study import Variant


class Checkout:
    """A checkout of the last commit with a variant's changes; a context manager.

    It is made in a folder of its own below `parent`, and removed at the end.
    """

    def __init__(self, repository: Path, parent: Path, variant: Variant) -> None:
        self.repository = repository
        self.variant = variant
        self.folder = tempfile.TemporaryDirectory(dir=parent)
        self.path = Path(self.folder.name) / "checkout"

    def __enter__(self) -> Path:
        try:
            self.run_git("worktree", "add", "--quiet", "--detach", str(self.path))
            apply_changes(self.path, self.variant)
        except BaseException:
            self.remove()
            raise
        return self.path

    def __exit__(self, *exc_info: object) -> None:
        self.remove()

    def remove(self) -> None:
        """Remove the folder and its record in the repository."""
        self.folder.cleanup()
        self.run_git("worktree", "prune")

    def run_git(self, *arguments: str) -> None:
        """Run git in the repository; raise AblationError if it fails."""
        command = ["git", "-C", str(self.repository), *arguments]
        done = subprocess.run(command, capture_output=True, text=True)
        if done.returncode:
            raise AblationError(
                f"git {' '.join(arguments)} failed: {done.stderr.strip()}; "
                "name a git repository with --repository"
            )


def apply_changes(checkout: Path, variant: Variant) -> None:
    """Make a variant's changes; raise AblationError unless each text occurs once."""
    for change in variant.changes:
        path = checkout / change.file
        try:
            text = path.read_text()
        except OSError as error:
            raise AblationError(
                f"variant {variant.name} changes {change.file}, which cannot be "
                f"read: {error}; correct its file"
            ) from error
        count = text.count(change.old)
        if count != 1:
            raise AblationError(
                f"variant {variant.name}: {change.old!r} occurs {count} times in "
                f"{change.file}; write a text that occurs once"
            )
        path.write_text(text.replace(change.old, change.new))

"""Tests of the version that the package states."""

import tomllib
from pathlib import Path

import testtools

from sesameplank import __version__

PROJECT = Path(__file__).resolve().parent.parent / "pyproject.toml"


class VersionTests(testtools.TestCase):
    """Dumps state the release that is built."""

    def test_version_is_that_of_the_project(self):
        project = tomllib.loads(PROJECT.read_text())["project"]
        self.assertEqual(project["version"], __version__)

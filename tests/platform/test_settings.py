"""Tests of the platform's settings file."""

import testtools

from sesameplank.exceptions import SettingsError
from sesameplank.net import Address
from sesameplank.platform.settings import parse_settings

LINES = {
    "node": "front-1",
    "ip": "10.1.0.9",
    "zone": "dc-a",
    "listen.front": "10.1.0.9:8104",
    "listen.ready": "10.1.0.9:8108",
    "listen.directory": "10.1.0.9:8100",
    "listen.control": "10.1.0.9:8106",
    "seeds": "10.1.0.9:8106,10.2.0.21:8106",
    "platform.addr": "10.200.1.7:8102",
    "bounds.grace_s": "6",
    "bounds.ttl_max_s": "5",
    "bounds.retry_ratio": "0.2",
    "bounds.retry_slack": "56",
    "bounds.retry_window_s": "10",
    "a.new.field": "x=y",
}


def make_text(**changes: str | None) -> str:
    """Return the text of a settings file.

    `changes` replace the values of LINES, or remove the line if they are None; in
    their names `__` stands for a dot.
    """
    values = {**LINES, **{key.replace("__", "."): v for key, v in changes.items()}}
    return "\n".join(f"{k}={v}" for k, v in values.items() if v is not None)


class ParseSettingsTests(testtools.TestCase):
    """Values are parsed to their types; errors name the missing or invalid one."""

    def test_values(self):
        settings = parse_settings(make_text())
        self.assertEqual("10.1.0.9", settings.vm)
        self.assertEqual(Address("10.200.1.7", 8102), settings.store_address)
        self.assertEqual(Address("10.1.0.9", 9180), settings.metrics_address)
        self.assertEqual(2, len(settings.peers))
        self.assertEqual(56.0, settings.extra_load.slack)

    def test_cores_and_link_capacity(self):
        text = make_text(
            limits__cpu_share="0.5", limits__cores="2", limits__link_mbps="11.0"
        )
        settings = parse_settings(text)
        self.assertEqual((1.0, 11.0), (settings.cores, settings.link_mbps))
        self.assertEqual(0.0, parse_settings(make_text()).cores)

    def test_no_peers(self):
        self.assertEqual((), parse_settings(make_text(seeds="")).peers)
        self.assertEqual((), parse_settings(make_text(seeds=None)).peers)

    def test_missing_and_invalid_values(self):
        for change in (
            {"ip": None},
            {"listen__front": "nowhere"},
            {"bounds__grace_s": "soon"},
        ):
            error = self.assertRaises(
                SettingsError, parse_settings, make_text(**change)
            )
            self.assertIn("settings file", str(error))

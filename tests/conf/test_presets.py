"""Tests of the presets and the bounds of their fields."""

import msgspec
import testtools

from sesameplank.conf import PresetName, decode_configuration, list_faults
from sesameplank.exceptions import ConfigurationError
from sesameplank.standins.deployments import VATUWAQA, make_configuration


def make_document(policy: dict) -> bytes:
    """Return an encoded configuration whose peak preset has the given fields."""
    encoded = msgspec.json.encode(make_configuration(VATUWAQA, "127.9"))
    document = msgspec.json.decode(encoded)
    document["presets"] = {"peak": policy}
    document["preset"] = "peak"
    return msgspec.json.encode(document)


class PresetTests(testtools.TestCase):
    """A preset is refused, with the path of the fault, if a field is out of bounds."""

    def test_every_preset_has_defaults(self):
        encoded = msgspec.json.encode(make_configuration(VATUWAQA, "127.9"))
        configuration = decode_configuration(encoded)
        policies = {
            msgspec.structs.replace(configuration, preset=item).policy
            for item in PresetName
        }
        self.assertEqual(len(PresetName), len(policies))

    def test_published_preset_is_in_force(self):
        configuration = decode_configuration(make_document({"hedge_budget": 0.0}))
        self.assertEqual(0.0, configuration.policy.hedge_budget)

    def test_field_out_of_bounds_is_refused(self):
        table = [
            ("default_deadline_ms", 0),
            ("default_deadline_ms", 20_000),
            ("max_deadline_ms", 0),
            ("hedge_quantile", 1.0),
            ("hedge_budget", 0.6),
            ("retry_budget", -0.1),
            ("max_ejected", 1.1),
            ("first_class_latency", 2.0),
            ("lower_class_latency", 0.5),
            ("third_class_share", 1.5),
            ("lower_class_floor", 0.9),
            ("unknown_field", 1),
        ]
        for field, value in table:
            encoded = make_document({field: value})
            paths = [fault.path for fault in list_faults(encoded)]
            self.assertTrue(paths[0].startswith("$.presets"), (field, paths))
            self.assertRaises(ConfigurationError, decode_configuration, encoded)

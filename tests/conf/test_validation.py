"""Tests of the validation of configuration documents."""

import msgspec
import testtools

from sesameplank.conf import decode_configuration, list_faults
from sesameplank.exceptions import ConfigurationError
from sesameplank.standins.deployments import CHAIYAPHUM, VATUWAQA, make_configuration


def make_document() -> dict:
    """Return a valid document as plain values."""
    encoded = msgspec.json.encode(make_configuration(VATUWAQA, "127.9"))
    return msgspec.json.decode(encoded)


def drop_first_shard(document: dict) -> None:
    """Leave a gap at the start of a collection."""
    del document["collections"]["payments"]["shards"][0]


def name_unknown_target(document: dict) -> None:
    """Set a replica that is not a target."""
    document["collections"]["payments"]["shards"][0]["replicas"] = ["nobody"]


def share_address(document: dict) -> None:
    """Give two targets one address."""
    targets = document["targets"]
    targets["payments-00"]["address"] = targets["payments-01"]["address"]


def set_target_field(field: str, value: object):
    """Return a function that sets a field of a target."""

    def corrupt(document: dict) -> None:
        document["targets"]["payments-00"][field] = value

    return corrupt


ODD_ADDRESSES = (
    "",
    "10.0.0.1",
    "10.0.0.1:-1",
    "10.0.0.1:0",
    "10.0.0.1:65536",
    "10.0.0.1:" + "9" * 80,
    "10.0.0.1\0:80",
    "10.0.0.1\n:80",
    "nowhere:80",
    "a" * 70 + ".example:80",
)


class ValidationTests(testtools.TestCase):
    """Invalid documents are refused with the path of each fault."""

    def test_deployments_are_valid(self):
        for deployment in (VATUWAQA, CHAIYAPHUM):
            document = msgspec.json.encode(make_configuration(deployment, "127.9"))
            self.assertEqual([], list_faults(document))
            self.assertEqual(deployment.name, decode_configuration(document).deployment)

    def test_invalid_document_is_refused_with_the_path_of_the_fault(self):
        table = [
            (drop_first_shard, "$.collections.payments.shards"),
            (name_unknown_target, "$.collections.payments.shards[0].replicas"),
            (share_address, "$.targets.payments-01.address"),
            (lambda document: document.update(preset="busy"), "$.preset"),
            (lambda document: document.update(extra=1), "$"),
            (lambda document: document.pop("targets"), "$"),
        ]
        for corrupt, path in table:
            document = make_document()
            corrupt(document)
            encoded = msgspec.json.encode(document)
            self.assertIn(path, [fault.path for fault in list_faults(encoded)])
            self.assertRaises(ConfigurationError, decode_configuration, encoded)

    def test_target_that_cannot_be_called_is_refused_with_its_path(self):
        faults = [("address", value) for value in ODD_ADDRESSES]
        faults += [
            (field, value)
            for field in ("slots", "connections")
            for value in (-1, 0, 10**10, 10**400)
        ]
        for field, value in faults:
            document = make_document()
            set_target_field(field, value)(document)
            encoded = msgspec.json.encode(document)
            paths = [fault.path for fault in list_faults(encoded)]
            found = [path for path in paths if path.endswith(f".{field}")]
            self.assertEqual(1, len(found), (value, paths))
            error = self.assertRaises(ConfigurationError, decode_configuration, encoded)
            self.assertIn(f".{field}", str(error))

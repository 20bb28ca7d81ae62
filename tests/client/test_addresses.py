"""Tests of the client library's cache of addresses."""

import random
from unittest.mock import Mock

import testtools

from sesameplank.client.addresses import AddressCache
from sesameplank.core.membership.addresses import AddressAnswer
from sesameplank.net import Address

SEED = Address("10.0.0.9", 80)
USABLE = Address("10.0.0.1", 80)


class AddressCacheTests(testtools.TestCase):
    """One odd address in an answer takes nothing from the others."""

    def test_addresses_that_cannot_be_used_are_left_out(self):
        for odd in ("10.0.0.2:70000", "", "a" * 70 + ".example:80"):
            for listed, expected in (
                ((odd, str(USABLE)), [USABLE]),
                ((odd,), [SEED]),
            ):
                connections = Mock()
                connections.get.return_value = AddressAnswer(listed, 1_000)
                cache = AddressCache(connections, [SEED], random.Random(1))
                self.assertEqual(expected, cache.get_addresses(), odd)

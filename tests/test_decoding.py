"""Tests of the decoding of documents from outside the process.

Guards against errors of the decoder that pass a module's own handling: RecursionError,
for a document nested too deeply, once ended the reading of the platform's store.
"""

import msgspec
import testtools

from sesameplank.client.connections import decode_answer as decode_client_answer
from sesameplank.conf import PublishedVms, decode_configuration, list_faults
from sesameplank.core.common.clock import ManualClock
from sesameplank.core.common.outcomes import Failure
from sesameplank.core.published.target_table import TargetTable
from sesameplank.core.published.versions import (
    ConfigurationStore,
    OfferResult,
    VmStore,
)
from sesameplank.core.quarantine.fingerprints import NO_FINGERPRINT
from sesameplank.core.search.messages import TargetSearchAnswer
from sesameplank.decoding import decode_json, decode_msgpack
from sesameplank.exceptions import (
    CallError,
    ConfigurationError,
    MalformedDocumentError,
    PlatformError,
)
from sesameplank.forwarding.http_messages import Response
from sesameplank.net import Address
from sesameplank.peers.relayed_documents import (
    ConfigurationDocument,
    TargetsDocument,
    VmDocument,
)
from sesameplank.platform.store import StoreClient, WirePage
from sesameplank.published.reader import PlatformReader
from sesameplank.targets.dispatch import decode_answer, make_sent_request
from sesameplank.targets.fingerprints import SEARCH_PATH, find_message_fingerprint

DEPTH = 2_000
NESTED_LIST = b"[" * DEPTH + b"]" * DEPTH
NESTED_FIELD = b'{"x":' + NESTED_LIST + b"}"
NOT_UTF_8 = b'{"x":"\xff"}'
MALFORMED = (b"", b"{", NOT_UTF_8, NESTED_FIELD)
NESTED_MSGPACK = b"\x91" * DEPTH + b"\x90"
ADDRESS = Address("127.0.0.1", 1)


class MalformedDocumentTests(testtools.TestCase):
    """Each place that decodes a document reports a malformed one in its own way."""

    def test_decoders(self):
        for document in (*MALFORMED, NESTED_LIST):
            self.assertRaises(MalformedDocumentError, decode_json, document)
        for document in (b"", b"\xc1", NESTED_MSGPACK):
            self.assertRaises(MalformedDocumentError, decode_msgpack, document)

    def test_documents_of_the_platform(self):
        reader = PlatformReader(ADDRESS)
        client = StoreClient(ADDRESS, "127.0.0.1")
        response = Response()
        for document in MALFORMED:
            response.body = bytearray(document)
            self.assertRaises(PlatformError, reader.decode, document, PublishedVms)
            self.assertRaises(PlatformError, client.decode, response, WirePage)
            self.assertRaises(ConfigurationError, decode_configuration, document)
            self.assertEqual(1, len(list_faults(document)))

    def test_documents_that_peers_relay(self):
        clock = ManualClock()
        documents = (
            ConfigurationDocument(ConfigurationStore(clock)),
            VmDocument(VmStore(), clock),
            TargetsDocument(TargetTable(), clock),
        )
        for document in documents:
            for payload in (*MALFORMED, NESTED_MSGPACK):
                self.assertIs(OfferResult.REFUSED, document.offer(payload))

    def test_configuration_that_a_peer_relays(self):
        store = ConfigurationStore(ManualClock())
        payload = msgspec.json.encode({"version": 3, "published_at": 0.0})
        payload = payload[:-1] + b',"document":' + NESTED_FIELD + b"}"
        document = ConfigurationDocument(store)
        self.assertIs(OfferResult.REFUSED, document.offer(payload))
        self.assertEqual(0, store.version)

    def test_answers_and_messages_of_targets_and_entries(self):
        for payload in MALFORMED:
            answer = decode_answer(payload, TargetSearchAnswer)
            self.assertIsInstance(answer, Failure)
            fingerprint = find_message_fingerprint(SEARCH_PATH, payload)
            self.assertEqual(NO_FINGERPRINT, fingerprint)
            self.assertEqual("", make_sent_request("/cancel", payload).request_id)
            self.assertRaises(CallError, decode_client_answer, payload, dict)

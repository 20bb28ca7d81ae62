"""Tests of calls and one-way messages over real links in one process."""

import random
from typing import ClassVar

import gevent
import testtools
from gevent.event import Event
from gevent.queue import Queue

from sesameplank.core.common.clock import SystemClock
from sesameplank.core.common.outcomes import Failure, FailureReason, Ran
from sesameplank.net import Address
from sesameplank.peers import PeerLinks, PeerMessage
from sesameplank.peers import links as links_module
from sesameplank.peers.channel import MAX_FRAME_BYTES, QueuedMessage
from sesameplank.peers.frames import Envelope, EnvelopeKind, encode_envelope
from sesameplank.peers.websocket_transport import WebSocketTransport
from sesameplank.standins.fleet import reserve_block

WAIT_S = 30.0


class EchoReply(PeerMessage, frozen=True):
    """The received payload and its sender."""

    payload: bytes
    sender: str


class Echo(PeerMessage, frozen=True):
    """A request to return the payload."""

    reply_type: ClassVar = EchoReply
    payload: bytes


class Note(PeerMessage, frozen=True):
    """A one-way message."""

    number: int


class LinksTests(testtools.TestCase):
    """A failure states NOT_RUN only if the message was certainly not run."""

    def setUp(self):
        super().setUp()
        self.block = self.enterContext(reserve_block())
        self.clock = SystemClock()
        self.links = {}
        for number, entry_id in enumerate(("a", "b")):
            address = Address(f"{self.block}.1.{1 + number}", 8081)
            self.links[entry_id] = self.enterContext(
                PeerLinks(
                    entry_id,
                    7 + number,
                    address,
                    self.clock,
                    random.Random(1),
                    WebSocketTransport(),
                )
            )
        self.exchange_addresses()
        self.links["b"].register(
            Echo, lambda message, context: EchoReply(message.payload, context.sender)
        )

    def exchange_addresses(self):
        addresses = {name: item.address for name, item in self.links.items()}
        for item in self.links.values():
            item.addresses.update(addresses)

    def call(self, message, sender="a", receiver="b", wait_s=WAIT_S):
        return self.links[sender].call(receiver, message, self.clock.now() + wait_s)

    def test_call_returns_the_typed_reply(self):
        self.assertEqual(EchoReply(b"\x00x", "a"), self.call(Echo(b"\x00x")))

    def test_many_calls_share_one_link(self):
        greenlets = [
            gevent.spawn(self.call, Echo(str(number).encode())) for number in range(200)
        ]
        gevent.joinall(greenlets, raise_error=True)
        self.assertEqual(
            [str(number).encode() for number in range(200)],
            [item.value.payload for item in greenlets],
        )
        self.assertEqual(1, len(self.links["b"].channels["a"].connections))

    def test_failure_of_an_unknown_kind_costs_nothing_but_its_call(self):
        bodies = [[{"reason": "unheard_of", "ran": "unknown"}], [{}], [], ["x"], [3]]
        peer = self.links["b"]
        plain_reply = peer.reply

        def reply(channel, envelope, outcome):
            if not bodies:
                return plain_reply(channel, envelope, outcome)
            failure = Envelope(
                EnvelopeKind.FAILURE,
                "b",
                peer.incarnation,
                int(self.clock.now() * 1_000),
                envelope.name,
                bodies.pop(),
                envelope.call_id,
            )
            return channel.enqueue(
                QueuedMessage("Echo.reply", encode_envelope(failure))
            )

        peer.reply = reply
        while bodies:
            outcome = self.call(Echo(b"1"), wait_s=5.0)
            self.assertIs(FailureReason.BAD_ANSWER, outcome.reason)
            self.assertIs(Ran.UNKNOWN, outcome.ran)
        self.assertEqual(EchoReply(b"2", "a"), self.call(Echo(b"2")))
        self.assertEqual(1, len(self.links["a"].channels["b"].connections))

    def test_reply_to_an_earlier_incarnation_is_not_taken_for_ones_own(self):
        released = {b"1": Event(), b"2": Event()}
        arrived = Queue()

        def hold(message, context):
            arrived.put(message.payload)
            released[message.payload].wait(WAIT_S)
            return EchoReply(message.payload, context.sender)

        self.links["b"].register(Echo, hold)
        earlier = self.links["a"]
        gevent.spawn(self.call, Echo(b"1"))
        self.assertEqual(b"1", arrived.get(timeout=WAIT_S))
        earlier.__exit__()
        self.links["a"] = self.enterContext(
            PeerLinks(
                "a",
                earlier.incarnation + 5_000,
                earlier.address,
                self.clock,
                random.Random(1),
                WebSocketTransport(),
            )
        )
        self.exchange_addresses()
        later = gevent.spawn(self.call, Echo(b"2"))
        self.assertEqual(b"2", arrived.get(timeout=WAIT_S))
        for payload in (b"1", b"2"):
            released[payload].set()
            gevent.sleep(0.2)
        self.assertEqual(b"2", later.get(timeout=WAIT_S).payload)

    def test_one_way_messages_arrive_in_order(self):
        received = Queue()
        self.links["b"].register(
            Note, lambda message, context: received.put(message.number)
        )
        for number in range(50):
            self.links["a"].send("b", Note(number))
        numbers = [received.get(timeout=WAIT_S) for _ in range(50)]
        self.assertEqual(list(range(50)), numbers)

    def test_both_peers_may_open_a_link_at_the_same_time(self):
        self.links["a"].register(Echo, lambda message, context: EchoReply(b"", "b"))
        greenlets = [
            gevent.spawn(self.call, Echo(b"1"), "a", "b"),
            gevent.spawn(self.call, Echo(b"2"), "b", "a"),
        ]
        gevent.joinall(greenlets, raise_error=True)
        self.assertTrue(all(item.value for item in greenlets))

    def test_call_to_an_unreachable_peer_is_not_run(self):
        self.links["a"].addresses["c"] = Address(f"{self.block}.1.9", 8081)
        failure = self.call(Echo(b""), receiver="c")
        self.assertEqual(
            (FailureReason.CONNECT, Ran.NOT_RUN), (failure.reason, failure.ran)
        )

    def test_unknown_message_type_is_not_run(self):
        failure = self.call(Echo(b""), "b", "a")
        self.assertEqual(
            (FailureReason.REFUSED, Ran.NOT_RUN), (failure.reason, failure.ran)
        )

    def test_process_with_another_id_does_not_receive_the_message(self):
        self.links["a"].addresses["c"] = self.links["b"].address
        failure = self.call(Echo(b""), receiver="c")
        self.assertEqual(Ran.NOT_RUN, failure.ran)
        self.assertNotIn("Echo", self.links["b"].counters.received)

    def test_call_whose_handler_fails_is_unknown(self):
        def fail(message, context):
            raise ValueError("broken")

        self.links["b"].register(Echo, fail)
        self.assertEqual(Ran.UNKNOWN, self.call(Echo(b"")).ran)

    def test_failure_from_a_handler_is_returned(self):
        refusal = Failure(FailureReason.REFUSED, Ran.NOT_RUN, "leaving")
        self.links["b"].register(Echo, lambda message, context: refusal)
        self.assertEqual(refusal, self.call(Echo(b"")))

    def test_call_whose_link_closes_while_it_runs_is_unknown(self):
        started = Event()

        def hang(message, context):
            started.set()
            gevent.sleep(WAIT_S)

        self.links["b"].register(Echo, hang)
        outcome = gevent.spawn(self.call, Echo(b""))
        self.assertTrue(started.wait(WAIT_S))
        self.links["b"].channels["a"].close()
        failure = outcome.get(timeout=WAIT_S)
        self.assertEqual(
            (FailureReason.RESET, Ran.UNKNOWN), (failure.reason, failure.ran)
        )

    def test_call_after_a_lost_link_opens_a_new_link(self):
        self.call(Echo(b"1"))
        self.links["b"].channels["a"].close()
        while self.links["a"].is_connected("b"):
            gevent.sleep(0.01)
        self.assertEqual(b"2", self.call(Echo(b"2")).payload)

    def test_link_to_an_outdated_address_is_closed(self):
        self.call(Echo(b"1"))
        moved = Address(f"{self.block}.1.8", 8081)
        self.links["a"].set_address("b", moved)
        while self.links["a"].is_connected("b"):
            gevent.sleep(0.01)
        self.assertEqual(Ran.NOT_RUN, self.call(Echo(b"2")).ran)

    def test_overdue_call_is_not_handled(self):
        ran = []
        self.links["b"].register(Echo, lambda message, context: ran.append(1))
        self.call(Echo(b""), wait_s=0.5)
        self.patch(
            links_module.DelayEstimate, "observe", lambda estimate, sent, now: 99.0
        )
        failure = self.call(Echo(b""))
        self.assertEqual(
            (FailureReason.TIMEOUT, Ran.NOT_RUN), (failure.reason, failure.ran)
        )
        self.assertEqual(1, len(ran))

    def test_oversized_message_is_not_sent(self):
        failure = self.call(Echo(bytes(MAX_FRAME_BYTES)))
        self.assertEqual(
            (FailureReason.QUEUE_FULL, Ran.NOT_RUN), (failure.reason, failure.ran)
        )

    def test_traffic_is_counted_by_message_type(self):
        self.call(Echo(bytes(1000)))
        counted = self.links["b"].counters.received["Echo"]
        self.assertEqual(1, counted.messages)
        self.assertTrue(1000 < counted.bytes < 1100)

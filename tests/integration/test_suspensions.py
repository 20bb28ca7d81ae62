"""Tests of answers that arrive while a process is suspended."""

import signal

import gevent

from .front_world import FrontTestCase, RawConnection, make_request

ANSWER_DELAY_S = 0.3
DEADLINE_MS = 800
LONG_DEADLINE_MS = 2_500
SUSPENSION_S = 1.2  # Until after the deadline of the request.


class SuspensionTests(FrontTestCase):
    """Answers that wait in the sockets of a process when it resumes."""

    def test_answer_that_waits_is_delivered_although_its_deadline_has_passed(self):
        for target in self.targets.values():
            target.delay_s = ANSWER_DELAY_S
        statuses = [self.ask_across_a_suspension(number) for number in range(3)]
        self.assertEqual([200, 200, 200], statuses)

    def test_target_gets_the_time_that_is_left_of_a_request_that_waited(self):
        process = self.fronts[0].process
        with RawConnection(self.fronts[0].caller_address) as client:
            self.assertEqual(200, client.request(make_request("/one/x", "r")).status)
            process.send_signal(signal.SIGSTOP)
            client.sock.sendall(make_request("/one/x", "waited", LONG_DEADLINE_MS))
            gevent.sleep(SUSPENSION_S)
            process.send_signal(signal.SIGCONT)
            self.assertEqual(200, client.read().status)
        (left_ms,) = [
            int(request.get(b"x-deadline-ms"))
            for target in self.targets.values()
            for request in target.requests
            if request.get(b"x-request-id") == "waited"
        ]
        self.assertLessEqual(left_ms, LONG_DEADLINE_MS - SUSPENSION_S * 1_000 + 100)

    def ask_across_a_suspension(self, number: int) -> int:
        """Send a request whose target answers during a suspension."""
        process = self.fronts[0].process
        request_id = f"r{number}"
        with RawConnection(self.fronts[0].caller_address) as client:
            client.sock.sendall(make_request("/one/x", request_id, DEADLINE_MS))
            self.wait_for(lambda: self.is_running(request_id), "a run")
            process.send_signal(signal.SIGSTOP)
            gevent.sleep(SUSPENSION_S)
            process.send_signal(signal.SIGCONT)
            return client.read().status

    def is_running(self, request_id: str) -> bool:
        return any(
            request_id in target.executed_ids for target in self.targets.values()
        )

"""Tests of processes of an earlier release beside those of today."""

import subprocess
import tempfile
from pathlib import Path

import gevent
import gevent.pool

from sesameplank.forwarding.http_messages import Response
from sesameplank.standins.front_targets import LinkFault

from .front_world import (
    ROOT,
    SHARD_SERVICES,
    FrontTestCase,
    RawConnection,
    make_request,
)

PREVIOUS_RELEASE = "1901172"
EARLIER_RELEASE = "351c49d"
CUT_OFF = 2  # A process of today's release.
KINDS = (("/all/x", "GET"), ("/one/x", "GET"), ("/book/x", "POST"))
REQUESTS = 20
REQUEST_GAP_S = 0.02
LEFT_WORK_S = 0.3
CONCURRENCY = 8
CRASHING = "/all/crashing"
CRASHING_REPETITIONS = 4
STOP_WAIT_S = 10.0


def unpack_release(commit: str, folder: Path) -> None:
    """Write the package of a commit of this repository into a folder."""
    archive = subprocess.run(
        ["git", "archive", commit, "sesameplank"],
        cwd=ROOT,
        capture_output=True,
        check=True,
    )
    subprocess.run(["tar", "-x", "-C", str(folder)], input=archive.stdout, check=True)


class MixedReleasesTests(FrontTestCase):
    """Processes 1 and 2 run the earlier release, 3 and 4 that of today.

    Processes with odd numbers send batches to those with even ones, which are in the
    data centre of the targets: from each release to each.
    """

    front_count = 4
    earlier = (1, 2)
    release = EARLIER_RELEASE

    def setUp(self):
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.earlier_source = Path(folder)
        unpack_release(self.release, self.earlier_source)
        super().setUp()
        for target in self.targets.values():
            target.crashing_paths = {CRASHING.encode()}
            target.on_restart = self.list_again
        self.wait_for_members()

    def get_source(self, number: int) -> Path:
        """Return the folder of the release that a process runs."""
        return self.earlier_source if number in self.earlier else ROOT

    def list_again(self, target) -> None:
        """Write the item of a target that has started again to the store."""
        self.list_target(target.name, target.name[:-1], seq=target.crashes + 1)

    def send(self, path: str, request_id: str, front: int, method="GET") -> Response:
        """Send a request to a process and return its answer."""
        return self.request(make_request(path, request_id, method=method), front)

    def assert_all_serve(self, name: str) -> None:
        """Assert that every process answers requests of every kind whole."""
        for number in range(REQUESTS):
            for front in range(self.front_count):
                for path, method in KINDS:
                    request_id = f"{name}{path[1:4]}{front}-{number}"
                    response = self.send(path, request_id, front, method)
                    self.assertEqual(200, response.status, request_id)
                    missing = response.get(b"x-missing-parts")
                    self.assertIn(missing, (None, "0"), request_id)

    def count_events(self, name: str) -> list[int]:
        """Return a counter of each process."""
        return [self.read_counter(front, name) for front in range(self.front_count)]

    def read_counter(self, front: int, name: str) -> int:
        """Return a counter of a process from its metrics."""
        process = self.fronts[front]
        body = process.get((process.host, 9180), "/metrics").body.decode()
        prefix = f'sesameplank_front_events_total{{event="{name}"}} '
        values = [line for line in body.splitlines() if line.startswith(prefix)]
        return int(values[0].removeprefix(prefix)) if values else 0

    def test_releases_serve_each_other_and_are_replaced_under_load(self):
        self.assert_all_serve("mixed")
        for sent, served in ((0, 1), (0, 3), (2, 1), (2, 3)):
            self.assertGreater(self.count_events("batches_sent")[sent], 0)
            self.assertGreater(self.count_events("batches_served")[served], 0)
        for number in self.earlier:
            self.replace(number - 1)
        self.assert_all_serve("replaced")

    def replace(self, front: int) -> None:
        """Replace a process by one of today's release while others are called."""
        statuses: list[int] = []
        pool = gevent.pool.Pool(CONCURRENCY)
        process = self.fronts[front]
        self.terminate(process)
        others = [item for item in range(self.front_count) if item != front]
        for number in range(REQUESTS):
            for other in others:
                pool.spawn(self.collect, statuses, f"r{front}{other}-{number}", other)
            gevent.sleep(REQUEST_GAP_S)
        pool.join(raise_error=True)
        self.assertEqual({200}, set(statuses))
        self.wait_for(lambda: process.process.poll() is not None, "end")
        process.source = ROOT
        process.start()
        self.wait_for(process.is_ready, "ready")

    def collect(self, statuses: list[int], request_id: str, front: int) -> None:
        """Send a request and record the status of its answer."""
        statuses.append(self.send("/all/x", request_id, front).status)

    def test_callers_that_leave_beside_the_earlier_release(self):
        for target in self.targets.values():
            target.lose_link(self.fronts[CUT_OFF].host, LinkFault.HANG)
        self.wait_for_state(CUT_OFF, lambda state: state["gauges"]["targets_lost"] == 1)
        for name in ("singlea", "singleb"):
            self.targets[name].delay_s = LEFT_WORK_S
        for number in range(REQUESTS):
            data = make_request("/book/x", f"left{number}", method="POST")
            with RawConnection(self.fronts[CUT_OFF].caller_address) as client:
                client.sock.sendall(data)
                gevent.sleep(REQUEST_GAP_S)
        for name in ("singlea", "singleb"):
            self.targets[name].delay_s = 0.0
        for target in self.targets.values():
            target.restore_link(self.fronts[CUT_OFF].host)
        self.wait_for_state(CUT_OFF, lambda state: state["gauges"]["targets_lost"] == 0)
        self.wait_for(self.all_serve_whole, "whole answers of all processes")
        self.assert_all_serve("after")
        for number in range(REQUESTS):
            runs = [item.executed_ids for item in self.targets.values()]
            times = sum(item.count(f"left{number}") for item in runs)
            self.assertLessEqual(times, 1, number)

    def test_crashing_request_and_leaving_targets_beside_the_earlier_release(self):
        for number in range(CRASHING_REPETITIONS):
            for front in range(self.front_count):
                self.send(CRASHING, f"crashing{front}-{number}", front)
        for front in (2, 3):
            self.assertEqual(503, self.send(CRASHING, "last", front).status)
        for service in SHARD_SERVICES:
            self.targets[f"{service}a"].is_leaving = True
        self.wait_for(
            lambda: all(item.server.started for item in self.targets.values()),
            "targets that listen again",
        )
        self.wait_for(self.all_serve_whole, "whole answers of all processes")
        self.assert_all_serve("after")
        for process in self.fronts:
            self.assertIsNone(process.process.poll())

    def all_serve_whole(self) -> bool:
        """Return whether every process answers a request with all parts."""
        replies = [
            self.send("/all/x", f"try{front}", front)
            for front in range(self.front_count)
        ]
        return all(item.get(b"x-missing-parts") == "0" for item in replies)


class PreviousReleaseTests(MixedReleasesTests):
    """The same, beside the release that runs when this one is rolled out."""

    release = PREVIOUS_RELEASE

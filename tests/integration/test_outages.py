"""Tests of shards and services none of whose targets is up."""

import gevent

from .front_world import FrontTestCase, make_request

KINDS = (("/all/x", "GET"), ("/one/x", "GET"), ("/book/x", "POST"))
DOWN = ("shard0", "shard1", "single")


class OutageTests(FrontTestCase):
    """Requests that can't be served are refused at once, until targets are back."""

    def send(self, path: str, request_id: str, method: str):
        """Send a request and return its answer."""
        return self.request(make_request(path, request_id, method=method))

    def test_requests_are_refused_at_once_until_targets_are_back(self):
        for path, method in KINDS:
            self.assertEqual(200, self.send(path, f"before{path}", method).status)
        names = [f"{service}{letter}" for service in DOWN for letter in "ab"]
        for name in names:
            self.targets[name].crash()
            self.targets[name].restart.kill()
        for path, method in KINDS:
            self.wait_for(
                lambda path=path, method=method: self.is_refused_at_once(path, method),
                f"refusal of {path}",
            )
        for name in names:
            self.targets[name].start_again()
            self.list_target(name, name[:-1], seq=2, born=2)
        for path, method in KINDS:
            self.wait_for(
                lambda path=path, method=method: (
                    self.send(path, f"after{path}", method).status == 200
                ),
                f"answer to {path}",
            )

    def is_refused_at_once(self, path: str, method: str) -> bool:
        """Return whether a request is refused before any call, with a time."""
        gevent.sleep(0.1)
        before = self.read_refused()
        reply = self.send(path, "down", method)
        if reply.status != 503 or self.read_refused() == before:
            return False
        return float(reply.get(b"retry-after")) > 0.0

    def read_refused(self) -> str:
        """Return the counter of such refusals."""
        process = self.fronts[0]
        body = process.get((process.host, 9180), "/metrics").body.decode()
        return "".join(line for line in body.splitlines() if "refused_down" in line)

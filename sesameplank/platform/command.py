"""The forwarding process on a VM of the users' platform."""

import contextlib
import random
import signal
import sys

import gevent
import msgspec

from ..core.common.clock import BootTimeClock
from ..core.membership.directory import ADDRESS_TTL_S, get_capacity
from ..exceptions import SesameplankError
from ..forwarding.answer_accounts import AnswerAccounts
from ..forwarding.caller_server import CallerServer
from ..forwarding.front import Front, FrontSettings
from ..forwarding.http_messages import Request
from ..forwarding.request_handling import Reply, RequestContext
from ..logs import log_event, use_line_writer
from .endpoints import (
    ADDRESSES_PATH,
    READY_PATH,
    encode_addresses,
)
from .headers import PlatformDialect
from .items import decode_routing
from .settings import VmSettings, get_file_state, read_settings
from .source import StoreSource
from .store import StoreClient

EXIT_USAGE = 2
SETTINGS_CHECK_INTERVAL_S = 1.0
METRICS_PATH = "/metrics"
STATE_PATH = "/state"
# The version is that of the Prometheus text format.
TEXT_HEADER = (b"Content-Type", b"text/plain; version=0.0.4")
JSON_HEADER = (b"Content-Type", b"application/json")


class PlatformFront:
    """Serves readiness, addresses, metrics and state in addition to requests.

    Each of these has its own address; metrics and state share one.
    """

    def __init__(self, settings: VmSettings, front: Front) -> None:
        self.settings = settings
        self.front = front
        self.settings_state = get_file_state()
        front.loops.add("settings", self.watch_settings)

    def serve_ready(self, request: Request, context: RequestContext) -> Reply:
        """Respond with 200 if callers should be sent here, else with 503."""
        if request.path != READY_PATH:
            return Reply(404)
        return Reply(200 if self.front.is_ready else 503)

    def serve_addresses(self, request: Request, context: RequestContext) -> Reply:
        """Respond with the addresses that a caller should connect to."""
        if request.path != ADDRESSES_PATH:
            return Reply(404)
        addresses = self.front.get_addresses()
        if not addresses:
            return Reply(503)
        self.front.lookups.on_lookup(context.caller_host)
        ttl_s = min(ADDRESS_TTL_S, self.settings.max_address_ttl_s)
        return Reply(200, [JSON_HEADER], encode_addresses(addresses, ttl_s))

    def serve_metrics(self, request: Request, context: RequestContext) -> Reply:
        """Respond with the metrics, or with the state of this process as JSON."""
        if request.path == METRICS_PATH:
            return Reply(200, [TEXT_HEADER], self.front.render_metrics().encode())
        if request.path == STATE_PATH:
            body = msgspec.json.encode(self.front.get_state())
            return Reply(200, [JSON_HEADER], body)
        return Reply(404)

    def make_server(self, address, handler) -> CallerServer:
        """Return an HTTP server that passes the requests at an address to a handler."""
        front = self.front
        return CallerServer(
            address,
            handler,
            front.get_limits,
            front.clock.now,
            accounts=AnswerAccounts(front.forwarder.log),
        )

    def run(self) -> None:
        """Serve until SIGTERM or SIGINT has shut the process down."""
        for number in (signal.SIGTERM, signal.SIGINT):
            gevent.signal_handler(number, self.front.request_stop)
        gevent.signal_handler(signal.SIGHUP, self.reload)
        gevent.signal_handler(signal.SIGUSR1, self.dump)
        log_event("listening", metrics=self.settings.metrics_address)
        servers = [
            self.make_server(self.settings.ready_address, self.serve_ready),
            self.make_server(self.settings.directory_address, self.serve_addresses),
            self.make_server(self.settings.metrics_address, self.serve_metrics),
        ]
        self.front.shutdown.other_servers += servers
        with contextlib.ExitStack() as stack:
            stack.enter_context(self.front)
            for server in servers:
                stack.enter_context(server)
            self.front.wait()

    def dump(self) -> None:
        """Log the state of this process."""
        log_event("state", dump=msgspec.json.encode(self.front.get_state()).decode())

    def watch_settings(self) -> None:
        """Wait for SETTINGS_CHECK_INTERVAL_S, and reload a changed settings file."""
        gevent.sleep(SETTINGS_CHECK_INTERVAL_S)
        state = get_file_state()
        if state not in (None, self.settings_state):
            self.settings_state = state
            self.reload()

    def reload(self) -> None:
        """Reload the settings file and connect to peers that are new in it.

        Of the other settings, only `max_address_ttl_s` takes effect. If the file
        cannot be read or is invalid, the process keeps its settings.
        """
        try:
            settings = read_settings()
        except SesameplankError as error:
            log_event("reload_failed", reason=str(error))
            return
        self.settings = settings
        self.front.add_seed_peers(settings.peers)
        log_event("reloaded", peers=len(settings.peers))


def make_front(settings: VmSettings) -> PlatformFront:
    """Return a front that uses the platform's store, headers and settings."""
    clock = BootTimeClock()
    front = Front(
        FrontSettings(
            vm=settings.vm,
            data_centre=settings.data_centre,
            caller_address=settings.caller_address,
            peer_address=settings.peer_address,
            peers=settings.peers,
            capacity=get_capacity(settings.cores, settings.link_mbps),
            stop_timeout_s=settings.stop_timeout_s,
            extra_load=settings.extra_load,
        ),
        StoreSource(StoreClient(settings.store_address, settings.vm), clock),
        decode_routing,
        PlatformDialect(),
        clock,
        random.Random(),
    )
    return PlatformFront(settings, front)


def main() -> int:
    """Run the forwarding process and return its exit code."""
    use_line_writer()
    try:
        make_front(read_settings()).run()
    except SesameplankError as error:
        print(f"error: {error}", file=sys.stderr)
        return EXIT_USAGE
    return 0


if __name__ == "__main__":
    sys.exit(main())

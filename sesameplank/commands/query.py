"""Send searches and bookings from a shell."""

import sys

import msgspec

from ..client import Client
from ..conf.settings import Setting
from ..core.search.messages import Filter, Order, SearchRequest
from ..exceptions import BadRequestError, CallError
from ..ids import CallerName, CollectionName, RecordKey
from ..net import Address
from .base import Command, run_command

EXIT_REFUSED = 1


class QueryCommand(Command):
    """Send one search or booking and print the answer as JSON."""

    help = (
        "Sends a search or a booking.\n\n"
        "  sesameplank-query [flags] search COLLECTION [TERM ...]\n"
        "  sesameplank-query [flags] book COLLECTION RECORD\n\n"
        "Prints the answer as JSON; exits with 1 when the request is refused."
    )
    settings = (
        Setting("entry_address", "127.0.0.1:8080", "IP:PORT of any entry."),
        Setting("caller", "", "The caller's published name."),
        Setting("deadline_ms", 1_000, "Milliseconds that the answer may take."),
        Setting("limit", 10, "Hits to return."),
        Setting("order", "key", "Field to sort by; a leading - descends."),
        Setting("where", "", "Filters, as field=value,field=value."),
        Setting("explain", False, "Ask how each shard was served."),
        Setting("quantity", 1, "Quantity to book."),
        Setting("idempotency_key", "", "Key of the booking; empty draws one."),
    )

    def handle(self, arguments: list[str], values: dict) -> int:
        """Send the request and print its answer."""
        if len(arguments) < 2 or arguments[0] not in ("search", "book"):
            raise BadRequestError(f"cannot parse the request {arguments}; see --help")
        seeds = [Address.parse(values["entry_address"])]
        with Client(CallerName(values["caller"]), seeds) as client:
            try:
                answer = self.send(client, arguments, values)
            except CallError as error:
                print(f"refused ({error.kind}, {error.ran}): {error}", file=sys.stderr)
                return EXIT_REFUSED
        print(msgspec.json.format(msgspec.json.encode(answer), indent=2).decode())
        return 0

    def send(self, client: Client, arguments: list[str], values: dict):
        """Send the search or booking and return its decoded answer."""
        if arguments[0] == "search":
            request = make_search(arguments[1], arguments[2:], values)
            return client.search(request, values["deadline_ms"])
        if len(arguments) != 3:
            raise BadRequestError(
                "a booking takes one COLLECTION and one RECORD; see --help"
            )
        return client.book(
            CollectionName(arguments[1]),
            RecordKey(arguments[2]),
            values["quantity"],
            values["idempotency_key"] or None,
            values["deadline_ms"],
        )


def make_search(collection: str, terms: list[str], values: dict) -> SearchRequest:
    """Return the search request that the command line describes."""
    order = values["order"]
    return SearchRequest(
        collection=CollectionName(collection),
        terms=tuple(terms),
        filters=parse_filters(values["where"]),
        order=Order(order.removeprefix("-"), order.startswith("-")),
        limit=values["limit"],
        explain=values["explain"],
    )


def parse_filters(text: str) -> tuple[Filter, ...]:
    """Parse `field=value,...`; values that are integers become `int`."""
    filters = []
    for item in filter(None, text.split(",")):
        field, separator, value = item.partition("=")
        if not separator:
            raise BadRequestError(f"{item!r} is not a filter; write field=value")
        number = value.removeprefix("-").isdigit()
        filters.append(Filter(field, int(value) if number else value))
    return tuple(filters)


def main() -> None:
    """Run the binary."""
    run_command(QueryCommand())


if __name__ == "__main__":
    main()

"""Tests that the reference pages agree with the code."""

import re
from pathlib import Path

import msgspec
import testtools

from sesameplank.callers.problems import STATUSES, ProblemKind
from sesameplank.client.searches import FAILOVER_KINDS, RETRY_LATER_KINDS
from sesameplank.commands.ablation import AblationCommand
from sesameplank.commands.base import Command
from sesameplank.commands.check import CheckCommand
from sesameplank.commands.demo import DemoCommand
from sesameplank.commands.entry import EntryCommand
from sesameplank.commands.load import LoadCommand
from sesameplank.commands.losses import LossesCommand
from sesameplank.commands.query import QueryCommand
from sesameplank.commands.standin import StandinCommand
from sesameplank.commands.state import StateCommand
from sesameplank.commands.story import StoryCommand
from sesameplank.conf import documents
from sesameplank.conf.settings import Setting
from sesameplank.core.search import messages
from sesameplank.core.search.coverage import Coverage, MissingRange, MissingReason
from sesameplank.core.search.ranges import KeyRange
from sesameplank.forwarding.answer_accounts import CloseCause
from sesameplank.monitoring.dump import EntryDump
from sesameplank.monitoring.metrics import METRICS
from sesameplank.monitoring.requests import KNOWN_PATHS

REFERENCE = Path(__file__).resolve().parents[2] / "docs" / "ref"
BINARIES: dict[str, type[Command]] = {
    "sesameplank-entry": EntryCommand,
    "sesameplank-query": QueryCommand,
    "sesameplank-check": CheckCommand,
    "sesameplank-state": StateCommand,
    "sesameplank-losses": LossesCommand,
    "sesameplank-story": StoryCommand,
    "sesameplank-ablation": AblationCommand,
    "sesameplank-standin": StandinCommand,
    "sesameplank-load": LoadCommand,
    "sesameplank.commands.demo": DemoCommand,
}
DOCUMENTS = (
    documents.PublishedConfiguration,
    documents.Configuration,
    documents.Target,
    documents.Collection,
    documents.Shard,
    documents.Caller,
    documents.Policy,
    documents.PublishedVms,
    documents.Vm,
)
MESSAGES = (
    messages.SearchRequest,
    messages.Filter,
    messages.Order,
    messages.SearchAnswer,
    messages.Record,
    messages.Explanation,
    messages.ShardExplanation,
    messages.BookingRequest,
    messages.BookingAnswer,
    messages.BookingStatus,
    messages.WriterAnswer,
    Coverage,
    KeyRange,
    MissingRange,
)


def read_sections(page: str) -> dict[str, list[str]]:
    """Return the table rows of a page by the heading above them."""
    sections: dict[str, list[str]] = {}
    heading = ""
    for line in (REFERENCE / page).read_text().splitlines():
        if line.startswith("#"):
            heading = line.lstrip("# ").strip("`")
        elif line.startswith("| `"):
            sections.setdefault(heading, []).append(line)
    return sections


def get_names(rows: list[str]) -> list[str]:
    """Return the names in the first column of table rows."""
    return [re.match(r"\| `([^`]+)`", row).group(1) for row in rows]


def make_row(setting: Setting) -> str:
    """Return the expected table row of a setting."""
    default = setting.default if setting.default != "" else "empty"
    return f"| `--{setting.name}` | `{setting.variable}` | {default} | {setting.help} |"


def describe_default(field: msgspec.structs.FieldInfo) -> str:
    """Return the default of a field as the reference pages state it."""
    if field.default is msgspec.NODEFAULT:
        is_required = field.default_factory is msgspec.NODEFAULT
        return "required" if is_required else "empty"
    if isinstance(field.default, msgspec.Struct):
        return f"by `{field.default.__struct_fields__[0]}`"
    value = getattr(field.default, "value", field.default)
    return "empty" if value in ("", ()) else str(value)


class ReferenceTests(testtools.TestCase):
    """The pages of docs/ref list exactly what the code defines."""

    def check_fields(self, page: str, types: tuple) -> None:
        """Check that a page lists the fields of each type, in order, with defaults."""
        sections = read_sections(page)
        for item in types:
            expected = [
                [f"`{field.encode_name}`", describe_default(field)]
                for field in msgspec.structs.fields(item)
            ]
            rows = sections.get(item.__name__, [])
            listed = [[cell.strip() for cell in row.split("|")[1:3]] for row in rows]
            self.assertEqual(expected, listed, f"{page}: {item.__name__}")

    def test_settings_of_each_binary(self):
        sections = read_sections("settings.md")
        self.assertEqual(
            {name for name, item in BINARIES.items() if item.settings}, set(sections)
        )
        for name, command in BINARIES.items():
            rows = [make_row(setting) for setting in command.settings]
            self.assertEqual(rows, sections.get(name, []), name)

    def test_binaries(self):
        names = get_names(read_sections("binaries.md")["Binaries"])
        self.assertEqual(list(BINARIES), names)

    def test_documents(self):
        self.check_fields("documents.md", DOCUMENTS)

    def test_messages(self):
        self.check_fields("callers-interface.md", MESSAGES)

    def test_endpoints(self):
        names = get_names(read_sections("callers-interface.md")["Endpoints"])
        paths = {"/".join(name.split()[1].split("/")[:3]) for name in names}
        self.assertEqual(KNOWN_PATHS, paths)

    def test_missing_reasons(self):
        names = get_names(read_sections("callers-interface.md")["Reasons"])
        self.assertEqual([item.value for item in MissingReason], names)

    def test_problem_kinds(self):
        rows = read_sections("errors.md")["Kinds"]
        listed = [
            tuple(cell.strip(" `") for cell in row.split("|")[1:3]) for row in rows
        ]
        expected = [(item.value, STATUSES[item].split()[0]) for item in ProblemKind]
        self.assertEqual(expected, listed)

    def test_problem_kinds_handled_by_the_client_exist(self):
        kinds = {item.value for item in ProblemKind} | {"no-answer", "unreachable"}
        self.assertEqual(set(), (FAILOVER_KINDS | RETRY_LATER_KINDS) - kinds)

    def test_metrics(self):
        rows = read_sections("metrics.md")["Metrics"]
        expected = [
            f"| `{item.full_name}` | {item.kind} | {', '.join(item.labels) or '-'} "
            f"| {item.help} |"
            for item in METRICS
        ]
        self.assertEqual(expected, rows)

    def test_requests_of_a_forwarding_process(self):
        names = get_names(
            read_sections("metrics.md")["Requests of a forwarding process"]
        )
        expected = [f"unanswered_{cause.value}" for cause in CloseCause]
        self.assertEqual(
            expected, [name for name in names if name.startswith("unanswered_")]
        )

    def test_dump_fields(self):
        rows = read_sections("metrics.md")["State dump"]
        fields = [item.encode_name for item in msgspec.structs.fields(EntryDump)]
        self.assertEqual(fields, get_names(rows))

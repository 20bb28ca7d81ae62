"""Show from logs where callers lost answers, parts of them or time."""

from ..conf.settings import Setting
from ..exceptions import SettingsError
from ..monitoring.losses import (
    Loss,
    LossRow,
    Outcome,
    find_context,
    find_starts,
    read_outcomes,
    sum_by,
    sum_counters,
    sum_growth,
)
from ..monitoring.timeline import LogLine
from .base import Command, run_command
from .story import find_files, read_lines

EXIT_NOT_FOUND = 1
EXTRA_SPAN_S = 10.0  # Processes log their counters as often.
CAUSES = (Loss.PARTS, Loss.LATE, Loss.REFUSED, Loss.FAILED)
EXTRA_COUNTERS = ("requests", "calls_hedge", "calls_retry", "copies_refused")
COUNTERS = (
    "requests",
    "calls_first",
    "calls_hedge",
    "calls_retry",
    "copies_refused",
    "remote_first",
    "remote_hedge",
    "remote_retry",
    "batches_sent",
    "batched_calls",
    "batches_late",
    "remote_bytes_first",
    "remote_bytes_hedge",
    "remote_bytes_retry",
    "peer_bytes_sent",
    "caller_bytes_read",
    "caller_bytes_written",
)


class LossesCommand(Command):
    """Print the worth that was lost by route, by moment, and by cause."""

    help = (
        "Prints the worth that callers lost, by route and by moment, the extra calls\n"
        "and the starts of processes, from log files, one for each VM:\n"
        "sesameplank-losses FILE_OR_FOLDER..."
    )
    settings = (
        Setting("late_share", 0.1, "Share of its worth that a late answer keeps."),
        Setting("moment_s", 2.0, "Length of a moment in seconds."),
        Setting("min_lost", 0.2, "Least lost share of a moment to print it."),
        Setting("extra_ratio", 0.0, "Extra calls allowed a request; 0 if unknown."),
        Setting("extra_slack", 0.0, "Extra calls allowed besides in 10 s."),
    )

    def handle(self, arguments: list[str], values: dict) -> int:
        """Print the tables; return 1 if the logs have no request."""
        if not arguments:
            raise SettingsError("name the log files to read, one for each VM")
        logs = [list(read_lines(path)) for path in find_files(arguments)]
        outcomes = [
            outcome
            for log in logs
            for outcome in read_outcomes(log, values["late_share"])
        ]
        if not outcomes:
            return EXIT_NOT_FOUND
        self.print_routes(outcomes)
        self.print_moments(outcomes, logs, values["moment_s"], values["min_lost"])
        self.print_extra_calls(logs, values["extra_ratio"], values["extra_slack"])
        self.print_counters(logs)
        self.print_starts(logs)
        return 0

    def print_routes(self, outcomes: list[Outcome]) -> None:
        """Print the sums by route, and over all routes."""
        rows = {"all": LossRow()}
        for outcome in outcomes:
            rows["all"].add(outcome)
        rows |= sum_by(outcomes, lambda item: item.route)
        print(f"{'route':24} requests  lost  {get_cause_titles()}  unused ms")
        for route, row in rows.items():
            print(
                f"{route:24} {row.requests:8} {row.lost_share:5.3f}  "
                f"{format_causes(row)}  {row.mean_unused_ms:9.1f}"
            )

    def print_moments(
        self,
        outcomes: list[Outcome],
        logs: list[list[LogLine]],
        moment_s: float,
        min_lost: float,
    ) -> None:
        """Print the moments in which much was lost, with what happened in them."""
        start = min(item.time for item in outcomes)
        lines = [line for log in logs for line in log]
        print(f"\nfrom second   requests  lost  {get_cause_titles()}  events")
        rows = sum_by(outcomes, lambda item: int((item.time - start) // moment_s))
        for number, row in rows.items():
            if row.lost_share < min_lost:
                continue
            begin = start + number * moment_s
            events = ", ".join(find_context(lines, begin, begin + moment_s))
            print(
                f"{number * moment_s:11.1f} {row.requests:10} {row.lost_share:5.3f}  "
                f"{format_causes(row)}  {events}"
            )

    def print_extra_calls(
        self, logs: list[list[LogLine]], ratio: float, slack: float
    ) -> None:
        """Print hedges and retries by span, and what was left of their bound.

        The bound is for all services together.
        """
        start = min(line.time for log in logs for line in log)
        print(
            "\nfrom second   requests   hedges  retries  not allowed  unused of bound"
        )
        for number, row in sum_growth(logs, start, EXTRA_SPAN_S).items():
            requests, hedges, retries, refused = (
                row.get(name, 0.0) for name in EXTRA_COUNTERS
            )
            bound = ratio * requests + slack
            unused = f"{1.0 - (hedges + retries) / bound:.3f}" if bound else "-"
            print(
                f"{number * EXTRA_SPAN_S:11.1f} {requests:10.0f} {hedges:8.0f} "
                f"{retries:8.0f} {refused:12.0f} {unused:>16}"
            )

    def print_counters(self, logs: list[list[LogLine]]) -> None:
        """Print the counters of calls and bytes, summed over all processes."""
        total: dict[str, float] = {}
        for log in logs:
            for name, value in sum_counters(log).items():
                total[name] = total.get(name, 0.0) + value
        print("\ncounter                    sum")
        for name in COUNTERS:
            print(f"{name:20} {total.get(name, 0.0):9.0f}")

    def print_starts(self, logs: list[list[LogLine]]) -> None:
        """Print how long each process took from its start to its first answer."""
        print("\nprocess                   started       configured s  answered s")
        for log in logs:
            for start in find_starts(log):
                print(
                    f"{start.source:24} {start.time:14.3f} "
                    f"{format_delay(start.configured_s)} "
                    f"{format_delay(start.answered_s)}"
                )


def get_cause_titles() -> str:
    """Return the titles of the columns that `format_causes` fills."""
    return " ".join(f"{cause.value:>13}" for cause in CAUSES)


def format_causes(row: LossRow) -> str:
    """Return the share of the worth that each cause cost."""
    shares = (row.lost.get(cause, 0.0) / max(1, row.requests) for cause in CAUSES)
    return " ".join(f"{share:13.3f}" for share in shares)


def format_delay(delay_s: float | None) -> str:
    """Return a delay in seconds as text, "-" if there was none."""
    return f"{'-':>12}" if delay_s is None else f"{delay_s:12.3f}"


def main() -> None:
    """Run the binary."""
    run_command(LossesCommand())


if __name__ == "__main__":
    main()

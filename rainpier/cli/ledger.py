"""`rainpier ledger`: reports the causes of lost worth from the records of senders."""

from collections import Counter
from collections.abc import Iterator
from pathlib import Path

import click

from ..interface import Action, Event, Settings
from ..observe.fleet import COLUMNS, FleetSummary
from ..observe.ledger import Account, Ledger
from ..observe.recorder import RecordError, replay
from ..policy import Sender

# Tables to print: the attribute of an account by which worth lost is summed, and the heading.
TITLES = {"end": "ended", "cls": "class", "tenant": "tenant", "destination": "destination"}


def read_record(record: Path, summary: FleetSummary) -> Ledger | None:
    """Reads a record into a ledger, and adds it to the summary.

    Returns None if the record has no round; raises RecordError.
    """
    ledgers: list[Ledger] = []

    def rounds() -> Iterator[tuple[float, list[Event], Sender, list[Action]]]:
        """Replays the rounds of the record, and adds each to the ledger."""
        for now, events, sender, actions in replay(record):
            if not ledgers:
                ledgers.append(Ledger(sender.settings))
            ledgers[0].add_round(now, events, sender, actions)
            yield now, events, sender, actions

    summary.add_record(rounds())
    return ledgers[0] if ledgers else None


def display_name(settings: Settings, key: str, value: object) -> str:
    """Returns the name of a class or tenant, and any other value as text."""
    if key == "cls" and isinstance(value, int):
        return settings.classes[value].name
    if key == "tenant" and isinstance(value, int):
        return settings.tenants[value].name if 0 <= value < len(settings.tenants) else "-"
    return str(value)


def print_table(title: str, rows: list[tuple[str, Counter[str]]], columns: list[str]) -> None:
    """Prints the worth lost, a row for each name: the total, and the part that falls to each column."""
    width = max([len(title), *(len(name) for name, _ in rows)])
    click.echo(f"\n{title:<{width}}  " + " ".join(f"{name:>11}" for name in ["worth lost", *columns]))
    for name, sums in rows:
        cells = " ".join(f"{sums[column]:11.1f}" for column in columns)
        click.echo(f"{name:<{width}}  {sums.total():11.1f} {cells}")


def losses_by_arrival(
    accounts: list[Account], begin: float, span_ms: float
) -> list[tuple[str, Counter[str]]]:
    """Sums the worth lost by final status, for each span of arrivals.

    The spans start at `begin` and are `span_ms` long; each is named by its start, in s from `begin`.
    """
    spans: dict[int, Counter[str]] = {}
    for account in accounts:
        spans.setdefault(int((account.arrived_at - begin) // span_ms), Counter())[str(account.end)] += (
            account.worth_lost
        )
    return [(f"{n * span_ms / 1000:.0f} s", sums) for n, sums in sorted(spans.items())]


def print_destination(summary: FleetSummary, destination: int, row_seconds: float) -> None:
    """Prints the counts of all senders at one destination, a row for each `row_seconds`.

    The last line has the shares of the reasons for which messages were held.
    """
    spans = max(1, round(row_seconds * 1000 / summary.span_ms))
    click.echo(f"\ndestination {destination}, all {summary.senders} records together")
    click.echo(f"{'':>7} " + " ".join(f"{name:>13}" for name in COLUMNS))
    for number, row in summary.rows(destination, spans):
        at = number * spans * summary.span_ms / 1000
        click.echo(f"{at:>5.1f} s " + " ".join(f"{row[name]:>13}" for name in COLUMNS))
    reasons = summary.delay_reasons.get(destination, Counter())
    shares = [
        f"{n / reasons.total():.0%} {name}"
        for name, n in reasons.most_common()
        if n * 100 > reasons.total()  # a reason with at most 1 % is left out
    ]
    click.echo(f"held for: {', '.join(shares) or 'nothing'}")


@click.command("ledger")
@click.argument(
    "records", nargs=-1, required=True, type=click.Path(exists=True, dir_okay=False, path_type=Path)
)
@click.option("--span", default=5.0, show_default=True, help="Length of a span of arrivals, in seconds.")
@click.option("--most", default=12, show_default=True, help="Number of destinations to show.")
@click.option(
    "--fleet",
    "fleet_span",
    type=float,
    help="Also sum the calls of all senders, in spans of this length, in seconds.",
)
def command(records: tuple[Path, ...], span: float, most: int, fleet_span: float | None) -> None:
    """Report which messages lost worth, and why, from the records of senders (RAINPIER_RECORD)."""
    summary = FleetSummary()
    try:
        ledgers = [ledger for record in records if (ledger := read_record(record, summary)) is not None]
    except RecordError as error:
        raise click.ClickException(str(error)) from error
    if not ledgers:
        raise click.ClickException(f"none of the {len(records)} records contains a round")
    settings, total = ledgers[0].settings, Counter[str]()
    sums: dict[str, dict[object, Counter[str]]] = {}
    for ledger in ledgers:
        for key in TITLES:
            for value, lost in ledger.by(key).items():
                sums.setdefault(key, {}).setdefault(value, Counter()).update(lost)
        total.update(ledger.count_by_end())
    click.echo(", ".join(f"{count} {end}" for end, count in total.most_common()))
    reasons = [name for name, _ in sum(sums.get("end", {}).values(), Counter[str]()).most_common()]
    for key, title in TITLES.items():
        rows = [(display_name(settings, key, value), lost) for value, lost in sums.get(key, {}).items()]
        print_table(title, sorted(rows, key=lambda row: -row[1].total())[:most], reasons)
    accounts = [account for ledger in ledgers for account in ledger.accounts.values()]
    begin = min(account.arrived_at for account in accounts)
    print_table(
        "handed in",
        losses_by_arrival(accounts, begin, span * 1000),
        ["in time", "late", "refused", "failed", "open"],
    )
    if fleet_span:
        lost = sums.get("destination", {})
        for destination in sorted(summary.spans, key=lambda number: -lost.get(number, Counter()).total())[
            :most
        ]:
            print_destination(summary, destination, fleet_span)

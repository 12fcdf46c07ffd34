"""Commands of `rainpier`: run, status, check, show, reference, store, init, receive, demo and ledger."""

import asyncio
import json
import logging
import signal
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import TypeVar

import click

from .. import __version__
from ..config import check as config_check
from ..config import model as config_model
from ..config import write
from ..config.codes import CODES, explain
from ..config.problem import errors
from ..config.read import Loaded
from ..config.types import Address, Choice, InvalidValue, Text, closest_name
from ..config.units import UnitError, read_duration, read_rate, read_size
from ..config.watch import Unreadable, read_text
from . import ledger

PATH_TYPE = click.Path(path_type=Path)
T = TypeVar("T")
# Exit codes: the input has errors or the command failed; a file cannot be read or the usage is wrong.
EXIT_ERRORS, EXIT_UNREADABLE = 1, 2


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__, prog_name="rainpier")
def main() -> None:
    """Accept messages from programs and deliver each to an endpoint, under the rules of its class."""


main.add_command(ledger.command)


def exit_with_error(text: str, code: int) -> None:
    """Prints the message to standard error and exits with `code`."""
    click.echo(f"rainpier: {text}", err=True)
    sys.exit(code)


def load_config(path: Path) -> Loaded:
    """Reads and checks one configuration file.

    Prints the problems found. Exits with EXIT_UNREADABLE if the file cannot be read and with EXIT_ERRORS
    if it has errors.
    """
    try:
        loaded = config_check.check_text(read_text(path), str(path))
    except Unreadable as error:
        exit_with_error(f"{path}: {error}", EXIT_UNREADABLE)
        raise
    for problem in loaded.problems:
        click.echo(str(problem), err=True)
    if errors(loaded.problems):
        exit_with_error(f"{path}: {len(errors(loaded.problems))} mistakes", EXIT_ERRORS)
    return loaded


# --- run, status ---


def wait_until_readable(path: Path) -> None:
    """Blocks until the file can be read or fails with an error that is not transient."""
    from ..startup import RETRY_PAUSE, is_transient

    while True:
        try:
            path.read_bytes()
        except OSError as error:
            if not is_transient(error):
                return
            logging.getLogger("rainpier").warning("%s: %s; trying again", path, error)
            time.sleep(RETRY_PAUSE)
        else:
            return


@main.command()
@click.option(
    "-c", "--config", "path", type=PATH_TYPE, required=True, help="Configuration file of the sidecar."
)
def run(path: Path) -> None:
    """Run a sidecar until SIGTERM; SIGHUP reloads the configuration."""
    from ..sidecar import Sidecar, StartError
    from ..startup import new_loop

    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s")
    # Ignores SIGHUP before the event loop installs its handler and, below, after it is removed:
    # its default action would end the process.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    wait_until_readable(path)
    loaded = load_config(path)

    async def serve() -> None:
        await Sidecar(loaded.model, path).run()

    try:
        new_loop().run(serve())
    except (StartError, ValueError) as error:
        exit_with_error(str(error), EXIT_ERRORS)
    except OSError as error:
        exit_with_error(str(error), EXIT_ERRORS)
    finally:
        signal.signal(signal.SIGHUP, signal.SIG_IGN)


@main.command()
@click.option(
    "-c", "--config", "path", type=PATH_TYPE, required=True, help="Configuration file of the running sidecar."
)
@click.option("--format", "form", type=click.Choice(["text", "json"]), default="text")
def status(path: Path, form: str) -> None:
    """Print the status of a running sidecar, and the result of its last reload."""
    from ..control.server import ask

    try:  # a file with errors is accepted, too: only its state folder is needed
        loaded = config_check.parse(read_text(path), str(path))
    except Unreadable as error:
        return exit_with_error(f"{path}: {error}", EXIT_UNREADABLE)
    if not loaded.model.sidecar.state:
        return exit_with_error(f"{path}: sidecar.state is missing or invalid", EXIT_ERRORS)
    socket = config_model.path_of(loaded.model, loaded.model.sidecar.state) / config_check.CONTROL_SOCKET_NAME
    try:
        reply = ask(socket, "status")
    except (OSError, ValueError) as error:
        return exit_with_error(f"no sidecar answers at {socket}: {error}", EXIT_ERRORS)
    click.echo(json.dumps(reply) if form == "json" else format_status(reply))


def format_status(reply: dict) -> str:
    """Formats the reply to the control command `status` as lines of text."""
    rows = [
        f"{reply['name']} (process {reply['pid']}) serves on {reply['listen']}, up {reply['up_s']:.0f} s",
        f"messages: {reply['held']} held, {reply['out']} of them in flight; "
        f"{reply['ends_waiting']} final statuses not yet reported; "
        f"store {reply['store_bytes']} of {reply['disk_bytes']} bytes; {reply['clients']} clients",
    ]
    if reply["no_room"]:
        rows.append("no room on the disk to record attempts: no message is accepted or sent until there is")
    for name, dest in reply["destinations"].items():
        endpoints = ", ".join(f"{endpoint} {state}" for endpoint, state in dest["endpoints"].items())
        rows.append(f"destination {name} ({dest['number']}): {dest['held']} held; {endpoints}")
    reload = reply["reload"]
    rows.append(f"reloads: {reload['applied']} applied, {reload['rejected']} rejected")
    if last := reload["last"]:
        age = max(0.0, time.time() - last["at"])
        rows.append(f"last reload, {age:.0f} s ago: {last['result']}")
        rows += [f"  {text}" for text in last["details"]]
    return "\n".join(rows)


# --- check, show, reference ---


@main.command()
@click.argument("paths", nargs=-1, type=PATH_TYPE)
@click.option("--format", "form", type=click.Choice(["text", "json"]), default="text")
@click.option("--explain", "code", metavar="CODE", help="Explain the rule behind a code, and exit.")
def check(paths: tuple[Path, ...], form: str, code: str | None) -> None:
    """Check configuration files, or all *.toml files of folders: each alone, and all against each other.

    Exit codes: 0: no mistakes, perhaps warnings; 1: mistakes; 2: a file cannot be read.
    """
    if code:
        normalized = code.upper()
        if normalized not in CODES:
            suggestion = closest_name(normalized, list(CODES))
            return exit_with_error(
                f"unknown code {code!r}" + (f"; did you mean {suggestion}?" if suggestion else ""),
                EXIT_UNREADABLE,
            )
        return click.echo(explain(normalized), nl=False)
    if not paths:
        return exit_with_error("no file or folder given; name at least one", EXIT_UNREADABLE)
    texts, unreadable = [], []
    for folder in [path for path in paths if path.is_dir() and not list(path.glob("*.toml"))]:
        # Reported, because otherwise an empty folder would pass as free of errors.
        unreadable.append((str(folder), "the folder contains no *.toml file"))
    for path in config_check.find(paths):
        try:
            texts.append((str(path), read_text(path)))
        except Unreadable as error:
            unreadable.append((str(path), str(error)))
    files = config_check.check_files(texts)
    print_problems(files, unreadable, form)
    has_errors = any(errors(loaded.problems) for loaded in files)
    sys.exit(EXIT_UNREADABLE if unreadable else EXIT_ERRORS if has_errors else 0)


def print_problems(files: list[Loaded], unreadable: list[tuple[str, str]], form: str) -> None:
    """Prints all problems and, as text, their counts; `unreadable` holds pairs of a path and a reason."""
    problems = [problem for loaded in files for problem in loaded.problems]
    if form == "json":
        rows = [
            {"code": "E100", "severity": "error", "file": file, "message": text} for file, text in unreadable
        ]
        return click.echo(json.dumps([*rows, *(problem.as_json() for problem in problems)], indent=1))
    for file, text in unreadable:
        click.echo(f"{file}: error[E100]: {text}")
    for problem in problems:
        click.echo(str(problem))
    error_count, warning_count = (
        len(errors(problems)) + len(unreadable),
        len(problems) - len(errors(problems)),
    )
    click.echo(f"{len(files) + len(unreadable)} files: {error_count} mistakes, {warning_count} warnings")


@main.command()
@click.argument("path", metavar="FILE", type=PATH_TYPE)
def show(path: Path) -> None:
    """Print the effective configuration: every setting, with its value and origin."""
    click.echo(write.show(load_config(path)), nl=False)


@main.command()
def reference() -> None:
    """Print the reference page of all settings and codes."""
    click.echo(write.reference(), nl=False)


# --- store ---


@main.group()
def store() -> None:
    """Inspect or repair a state folder. Only `repair` writes to it."""


def read_folder(operation: Callable[[], T]) -> T:
    """Returns the result of an operation on a state folder; exits with EXIT_UNREADABLE if it fails."""
    from ..store.files import FolderInUse
    from ..store.records import Unreadable as UnreadableRecord
    from ..store.store import StoreError

    try:
        return operation()
    except (OSError, UnreadableRecord, FolderInUse, StoreError) as error:
        exit_with_error(str(error), EXIT_UNREADABLE)
        raise


@store.command("check")
@click.argument("folder", type=PATH_TYPE)
def store_check(folder: Path) -> None:
    """Report each damage with its byte offset and the affected messages. Exit code 1: damage was found."""
    from ..store import tool

    lines = read_folder(lambda: list(tool.check(folder)))
    for line in lines:
        click.echo(line)
    damaged = any("damage: " in line for line in lines)
    click.echo("damaged" if damaged else "no damage")
    sys.exit(EXIT_ERRORS if damaged else 0)


@store.command("dump")
@click.argument("folder", type=PATH_TYPE)
def store_dump(folder: Path) -> None:
    """Print each record as a JSON object on one line, with the size of a body instead of its content."""
    from ..store import tool

    for line in read_folder(lambda: list(tool.dump(folder))):
        click.echo(line)


@store.command("stat")
@click.argument("folder", type=PATH_TYPE)
def store_stat(folder: Path) -> None:
    """Print a summary of the folder as JSON."""
    from ..store import tool

    click.echo(json.dumps(read_folder(lambda: tool.stat(folder)), indent=1))


@store.command("repair")
@click.argument("folder", type=PATH_TYPE)
@click.option(
    "--write", "really", is_flag=True, help="Perform the repair; by default only the findings are printed."
)
def store_repair(folder: Path, really: bool) -> None:
    """Write all recoverable records to a new segment and move the old segments to another folder.

    The sidecar must be stopped.
    """
    from ..store import tool

    if not really:
        for line in read_folder(lambda: list(tool.check(folder))):
            click.echo(line)
        return click.echo("nothing was written; use --write to repair")
    click.echo(read_folder(lambda: tool.repair(folder)))


# --- init ---


@main.command()
@click.argument("app")
@click.option(
    "-o", "--output", type=PATH_TYPE, help="File to write; APP.toml by default, - for standard output."
)
@click.option("--force", is_flag=True, help="Overwrite an existing file.")
@click.option(
    "--listen", default="127.0.0.1:6379", show_default=True, help="IP:PORT on which clients submit messages."
)
@click.option(
    "--class",
    "classes",
    multiple=True,
    metavar="NAME:EFFECT[:AIM[:DEADLINE[:ORDER-BY]]]",
    help="A class, like render:keyed:2s:60s:video. Effects: safe, keyed, unsafe.",
)
@click.option(
    "--destination",
    "destinations",
    multiple=True,
    metavar="NAME=NUMBER@RATE,IP:PORT[,IP:PORT...]",
    help="A destination, like thumbs=1@50/s,10.0.0.1:8080,10.0.0.2:8080; amqp:10.0.0.3:5672 for a broker.",
)
@click.option("--body", default="4 KiB", show_default=True, help="Typical size of a message body.")
@click.option("--memory", default="256 MiB", show_default=True)
@click.option("--disk", default="64 MiB", show_default=True)
@click.option("--sockets", default=1024, show_default=True, type=click.IntRange(96, 1_000_000))
@click.option(
    "--amqp", default="", metavar="IP:PORT", help="Also accept messages over AMQP 0-9-1 on this address."
)
@click.option(
    "--sink",
    default="",
    metavar="IP:PORT",
    help="Send notifications to this address over HTTP, not to a file.",
)
@click.option(
    "--ask/--no-ask", default=None, help="Prompt for what the options leave open; by default on a terminal."
)
def init(
    app: str,
    output: Path | None,
    force: bool,
    listen: str,
    classes: tuple[str, ...],
    destinations: tuple[str, ...],
    body: str,
    memory: str,
    disk: str,
    sockets: int,
    amqp: str,
    sink: str,
    ask: bool | None,
) -> None:
    """Write a commented configuration for the application APP, which passes `rainpier check`."""
    ask = sys.stdin.isatty() if ask is None else ask
    try:
        Text("name", config_model.NAME).read(app)
        Address(numeric=True, least_port=0).read(listen)
        if sink:
            Address(numeric=True).read(sink)
        if amqp:
            Address(numeric=True, least_port=0).read(amqp)
        new = write.New(
            app,
            listen,
            [parse_class(text) for text in classes],
            [parse_destination(text) for text in destinations],
            read_size(body),
            read_size(memory),
            read_size(disk),
            sockets,
            sink,
            amqp,
        )
    except (InvalidValue, UnitError) as error:
        return exit_with_error(f"{error}; {getattr(error, 'hint', '')}".rstrip("; "), EXIT_UNREADABLE)
    if ask:
        prompt_for_missing(new)
    add_examples(new)
    write_checked(new, output or Path(f"{app}.toml"), force)


def write_checked(new: write.New, path: Path, force: bool) -> None:
    """Writes the new configuration to `path` (`-`: standard output), unless `check` would reject it."""
    text = write.init(new)
    found_errors = errors(config_check.check_text(text, str(path)).problems)
    if found_errors:
        for problem in found_errors:
            click.echo(str(problem), err=True)
        return exit_with_error(
            "the options or answers violate the rules above; nothing was written", EXIT_ERRORS
        )
    if str(path) == "-":
        return click.echo(text, nl=False)
    try:
        with path.open("w" if force else "x") as file:
            file.write(text)
    except FileExistsError:
        return exit_with_error(f"{path} already exists; use --force to overwrite it", EXIT_UNREADABLE)
    except OSError as error:
        return exit_with_error(str(error), EXIT_UNREADABLE)
    click.echo(f"{path} written. Next:  rainpier check {path}   and   rainpier run -c {path}")


def parse_class(text: str) -> write.NewClass:
    """Parses NAME:EFFECT[:AIM[:DEADLINE[:ORDER-BY]]]; raises InvalidValue or UnitError."""
    name, *rest = text.split(":")
    Text("name", config_model.NAME).read(name)
    effect, aim, deadline, order_by = (rest + ["", "", "", ""])[:4]
    cls = write.NewClass(name, Choice(tuple(write.EFFECTS)).read(effect or "safe"))
    cls.aim = read_duration(aim) if aim else cls.aim
    cls.deadline = read_duration(deadline) if deadline else cls.deadline
    cls.order_by = order_by
    return cls


DEFAULT_RATE = 50.0  # calls a second, of a destination given without a rate
MAX_AIM = 2000.0  # ms; the aim of a class must not exceed its deadline, so a shorter deadline replaces it
BROKER_PREFIX = "amqp:"  # marks the address of an AMQP broker


def parse_destination(text: str) -> write.NewDestination:
    """Parses NAME=NUMBER@RATE,IP:PORT[,IP:PORT...]; raises InvalidValue or UnitError."""
    head, *endpoints = text.split(",")
    name, _, rest = head.partition("=")
    number, _, rate = rest.partition("@")
    Text("name", config_model.NAME).read(name)
    if not number.isascii() or not number.isdigit():
        raise InvalidValue(
            "E104", f"{number!r} is not a valid destination number", "write NAME=NUMBER@RATE,IP:PORT"
        )
    is_broker = [endpoint.startswith(BROKER_PREFIX) for endpoint in endpoints]
    endpoints = [endpoint.removeprefix(BROKER_PREFIX) for endpoint in endpoints]
    for endpoint in endpoints:
        Address(numeric=True).read(endpoint)
    if any(is_broker) and not all(is_broker):
        raise InvalidValue(
            "E302", f"destination {name!r} mixes AMQP brokers with HTTP endpoints", "use two destinations"
        )
    return write.NewDestination(
        name, int(number), endpoints, read_rate(rate) if rate else DEFAULT_RATE, any(is_broker)
    )


def prompt_for_missing(new: write.New) -> None:
    """Prompts for classes and destinations, which have no useful defaults."""
    while not new.classes or click.confirm("Add another class of messages?", default=False):
        name = click.prompt(
            "Name of the class", default="notice" if not new.classes else None, value_proc=parse_name
        )
        effect = click.prompt(
            "Effect of a duplicate (safe: none, keyed: dropped by its key, unsafe: harm)",
            type=click.Choice(list(write.EFFECTS)),
            default="safe",
        )
        deadline = click.prompt("Deadline", default="20 s", value_proc=prompt_parser(read_duration))
        order_by = click.prompt("Key that keeps order (like video or account; empty: no order)", default="")
        new.classes.append(write.NewClass(name, effect, min(MAX_AIM, deadline), deadline, order_by))
    while not new.destinations or click.confirm("Add another destination?", default=False):
        name = click.prompt("Name of the destination", value_proc=parse_name)
        endpoints = click.prompt("Endpoints (IP:PORT, separated by commas)", value_proc=parse_addresses)
        rate = click.prompt(
            "Approximate rate of calls that it accepts", default="50/s", value_proc=prompt_parser(read_rate)
        )
        number = max((destination.number for destination in new.destinations), default=0) + 1
        new.destinations.append(write.NewDestination(name, number, endpoints, rate))


def parse_name(text: str) -> str:
    """Parses a name at a prompt; raises click.UsageError, upon which click prompts again."""
    try:
        return Text("name", config_model.NAME).read(text)
    except InvalidValue as wrong:
        raise click.UsageError(f"{wrong}; {wrong.hint}") from wrong


def parse_addresses(text: str) -> list[str]:
    """Parses IP:PORT,... at a prompt; raises click.UsageError, upon which click prompts again."""
    try:
        parts = [part.strip() for part in text.split(",")]
        for part in parts:
            Address(numeric=True).read(part)
        return parts
    except InvalidValue as wrong:
        raise click.UsageError(f"{wrong}; {wrong.hint}") from wrong


def prompt_parser(read):  # noqa: ANN001, ANN201
    """Wraps `read` for a prompt: UnitError becomes click.UsageError, upon which click prompts again."""

    def parse(text: str) -> float:
        try:
            return read(text)
        except UnitError as error:
            raise click.UsageError(str(error)) from error

    return parse


def add_examples(new: write.New) -> None:
    """Adds example classes and an example destination, to be edited, where none were given."""
    if not new.classes:
        new.classes = [
            write.NewClass("notice"),
            write.NewClass("order", "keyed", order_by="video"),
            write.NewClass("charge", "unsafe"),
        ]
    if not new.destinations:
        new.destinations = [write.NewDestination("example", 1, ["127.0.0.1:8080"])]


# --- demo, receive ---


@main.command()
@click.option("--port", default=8080, show_default=True, type=click.IntRange(0, 65535))
def receive(port: int) -> None:
    """Run a test endpoint on 127.0.0.1 that accepts and prints every message."""
    from ..demo.receivers import print_messages

    try:
        asyncio.run(print_messages(port, lambda text: click.echo(text)))
    except KeyboardInterrupt:
        return
    except OSError as error:
        exit_with_error(str(error), EXIT_ERRORS)


@main.command()
@click.option("--messages", default=1000, show_default=True, type=click.IntRange(1, 1_000_000))
@click.option("--front", default="resp", type=click.Choice(["resp", "amqp"]), help="Protocol of the clients.")
@click.option(
    "--carrier", default="http", type=click.Choice(["http", "amqp"]), help="Protocol of the endpoints."
)
def demo(messages: int, front: str, carrier: str) -> None:
    """Run a sidecar with receivers that are slow, reject calls, fail and recover; print the results."""
    from ..demo.run import demo as start

    report = start(messages, lambda text: click.echo(text), front, carrier)
    click.echo(report.table())
    click.echo(report.line())
    sys.exit(0 if report.good else EXIT_ERRORS)

"""Reads a configuration file's text into the model, with each value's position and all format problems.

No I/O. The rules over several values are in check.py.
"""

from dataclasses import MISSING, dataclass, field
from pathlib import Path
from typing import Any

from . import model as schema
from .problem import Problem
from .toml import Array, Document, Item, Position, Table, Value, plain_value, read
from .types import InvalidValue, abbreviated, closest_name, type_name

KeyPath = tuple[str | int, ...]  # path of a setting in the file, like ("class", "notice", "aim")
TOP_LEVEL_NAMES = (*schema.SECTIONS, *schema.NAMED_TABLES, "version")
MAX_NAMED_TABLES = 100_000  # kinds, or destinations, in a file
MAX_CLASSES = 200  # classes in a file


@dataclass
class Loaded:
    """Content of one file: the model as far as it could be read, the positions, and the problems."""

    file: str
    lines: list[str]
    model: schema.Model
    positions: dict[KeyPath, Position] = field(default_factory=dict)  # positions of values
    names: dict[KeyPath, Position] = field(default_factory=dict)  # positions of names and headers
    problems: list[Problem] = field(default_factory=list)
    # Settings with an invalid value, or probably meant by a mistyped name: both are reported already.
    invalid: set[KeyPath] = field(default_factory=set)
    complete: bool = True  # no syntax error: a setting that was not found is really missing

    def position(self, where: KeyPath) -> Position:
        """Returns a value's position, else that of the closest enclosing table, else the file's start."""
        while where:
            for known in (self.positions, self.names):
                if where in known:
                    return known[where]
            where = where[:-1]
        return Position(1, 1)

    def add(
        self,
        code: str,
        where: KeyPath | Position,
        text: str,
        hint: str = "",
        other: "Loaded | None" = None,
        other_where: KeyPath = (),
    ) -> None:
        """Adds a problem; `other` and `other_where` name the setting that is contradicted, if any."""
        position = where if isinstance(where, Position) else self.position(where)
        line = self.lines[position.line - 1] if position.line <= len(self.lines) else ""
        contradicted = other or (self if other_where else None)
        self.problems.append(
            Problem(
                code,
                self.file,
                position,
                text,
                hint,
                line,
                contradicted.file if contradicted else "",
                contradicted.position(other_where).line if contradicted else 0,
            )
        )

    def is_given(self, *where: str | int) -> bool:
        """Returns whether the file gives this setting itself."""
        return where in self.positions

    def is_invalid(self, *where: str | int) -> bool:
        """Returns whether the file gives an invalid value for this setting, which is reported already."""
        return where in self.invalid


class ModelBuilder:
    """Builds the model from a document's tables."""

    def __init__(self, document: Document, file: str) -> None:
        self.document = document
        self.loaded = Loaded(file, document.lines, schema.Model.__new__(schema.Model))
        self.loaded.complete = not any(not mistake.duplicate for mistake in document.mistakes)

    def build(self) -> Loaded:
        """Reads the whole document."""
        for mistake in self.document.mistakes:
            self.loaded.add("E102" if mistake.duplicate else "E101", mistake.position, mistake.text)
        self.syntax_error_lines = {
            mistake.position.line for mistake in self.document.mistakes if not mistake.duplicate
        }
        root, loaded = self.document.table, self.loaded
        for name, item in root.items.items():
            if name not in TOP_LEVEL_NAMES:
                self.report_unknown(root, name, TOP_LEVEL_NAMES, "at the top level of the file")
            elif name != "version" and not isinstance(item, Table):
                position = (
                    item.position
                    if not isinstance(item, Array) or not item.from_headers
                    else root.names[name]
                )
                loaded.add(
                    "E104",
                    position,
                    f"{name!r} is {type_name(plain_value(item))}, not a table",
                    f"write it as a table: [{name}]",
                )
        self.check_version(root)
        values = {name: self.read_section(root, name, kind) for name, kind in schema.SECTIONS.items()}
        values |= {
            attribute: self.read_named(root, name, kind)
            for name, (attribute, kind) in schema.NAMED_TABLES.items()
        }
        loaded.model = schema.Model(**values, file=Path(loaded.file))
        if not loaded.model.kinds:
            loaded.model.kinds[schema.DEFAULT_KIND] = schema.Kind()
        return loaded

    def check_version(self, root: Table) -> None:
        """Checks the version of the file's format."""
        item = root.items.get("version")
        if item is None:
            if self.loaded.complete:
                self.loaded.add(
                    "E107",
                    Position(1, 1),
                    "the file has no version",
                    f"add at the top: version = {schema.VERSION}",
                )
        elif not isinstance(item, Value) or isinstance(item.value, bool) or item.value != schema.VERSION:
            self.loaded.add(
                "E111",
                item.position,
                f"version {abbreviated(plain_value(item))} of the file format is not supported",
                f"use version = {schema.VERSION}",
            )

    def unreliable(self, table: Table, position: Position) -> bool:
        """Returns whether a syntax error in this line, or earlier in this table, may cause a problem here."""
        return position.line in self.syntax_error_lines or 0 < table.first_error_line <= position.line

    def report_unknown(self, table: Table, name: str, names: tuple[str, ...], where: str) -> None:
        """Reports an unknown name, with the known name that it resembles."""
        if self.unreliable(table, table.names[name]):
            return
        closest = closest_name(name, names)
        hint = f"did you mean {closest!r}?" if closest else f"known names: {', '.join(sorted(names))}"
        self.loaded.add("E103", table.names[name], f"unknown name {name!r} {where}", hint)

    def read_section(self, root: Table, name: str, kind: type) -> Any:  # noqa: ANN401
        """Reads the table [name]; reports a missing one if it has required settings."""
        table = root.items.get(name)
        if isinstance(table, Table):
            self.loaded.names[(name,)] = root.names[name]
            return self.read_table(table, kind, (name,), f"in [{name}]")
        needed = [n for n, _, default in schema.settings_of(kind) if default is MISSING]
        if table is None and needed and self.loaded.complete:
            self.loaded.add(
                "E107", Position(1, 1), f"the file has no table [{name}]", f"add it with: {', '.join(needed)}"
            )
        return self.read_table(Table(Position(1, 1), first_error_line=1), kind, (name,), "")

    def read_named(self, root: Table, name: str, kind: type) -> dict[str, Any]:
        """Reads all tables [name.ENTRY], by the name of the entry."""
        table, found = root.items.get(name), {}
        if not isinstance(table, Table):
            return found
        self.loaded.names[(name,)] = root.names[name]
        for entry, item in table.items.items():
            where = (name, entry)
            self.loaded.names[where] = table.names[entry]
            if not isinstance(item, Table):
                self.loaded.add(
                    "E104",
                    table.names[entry],
                    f"{entry!r} is {type_name(plain_value(item))}, not a table",
                    f"write it as a table: [{name}.NAME]",
                )
                continue
            try:
                schema.t.Text("name", schema.NAME).read(entry)
            except InvalidValue as error:
                self.loaded.add(error.code, table.names[entry], str(error), error.hint)
            found[entry] = self.read_table(item, kind, where, f"in [{name}.{entry}]")
            if len(found) > (MAX_CLASSES if name == "class" else MAX_NAMED_TABLES):
                limit = len(found) - 1
                self.loaded.add(
                    "E106",
                    table.names[entry],
                    f"more than {limit} tables [{name}.NAME]",
                    f"use at most {limit}",
                )
                break
        return found

    def read_table(self, table: Table, kind: type, where: KeyPath, text: str) -> Any:  # noqa: ANN401
        """Reads one table; an invalid value leaves the default, or None for a required setting."""
        known = {name: setting for name, setting, _ in schema.settings_of(kind)}
        names = (*known, "endpoints") if kind is schema.Destination else tuple(known)
        values: dict[str, Any] = {}
        for name, item in table.items.items():
            if name not in names:
                self.report_unknown(table, name, names, text)
                self.loaded.invalid.add((*where, closest_name(name, names)))  # probably meant, so not missing
            elif name == "endpoints" and kind is schema.Destination:
                self.loaded.names[(*where, name)] = table.names[name]
                values[name] = self.read_endpoints(item, (*where, name))
            else:
                self.read_value(
                    item, known[name], (*where, name), values, name, self.unreliable(table, item.position)
                )
        for name, _, default in schema.settings_of(kind):
            if default is MISSING and name not in values:
                reported = (
                    name in table.items or self.loaded.is_invalid(*where, name) or table.first_error_line
                )
                if not reported and self.loaded.complete:
                    self.loaded.add(
                        "E107",
                        self.loaded.position(where),
                        f"{name!r} is missing {text}",
                        f"{known[name].doc} ({known[name].type.described})",
                    )
                values[name] = None  # the rules skip None: its own problem is reported already
        return kind(**values)

    def read_value(
        self, item: Item, setting: schema.Setting, where: KeyPath, values: dict[str, Any], name: str,
        unreliable: bool = False,
    ) -> None:  # fmt: skip
        """Reads one value into `values`; `unreliable`: an invalid value is not reported."""
        self.loaded.positions[where] = item.position
        try:
            values[name] = setting.type.read(plain_value(item))
        except InvalidValue as error:
            self.loaded.invalid.add(where)
            if unreliable:
                return
            self.loaded.add(error.code, self.invalid_position(item, setting), str(error), error.hint)

    def invalid_position(self, item: Item, setting: schema.Setting) -> Position:
        """Returns the position of the first invalid element of a list, else of the value."""
        if isinstance(item, Array) and isinstance(setting.type, schema.t.Many):
            for part in item.items:
                try:
                    setting.type.of.read(plain_value(part))
                except InvalidValue:
                    return part.position
        return item.position

    def read_endpoints(self, item: Item, where: KeyPath) -> list[schema.Endpoint]:
        """Reads a destination's endpoints, each an address or a table."""
        if not isinstance(item, Array):
            self.loaded.invalid.add(where)
            self.loaded.add(
                "E104",
                item.position,
                f"endpoints is {type_name(plain_value(item))}, not a list",
                'expected a list: endpoints = ["10.1.0.18:8080"]',
            )
            return []
        found = []
        for number, part in enumerate(item.items):
            part_where = (*where, number)
            self.loaded.names[part_where] = part.position
            if isinstance(part, Table):
                endpoint = self.read_table(part, schema.Endpoint, part_where, "in an endpoint")
            else:
                values: dict[str, Any] = {"address": None}
                setting = {n: s for n, s, _ in schema.settings_of(schema.Endpoint)}["address"]
                self.read_value(part, setting, (*part_where, "address"), values, "address")
                endpoint = schema.Endpoint(**values)
            found.append(endpoint)
        return found


def parse(text: str, file: str) -> Loaded:
    """Parses a file's text; the problems are those of its format, without the rules of check.py."""
    return ModelBuilder(read(text), file).build()

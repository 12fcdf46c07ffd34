"""TOML with the place of every name and value, all mistakes in one go (TOML 1.0.0). No input or output.

tree-sitter's grammar gives the places and goes on after a mistake; tomllib, the standard library's reader, is
the authority on what is valid, and reads each single value: what it refuses is refused here too.
"""

import re
import tomllib
from dataclasses import dataclass, field
from functools import cache
from typing import Any

import tree_sitter
import tree_sitter_toml

AT = re.compile(r" \(at (?:line (\d+), column (\d+)|end of document)\)$")
DOUBLED = ("overwrite", "declare", "mutate", "Duplicate", "expand")  # tomllib's words for names given twice
PLAIN = re.compile(r'"[^"\\\x00-\x1f\x7f]*"')
MAX_FILE = 4 << 20  # bytes
MAX_DEPTH = 32  # of lists and tables inside one another


@dataclass(frozen=True, slots=True)
class Place:
    """Where something stands: line and column from 1, in characters; how many of the line it covers."""

    line: int
    column: int
    length: int = 1


@dataclass(slots=True)
class Value:
    """A single value."""

    value: Any
    place: Place


@dataclass(slots=True)
class Array:
    items: list["Item"]
    place: Place
    of_tables: bool = False  # made by [[name]]


@dataclass(slots=True)
class Table:
    place: Place  # of the header's name, or of the whole where it has no header
    items: dict[str, "Item"] = field(default_factory=dict)
    names: dict[str, Place] = field(default_factory=dict)  # of each name
    headed: bool = False  # has a [header] of its own
    closed: bool = False  # written inline: nothing can be added
    dotted: bool = False  # made by a dotted name: a header can't open it again
    broken: int = 0  # line of its first mistake: what follows may belong elsewhere


Item = Value | Array | Table


@dataclass(frozen=True, slots=True)
class Mistake:
    """What can't be read: a doubled name, or anything else against the grammar."""

    place: Place
    text: str
    doubled: bool = False
    first: Place | None = None  # where the name stood first


@dataclass(slots=True)
class Document:
    table: Table
    lines: list[str]
    mistakes: list[Mistake]


@cache
def parser() -> tree_sitter.Parser:
    return tree_sitter.Parser(tree_sitter.Language(tree_sitter_toml.language()))


def plain(item: Item) -> Any:  # noqa: ANN401
    """The value without its places, as tomllib gives it."""
    if isinstance(item, Value):
        return item.value
    if isinstance(item, Array):
        return [plain(part) for part in item.items]
    return {name: plain(part) for name, part in item.items.items()}


class Reader:
    """Walks the grammar's tree once."""

    def __init__(self, text: str) -> None:
        self.lines = text.split("\n")
        self.mistakes: list[Mistake] = []
        self.root = Table(Place(1, 1))
        self.data = text.encode()

    def read(self) -> Document:
        tree = parser().parse(self.data).root_node
        table = self.root
        for node in tree.children:
            if node.type == "pair":
                self.pair(node, table)
            elif node.type in ("table", "table_array_element"):
                self.section(node)
            elif node.is_error or node.is_missing:
                self.broken(node, self.root)
        self.confirm()
        self.mistakes.sort(key=lambda m: (m.place.line, m.place.column))
        return Document(self.root, self.lines, self.mistakes)

    # --- places ---

    def place(self, node: tree_sitter.Node) -> Place:
        (row, at), (last, end) = node.start_point, node.end_point
        line = self.lines[row] if row < len(self.lines) else ""
        if line.isascii():  # bytes are characters
            until = end if last == row else len(line.rstrip())
            return Place(row + 1, at + 1, max(1, until - at))
        column = len(line.encode()[:at].decode("utf-8", "ignore"))
        until = len(line.encode()[:end].decode("utf-8", "ignore")) if last == row else len(line.rstrip())
        return Place(row + 1, column + 1, max(1, until - column))

    # --- mistakes ---

    def wrong(self, place: Place, text: str) -> None:
        if all(
            other.place.line != place.line for other in self.mistakes
        ):  # one a line: the rest follows from it
            self.mistakes.append(Mistake(place, text))

    def doubled(self, name: str, place: Place, first: Place) -> None:
        text = f"{name!r} is given twice: first in line {first.line}"
        self.mistakes.append(Mistake(place, text, True, first))

    def broken(self, node: tree_sitter.Node, table: Table) -> None:
        table.broken = min(table.broken or node.start_point[0] + 1, node.start_point[0] + 1)
        text = (node.text or b"").decode("utf-8", "replace").split("\n")[0].strip()
        self.wrong(self.place(node), f"not TOML: {text[:60]!r}" if text else "not TOML")

    def confirm(self) -> None:
        """What tomllib refuses and the walk did not see."""
        try:
            tomllib.loads(self.data.decode())
        except (ValueError, RecursionError) as error:
            found = AT.search(str(error))
            text = AT.sub("", str(error))
            if any(word in text for word in DOUBLED) and any(m.doubled for m in self.mistakes):
                return
            if found and found[1]:
                line, column = int(found[1]), int(found[2])
            else:  # the end of the document is where its last text ends
                line = max((n for n, text in enumerate(self.lines, 1) if text.strip()), default=1)
                column = len(self.lines[line - 1]) + 1
            near = [m for m in self.mistakes if not m.doubled and m.place.line <= line]
            if not near:  # an earlier mistake's follow-up is not told again
                self.wrong(Place(line, column), f"not TOML: {text}")

    # --- the tree ---

    def keys(self, node: tree_sitter.Node) -> list[tuple[str, Place]]:
        if node.type == "dotted_key":
            return [key for child in node.named_children for key in self.keys(child)]
        text = (node.text or b"").decode()
        if node.type == "quoted_key":
            try:
                text = next(iter(tomllib.loads(text + " = 0")))
            except ValueError:
                self.wrong(self.place(node), f"a name that can't be read: {text[:60]}")
        return [(text, self.place(node))]

    def section(self, node: tree_sitter.Node) -> None:
        named = [child for child in node.named_children if child.type.endswith("_key")]
        if not named:
            return self.broken(node, self.root)
        *path, (name, place) = self.keys(named[0])
        table: Table | None = self.root
        for part, at in path:
            table = self.enter(table, part, at, header=True)
            if table is None:
                break
        if table is None:
            table = Table(place)  # what can't be placed is still read, for its own mistakes
        target = self.headed(table, name, place, node.type == "table_array_element")
        for child in node.children:
            if child.type == "pair":
                self.pair(child, target)
            elif child.is_error or child.is_missing:
                self.broken(child, target)

    def headed(self, table: Table, name: str, place: Place, many: bool) -> Table:
        """The table that a header begins."""
        fresh, there = Table(place, headed=True), table.items.get(name)
        if many and (there is None or isinstance(there, Array) and there.of_tables):
            if there is None:
                table.items[name], table.names[name] = Array([fresh], place, of_tables=True), place
            else:
                there.items.append(fresh)
            return fresh
        if isinstance(there, Table) and not (many or there.headed or there.closed or there.dotted):
            there.headed, there.place = True, place
            table.names[name] = place
            return there
        if there is None:
            table.items[name], table.names[name] = fresh, place
        else:
            self.doubled(name, place, table.names[name])
        return fresh

    def enter(self, table: Table, name: str, place: Place, header: bool = False) -> Table | None:
        """The table of that name inside another, made where there is none; None: it is something else."""
        item = table.items.get(name)
        if item is None:
            item = table.items[name] = Table(place, dotted=not header)
            table.names[name] = place
        if header and isinstance(item, Array) and item.of_tables:
            item = item.items[-1]
        if not isinstance(item, Table) or item.closed:
            self.doubled(name, place, table.names[name])
            return None
        return item

    def pair(self, node: tree_sitter.Node, table: Table, depth: int = 0) -> None:
        named = [child for child in node.named_children if not child.is_error and child.type != "comment"]
        if len(named) != 2 or node.has_error:
            self.broken(node, table)
            if len(named) != 2:
                return
        *path, (name, place) = self.keys(named[0])
        target: Table | None = table
        for part, at in path:
            target = self.enter(target, part, at)
            if target is None:
                return
        value = self.value(named[1], depth)
        if value is None:
            return
        if name in target.items:
            return self.doubled(name, place, target.names[name])
        target.items[name], target.names[name] = value, place

    def value(self, node: tree_sitter.Node, depth: int) -> Item | None:
        place = self.place(node)
        if depth > MAX_DEPTH:
            return self.wrong(place, f"lists and tables stand more than {MAX_DEPTH} deep in one another")
        if node.type == "array":
            parts = (self.value(child, depth + 1) for child in node.named_children
                     if child.type != "comment" and not child.is_error)  # fmt: skip
            return Array([part for part in parts if part is not None], place)
        if node.type == "inline_table":
            table = Table(place)
            for child in node.named_children:
                if child.type == "pair":
                    self.pair(child, table, depth + 1)
            table.closed = True
            return table
        text = (node.text or b"").decode()
        if PLAIN.fullmatch(text):
            return Value(text[1:-1], place)
        try:
            return Value(tomllib.loads(f"v = {text}")["v"], place)
        except ValueError as error:
            return self.wrong(place, f"not TOML: {AT.sub('', str(error))}")


def read(text: str) -> Document:
    """All of a document, as far as it can be read, and its mistakes in the order of their lines."""
    text = text.replace("\r\n", "\n")
    return Reader(text).read()

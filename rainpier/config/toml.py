"""Parses TOML 1.0.0 with the position of every name and value, and reports all mistakes in one run. No I/O.

tree-sitter's grammar gives the positions and continues after a mistake. The standard library's tomllib
decides what is valid and reads each single value: whatever it rejects is rejected here too.
"""

import re
import tomllib
from dataclasses import dataclass, field
from functools import cache
from typing import Any

import tree_sitter
import tree_sitter_toml

# The position at the end of tomllib's messages.
TOMLLIB_POSITION = re.compile(r" \(at (?:line (\d+), column (\d+)|end of document)\)$")
# Words in tomllib's messages on names that are given twice.
DUPLICATE_WORDS = ("overwrite", "declare", "mutate", "Duplicate", "expand")
# A string without escapes, which is read without a call of tomllib.
SIMPLE_STRING = re.compile(r'"[^"\\\x00-\x1f\x7f]*"')
MAX_FILE_BYTES = 4 << 20  # of a configuration file
MAX_DEPTH = 32  # levels of nested lists and inline tables


@dataclass(frozen=True, slots=True)
class Position:
    """Position in the file: line and column from 1, and the length within the line; both in characters."""

    line: int
    column: int
    length: int = 1


@dataclass(slots=True)
class Value:
    """A single value."""

    value: Any
    position: Position


@dataclass(slots=True)
class Array:
    """A list, or the tables of [[name]] headers."""

    items: list["Item"]
    position: Position
    from_headers: bool = False  # made by [[name]] headers


@dataclass(slots=True)
class Table:
    """A table, made by a header, by a dotted name or inline."""

    position: Position  # of the header's name, or of the whole table if it has no header
    items: dict[str, "Item"] = field(default_factory=dict)
    names: dict[str, Position] = field(default_factory=dict)  # position of each name
    has_header: bool = False  # has a [header] of its own
    inline: bool = False  # written inline: no names can be added
    dotted: bool = False  # made by a dotted name: no header can extend it
    # Line of its first syntax error, 0 for none. Names after it may belong to another table.
    first_error_line: int = 0


Item = Value | Array | Table


@dataclass(frozen=True, slots=True)
class Mistake:
    """A name that is given twice, or any other violation of the grammar."""

    position: Position
    text: str
    duplicate: bool = False
    first: Position | None = None  # where a duplicate name was first given


@dataclass(slots=True)
class Document:
    """A parsed file: its root table, its lines, and its mistakes in the order of their positions."""

    table: Table
    lines: list[str]
    mistakes: list[Mistake]


@cache
def parser() -> tree_sitter.Parser:
    """Returns the parser, which is made once."""
    return tree_sitter.Parser(tree_sitter.Language(tree_sitter_toml.language()))


def plain_value(item: Item) -> Any:  # noqa: ANN401
    """Returns the value without positions, as tomllib returns it."""
    if isinstance(item, Value):
        return item.value
    if isinstance(item, Array):
        return [plain_value(part) for part in item.items]
    return {name: plain_value(part) for name, part in item.items.items()}


class Reader:
    """Builds the tables in one pass over the syntax tree."""

    def __init__(self, text: str) -> None:
        self.lines = text.split("\n")
        self.mistakes: list[Mistake] = []
        self.root = Table(Position(1, 1))
        self.data = text.encode()

    def read(self) -> Document:
        """Reads the whole document."""
        tree = parser().parse(self.data).root_node
        table = self.root
        for node in tree.children:
            if node.type == "pair":
                self.read_pair(node, table)
            elif node.type in ("table", "table_array_element"):
                self.read_section(node)
            elif node.is_error or node.is_missing:
                self.add_broken_node(node, self.root)
        self.add_tomllib_mistake()
        self.mistakes.sort(key=lambda mistake: (mistake.position.line, mistake.position.column))
        return Document(self.root, self.lines, self.mistakes)

    # --- positions ---

    def position(self, node: tree_sitter.Node) -> Position:
        """Converts a node's byte offsets to characters; a node of several lines ends with its first line."""
        (row, start), (end_row, end) = node.start_point, node.end_point
        line = self.lines[row] if row < len(self.lines) else ""
        if line.isascii():  # one byte per character
            end_column = end if end_row == row else len(line.rstrip())
            return Position(row + 1, start + 1, max(1, end_column - start))
        column = len(line.encode()[:start].decode("utf-8", "ignore"))
        end_column = (
            len(line.encode()[:end].decode("utf-8", "ignore")) if end_row == row else len(line.rstrip())
        )
        return Position(row + 1, column + 1, max(1, end_column - column))

    # --- mistakes ---

    def add_syntax_error(self, position: Position, text: str) -> None:
        """Adds a syntax error, unless its line has one already, which most likely caused this one too."""
        if all(other.position.line != position.line for other in self.mistakes):
            self.mistakes.append(Mistake(position, text))

    def add_duplicate(self, name: str, position: Position, first: Position) -> None:
        """Adds a mistake for a name that is given twice."""
        text = f"{name!r} is defined more than once; the first definition is in line {first.line}"
        self.mistakes.append(Mistake(position, text, True, first))

    def add_broken_node(self, node: tree_sitter.Node, table: Table) -> None:
        """Adds a syntax error, and marks the table from this line on."""
        table.first_error_line = min(
            table.first_error_line or node.start_point[0] + 1, node.start_point[0] + 1
        )
        text = (node.text or b"").decode("utf-8", "replace").split("\n")[0].strip()
        self.add_syntax_error(self.position(node), f"invalid TOML: {text[:60]!r}" if text else "invalid TOML")

    def add_tomllib_mistake(self) -> None:
        """Adds the mistake that tomllib finds, if this reader did not find it or an earlier one."""
        try:
            tomllib.loads(self.data.decode())
        except (ValueError, RecursionError) as error:
            match = TOMLLIB_POSITION.search(str(error))
            text = TOMLLIB_POSITION.sub("", str(error))
            if any(word in text for word in DUPLICATE_WORDS) and any(
                mistake.duplicate for mistake in self.mistakes
            ):
                return
            if match and match[1]:
                line, column = int(match[1]), int(match[2])
            else:  # "end of document": behind the last line that has text
                line = max((n for n, text in enumerate(self.lines, 1) if text.strip()), default=1)
                column = len(self.lines[line - 1]) + 1
            earlier = [
                mistake
                for mistake in self.mistakes
                if not mistake.duplicate and mistake.position.line <= line
            ]
            if not earlier:  # an earlier syntax error most likely caused this one
                self.add_syntax_error(Position(line, column), f"invalid TOML: {text}")

    # --- tables and values ---

    def key_parts(self, node: tree_sitter.Node) -> list[tuple[str, Position]]:
        """Returns the parts of a dotted name, with their positions."""
        if node.type == "dotted_key":
            return [key for child in node.named_children for key in self.key_parts(child)]
        text = (node.text or b"").decode()
        if node.type == "quoted_key":
            try:
                text = next(iter(tomllib.loads(text + " = 0")))
            except ValueError:
                self.add_syntax_error(self.position(node), f"invalid quoted name: {text[:60]}")
        return [(text, self.position(node))]

    def read_section(self, node: tree_sitter.Node) -> None:
        """Reads a header and the pairs below it."""
        key_nodes = [child for child in node.named_children if child.type.endswith("_key")]
        if not key_nodes:
            return self.add_broken_node(node, self.root)
        *path, (name, position) = self.key_parts(key_nodes[0])
        table: Table | None = self.root
        for part, position_of_part in path:
            table = self.inner_table(table, part, position_of_part, header=True)
            if table is None:
                break
        if table is None:
            table = Table(position)  # belongs nowhere, but is read to find the mistakes in it
        target = self.open_header(table, name, position, node.type == "table_array_element")
        for child in node.children:
            if child.type == "pair":
                self.read_pair(child, target)
            elif child.is_error or child.is_missing:
                self.add_broken_node(child, target)

    def open_header(self, table: Table, name: str, position: Position, repeated: bool) -> Table:
        """Returns a header's table, which belongs nowhere if the name is taken. `repeated`: [[name]]."""
        new_table, existing = Table(position, has_header=True), table.items.get(name)
        if repeated and (existing is None or isinstance(existing, Array) and existing.from_headers):
            if existing is None:
                table.items[name], table.names[name] = (
                    Array([new_table], position, from_headers=True),
                    position,
                )
            else:
                existing.items.append(new_table)
            return new_table
        if isinstance(existing, Table) and not (
            repeated or existing.has_header or existing.inline or existing.dotted
        ):
            existing.has_header, existing.position = True, position
            table.names[name] = position
            return existing
        if existing is None:
            table.items[name], table.names[name] = new_table, position
        else:
            self.add_duplicate(name, position, table.names[name])
        return new_table

    def inner_table(self, table: Table, name: str, position: Position, header: bool = False) -> Table | None:
        """Returns the table of that name in `table`, making it if missing; None if the name is taken."""
        item = table.items.get(name)
        if item is None:
            item = table.items[name] = Table(position, dotted=not header)
            table.names[name] = position
        if header and isinstance(item, Array) and item.from_headers:
            item = item.items[-1]
        if not isinstance(item, Table) or item.inline:
            self.add_duplicate(name, position, table.names[name])
            return None
        return item

    def read_pair(self, node: tree_sitter.Node, table: Table, depth: int = 0) -> None:
        """Reads `name = value` into the table."""
        children = [child for child in node.named_children if not child.is_error and child.type != "comment"]
        if len(children) != 2 or node.has_error:
            self.add_broken_node(node, table)
            if len(children) != 2:
                return
        *path, (name, position) = self.key_parts(children[0])
        target: Table | None = table
        for part, position_of_part in path:
            target = self.inner_table(target, part, position_of_part)
            if target is None:
                return
        value = self.read_value(children[1], depth)
        if value is None:
            return
        if name in target.items:
            return self.add_duplicate(name, position, target.names[name])
        target.items[name], target.names[name] = value, position

    def read_value(self, node: tree_sitter.Node, depth: int) -> Item | None:
        """Reads a value; None if it is invalid. `depth`: how many lists and inline tables enclose it."""
        position = self.position(node)
        if depth > MAX_DEPTH:
            return self.add_syntax_error(
                position, f"lists and inline tables are nested more than {MAX_DEPTH} levels deep"
            )
        if node.type == "array":
            parts = (self.read_value(child, depth + 1) for child in node.named_children
                     if child.type != "comment" and not child.is_error)  # fmt: skip
            return Array([part for part in parts if part is not None], position)
        if node.type == "inline_table":
            table = Table(position)
            for child in node.named_children:
                if child.type == "pair":
                    self.read_pair(child, table, depth + 1)
            table.inline = True
            return table
        text = (node.text or b"").decode()
        if SIMPLE_STRING.fullmatch(text):
            return Value(text[1:-1], position)
        try:
            return Value(tomllib.loads(f"v = {text}")["v"], position)
        except ValueError as error:
            return self.add_syntax_error(position, f"invalid TOML: {TOMLLIB_POSITION.sub('', str(error))}")


def read(text: str) -> Document:
    """Parses a document as far as possible, and lists its mistakes in the order of their positions."""
    text = text.replace("\r\n", "\n")
    return Reader(text).read()

"""A configuration file's text into the model, with the place of each value and all mistakes of form.

No input or output. What the values mean together is judged in check.py.
"""

from dataclasses import MISSING, dataclass, field
from pathlib import Path
from typing import Any

from . import model as m
from .problem import Problem
from .toml import Array, Document, Item, Place, Table, Value, plain, read
from .types import Wrong, kind_of, near, shown

Where = tuple[str | int, ...]  # ("class", "notice", "aim")
TOP = (*m.SECTIONS, *m.NAMED, "version")
MOST_NAMED = 100_000  # classes, kinds or destinations in a file
MOST_CLASSES = 200


@dataclass
class Loaded:
    """What a file holds: the model as far as it could be read, and where each value stands."""

    file: str
    lines: list[str]
    model: m.Model
    places: dict[Where, Place] = field(default_factory=dict)  # of values
    names: dict[Where, Place] = field(default_factory=dict)  # of names and headers
    problems: list[Problem] = field(default_factory=list)
    unread: set[Where] = field(default_factory=set)
    whole: bool = True  # was TOML throughout: what is missing is really missing

    def place(self, where: Where) -> Place:
        """Of a value, else of what is nearest to it."""
        while where:
            for known in (self.places, self.names):
                if where in known:
                    return known[where]
            where = where[:-1]
        return Place(1, 1)

    def add(
        self,
        code: str,
        where: Where | Place,
        text: str,
        hint: str = "",
        other: "Loaded | None" = None,
        other_where: Where = (),
    ) -> None:
        place = where if isinstance(where, Place) else self.place(where)
        line = self.lines[place.line - 1] if place.line <= len(self.lines) else ""
        far = other or (self if other_where else None)
        self.problems.append(
            Problem(
                code,
                self.file,
                place,
                text,
                hint,
                line,
                far.file if far else "",
                far.place(other_where).line if far else 0,
            )
        )

    def given(self, *where: str | int) -> bool:
        """Whether the file says something there itself."""
        return where in self.places

    def bad(self, *where: str | int) -> bool:
        """Whether what the file says there could not be read: that is told already."""
        return where in self.unread


class Builder:
    """Reads a document's tables by the model."""

    def __init__(self, document: Document, file: str) -> None:
        self.document = document
        self.out = Loaded(file, document.lines, m.Model.__new__(m.Model))
        self.out.whole = not any(not mistake.doubled for mistake in document.mistakes)

    def build(self) -> Loaded:
        for mistake in self.document.mistakes:
            self.out.add("E102" if mistake.doubled else "E101", mistake.place, mistake.text)
        self.spoilt = {mistake.place.line for mistake in self.document.mistakes if not mistake.doubled}
        top, out = self.document.table, self.out
        for name, item in top.items.items():
            if name not in TOP:
                self.unknown(top, name, TOP, "at the top of the file")
            elif name != "version" and not isinstance(item, Table):
                place = item.place if not isinstance(item, Array) or not item.of_tables else top.names[name]
                out.add("E104", place, f"{name!r} is {kind_of(plain(item))}", f"write a table: [{name}]")
        self.version(top)
        values = {name: self.section(top, name, kind) for name, kind in m.SECTIONS.items()}
        values |= {attribute: self.named(top, name, kind) for name, (attribute, kind) in m.NAMED.items()}
        out.model = m.Model(**values, file=Path(out.file))
        if not out.model.kinds:
            out.model.kinds[m.DEFAULT_KIND] = m.Kind()
        return out

    def version(self, top: Table) -> None:
        item = top.items.get("version")
        if item is None:
            if self.out.whole:
                self.out.add(
                    "E107", Place(1, 1), "the file has no version", f"begin it with: version = {m.VERSION}"
                )
        elif not isinstance(item, Value) or isinstance(item.value, bool) or item.value != m.VERSION:
            self.out.add(
                "E111", item.place, f"version {shown(plain(item))} is not known", f"write {m.VERSION}"
            )

    def unsure(self, table: Table, place: Place) -> bool:
        """Behind a mistake of form, or in its line, nothing can be said to be wrong."""
        return place.line in self.spoilt or 0 < table.broken <= place.line

    def unknown(self, table: Table, name: str, names: tuple[str, ...], where: str) -> None:
        if self.unsure(table, table.names[name]):
            return
        close = near(name, names)
        hint = f"did you mean {close!r}?" if close else f"known are {', '.join(sorted(names))}"
        self.out.add("E103", table.names[name], f"unknown name {name!r} {where}", hint)

    def section(self, top: Table, name: str, kind: type) -> Any:  # noqa: ANN401
        table = top.items.get(name)
        if isinstance(table, Table):
            self.out.names[(name,)] = top.names[name]
            return self.fill(table, kind, (name,), f"in [{name}]")
        needed = [n for n, _, default in m.settings_of(kind) if default is MISSING]
        if table is None and needed and self.out.whole:
            self.out.add(
                "E107", Place(1, 1), f"the file has no [{name}]", f"it has to give {', '.join(needed)}"
            )
        return self.fill(Table(Place(1, 1), broken=1), kind, (name,), "")

    def named(self, top: Table, name: str, kind: type) -> dict[str, Any]:
        table, found = top.items.get(name), {}
        if not isinstance(table, Table):
            return found
        self.out.names[(name,)] = top.names[name]
        for entry, item in table.items.items():
            where = (name, entry)
            self.out.names[where] = table.names[entry]
            if not isinstance(item, Table):
                self.out.add(
                    "E104",
                    table.names[entry],
                    f"{entry!r} is {kind_of(plain(item))}",
                    f"write a table: [{name}.NAME]",
                )
                continue
            try:
                m.t.Text("name", m.NAME).read(entry)
            except Wrong as wrong:
                self.out.add(wrong.code, table.names[entry], str(wrong), wrong.hint)
            found[entry] = self.fill(item, kind, where, f"in [{name}.{entry}]")
            if len(found) > (MOST_CLASSES if name == "class" else MOST_NAMED):
                self.out.add("E106", table.names[entry], f"more than {len(found) - 1} of [{name}.NAME]")
                break
        return found

    def fill(self, table: Table, kind: type, where: Where, text: str) -> Any:  # noqa: ANN401
        """One section; a value that can't be read leaves the default, or a stand-in that the check knows."""
        known = {name: setting for name, setting, _ in m.settings_of(kind)}
        names = (*known, "endpoints") if kind is m.Destination else tuple(known)
        values: dict[str, Any] = {}
        for name, item in table.items.items():
            if name not in names:
                self.unknown(table, name, names, text)
                self.out.unread.add((*where, near(name, names)))  # most likely meant, so not missing
            elif name == "endpoints" and kind is m.Destination:
                self.out.names[(*where, name)] = table.names[name]
                values[name] = self.endpoints(item, (*where, name))
            else:
                self.value(item, known[name], (*where, name), values, name, self.unsure(table, item.place))
        for name, _, default in m.settings_of(kind):
            if default is MISSING and name not in values:
                told = name in table.items or self.out.bad(*where, name) or table.broken
                if not told and self.out.whole:
                    self.out.add(
                        "E107",
                        self.out.place(where),
                        f"{name!r} is missing {text}",
                        f"{known[name].doc} ({known[name].type.described})",
                    )
                values[name] = None  # not judged further: its own mistake is told
        return kind(**values)

    def value(
        self, item: Item, setting: m.Setting, where: Where, values: dict[str, Any], name: str,
        unsure: bool = False,
    ) -> None:  # fmt: skip
        self.out.places[where] = item.place
        try:
            values[name] = setting.type.read(plain(item))
        except Wrong as wrong:
            self.out.unread.add(where)
            if unsure:
                return
            self.out.add(wrong.code, self.culprit(item, setting), str(wrong), wrong.hint)

    def culprit(self, item: Item, setting: m.Setting) -> Place:
        """Of a list the element that can't be read."""
        if isinstance(item, Array) and isinstance(setting.type, m.t.Many):
            for part in item.items:
                try:
                    setting.type.of.read(plain(part))
                except Wrong:
                    return part.place
        return item.place

    def endpoints(self, item: Item, where: Where) -> list[m.Endpoint]:
        if not isinstance(item, Array):
            self.out.unread.add(where)
            self.out.add(
                "E104",
                item.place,
                f"endpoints is {kind_of(plain(item))}",
                'expected a list: endpoints = ["10.1.0.18:8080"]',
            )
            return []
        found = []
        for number, part in enumerate(item.items):
            at = (*where, number)
            self.out.names[at] = part.place
            if isinstance(part, Table):
                endpoint = self.fill(part, m.Endpoint, at, "in an endpoint")
            else:
                values: dict[str, Any] = {"address": None}
                setting = {n: s for n, s, _ in m.settings_of(m.Endpoint)}["address"]
                self.value(part, setting, (*at, "address"), values, "address")
                endpoint = m.Endpoint(**values)
            found.append(endpoint)
        return found


def parse(text: str, file: str) -> Loaded:
    """A file's text; its problems are those of form."""
    return Builder(read(text), file).build()

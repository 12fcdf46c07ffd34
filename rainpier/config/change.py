"""Compares two models and says which changes can be applied while the process runs. No I/O.

An edit is applied as a whole or not at all: a single setting that needs a restart rejects the others too, so
that the configuration in force is always the content of one file at one time.
"""

from collections.abc import Iterator
from dataclasses import dataclass, fields

from . import model as schema


@dataclass(frozen=True, slots=True)
class Change:
    """One setting or table that differs."""

    where: str  # "class.notice.aim"
    live: bool  # can be applied while the process runs


def changes(old: schema.Model, new: schema.Model) -> list[Change]:
    """Lists every setting and table that differs."""
    found = []
    for name, kind in schema.SECTIONS.items():
        found += section_changes(name, kind, getattr(old, name), getattr(new, name))
    for name, (attribute, kind) in schema.NAMED_TABLES.items():
        found += table_changes(name, kind, getattr(old, attribute), getattr(new, attribute))
    return found


def section_changes(where: str, kind: type, old: object, new: object) -> Iterator[Change]:
    """Compares the settings of one table."""
    for name, setting, _ in schema.settings_of(kind):
        if getattr(old, name) != getattr(new, name):
            yield Change(f"{where}.{name}", setting.change == schema.LIVE)


def table_changes(name: str, kind: type, old: dict, new: dict) -> Iterator[Change]:
    """Compares the tables of one type by name.

    Classes can be added, and destinations added and removed, while the process runs; removing a class, and
    adding or removing a kind, needs a restart.
    """
    for entry in sorted(old.keys() - new.keys()):
        yield Change(f"{name}.{entry}", kind is schema.Destination)
    for entry in sorted(new.keys() - old.keys()):
        yield Change(f"{name}.{entry}", kind is not schema.Kind)
    for entry in old.keys() & new.keys():
        yield from section_changes(f"{name}.{entry}", kind, old[entry], new[entry])
        if kind is schema.Destination and old[entry].endpoints != new[entry].endpoints:
            yield Change(f"{name}.{entry}.endpoints", True)


def startup_only(found: list[Change]) -> list[str]:
    """Returns the sorted names of the changed settings and tables that need a restart."""
    return sorted(change.where for change in found if not change.live)


def keep_numbering(old: schema.Model, new: schema.Model) -> schema.Model:
    """Returns the new model with classes and kinds in the old order and new ones last.

    The number of a class or kind is its position, and must stay the same for as long as the process runs.
    """
    values = {entry.name: getattr(new, entry.name) for entry in fields(schema.Model)}
    for attribute in ("classes", "kinds"):
        before, after = getattr(old, attribute), getattr(new, attribute)
        kept = [name for name in before if name in after]
        added = [name for name in after if name not in before]
        values[attribute] = {name: after[name] for name in (*kept, *added)}
    if schema.DEFAULT_KIND in old.kinds and not new.kinds:  # without kinds, the default kind is in force
        values["kinds"] = dict(old.kinds)
    return schema.Model(**values)

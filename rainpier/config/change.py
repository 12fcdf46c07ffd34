"""What an edited configuration changes, and whether it can be taken over while the process runs. No I/O.

An edit is taken over as a whole or not at all: one setting that waits for a start holds back the others, so
that what is in force is always one file, as it stood at one time.
"""

from collections.abc import Iterator
from dataclasses import dataclass, fields

from . import model as m


@dataclass(frozen=True, slots=True)
class Change:
    where: str  # "class.notice.aim"
    live: bool  # it can be taken over while the process runs


def changes(old: m.Model, new: m.Model) -> list[Change]:
    """All that differs, by name."""
    found = []
    for name, kind in m.SECTIONS.items():
        found += section(name, kind, getattr(old, name), getattr(new, name))
    for name, (attribute, kind) in m.NAMED.items():
        found += named(name, kind, getattr(old, attribute), getattr(new, attribute))
    return found


def section(where: str, kind: type, old: object, new: object) -> Iterator[Change]:
    for name, setting, _ in m.settings_of(kind):
        if getattr(old, name) != getattr(new, name):
            yield Change(f"{where}.{name}", setting.change == m.LIVE)


def named(name: str, kind: type, old: dict, new: dict) -> Iterator[Change]:
    """Classes can be added, destinations added and removed; all else about which there are is for a start."""
    for entry in sorted(old.keys() - new.keys()):
        yield Change(f"{name}.{entry}", kind is m.Destination)
    for entry in sorted(new.keys() - old.keys()):
        yield Change(f"{name}.{entry}", kind is not m.Kind)
    for entry in old.keys() & new.keys():
        yield from section(f"{name}.{entry}", kind, old[entry], new[entry])
        if kind is m.Destination and old[entry].endpoints != new[entry].endpoints:
            yield Change(f"{name}.{entry}.endpoints", True)


def of_a_start(found: list[Change]) -> list[str]:
    """What only a start can take over, by name."""
    return sorted(change.where for change in found if not change.live)


def reordered(old: m.Model, new: m.Model) -> m.Model:
    """The new model with its classes and kinds in the old one's order, new ones last: it numbers them."""
    values = {entry.name: getattr(new, entry.name) for entry in fields(m.Model)}
    for attribute in ("classes", "kinds"):
        before, after = getattr(old, attribute), getattr(new, attribute)
        kept = [name for name in before if name in after]
        added = [name for name in after if name not in before]
        values[attribute] = {name: after[name] for name in (*kept, *added)}
    if m.DEFAULT_KIND in old.kinds and not new.kinds:
        values["kinds"] = dict(old.kinds)
    return m.Model(**values)

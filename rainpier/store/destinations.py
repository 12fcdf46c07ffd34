"""Which destination the stored messages belong to, after any edit of names and numbers. Does no I/O.

The operator names the destinations, and gives each a number by which clients refer to it. Only the name says
which company a destination is: an edit may renumber it, or give its number to another one. Stored messages
and routes therefore refer to an id, which belongs to one name for as long as anything refers to it. It is
the number as long as that is free, and otherwise one from FIRST_ALIAS up, which no number reaches.
"""

import json
from collections.abc import Iterator, Mapping, Set
from dataclasses import dataclass

from ..submission import MAX_DESTINATION

FIRST_ALIAS = MAX_DESTINATION + 1  # the first id that cannot be a number
# Before a name in a record: its id, where that is not the number. Names cannot contain it.
ID_PREFIX = "#"


@dataclass(frozen=True, slots=True)
class Destination:
    """The number of a destination for clients, and its id in the store."""

    number: int
    id: int


Destinations = dict[str, Destination]  # by name


def assign_ids(known: Destinations, numbers: Mapping[str, int], used: Set[int]) -> Destinations:
    """Returns the destinations after an edit: those of `numbers`, and removed ones that are still in use.

    `known`: the destinations before the edit; `numbers`: the numbers by name after it; `used`: ids that
    messages or routes refer to. A destination keeps its id unless its number changes.
    """
    kept = {name: known[name] for name in numbers if name in known and known[name].number == numbers[name]}
    removed = {name: before for name, before in known.items() if name not in numbers}
    renumbered_ids = {known[name].id for name in numbers if name in known and name not in kept}
    taken = {destination.id for destination in (*kept.values(), *removed.values())}
    if known:  # otherwise the messages are older than the first record of names, and their ids are numbers
        taken |= used - renumbered_ids
    result = {name: destination for name, destination in removed.items() if destination.id in used}
    for name, number in numbers.items():
        result[name] = kept[name] if name in kept else Destination(number, free_id(number, taken))
        taken.add(result[name].id)
    return result


def free_id(number: int, taken: Set[int]) -> int:
    """Returns the number itself, or the first alias that is free if it is taken."""
    if number not in taken:
        return number
    alias = FIRST_ALIAS
    while alias in taken:
        alias += 1
    return alias


def moved_ids(before: Destinations, after: Destinations) -> dict[int, int]:
    """Returns the new id, by the old one, of each destination that has got another id."""
    return {
        before[name].id: destination.id
        for name, destination in after.items()
        if name in before and before[name].id != destination.id
    }


def encode(destinations: Destinations) -> bytes:
    """Encodes the destinations as JSON: the numbers by name, and the ids that differ from them."""
    numbers = {name: destination.number for name, destination in destinations.items()}
    return json.dumps(numbers | dict(aliases(destinations))).encode()


def aliases(destinations: Destinations) -> Iterator[tuple[str, int]]:
    """Yields the prefixed name and the id of each destination whose id is not its number."""
    for name, destination in destinations.items():
        if destination.id != destination.number:
            yield ID_PREFIX + name, destination.id


def decode(fields: Mapping[str, int]) -> Destinations:
    """Converts the JSON object of a record. Records of earlier formats have numbers only."""
    return {
        name: Destination(number, fields.get(ID_PREFIX + name, number))
        for name, number in fields.items()
        if not name.startswith(ID_PREFIX)
    }

"""Stored messages stay with the destination that was named, whatever an edit does to names and numbers."""

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from standins.disk import Disk

from rainpier.store import destinations as destinations_module
from rainpier.store.destinations import FIRST_ALIAS, Destination, assign_ids, decode, encode, moved_ids
from rainpier.store.entry import Entry
from rainpier.store.store import Store

from .workload import DISK


def open_store(disk=None):
    """Opens a store at Unix time 1 s."""
    return Store(disk if disk is not None else Disk(), DISK, 1000.0)


def restart(store):
    """Opens what the disk holds as a new process would after the old one was killed."""
    return open_store(Disk(store.files.image()))


def accept(store, name, destination):
    """Stores a message for the destination with this name, and returns it."""
    number, store.next_number = store.next_number, store.next_number + 1
    message = Entry(number, name, "safe", store.state.destinations[destination].id, 0, "token", 9e12, b"body")
    assert store.accept(message)
    return message


def owner(store, message):
    """Returns the name of the destination that a message belongs to."""
    held_for = store.entries[message.number].destination
    (name,) = (name for name, known in store.state.destinations.items() if known.id == held_for)
    return name


# Guards against messages that a company gets because it took over the number of another one.
@pytest.mark.parametrize("restarted", [False, True])
def test_destination_that_takes_over_a_number_gets_none_of_the_messages(restarted):
    store = open_store()
    store.record_destination_names({"alpha": 1, "beta": 2})
    message = accept(store, "m", "alpha")
    if restarted:
        store = restart(store)
    store.record_destination_names({"gamma": 1, "beta": 2})
    for current in (store, restart(store)):
        assert owner(current, message) == "alpha" and current.state.destinations["gamma"].id == FIRST_ALIAS
        assert current.state.destination_numbers == {"alpha": 1, "gamma": 1, "beta": 2}


# Guards against the same over two edits: between them the number belongs to nobody.
def test_number_given_anew_by_a_later_edit_brings_no_messages():
    store = open_store()
    store.record_destination_names({"alpha": 1, "beta": 2})
    message = accept(store, "m", "alpha")
    store.record_destination_names({"beta": 2})
    store = restart(store)
    store.record_destination_names({"beta": 2, "gamma": 1})
    assert owner(store, message) == "alpha"


# Guards against messages whose names were never recorded, in a folder of an earlier build.
def test_message_of_an_unknown_destination_goes_to_no_other():
    store = open_store()
    store.record_destination_names({"alpha": 1, "beta": 2})
    message = accept(store, "m", "alpha")
    store.state.destinations = decode({"beta": 2})  # as the earlier build recorded the removal
    store.record_destination_names({"beta": 2, "gamma": 1})
    ids = {destination.id for destination in store.state.destinations.values()}
    assert store.entries[message.number].destination not in ids


# Guards against a new destination that inherits the window or the pause that a running process knows by id.
def test_number_given_away_gets_an_id_of_its_own_although_nothing_is_held():
    store = open_store()
    store.record_destination_names({"alpha": 1})
    store.record_destination_names({"gamma": 1})
    assert store.state.destinations == {"gamma": Destination(1, FIRST_ALIAS)}


# Guards against a message whose destination is removed between its submission and its first record.
def test_message_that_is_not_stored_yet_keeps_its_destination():
    store = open_store()
    store.record_destination_names({"alpha": 1})
    store.record_destination_names({"gamma": 1}, used=[1])
    message = accept(store, "m", "alpha")
    store.record_destination_names({"gamma": 1, "alpha": 7})
    assert owner(store, message) == "alpha"


def test_destination_that_returns_gets_its_messages_back():
    store = open_store()
    for names in ({"alpha": 1}, {"gamma": 1}, {"delta": 1}, {"alpha": 7, "gamma": 1, "delta": 3}):
        store.record_destination_names(names)
        (name,) = names if len(names) == 1 else (None,)
        if name:
            accept(store, name, name)
    for current in (store, restart(store)):
        assert [owner(current, message) for message in current.entries.values()] == [
            "alpha", "gamma", "delta",
        ]  # fmt: skip


# Guards against a retry-after deadline or an outage that a swap of numbers gives to another company.
def test_retry_after_deadlines_and_outages_follow_the_name():
    store = open_store()
    store.record_destination_names({"alpha": 1, "beta": 2, "omega": 3})
    store.record_retry_after("d1", 9000.0)
    store.record_outage("d2", 1500.0)
    store.record_outage("ralpha/10.0.0.1:80", 1600.0)
    store.record_destination_names({"alpha": 2, "beta": 1, "sigma": 3})
    for current in (store, restart(store)):
        assert current.state.retry_after == {"d2": 9000.0}
        assert current.state.outages == {"d1": 1500.0, "ralpha/10.0.0.1:80": 1600.0}
    store.record_retry_after("d3", 9000.0)
    store.record_destination_names({"alpha": 2, "beta": 1, "new": 3})
    assert store.state.destinations["new"].id >= FIRST_ALIAS


def test_aliases_survive_compaction():
    store = open_store()
    store.record_destination_names({"alpha": 1})
    message = accept(store, "m", "alpha")
    store.record_destination_names({"gamma": 1})
    before = dict(store.state.destinations)
    for _ in range(3):
        store.rotate(2000.0)
        store.compact(2000.0, 1 << 20)
    restarted = restart(store)
    assert len(store.segments) == 1 and restarted.state.destinations == before
    assert owner(restarted, message) == "alpha"


def test_removed_destination_is_forgotten_once_nothing_refers_to_it():
    store = open_store()
    store.record_destination_names({"alpha": 1})
    message = accept(store, "m", "alpha")
    store.record_destination_names({"gamma": 1})
    store.complete([message])
    store.record_destination_names({"gamma": 1, "beta": 2})
    assert set(store.state.destinations) == {"gamma", "beta"}


def test_record_has_the_numbers_by_name_as_earlier_builds_read_them():
    known = {"alpha": Destination(1, 1), "gamma": Destination(1, FIRST_ALIAS)}
    fields = json.loads(encode(known))
    assert fields == {"alpha": 1, "gamma": 1, destinations_module.ID_PREFIX + "gamma": FIRST_ALIAS}
    assert decode(fields) == known and decode({"alpha": 1}) == {"alpha": Destination(1, 1)}


NAMES = ("alpha", "beta", "gamma", "delta")
EDITS = st.lists(
    st.dictionaries(st.sampled_from(NAMES), st.integers(0, 3), max_size=4).filter(
        lambda numbers: len(set(numbers.values())) == len(numbers)
    ),
    min_size=1, max_size=8,
)  # fmt: skip


@settings(max_examples=300, derandomize=True, deadline=None)
@given(EDITS, st.data())
def test_a_message_belongs_to_the_name_it_was_accepted_for_whatever_the_edits(edits, data):
    """Each edit removes, adds, renumbers or swaps; messages are accepted and completed between them."""
    known, held = {}, []  # held: [name at acceptance, id] of each message
    for numbers in edits:
        after = assign_ids(known, numbers, {destination for _, destination in held})
        moved = moved_ids(known, after)
        held = [[name, moved.get(destination, destination)] for name, destination in held]
        known = decode(json.loads(encode(after)))
        assert known == after and {name: known[name].number for name in numbers} == numbers
        assert len({destination.id for destination in known.values()}) == len(known)
        for name, destination in held:
            assert known[name].id == destination
        for name in numbers:
            held += [[name, known[name].id]] * data.draw(st.integers(0, 1))
        held = [message for message in held if data.draw(st.integers(0, 3)) != 0]

"""Where an attempt was made outlasts the process by name, in folders of this build and of earlier ones."""

import base64

import pytest
from hypothesis import example, given, settings
from hypothesis import strategies as st
from standins.disk import Disk

from rainpier.interface import GROUPS, Effect, Outcome
from rainpier.store import records as codec
from rainpier.store.entry import UNKNOWN_PLACE, AttemptPlace, Entry
from rainpier.store.records import Kind
from rainpier.store.repeats import may_repeat, may_resubmit
from rainpier.store.store import Store

from .workload import DISK

ATTEMPT_AT, NOW = 2000.0, 3000.0  # Unix ms
# The segment of a folder that a build of format 5 wrote: "begun" and "everywhere" have an open attempt, "relocated"
# one that may have run and a MESSAGE record written after it, all in the zone at position 1; "untried" has none. The
# group of "everywhere" is "all", that of the others "zone".
FORMAT_5_SEGMENT = (
    "UlBTVE9SRQoFAAAAAQAAAAEAAAAAAAAAYc8PknT/FX/GCO2CDRAAAAEAAAABAAAAAAAAAAAAAAAAQI9A7TvVOggIAAACAAAAAQAAAAAAAACm"
    "cAZkAREAAAMAAAABAAEBAAAAAABM7UB6b25lZGWzAhkCJwAABAAAAAEAAAAAAAAAAAAgm/NeoEIDAAAAAQAABQViZWd1bnRva2VuYm9keby"
    "EVnQCKwAABQAAAAIAAAAAAAAAAAAgm/NeoEIDAAAAAQAACQVyZWxvY2F0ZWR0b2tlbmJvZHnSpuQMAREAAAYAAAACAAEAAAAAAABM7UBrZX"
    "llZCndkQoCLAAABwAAAAMAAAAAAAAAAAAgm/NeoEIDAAAAAgAACgVldmVyeXdoZXJldG9rZW5ib2R5WwXVcAIpAAAIAAAABAAAAAAAAAAAA"
    "CCb816gQgMAAAABAAAHBXVudHJpZWR0b2tlbmJvZHm5DervAxYAAAkAAAAAAAAAAECfQAEAAQAAAAAAAAABAAAAayEyvwMiAAAKAAAAAAAA"
    "AABAn0ABAAIAAAAAAAAAAQAAAAMAAAAAAAAAAQAAAAhb7P4ECQAACwAAAAIAAAAAAAAAAR0fpE0CSAAADAAAAAIAAAAAAAAAAAAgm/NeoEI"
    "DAAAAAQAICQUBAAAAAAAAAAAAAAABAAAAAAAAQJ9AAQAAAAAAAHJlbG9jYXRlZHRva2VuYm9keQ=="
)


def open_store(disk=None):
    """Opens a store at Unix time 1 s."""
    return Store(disk if disk is not None else Disk(), DISK, 1000.0)


def accept(store, name="m", group="zone"):
    """Stores a keyed message and returns it."""
    number, store.next_number = store.next_number, store.next_number + 1
    entry = Entry(
        number, name, "order", 3, 0, "token", 9e12, b"body", effect=Effect.KEYED, group=group, window=1e6
    )
    assert store.accept(entry)
    return entry


@pytest.mark.parametrize("group", GROUPS)
def test_group_is_recovered(group):
    store = open_store()
    entry = accept(store, group=group)
    assert open_store(Disk(store.files.image())).entries[entry.number].group == group


@pytest.mark.parametrize("place", [
    AttemptPlace("floor-2", 7), AttemptPlace("", 0), UNKNOWN_PLACE, AttemptPlace("é" * 300, 2**32 - 1),
])  # fmt: skip
def test_place_is_recovered_before_and_after_a_relocation(place):
    store = open_store()
    risky, open_attempt = accept(store, "risky"), accept(store, "open")
    risky.attempts = open_attempt.attempts = 1
    assert store.record_attempts([risky, open_attempt], ATTEMPT_AT, place)
    store.record_outcomes([(risky, Outcome.ERROR)])
    for _ in range(2):
        store = open_store(Disk(store.files.image()))
        recovered = [store.entries[entry.number] for entry in (risky, open_attempt)]
        assert recovered == [risky, open_attempt] and not store.recovered.harm
        assert recovered[0].risky_place == recovered[1].begun_place == place
        while len(store.segments) > 1:
            store.compact(NOW, 1 << 20)


PLACES = st.builds(AttemptPlace, st.none() | st.text(max_size=40), st.integers(0, 2**32 - 1))


@settings(max_examples=200, derandomize=True, deadline=None)
@given(PLACES, PLACES, st.lists(st.tuples(st.integers(0, 2**64 - 1), st.integers(0, 2**32 - 1)), max_size=5))
@example(AttemptPlace(""), AttemptPlace(None, 5), [])
def test_records_of_attempts_are_decoded_as_they_were_encoded(begun, risky, attempts):
    entries = [Entry(number, "m", "order", 3, 0, "", 9e12, b"", count) for number, count in attempts]
    payload = codec.encode_attempt(ATTEMPT_AT, begun, entries)
    record = codec.AttemptRecord(ATTEMPT_AT, begun, attempts)
    assert codec.decode_attempt(Kind.ATTEMPT, payload) == record
    entry = Entry(
        1,
        "m",
        "order",
        3,
        9,
        "token",
        9e12,
        b"body",
        2,
        5.0,
        begun,
        4.0,
        risky,
        "given_up",
        250,
        1,
        "zone",
        9.0,
    )
    assert codec.decode_message(codec.encode_message(entry, 4), {4: entry.class_terms}) == entry


def test_a_record_that_ends_within_the_name_of_a_zone_is_unreadable():
    payload = codec.encode_attempt(ATTEMPT_AT, AttemptPlace("floor-2", 1), [])
    for size in range(codec.ATTEMPT.size + codec.PLACE.size, len(payload)):
        with pytest.raises(codec.Unreadable):
            codec.decode_attempt(Kind.ATTEMPT, payload[:size])


# Guards against a zone that a folder of an earlier build has by its position in a list that may have changed since.
def test_the_zone_of_an_attempt_in_a_folder_of_format_5_is_not_known():
    store = open_store(Disk({"0000000001.seg": base64.b64decode(FORMAT_5_SEGMENT)}))
    assert not store.recovered.harm
    entries = {entry.id: entry for entry in store.entries.values()}
    assert list(entries) == ["begun", "relocated", "everywhere", "untried"]
    for name in ("begun", "everywhere"):
        assert entries[name].begun == ATTEMPT_AT and entries[name].begun_place == UNKNOWN_PLACE
        store.record_outcomes([(entries[name], Outcome.RESET)])
    for zone in ("", "a", "b"):
        allowed = [name for name, entry in entries.items() if may_repeat(entry, NOW, zone)]
        assert allowed == ["everywhere", "untried"]
    assert [name for name, entry in entries.items() if may_resubmit(entry, NOW)] == ["everywhere", "untried"]
    again = open_store(Disk(store.files.image()))
    assert {entry.id: entry for entry in again.entries.values()} == entries


# Guards against a message that counts as having run because of damage, and goes to a zone where it did not run.
@pytest.mark.parametrize("relocated", [False, True])
def test_the_zone_of_a_message_that_counts_as_having_run_after_damage_is_not_known(relocated):
    store = open_store()
    entry, _ = accept(store), accept(store, "damaged")
    entry.attempts = 1
    assert store.record_attempts([entry], ATTEMPT_AT, AttemptPlace("south", 12))
    image = store.files.image()
    name = next(name for name in image if name.endswith(".seg"))
    data = bytearray(image[name])
    data[data.index(b"damaged")] ^= 1
    store = open_store(Disk(image | {name: bytes(data)}))
    entry = store.entries[entry.number]
    assert store.recovered.presumed_run == [entry.number] and entry.risky_at == ATTEMPT_AT
    if relocated:
        store.rotate(NOW, whole=True)
        entry = open_store(Disk({n: d for n, d in store.files.image().items() if n != name})).entries[
            entry.number
        ]
    entry.record_outcome(Outcome.RESET)
    assert not any(may_repeat(entry, NOW, zone) for zone in ("", "north", "south"))

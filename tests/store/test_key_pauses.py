"""Pauses of ordering keys in the store: they outlast the process, compaction and a full disk, not their time."""

import pytest
from standins.disk import Disk

from rainpier.store import records as codec
from rainpier.store.files import Folder
from rainpier.store.state import KeyPause
from rainpier.store.store import Store
from rainpier.store.tool import dump, stat

from .test_full import resumes, total_size
from .test_store import new_entry, open_store, restart

FIRST, SECOND = KeyPause(1000.0, 400.0), KeyPause(1200.0, 400.0)


def test_pauses_of_keys_survive_a_restart_and_the_latest_record_of_a_key_counts():
    store = open_store()
    store.record_key_pause(1, KeyPause(9000.0, 400.0))  # the call goes on until then at the latest
    store.record_key_pause(2**64 - 1, FIRST)
    store.record_key_pause(1, SECOND)  # it has ended
    assert restart(store).state.key_pauses == {2**64 - 1: FIRST, 1: SECOND}


def test_pauses_of_keys_survive_compaction_until_they_are_over():
    store = open_store()
    store.record_key_pause(1, FIRST)
    store.record_key_pause(2, SECOND)
    store.rotate(1500.0)
    store.compact(1500.0, 1 << 20)
    assert len(store.segments) == 1
    assert restart(store, 1500.0).state.key_pauses == {2: SECOND}


def test_pauses_that_are_over_are_dropped_and_the_others_are_bounded():
    store = open_store(size=256 << 10)
    store.record_key_pause(1, FIRST)
    store.state.latest_time = 1400.0
    store.record_key_pause(2, SECOND)
    assert store.state.key_pauses == {2: SECOND}
    for key in range(500):
        store.record_key_pause(key, KeyPause(9e12, 400.0))
    assert list(store.state.key_pauses) == list(range(372, 500))
    assert list(restart(store, size=256 << 10).state.key_pauses) == list(range(372, 500))


def test_a_clock_set_back_extends_no_pause():
    store = open_store(now=10_000_000.0)
    store.record_key_pause(1, KeyPause(10_000_000.0, 400.0))
    (pause,) = restart(store, 4_000_000.0).state.key_pauses.values()
    assert pause.until == pytest.approx(4_000_400.0)


# Guards against a pause that is lost with the process, since its record found no room and was not written later.
def test_a_pause_that_finds_no_room_is_recorded_once_there_is():
    disk = Disk()
    store = open_store(disk)
    store.accept(new_entry(store, "a"))
    store.release_reserve()
    disk.room = total_size(disk.files)
    store.record_key_pause(1, FIRST)
    assert store.deferred and store.state.key_pauses == {1: FIRST}
    assert restart(store).state.key_pauses == {}
    disk.room = None
    assert resumes(store, 1001.0)
    assert restart(store).state.key_pauses == {1: FIRST}


def test_a_folder_of_the_format_before_is_read(monkeypatch):
    with monkeypatch.context() as earlier:
        earlier.setattr(codec, "VERSION", 4)
        store = open_store()
        store.accept(new_entry(store, "a", key=5))
        store.record_retry_after("d3", 9000.0)
    restarted = restart(store)
    assert [entry.id for entry in restarted.entries.values()] == ["a"]
    restarted.record_key_pause(5, FIRST)
    assert restart(restarted).state.key_pauses == {5: FIRST}


def test_stat_counts_the_pauses_of_keys_and_dump_prints_them(tmp_path):
    store = Store(Folder(tmp_path), 1_000_000, 1000.0)
    store.record_key_pause(42, FIRST)
    store.close()
    assert any(
        '"kind": "key_pause", "key": 42, "call_end": 1000.0, "duration": 400.0' in line
        for line in dump(tmp_path)
    )
    assert stat(tmp_path)["key_pauses"] == 1

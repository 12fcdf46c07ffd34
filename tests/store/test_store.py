"""The store's guarantees one by one: order, room, compaction, conversion, clocks, index, lock."""

import base64
import contextlib
import errno
import json
import logging
import os
import random
import stat
import zlib

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from standins.disk import Disk

from rainpier.interface import Outcome
from rainpier.store import records as codec
from rainpier.store.entry import Entry
from rainpier.store.files import Folder, FolderInUse
from rainpier.store.recovery import Index, encode_index, recover
from rainpier.store.state import UNKNOWN_TIME
from rainpier.store.store import LIVE_SHARE, Store, StoreError

from .workload import DISK, OTHER_PLACE, PLACE, START, Workload, check_confirmed, confirmed_by_id


def new_entry(store, name, body=b"\x00\r\n\xff", key=0, deadline=9e12, **more):
    """Returns a message with the next number; `name`: its id; `deadline`: Unix time, ms."""
    number, store.next_number = store.next_number, store.next_number + 1
    return Entry(number, name, "safe", 3, key, "token", deadline, body, **more)


def open_store(disk=None, size=DISK, now=1000.0, **more):
    """Opens a store; `size`: disk limit, bytes; `now`: Unix time, ms."""
    return Store(disk if disk is not None else Disk(), size, now, **more)


def restart(store, now=1000.0, size=DISK):
    """Opens what the disk holds as a new process would after the old one was killed."""
    return open_store(Disk(store.files.image()), size, now)


def test_recovery_restores_messages_in_order_with_their_attempts():
    store = open_store()
    first, second, third = (new_entry(store, name, key=5) for name in ("a", "b", "c"))
    for message in (first, second, third):
        assert store.accept(message)
    second.attempts = 1
    store.record_attempts([second], 2000.0, OTHER_PLACE)
    store.record_outcomes([(second, Outcome.RESET)])
    second.attempts = 2
    store.record_attempts([second, third], 3000.0, PLACE)
    store.complete([first])
    restarted = restart(store, 4000.0)
    assert [e.id for e in restarted.entries.values()] == ["b", "c"]
    message = restarted.entries[second.number]
    assert message == second
    assert (message.body, message.key, message.token, message.attempts) == (b"\x00\r\n\xff", 5, "token", 2)
    assert (message.begun, message.begun_place) == (3000.0, PLACE)
    assert (message.risky_at, message.risky_place) == (2000.0, OTHER_PLACE)
    assert (
        restarted.next_number > third.number
        and restarted.is_known("a", 5000.0)
        and restarted.is_known("b", 5000.0)
    )
    assert not restarted.is_known("a", 9.1e12)


def test_tenant_is_restored_and_an_absent_tenant_takes_no_bytes():
    store = open_store()
    with_tenant, without_tenant = new_entry(store, "a", tenant="north"), new_entry(store, "b")
    assert store.accept(with_tenant) and store.accept(without_tenant)
    restarted = restart(store)
    assert [e.tenant for e in restarted.entries.values()] == ["north", ""]
    plain = codec.encode_message(without_tenant, 1)
    assert len(codec.encode_message(with_tenant, 1)) == len(plain) + 1 + len("north")


def test_attempt_that_never_ran_leaves_the_message_unmarked():
    store = open_store()
    store.accept(message := new_entry(store, "a"))
    message.attempts = 1
    store.record_attempts([message], 2000.0, PLACE)
    store.record_outcomes([(message, Outcome.FULL)])
    restarted = restart(store).entries[message.number]
    assert (restarted.attempts, restarted.begun, restarted.risky_at) == (1, 0.0, 0.0)


@pytest.mark.parametrize("name", ["00ff", "00FF", "0f0", "x" * 128, "ab" * 60, "a b"])
def test_ids_and_tokens_of_any_form_are_restored_exactly(name):
    store = open_store()
    message = new_entry(store, name, effect=1, group="zone", window=7.0, key=2**64 - 1)
    message.token, message.end, message.retry, message.risky_at = name, "handed_back", 500, 3.5
    assert store.accept(message)
    assert restart(store).entries[message.number] == message


def test_message_numbers_are_never_reused_even_if_all_messages_are_completed():
    store = open_store()
    for round_number in range(5):
        message = new_entry(store, f"m{round_number}")
        store.accept(message)
        store.complete([message])
        store.rotate(0.0)
        while len(store.segments) > 1:
            store.compact(9.5e12, 1 << 20)
        store = restart(store)
        assert store.next_number > message.number and store.state.start_count == round_number + 2


def test_records_of_the_next_process_are_recovered_after_a_torn_tail():
    store = open_store()
    store.accept(new_entry(store, "a"))
    store.accept(new_entry(store, "b"))
    image = store.files.image()
    name = max(n for n in image if n.endswith(".seg"))
    image[name] = image[name][:-5]
    second = open_store(Disk(image))
    assert [e.id for e in second.entries.values()] == ["a"] and not second.recovered.harm
    second.accept(new_entry(second, "c"))
    third = restart(second)
    assert [e.id for e in third.entries.values()] == ["a", "c"] and not third.recovered.harm


def test_torn_second_record_of_one_write_is_not_recovered():
    store = open_store()
    store.accept(new_entry(store, "a"))
    before = len(store.files.files[max(n for n in store.files.files if n.endswith(".seg"))])
    store.accept(new_entry(store, "b", effect=2))  # a new class: two records
    image = store.files.image()
    name = max(n for n in image if n.endswith(".seg"))
    whole = image[name]
    assert len(codec.scan_segment(whole, codec.decode_header(whole)).frames) >= 2
    for cut in range(before, len(whole)):
        restarted = open_store(Disk({name: whole[:cut]}))
        assert [e.id for e in restarted.entries.values()] == ["a"] and not restarted.recovered.harm


# --- damage ---


def test_damage_in_the_middle_is_reported_and_earlier_messages_count_as_having_run(caplog):
    store = open_store()
    for name in ("a", "b", "c"):
        store.accept(new_entry(store, name, effect=2))
    store.accept(late := new_entry(store, "late"))
    store.complete([late])
    image = store.files.image()
    name = max(n for n in image if n.endswith(".seg"))
    frames = codec.scan_segment(image[name], codec.decode_header(image[name])).frames
    damaged_frame = [f for f in frames if f.kind == codec.Kind.MESSAGE][1]
    data = bytearray(image[name])
    data[damaged_frame.offset + 20] ^= 1
    with caplog.at_level(logging.WARNING):
        restarted = open_store(Disk({name: bytes(data)}))
    assert [e.id for e in restarted.entries.values()] == ["a", "c"]
    # c was accepted after the damage
    assert restarted.entries[1].risky_at == UNKNOWN_TIME and not restarted.entries[3].risky_at
    assert (
        f"at byte {damaged_frame.offset}" in caplog.text
        and "message a of class safe counts as having run" in caplog.text
    )
    assert restart(restarted).entries[1].risky_at == UNKNOWN_TIME or restart(restarted).recovered.harm


def test_recorded_final_status_survives_later_damage():
    store = open_store()
    store.accept(message := new_entry(store, "a", effect=2))
    store.record_final_status(message, "given_up", 0)
    store.accept(two := new_entry(store, "b"))
    store.accept(new_entry(store, "c"))
    image = store.files.image()
    name = max(n for n in image if n.endswith(".seg"))
    frames = codec.scan_segment(image[name], codec.decode_header(image[name])).frames
    data = bytearray(image[name])
    data[[f for f in frames if f.kind == codec.Kind.MESSAGE][1].offset + 14] ^= 4
    restarted = open_store(Disk({name: bytes(data)}))
    assert restarted.entries[message.number].end == "given_up" and two.number not in restarted.entries


# --- the index ---


def closed_store_files():
    """Returns the files of a store that was closed with two messages, `a` and `b`."""
    store = open_store()
    for name in ("a", "b"):
        store.accept(new_entry(store, name))
    store.close()
    return store.files.image()


def test_index_reveals_a_log_that_lost_its_end():
    image = closed_store_files()
    name = max(n for n in image if n.endswith(".seg"))
    frames = codec.scan_segment(image[name], codec.decode_header(image[name])).frames
    restarted = open_store(Disk(image | {name: image[name][: frames[-1].offset]}))
    assert restarted.recovered.harm and "beyond the end of the log" in str(restarted.recovered.findings)
    assert [e.id for e in restarted.entries.values()] == ["a"] and restarted.entries[
        1
    ].risky_at == UNKNOWN_TIME
    assert restarted.next_seq > frames[-1].seq + 1  # the lost sequence numbers are not reused


@pytest.mark.parametrize("cut", [0, 1, 20, 35, 39])
def test_torn_index_is_ignored(cut):
    image = closed_store_files()
    restarted = open_store(Disk(image | {"index": image["index"][:cut]}))
    assert [e.id for e in restarted.entries.values()] == ["a", "b"] and not restarted.recovered.harm


def test_index_that_is_older_or_of_another_store_is_ignored():
    image = closed_store_files()
    store = open_store(Disk(image))
    store.accept(new_entry(store, "c"))
    old = store.files.image() | {"index": image["index"]}
    assert [e.id for e in open_store(Disk(old)).entries.values()] == ["a", "b", "c"]
    other = encode_index(Index(12345, 1, 10**6, 10**6))
    restarted = open_store(Disk(image | {"index": other}))
    assert [e.id for e in restarted.entries.values()] == ["a", "b"] and not restarted.recovered.harm
    assert "another store" in str(restarted.recovered.findings)


def test_folder_with_segments_of_two_stores_is_refused():
    first, second = closed_store_files(), closed_store_files()
    with pytest.raises(StoreError, match="another store"):
        open_store(Disk(first | {"0000000002.seg": segment_of_next_process(second)}))


def segment_of_next_process(image):
    """Returns the segment that the next process to open these files starts."""
    store = open_store(Disk(image))
    return store.files.image()["0000000002.seg"]


# --- relocated segments, two processes, other formats ---


def test_crash_between_relocation_and_removal_of_the_old_segment_loses_nothing():
    store = open_store(now=1000.0)
    for n in range(20):
        store.accept(new_entry(store, f"m{n}", body=b"x" * 500))
    store.entries[3].attempts = 1
    store.record_attempts([store.entries[3]], 2000.0, PLACE)
    store.complete([store.entries[5]])
    store.rotate(1000.0)
    old = store.files.image()
    store.compact(1000.0, 1 << 20)
    both = store.files.image() | {
        name: data for name, data in old.items() if name.endswith(".seg") and name < max(old)
    }
    assert len(both) > len(store.files.image())
    restarted = open_store(Disk(both))
    assert (
        restarted.entries == store.entries
        and not restarted.recovered.harm
        and restarted.is_known("m5", 2000.0)
    )


def test_folder_can_be_opened_by_one_process_only(tmp_path):
    first = Store(Folder(tmp_path), DISK, 1000.0)
    with pytest.raises(FolderInUse, match=f"process {os.getpid()}"):
        Store(Folder(tmp_path), DISK, 1000.0)
    first.close()
    Store(Folder(tmp_path), DISK, 1000.0).close()


@pytest.mark.skipif(os.geteuid() == 0, reason="root writes anyway")
def test_write_protected_folder_is_reported(tmp_path):
    tmp_path.chmod(stat.S_IRUSR | stat.S_IXUSR)
    with pytest.raises(StoreError, match="can't be used"):
        Store(Folder(tmp_path), DISK, 1000.0)


def test_failing_call_at_the_start_is_reported():
    for n in range(1, 6):
        disk = Disk()
        disk.fail_at, disk.fail_with = frozenset({n}), errno.EROFS
        with pytest.raises(StoreError, match="can't be used"):
            open_store(disk)


def test_later_format_version_is_refused_and_nothing_is_written():
    image = closed_store_files()
    name = max(n for n in image if n.endswith(".seg"))
    data = bytearray(image[name])
    data[8] = codec.VERSION + 1
    data[28:32] = zlib.crc32(bytes(data[:28])).to_bytes(4, "little")
    disk = Disk(image | {name: bytes(data)})
    before = disk.image()
    with pytest.raises(StoreError, match=f"format version {codec.VERSION + 1}"):
        open_store(disk)
    assert disk.image() == before


def journal_line(*record):
    """Encodes a line of the journal of 0.1.0."""
    data = json.dumps(list(record), separators=(",", ":")).encode()
    return b"%08x %s\n" % (zlib.crc32(data), data)


def journal_accept_line(number, name, body=b"body", key=0, more=()):
    """Encodes the line that accepts a message; `more`: its effect, group and window, which are optional."""
    encoded = base64.b64encode(body).decode()
    return journal_line(
        "take", number, name, "safe", 3, key, "token", 9e12, encoded, 0, 0.0, 0, 0.0, 0, "", 0, *more
    )


def test_journal_of_0_1_0_is_converted_completely():
    data = b"".join([
        journal_line("next", 40), journal_line("seen", "x", 8e12), journal_line("names", {"a": 3}),
        journal_accept_line(40, "a", b"\x00one", 7), journal_accept_line(41, "b"),
        journal_accept_line(42, "c", more=(2, "zone", 9.0)),
        journal_line("begin", 5000.0, 1, [[40, 1], [41, 1]]),
        journal_line("result", 40, int(Outcome.RESET)), journal_line("end", 40, "handed_back", 250),
        journal_line("over", 41), journal_line("bind", 1, "all", 5.0, [42]),
    ])  # fmt: skip
    disk = Disk({"journal": data + b"torn", "journal.new": b"half"})
    store = open_store(disk)
    assert "journal" not in disk.files and not store.recovered.harm
    for restarted in (store, restart(store), restart(restart(store))):
        assert [e.id for e in restarted.entries.values()] == ["a", "c"]
        message = restarted.entries[40]
        assert (
            message.body,
            message.key,
            message.attempts,
            message.risky_at,
            message.end,
            message.retry,
        ) == (
            b"\x00one",
            7,
            1,
            5000.0,
            "handed_back",
            250,
        )
        assert (restarted.entries[42].effect, restarted.entries[42].group, restarted.entries[42].window) == (
            1,
            "all",
            5.0,
        )
        assert (
            restarted.is_known("x", 1000.0)
            and restarted.is_known("b", 1000.0)
            and restarted.next_number == 43
            and restarted.state.destination_numbers == {"a": 3}
        )


def test_crash_at_any_call_of_the_journal_conversion_loses_nothing():
    from standins.disk import Crash

    data = b"".join(journal_accept_line(n, f"m{n}") for n in range(1, 30)) + journal_line(
        "begin", 5000.0, 0, [[3, 1]]
    )
    whole = Disk({"journal": data})
    open_store(whole)
    for n in range(1, whole.calls + 1):
        disk = Disk({"journal": data})
        disk.crash_at = n
        with pytest.raises(Crash):
            open_store(disk)
            raise Crash
        restarted = open_store(Disk(disk.image()))
        assert [e.id for e in restarted.entries.values()] == [f"m{n}" for n in range(1, 30)]
        assert restarted.entries[3].begun == 5000.0 and "journal" not in restarted.files.files


def test_damaged_journal_line_is_reported_and_earlier_messages_count_as_having_run(caplog):
    rows = [
        journal_accept_line(1, "a"),
        journal_accept_line(2, "b"),
        journal_line("begin", 5000.0, 0, [[1, 1]]),
        journal_accept_line(3, "c"),
    ]
    rows[2] = rows[2].replace(b"begin", b"begun")
    store = open_store(Disk({"journal": b"".join(rows)}))
    assert store.entries[1].risky_at and store.entries[2].risky_at and not store.entries[3].risky_at
    assert "a damaged line" in caplog.text


def test_journal_beside_a_store_is_refused():
    image = closed_store_files()
    with pytest.raises(StoreError, match="beside a store"):
        open_store(Disk(image | {"journal": journal_accept_line(1, "z")}))


# --- clocks ---


def test_clock_set_back_extends_no_deadline_and_leaves_no_window_open():
    store = open_store(now=10_000_000.0)
    store.accept(message := new_entry(store, "a", deadline=10_020_000.0))
    store.accept(two := new_entry(store, "b", deadline=10_020_000.0))
    two.attempts = 1
    store.record_attempts([two], 10_005_000.0, PLACE)
    store.record_retry_after("d3", 10_006_000.0)
    for restarted in (restart(store, 4_000_000.0), restart(restart(store, 4_000_000.0), 4_000_500.0)):
        assert restarted.entries[message.number].deadline == pytest.approx(4_000_000.0 + 15_000.0)
        assert (
            restarted.entries[two.number].begun == UNKNOWN_TIME
            and not restarted.entries[message.number].begun
        )
        assert restarted.state.retry_after["d3"] == pytest.approx(4_001_000.0)


def test_clock_that_advances_changes_no_deadline():
    store = open_store(now=10_000_000.0)
    store.accept(message := new_entry(store, "a", deadline=10_020_000.0))
    assert restart(store, 10_000_000.0 - 500.0).entries[message.number].deadline == 10_020_000.0
    assert restart(store, 10_010_000.0).entries[message.number].deadline == 10_020_000.0


def test_retry_after_deadlines_outages_and_names_survive_compaction():
    store = open_store(now=1000.0)
    store.record_destination_names({"a": 3, "b": 4})
    store.record_retry_after("d3", 9000.0)
    store.record_outage("d3", 1500.0)
    store.record_outage("rhost", 1600.0)
    store.record_outage("rhost", 0.0)
    store.rotate(2000.0)
    store.compact(2000.0, 1 << 20)
    restarted = restart(store, 3000.0)
    assert len(store.segments) == 1
    assert (restarted.state.retry_after, restarted.state.outages, restarted.state.destination_numbers) == (
        {"d3": 9000.0},
        {"d3": 1500.0},
        {"a": 3, "b": 4},
    )


def test_remembered_route_states_are_bounded():
    store = open_store(size=256 << 10)
    for n in range(500):
        store.record_retry_after(f"d{n}", 9e12)
        store.record_outage(f"r{n}", 2000.0)
    assert len(store.state.retry_after) == len(store.state.outages) == 128
    assert list(restart(store, size=256 << 10).state.retry_after) == [f"d{n}" for n in range(372, 500)]


# --- room ---


@pytest.mark.parametrize("size", [1_000_000, 3_000_000])
def test_folder_stays_within_its_limit_under_load_and_final_statuses_always_find_room(size):
    """Far more messages come than fit, many times the disk limit; each final status finds room."""
    chance, disk, store = random.Random(2), Disk(), None
    store = open_store(disk, size)
    held, refused, now, ends = [], 0, 1000.0, 0
    for n in range(6000):
        now += 5
        body = bytes(chance.randrange(6000))
        message = new_entry(store, f"{n:016x}", body, deadline=now + 2000)
        if store.has_room(body):
            assert store.accept(message)
            held.append(message)
        else:
            refused += 1
            for _ in range(2):
                done = held.pop(chance.randrange(len(held)))
                done.attempts += 1
                assert store.record_attempts([done], now, PLACE)
                store.record_outcomes([(done, Outcome.RESET)])
                notified = []
                store.record_final_status(done, "given_up", 0, lambda notified=notified: notified.append(1))
                assert notified == [1]
                store.complete([done])
                ends += 1
        store.reclaim(now)
        counted = sum(-(-len(data) // 512) * 512 for data in disk.files.values())
        assert counted + 512 <= size and store.live_bytes <= LIVE_SHARE * size
    assert refused > 300 and ends > 600 and store.io_error_count == 0
    restarted = open_store(Disk(disk.image()), size, now)
    assert list(restarted.entries) == sorted(e.number for e in held) and restarted.entries == {
        e.number: e for e in held
    }


def test_compaction_in_one_round_is_bounded():
    store = open_store(size=3_000_000)
    for n in range(400):
        store.accept(new_entry(store, f"{n:08x}", bytes(3000)))
    while store.used_bytes < 0.75 * 3_000_000:
        store.accept(new_entry(store, f"x{store.next_number}", bytes(3000)))
    before = store.relocated_records
    store.bytes_since_step = 0
    store.reclaim(2000.0)
    assert 0 < store.relocated_records - before <= (64 << 10) // 3000 + 1


def test_on_a_full_disk_messages_are_refused_held_ones_are_ended_and_service_resumes(monkeypatch):
    monkeypatch.setattr("rainpier.store.store.RESERVE_RETRY_S", 0.0)
    disk = Disk()
    store = open_store(disk, 1_000_000)
    held = []
    for n in range(60):
        store.accept(message := new_entry(store, f"{n:08x}", bytes(3000)))
        held.append(message)
    disk.room = sum(map(len, disk.files.values()))  # exactly full
    assert not store.accept(new_entry(store, "no", bytes(3000)))
    for message in held[:50]:
        notified = []
        store.record_final_status(message, "handed_back", 100, lambda notified=notified: notified.append(1))
        assert notified == [1], "a final status has to find room"
        store.complete([message])
        store.reclaim(2000.0)
    assert not store.deferred
    restarted = restart(store, 2000.0, 1_000_000)
    assert [e.id for e in restarted.entries.values()] == [e.id for e in held[50:]]
    disk.room = None
    for _ in range(3):
        store.reclaim(3000.0)
    assert store.has_reserve and store.has_room(b"") and store.accept(new_entry(store, "yes"))


def test_without_reserve_whatever_depends_on_a_deferred_record_waits_for_it():
    disk = Disk()
    store = open_store(disk, 1_000_000)
    for name in ("a", "b"):
        store.accept(new_entry(store, name))
    a, b = store.entries.values()
    disk.room = 0
    store.has_reserve = False
    notified = []
    store.record_final_status(a, "given_up", 0, lambda: notified.append("a"))
    assert (
        not notified
        and not store.record_attempts([b], 2000.0, PLACE)
        and not store.accept(new_entry(store, "c"))
        and not store.has_room(b"")
    )
    disk.room = None  # there is room, but the deferred record has not been retried: nothing overtakes it
    assert (
        not store.record_attempts([b], 2000.0, PLACE)
        and not store.accept(new_entry(store, "c"))
        and store.deferred
    )
    store.complete([b])
    assert not notified
    store.reclaim(3000.0)
    assert notified == ["a"] and not store.deferred
    restarted = restart(store)
    assert [(e.id, e.end) for e in restarted.entries.values()] == [("a", "given_up")] and restarted.is_known(
        "b", 2000.0
    )


def test_disk_that_fills_during_compaction_loses_nothing():
    """The disk fills in the middle of a relocated record; compaction resumes once there is room."""
    base = open_store(size=1_000_000)
    for n in range(100):
        base.accept(new_entry(base, f"{n:08x}", bytes(2000)))
    base.rotate(1000.0)
    image, size = base.files.image(), sum(map(len, base.files.files.values()))
    for more in (0, 1, 500, 2100, 5000, 40_000, 90_000):  # bytes of room
        disk = Disk(image)
        store = open_store(disk, 1_000_000)
        disk.room = sum(map(len, disk.files.values())) + more
        for _ in range(20):
            store.compact(2000.0, 1 << 20)
        restarted = recover({n: bytes(d) for n, d in disk.files.items() if n.endswith(".seg")}, None, 2000.0)
        assert len(restarted.state.entries) == 100 and not restarted.harm
        disk.room = None
        for _ in range(60):
            store.compact(2000.0, 1 << 20)
        assert store.segments[0].number > 2 and len(restart(store, 2000.0, 1_000_000).entries) == 100
    assert size


def test_completed_ids_expire_and_stay_within_their_share_of_the_disk():
    store = open_store(size=1_000_000)
    for n in range(4000):
        message = new_entry(store, f"{n:016x}", b"", deadline=5000.0 + n)
        store.accept(message)
        store.complete([message])
        store.reclaim(1000.0)
    assert len(store.state.completed_until) <= 0.05 * 1_000_000 / 60 and store.is_known(
        f"{3999:016x}", 1000.0
    )
    restarted = restart(store, 1000.0, 1_000_000)
    assert restarted.is_known(f"{3999:016x}", 1000.0) and not restarted.is_known(f"{3999:016x}", 9000.0)


# --- a state machine against a plain model ---


class StoreMachine(RuleBasedStateMachine):
    """Does what a node may do, in any order, with crashes and failing calls; the model is a dictionary."""

    def __init__(self):
        super().__init__()
        self.disk = Disk()
        self.store = open_store(self.disk, 256 << 10)
        self.store.segment_size = 3000
        # model: id, size of the body and key by number; now: Unix time, ms; count: messages submitted
        self.model, self.now, self.count = {}, 2000.0, 0

    def held(self):
        return list(self.store.entries.values())

    @rule(size=st.integers(0, 900), key=st.integers(0, 2))
    def submit(self, size, key):
        self.count += 1
        message = new_entry(self.store, f"{self.count:04x}", bytes(size), key)
        if self.store.has_room(message.body) and self.store.accept(message):
            self.model[message.number] = (message.id, size, key)

    @precondition(lambda self: self.store.entries)
    @rule(data=st.data())
    def begin_attempt(self, data):
        message = data.draw(st.sampled_from(self.held()))
        if not message.end and not message.begun:
            message.attempts += 1
            self.store.record_attempts([message], self.now, PLACE)

    @precondition(lambda self: any(e.begun for e in self.store.entries.values()))
    @rule(data=st.data(), outcome=st.sampled_from([Outcome.FULL, Outcome.RESET, Outcome.ERROR]))
    def result(self, data, outcome):
        message = data.draw(st.sampled_from([e for e in self.held() if e.begun]))
        self.store.record_outcomes([(message, outcome)])

    @precondition(lambda self: self.store.entries)
    @rule(data=st.data())
    def end_or_complete(self, data):
        message = data.draw(st.sampled_from(self.held()))
        if message.end or data.draw(st.booleans()):
            self.store.complete([message])
            del self.model[message.number]
        else:
            self.store.record_final_status(message, "given_up", 0)

    @rule(budget=st.integers(1, 5000))
    def compact(self, budget):
        self.store.compact(self.now, budget)

    @rule()
    def rotate(self):
        with contextlib.suppress(OSError):
            self.store.rotate(self.now)

    @rule(after=st.integers(1, 6))
    def fail_call(self, after):
        self.disk.fail_at = frozenset({self.disk.calls + after})

    @rule(close_first=st.booleans())
    def restart(self, close_first):
        self.disk.fail_at = frozenset()
        self.store.reclaim(self.now)
        before = {
            n: (e.id, e.attempts, e.begun, e.risky_at, e.end, e.body) for n, e in self.store.entries.items()
        }
        if close_first:
            self.store.close()
        self.disk = Disk(self.disk.image())
        self.store = open_store(self.disk, 256 << 10, self.now)
        self.store.segment_size = 3000
        assert not self.store.recovered.harm, self.store.recovered.findings
        after = {
            n: (e.id, e.attempts, e.begun, e.risky_at, e.end, e.body) for n, e in self.store.entries.items()
        }
        assert {n: v[0] for n, v in after.items()} == {n: v[0] for n, v in before.items()}
        for number, (_, _, begun, risky, end, body) in before.items():
            assert after[number][4:] == (end, body)
            assert not (begun or risky) or after[number][2] or after[number][3]

    @invariant()
    def store_agrees_with_the_model(self):
        assert set(self.store.entries) == set(self.model)
        assert all(self.model[n] == (e.id, len(e.body), e.key) for n, e in self.store.entries.items())
        homes = {number for segment in self.store.segments for number in segment.live}
        assert homes == set(self.store.entries)
        assert self.store.segment_bytes == sum(-(-s.size // 512) * 512 for s in self.store.segments)


StoreMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=60, deadline=None, derandomize=True
)
test_random_operations_agree_with_a_model = StoreMachine.TestCase


def test_long_random_workload_is_recovered():
    workload = Workload(Disk(), seed=21).run(1500)
    restarted = Store(Disk(workload.disk.image()), DISK, START + 10_000)
    check_confirmed(confirmed_by_id(workload.confirmations), restarted.entries, workload.submitted)

"""A start on a full disk: no message is lost, nothing unrecorded happens, and service resumes by itself."""

import asyncio
import errno
import os
import random

import pytest
from peers import HttpServer, RespClient, encode_submission, run_with_timeout
from sidecars import SidecarProcess, make_config_text
from standins.disk import Crash, Disk

from rainpier.cli.main import format_status
from rainpier.store.files import Folder, FolderInUse
from rainpier.store.recovery import recover
from rainpier.store.store import Store, StoreError

from .workload import PLACE, START, Workload, check_confirmed, confirmed_by_id

SMALL = 256 << 10  # bytes: the least disk limit
WRITES = ("create", "append", "rename", "remove", "truncate")  # calls that change the folder


def total_size(files):
    return sum(map(len, files.values()))


@pytest.fixture(scope="module")
def killed_workload():
    """The workload of a killed process: the files that it left, and what it had confirmed."""
    workload = Workload(Disk(), seed=7, size=SMALL, segment=3000).run(120)
    for _ in range(6):
        workload.submit()
    assert len(workload.store.entries) > 5 and "reserve" in workload.disk.files
    return workload


def disk_after_kill(workload, room=None, without=()):
    """Returns a disk with the workload's files except `without`, and `room` bytes more (None: no limit)."""
    files = {name: data for name, data in workload.disk.image().items() if name not in without}
    return Disk(files, None if room is None else total_size(files) + room)


def recover_files(disk, now):
    """Recovers from the disk's segments and index; `now`: Unix time, ms."""
    index = bytes(disk.files["index"]) if "index" in disk.files else None
    segments = {name: bytes(data) for name, data in disk.files.items() if name.endswith(".seg")}
    return recover(segments, index, now)


def resumes(store, now):
    """Whether the store accepts messages and begins attempts again after some rounds, without help."""
    for n in range(4):
        store.next_probe_at = store.next_reserve_attempt_at = 0.0
        store.reclaim(now + n)
    return store.has_room(b"x") and not store.read_only and not store.deferred


def test_start_succeeds_if_any_one_writing_call_fails(killed_workload):
    reference = disk_after_kill(killed_workload)
    Store(reference, SMALL, killed_workload.now)
    started = 0
    for n in range(1, reference.calls + 1):
        disk = disk_after_kill(killed_workload)
        disk.fail_at, disk.fail_with = frozenset({n}), errno.ENOSPC
        try:
            store = Store(disk, SMALL, killed_workload.now)
        except StoreError:  # only if it can't read, or can't lock the folder
            assert disk.call_log[n - 1] not in WRITES, disk.call_log[n - 1]
            continue
        started += 1
        check_confirmed(
            confirmed_by_id(killed_workload.confirmations),
            store.entries,
            killed_workload.submitted,
            killed_workload.deferred_ids,
        )
        assert resumes(store, killed_workload.now), disk.call_log[n - 1]
        found = recover_files(disk, killed_workload.now)
        assert not found.harm, (n, found.findings)
        check_confirmed(
            confirmed_by_id(killed_workload.confirmations),
            found.state.entries,
            killed_workload.submitted,
            killed_workload.deferred_ids,
        )
    assert started >= 6


@pytest.mark.parametrize("reserve", [True, False])
def test_next_start_recovers_from_a_crash_at_any_call_of_a_start_on_a_full_disk(killed_workload, reserve):
    without = () if reserve else ("reserve",)
    reference = disk_after_kill(killed_workload, 0, without)
    Store(reference, SMALL, killed_workload.now)
    for n in range(1, reference.calls + 1):
        disk = disk_after_kill(killed_workload, 0, without)
        disk.crash_at = n
        with pytest.raises(Crash):
            Store(disk, SMALL, killed_workload.now)
            raise Crash
        # the disk is as full as before
        second = Store(Disk(disk.image(), total_size(disk.files)), SMALL, killed_workload.now)
        check_confirmed(
            confirmed_by_id(killed_workload.confirmations),
            second.entries,
            killed_workload.submitted,
            killed_workload.deferred_ids,
        )
        second.files.room = None
        assert resumes(second, killed_workload.now)
        assert not recover_files(second.files, killed_workload.now).harm


def test_reserve_file_lets_a_start_on_a_full_disk_record_attempts_and_final_statuses(killed_workload):
    store = Store(disk_after_kill(killed_workload, 0), SMALL, killed_workload.now)
    assert not store.read_only and not store.has_room(b"")
    free = [e for e in store.entries.values() if not e.begun and not e.end]
    assert store.record_attempts(free[:1], killed_workload.now, PLACE)
    notified = []
    store.record_final_status(free[1], "given_up", 0, lambda: notified.append(free[1].id))
    assert notified
    recovered = recover_files(store.files, killed_workload.now).state.entries
    assert recovered[free[0].number].begun and recovered[free[1].number].end
    store.files.room = total_size(store.files.files)  # other programs use the remaining room
    assert not store.record_attempts(free[2:3], killed_workload.now, PLACE) and store.read_only
    store.files.room = None
    assert resumes(store, killed_workload.now) and store.record_attempts(
        free[2:3], killed_workload.now, PLACE
    )


def test_start_removes_unfinished_files_of_an_earlier_start(killed_workload):
    disk = disk_after_kill(killed_workload, 0, ("reserve",))
    disk.files["0000000099.seg.new"] = bytearray(400)
    disk.room += 400
    store = Store(disk, SMALL, killed_workload.now)
    assert not store.read_only and "0000000099.seg.new" not in disk.files


def test_without_room_and_reserve_nothing_happens_that_is_not_recorded(killed_workload):
    store = Store(disk_after_kill(killed_workload, 0, ("reserve",)), SMALL, killed_workload.now)
    before = store.files.image()
    one, two, *_ = [e for e in store.entries.values() if not e.begun and not e.end]
    notified = []
    assert store.read_only and not store.has_room(b"")
    assert not store.record_attempts([one], killed_workload.now, PLACE) and not one.begun
    assert not store.accept(one)
    store.record_final_status(two, "handed_back", 5, lambda: notified.append(two.id))
    store.reclaim(killed_workload.now)
    assert notified == [] and store.files.image() == before
    assert not recover_files(store.files, killed_workload.now).state.entries[two.number].end
    store.files.room = None
    assert resumes(store, killed_workload.now) and notified == [two.id]
    assert store.record_attempts([one], killed_workload.now, PLACE)
    assert recover_files(store.files, killed_workload.now).state.entries[two.number].end == "handed_back"


@pytest.mark.parametrize("seed", range(12))
def test_confirmations_hold_while_the_disk_fills_and_frees_again(seed):
    """Runs three processes in a row, each of them killed, while other programs fill and free the disk."""
    draw, files, confirmations, submitted, uncertain, now, count = (
        random.Random(seed),
        None,
        [],
        {},
        set(),
        START,
        0,
    )
    for process in range(3):
        disk = Disk(files, total_size(files) + draw.choice([0, 30, 200]) if files else None)
        if process and draw.random() < 0.5:
            disk.files.pop("reserve", None)
        workload = Workload(disk, seed * 10 + process, SMALL, now, segment=1500)
        workload.count, earlier = count, dict(submitted)
        for _ in range(60):
            workload.step()
            if process and draw.random() < 0.2:
                disk.room = total_size(disk.files) + draw.choice([0, 0, 40, 300, 5000])
                workload.store.next_probe_at = workload.store.next_reserve_attempt_at = 0.0
        submitted = earlier | workload.submitted
        progressed = {c.name for c in workload.confirmations if c.kind not in ("accepted", "rejected")}
        uncertain |= workload.deferred_ids | workload.current_ids
        confirmations = [c for c in confirmations if c.name not in progressed] + workload.confirmations
        known = {
            name: kinds
            for name, kinds in confirmed_by_id(confirmations).items()
            if name not in earlier or name not in progressed
        }
        check_confirmed(known, workload.store.entries, submitted, uncertain)
        found = recover_files(disk, workload.now)
        assert not found.harm, found.findings
        check_confirmed(known, found.state.entries, submitted, uncertain)
        files, now, count = disk.image(), workload.now, workload.count


def test_deferred_destination_names_renumber_each_message_once(killed_workload):
    """Renumbers destinations while the disk is full: no message goes to a wrong one, even after a crash."""
    store = Store(disk_after_kill(killed_workload), SMALL, killed_workload.now)
    store.record_destination_names({"a": 3, "b": 4})
    for entry in store.entries.values():
        assert entry.destination == 3
    store.release_reserve()
    # enough for some relocated messages, not for the names
    store.files.room = total_size(store.files.files) + 300
    store.record_destination_names({"a": 4, "b": 3} | {f"other-{n}": n + 10 for n in range(30)})
    assert {e.destination for e in store.entries.values()} == {4} and store.names_deferred
    store.compact(killed_workload.now, 10_000)
    restarted = Store(Disk(store.files.image()), SMALL, killed_workload.now)
    # the log has the old names and numbers
    assert {e.destination for e in restarted.entries.values()} == {3}
    assert restarted.state.destination_numbers == {"a": 3, "b": 4}
    store.files.room = None
    assert resumes(store, killed_workload.now) and not store.names_deferred
    for _ in range(60):  # until every record is relocated, that of the names too
        store.compact(killed_workload.now, 10_000)
    restarted = Store(Disk(store.files.image()), SMALL, killed_workload.now)
    assert {e.destination for e in restarted.entries.values()} == {
        4
    } and restarted.state.destination_numbers == store.state.destination_numbers


def test_deferred_first_names_survive_compaction_of_their_segment():
    store = Store(Disk(), SMALL, START)
    store.release_reserve()
    store.files.room = total_size(store.files.files)
    store.record_destination_names({"a": 4})
    store.files.room = None
    assert resumes(store, START)
    for _ in range(3):
        store.rotate(START)
        store.compact(START, 10_000)
    assert len(store.segments) == 1
    assert recover_files(store.files, START).state.destination_numbers == {"a": 4}


def test_process_killed_on_a_full_disk_restarts_there_and_delivers_once_there_is_room(tmp_path):
    async def scenario():
        # ran: ids of the messages that took effect; unavailable: the receiver answers 503
        ran, unavailable = [], True

        def handle(request, body):
            if unavailable:
                return 503, [("X-Retry-In-Ms", "100")], b""
            ran.append(dict(request.headers)[b"x-call-id"].decode())
            return 200, [], b""

        async with HttpServer(handle) as receiver:
            config_text = make_config_text({"a": (1, [receiver.address])})
            async with (
                SidecarProcess(tmp_path, config_text, "standins.full") as sidecar,
                RespClient(sidecar.port) as client,
            ):
                for n in range(9):
                    cls = ("keyed", "safe", "unsafe")[n % 3]
                    assert (
                        await client.request(
                            encode_submission(
                                f"{cls[0]}{n}", cls=cls, destination=1, key="1", deadline_ms=20000
                            )
                        )
                        == "OK"
                    )
                assert (
                    await client.request(
                        encode_submission("brief", cls="safe", destination=1, deadline_ms=1500)
                    )
                    == "OK"
                )
                (tmp_path / "full").touch()
                await sidecar.kill()
            (tmp_path / "state" / "reserve").unlink()
            unavailable, before = False, receiver.connections_accepted
            async with (
                SidecarProcess(tmp_path, config_text, "standins.full") as sidecar,
                RespClient(sidecar.port) as client,
            ):
                assert (await client.request(encode_submission("new", cls="safe", destination=1))).startswith(
                    "-BUSY"
                )
                status = await sidecar.status()
                assert status["held"] == 10 and "no room on the disk" in format_status(status)
                # past the deadline of `brief`: its final status is sent all the same
                await asyncio.sleep(2.0)
                # no attempt begins that can't be recorded
                assert ran == [] and receiver.connections_accepted == before
                assert [end["message"] for end in sidecar.completions()] == ["brief"]
                assert (await sidecar.status())["held"] == 9
                await sidecar.kill()  # that final status was never recorded
            async with (
                SidecarProcess(tmp_path, config_text, "standins.full") as sidecar,
                RespClient(sidecar.port) as client,
            ):
                await sidecar.wait_for_status(
                    lambda status: status["held"] == 9 and not status["ends_waiting"]
                )
                assert [end["message"] for end in sidecar.completions()] == ["brief"] and ran == []
                (tmp_path / "full").unlink()
                await sidecar.wait_for_status(lambda status: not status["held"] and not status["no_room"])
                while (await client.request(encode_submission("new", cls="safe", destination=1))).startswith(
                    "-BUSY"
                ):
                    await asyncio.sleep(0.05)
                await sidecar.wait_for_status(lambda status: not status["held"])
                assert [end["message"] for end in sidecar.completions()] == ["brief"]
                assert sorted(ran) == sorted([f"{'ksu'[n % 3]}{n}" for n in range(9)] + ["new"])
                assert [name for name in ran if name[0] == "k"] == ["k0", "k3", "k6"]

    run_with_timeout(scenario())


def test_lock_holds_even_if_the_process_id_can_not_be_written(tmp_path, monkeypatch):
    def full(*_):
        raise OSError(errno.ENOSPC, "no space left")

    monkeypatch.setattr(os, "pwrite", full)
    Folder(tmp_path).lock()
    with pytest.raises(FolderInUse):
        Folder(tmp_path).lock()


def test_start_reports_a_permanent_error(killed_workload):
    disk = disk_after_kill(killed_workload)
    disk.fail_with = errno.EIO
    disk.fail_at = frozenset(range(8, 60))
    with pytest.raises(StoreError, match="can't be used"):
        Store(disk, SMALL, killed_workload.now)
